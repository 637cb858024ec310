//! Requests that wait for a slot.

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
fn requests_are_refused_early() {
    let cases = [
        RefusalCase {
            name: "fits",
            bound: 4,
            deadline: Millis(1_000),
            result: Ok(()),
        },
        RefusalCase {
            name: "too many wait",
            bound: 3,
            deadline: Millis(1_000),
            result: Err(Refusal::Full),
        },
        RefusalCase {
            name: "its own run is too long",
            bound: 4,
            deadline: Millis(99),
            result: Err(Refusal::Late),
        },
        RefusalCase {
            name: "the wait is too long",
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
                .expect("it fits");
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
fn late_requests_are_shed_before_they_start() {
    let mut admission = Admission::default();
    let late = waiting(1, "aarhus", Class::Normal, Millis(50));
    let fine = waiting(2, "aarhus", Class::Normal, Millis(500));
    for request in [&late, &fine] {
        let offered = admission.admit(Millis::ZERO, request.clone(), LIMITS);
        offered.expect("it fits");
    }
    admission.record_run_time(&"normal".into(), 20_000);
    let next = admission.select_next(Millis(40), |_| true);
    assert_eq!(next.start, Some(fine));
    assert_eq!(next.shed, [late]);
    assert!(admission.is_empty());
}

#[test]
fn given_up_requests_leave_their_line() {
    let mut admission = Admission::default();
    let request = waiting(1, "aarhus", Class::Normal, Millis(50));
    let offered = admission.admit(Millis::ZERO, request.clone(), LIMITS);
    offered.expect("it fits");
    assert!(admission.remove(&request));
    assert!(!admission.remove(&request));
    assert_eq!(admission.select_next(Millis::ZERO, |_| true).start, None);
}

struct FairnessCase {
    name: &'static str,
    /// Team, class and share of each line.
    lines: &'static [(&'static str, Class, u32)],
    /// How many of 2,100 starts each line gets, within a hundredth of them.
    starts: &'static [u64],
}

#[test]
fn teams_share_a_class_and_classes_share_the_slots() {
    let cases = [
        FairnessCase {
            name: "equal shares",
            lines: &[("a", Class::Normal, 1), ("b", Class::Normal, 1)],
            starts: &[1_050, 1_050],
        },
        FairnessCase {
            name: "one share is twice the other",
            lines: &[("a", Class::Normal, 1), ("b", Class::Normal, 2)],
            starts: &[700, 1_400],
        },
        FairnessCase {
            name: "no class starves",
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
                    .expect("it fits");
            }
        }
        let mut starts: HashMap<(String, Class), u64> = HashMap::default();
        for _ in 0..2_100 {
            let start = admission.select_next(Millis::ZERO, |_| true).start;
            let start = start.expect("requests wait");
            *starts
                .entry((start.team.to_string(), start.class))
                .or_default() += 1;
        }
        for ((team, class, _), wanted) in case.lines.iter().zip(case.starts) {
            let got = starts.get(&((*team).to_owned(), *class)).copied();
            let apart = got.unwrap_or_default().abs_diff(*wanted);
            assert!(apart <= 21, "{}: {team} {class} got {got:?}", case.name);
        }
    }
}

#[test]
fn a_line_that_does_not_fit_keeps_nobody_waiting() {
    let mut admission = Admission::default();
    let held = waiting(1, "a", Class::Instant, Millis(500));
    let free = waiting(2, "b", Class::Slow, Millis(500));
    for request in [&held, &free] {
        let offered = admission.admit(Millis::ZERO, request.clone(), LIMITS);
        offered.expect("it fits");
    }
    let next = admission.select_next(Millis::ZERO, |request| request.team != "a".into());
    assert_eq!(next.start, Some(free));
    assert_eq!(admission.len(), 1);
}
