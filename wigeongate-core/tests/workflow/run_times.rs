//! Expected run times, and what they decide.

use wigeongate_core::ids::QueueId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::RunTimes;

/// Run times of earlier tasks, an estimate and what is expected of it, in milliseconds.
struct Case {
    name: &'static str,
    runs: Vec<u64>,
    estimate: u64,
    expected: std::ops::RangeInclusive<u64>,
}

#[test]
fn an_estimate_is_corrected_by_what_earlier_tasks_took() {
    let cases = [
        Case {
            name: "nothing known",
            runs: Vec::new(),
            estimate: 500,
            expected: 500..=500,
        },
        Case {
            name: "too few runs",
            runs: vec![5_000; 19],
            estimate: 500,
            expected: 500..=500,
        },
        Case {
            name: "a tenth of the work",
            runs: vec![5_000; 40],
            estimate: 500,
            expected: 2_750..=2_750,
        },
        Case {
            name: "nearly twice the work",
            runs: vec![5_000; 40],
            estimate: 9_500,
            expected: 7_250..=7_250,
        },
        Case {
            name: "one run on a host that was cut off",
            runs: [vec![5_000; 40], vec![60_000]].concat(),
            estimate: 5_000,
            expected: 5_000..=5_200,
        },
        Case {
            name: "the work of a queue changes",
            runs: [vec![5_000; 40], vec![1_000; 200]].concat(),
            estimate: 1_000,
            expected: 1_000..=1_100,
        },
    ];
    for case in cases {
        let queue = QueueId::from("bundles");
        let mut times = RunTimes::default();
        for took in case.runs {
            times.record(&queue, Millis(took));
        }
        let expected = times.expected(&queue, Millis(case.estimate)).0;
        assert!(
            case.expected.contains(&expected),
            "{}: {expected}",
            case.name
        );
        assert_eq!(
            times.expected(&QueueId::from("other"), Millis(7)),
            Millis(7)
        );
    }
}
