//! Starts wait while what the owner has read from the store may be out of date.

use wigeongate_core::time::Millis;
use wigeongate_core::workflow::StoreContact;

/// When answers of the store arrived, and whether a view is fresh enough for a start.
struct Case {
    name: &'static str,
    answers: &'static [u64],
    /// When the read of the view was sent, and the time of the start.
    read: u64,
    now: u64,
    is_fresh: bool,
}

#[test]
fn a_view_is_fresh_if_it_is_young_and_hosts_have_caught_up() {
    let cases = [
        Case {
            name: "a second old on a good day",
            answers: &[1_000, 2_000, 3_000],
            read: 2_000,
            now: 3_100,
            is_fresh: true,
        },
        Case {
            name: "one answer got lost",
            answers: &[1_000, 2_000, 3_000],
            read: 2_000,
            now: 4_900,
            is_fresh: true,
        },
        Case {
            name: "no answer for longer",
            answers: &[1_000, 2_000, 3_000],
            read: 2_000,
            now: 5_001,
            is_fresh: false,
        },
        Case {
            name: "the store was away, and the view is from before",
            answers: &[1_000, 2_000, 6_000],
            read: 5_900,
            now: 8_100,
            is_fresh: false,
        },
        Case {
            name: "the store is back, hosts may not have written yet",
            answers: &[1_000, 2_000, 6_000, 7_000],
            read: 7_000,
            now: 7_900,
            is_fresh: false,
        },
        Case {
            name: "the store is back, and hosts have had time to write",
            answers: &[1_000, 2_000, 6_000, 7_000, 8_000],
            read: 7_000,
            now: 8_000,
            is_fresh: true,
        },
        Case {
            name: "the store was away a second time",
            answers: &[1_000, 2_000, 6_000, 7_000, 8_000, 12_000],
            read: 12_000,
            now: 12_500,
            is_fresh: false,
        },
        Case {
            name: "a gate that has just started",
            answers: &[9_000],
            read: 9_000,
            now: 9_010,
            is_fresh: true,
        },
    ];
    for case in cases {
        let mut contact = StoreContact::default();
        for at in case.answers {
            contact.record_answer(Millis(*at));
        }
        let is_fresh = contact.is_fresh(Millis(case.read), Millis(case.now));
        assert_eq!(is_fresh, case.is_fresh, "{}", case.name);
    }
}
