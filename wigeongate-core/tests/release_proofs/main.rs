//! Random histories of one owner and its hosts, against the real scheduler and leases.
//!
//! The owner counts a run as ended by a proof. At no moment may a task start while an earlier run of
//! it goes on, nor after one that has ended as done and whose end is taken note of.

mod cases;
mod executor;
mod faults;
mod jobs;
mod link;
mod network;
mod owner;
mod starts;
mod world;

use std::collections::BTreeMap;
use std::ops::Range;

use wigeongate_core::workflow::Proof;

use self::cases::{Case, DRAINS, HANDOVERS, SOUND};
use self::faults::Kind;
use self::link::Part;
use self::starts::Violation;
use self::world::World;

/// The variable with the number of histories per case.
const HISTORIES: &str = "RELEASE_PROOF_HISTORIES";

/// Returns the seeds to play: those given, unless more are asked for.
fn seeds(given: Range<u64>) -> Range<u64> {
    let asked = std::env::var(HISTORIES).ok();
    let count = asked.and_then(|it| it.parse().ok());
    count.map_or(given, |count| 0..count)
}

fn play(kinds: &[Kind], seed: u64, omitted: Option<Part>) -> World {
    let mut world = World::new(kinds, seed, omitted);
    world.play();
    world
}

/// Returns the history of a violation: what the owner did, and what happened at the two hosts.
fn history(kinds: &[Kind], seed: u64, violation: &Violation) -> String {
    let mut world = World::new(kinds, seed, None);
    world.history = Some(Vec::new());
    world.play();
    let lines = world.history.unwrap_or_default();
    let task = violation.task.to_string();
    let names = [
        task,
        violation.first.to_string(),
        violation.second.to_string(),
    ];
    let matters = |line: &&String| {
        names.iter().any(|name| line.contains(name.as_str())) || line.contains("fault")
    };
    let lines: Vec<&str> = lines.iter().filter(matters).map(String::as_str).collect();
    lines.join("\n")
}

/// Plays histories of each case; returns how often each proof was used.
fn check(cases: &[Case], given: Range<u64>) -> BTreeMap<String, usize> {
    let mut proofs = BTreeMap::new();
    let mut broken = BTreeMap::new();
    let mut first = None;
    for Case { name, kinds } in cases {
        for seed in seeds(given.clone()) {
            let world = play(kinds, seed, None);
            for proof in world.owner.released.values() {
                *proofs.entry(proof.to_string()).or_default() += 1;
            }
            if let Some(violation) = world.violation {
                let proof = violation
                    .proof
                    .map_or("no proof".to_owned(), |it| it.to_string());
                let entry = broken.entry((*name, proof)).or_insert((seed, 0));
                entry.1 += 1;
                first.get_or_insert_with(|| {
                    let history = history(kinds, seed, &violation);
                    format!("{name}, seed {seed}: {violation:?}\n{history}")
                });
            }
        }
    }
    if let Some(first) = first {
        panic!("{first}\nthe first seed and the number of broken histories: {broken:?}");
    }
    proofs
}

#[test]
fn no_task_starts_beside_a_run_that_goes_on() {
    let proofs = check(SOUND, 0..120);
    let used: Vec<&str> = proofs.keys().map(String::as_str).collect();
    let all = [
        "lease expired",
        "new boot",
        "not ordered",
        "refused",
        "replaced",
        "stopped",
    ];
    for proof in all {
        assert!(used.contains(&proof), "no run ended by: {proof}");
    }
}

#[test]
fn a_draining_host_that_is_only_cut_off_keeps_its_runs() {
    check(DRAINS, 0..250);
}

#[test]
fn a_process_that_hands_over_its_address_keeps_its_runs() {
    check(&HANDOVERS[..1], 0..600);
}

#[test]
#[ignore = "KNOWN-RED: handovers beside cuts (issue 45)"]
fn a_process_that_closes_its_listener_keeps_its_runs() {
    check(HANDOVERS, 0..250);
}

#[test]
fn a_late_poll_of_an_earlier_boot_extends_no_uncounted_lease() {
    let cases = [Case {
        name: "hosts restart under their identifiers before they are cut off",
        kinds: &[
            Kind::Restart,
            Kind::OftenLate,
            Kind::Cut,
            Kind::SilentConnections,
            Kind::SlowClock,
        ],
    }];
    check(&cases, 0..1_500);
}

#[test]
fn a_late_answer_at_an_earlier_address_ends_no_run() {
    let cases = [Case {
        name: "hosts move, and another executor starts at their address",
        kinds: &[
            Kind::Move,
            Kind::SlowAnswer,
            Kind::Standstill,
            Kind::LateCall,
        ],
    }];
    check(&cases, 2_000..2_400);
}

#[test]
fn runs_overlap_without_a_part_of_the_rule() {
    struct Omission {
        name: &'static str,
        part: Option<Part>,
        kinds: &'static [Kind],
    }
    let cases = [
        Omission {
            name: "no margin at the expiry of a lease",
            part: Some(Part::ExpiryMargin),
            kinds: &[Kind::Cut, Kind::SlowClock],
        },
        Omission {
            name: "polls without an answer do not count",
            part: Some(Part::CountsSentPolls),
            kinds: &[Kind::Cut],
        },
        Omission {
            name: "the clocks of executors stand still while the owner's goes on",
            part: None,
            kinds: &[Kind::Cut, Kind::Suspension],
        },
    ];
    for case in cases {
        let expired = |seed| {
            let violation = play(case.kinds, seed, case.part).violation;
            violation.is_some_and(|it| it.proof == Some(Proof::LeaseExpired))
        };
        assert!(seeds(0..50).any(expired), "{}", case.name);
    }
}
