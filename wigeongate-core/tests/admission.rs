//! Tests of the admission queue.

use uuid::Uuid;
use wigeongate_core::admission::{Admission, AdmissionLimits, QueuedRequest, Refusal};
use wigeongate_core::class::Class;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::RequestId;
use wigeongate_core::time::Millis;

const LIMITS: AdmissionLimits = AdmissionLimits {
    share: 1,
    bound: 100_000,
    slots: 1,
};

fn waiting(number: u128, team: &str, class: Class, deadline: Millis) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(Uuid::from_u128(number)),
        team: team.into(),
        queue: class.to_string().as_str().into(),
        class,
        deadline,
    }
}

struct RefusalCase {
    name: &'static str,
    bound: u32,
    deadline: Millis,
    result: Result<(), Refusal>,
}

#[test]
fn requests_that_cannot_be_served_are_refused_at_once() {
    let cases = [
        RefusalCase {
            name: "fits",
            bound: 4,
            deadline: Millis(1_000),
            result: Ok(()),
        },
        RefusalCase {
            name: "the team has reached its bound",
            bound: 3,
            deadline: Millis(1_000),
            result: Err(Refusal::Full),
        },
        RefusalCase {
            name: "the run time exceeds the deadline",
            bound: 4,
            deadline: Millis(99),
            result: Err(Refusal::Late),
        },
        RefusalCase {
            name: "the estimated wait exceeds the deadline",
            bound: 4,
            deadline: Millis(399),
            result: Err(Refusal::Late),
        },
    ];
    for case in cases {
        let mut admission = Admission::default();
        admission.record_run_time(&"normal".into(), 100_000);
        for number in 0..3 {
            let first = waiting(number, "aarhus", Class::Normal, Millis(10_000));
            admission
                .admit(Millis::ZERO, first, LIMITS)
                .expect("the request is admitted");
        }
        let limits = AdmissionLimits {
            bound: case.bound,
            ..LIMITS
        };
        let last = waiting(9, "aarhus", Class::Normal, case.deadline);
        let result = admission.admit(Millis::ZERO, last, limits);
        assert_eq!(result, case.result, "{}", case.name);
    }
}

#[test]
fn requests_past_their_deadline_are_shed_before_they_start() {
    let mut admission = Admission::default();
    let late = waiting(1, "aarhus", Class::Normal, Millis(50));
    let fine = waiting(2, "aarhus", Class::Normal, Millis(500));
    for request in [&late, &fine] {
        let offered = admission.admit(Millis::ZERO, request.clone(), LIMITS);
        offered.expect("the request is admitted");
    }
    admission.record_run_time(&"normal".into(), 20_000);
    let next = admission.select_next(Millis(40), |_| true);
    assert_eq!(next.start, Some(fine));
    assert_eq!(next.shed, [late]);
    assert!(admission.is_empty());
}

#[test]
fn abandoned_requests_leave_their_flow() {
    let mut admission = Admission::default();
    let request = waiting(1, "aarhus", Class::Normal, Millis(50));
    let offered = admission.admit(Millis::ZERO, request.clone(), LIMITS);
    offered.expect("the request is admitted");
    assert!(admission.remove(&request));
    assert!(!admission.remove(&request));
    assert_eq!(admission.select_next(Millis::ZERO, |_| true).start, None);
}

struct FairnessCase {
    name: &'static str,
    /// Team, class and share of each flow.
    lines: &'static [(&'static str, Class, u32)],
    /// Expected starts of each flow out of 2,100, with a tolerance of a hundredth of these.
    starts: &'static [u64],
}

#[test]
fn teams_share_a_class_and_classes_share_the_slots() {
    let cases = [
        FairnessCase {
            name: "equal shares get equal starts",
            lines: &[("a", Class::Normal, 1), ("b", Class::Normal, 1)],
            starts: &[1_050, 1_050],
        },
        FairnessCase {
            name: "a double share gets twice the starts",
            lines: &[("a", Class::Normal, 1), ("b", Class::Normal, 2)],
            starts: &[700, 1_400],
        },
        FairnessCase {
            name: "every class gets starts",
            lines: &[
                ("a", Class::Instant, 1),
                ("a", Class::Normal, 1),
                ("a", Class::Slow, 1),
            ],
            starts: &[1_600, 400, 100],
        },
    ];
    for case in cases {
        let mut admission = Admission::default();
        for class in Class::ALL {
            admission.record_run_time(&class.to_string().as_str().into(), 10_000);
        }
        let mut number = 0;
        for _ in 0..2_200 {
            for (team, class, share) in case.lines {
                number += 1;
                let request = waiting(number, team, *class, Millis(u64::MAX / 2));
                let limits = AdmissionLimits {
                    share: *share,
                    ..LIMITS
                };
                admission
                    .admit(Millis::ZERO, request, limits)
                    .expect("the request is admitted");
            }
        }
        let mut starts: HashMap<(String, Class), u64> = HashMap::default();
        for _ in 0..2_100 {
            let start = admission.select_next(Millis::ZERO, |_| true).start;
            let start = start.expect("requests are waiting");
            *starts
                .entry((start.team.to_string(), start.class))
                .or_default() += 1;
        }
        for ((team, class, _), wanted) in case.lines.iter().zip(case.starts) {
            let got = starts.get(&((*team).to_owned(), *class)).copied();
            let deviation = got.unwrap_or_default().abs_diff(*wanted);
            assert!(deviation <= 21, "{}: {team} {class} got {got:?}", case.name);
        }
    }
}

#[test]
fn a_flow_that_does_not_fit_does_not_block_other_flows() {
    let mut admission = Admission::default();
    let blocked = waiting(1, "a", Class::Instant, Millis(500));
    let free = waiting(2, "b", Class::Slow, Millis(500));
    for request in [&blocked, &free] {
        let offered = admission.admit(Millis::ZERO, request.clone(), LIMITS);
        offered.expect("the request is admitted");
    }
    let next = admission.select_next(Millis::ZERO, |request| request.team != "a".into());
    assert_eq!(next.start, Some(free));
    assert_eq!(admission.len(), 1);
}
