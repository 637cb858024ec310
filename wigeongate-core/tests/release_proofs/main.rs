//! Random histories of one owner and its hosts, against the real scheduler and leases.
//!
//! The owner counts a run as ended by a proof. At no moment may a task start while an earlier run of
//! it goes on, nor after one that has ended as done and whose end is taken note of.

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

use self::faults::{ALL, Kind};
use self::link::Part;
use self::starts::Violation;
use self::world::World;

/// The variable with the number of histories per case.
const HISTORIES: &str = "RELEASE_PROOF_HISTORIES";

fn seeds(count: u64) -> Range<u64> {
    let asked = std::env::var(HISTORIES).ok();
    0..asked.and_then(|it| it.parse().ok()).unwrap_or(count)
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

/// Faults that may come together.
struct Case {
    name: &'static str,
    kinds: &'static [Kind],
}

/// Plays histories of each case; returns how often each proof was used.
fn check(cases: &[Case], histories: u64) -> BTreeMap<String, usize> {
    let mut proofs = BTreeMap::new();
    let mut broken = BTreeMap::new();
    let mut first = None;
    for Case { name, kinds } in cases {
        for seed in seeds(histories) {
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
    let cases = [
        Case {
            name: "hosts that are cut off",
            kinds: &[Kind::Cut, Kind::SlowClock],
        },
        Case {
            name: "cuts that nobody notices, and an owner that is paused",
            kinds: &[
                Kind::Cut,
                Kind::SilentConnections,
                Kind::SlowClock,
                Kind::Pause,
            ],
        },
        Case {
            name: "hosts that shut down",
            kinds: &[Kind::Drain, Kind::Exit, Kind::SlowClock],
        },
        Case {
            name: "hosts that shut down during outages, with late calls",
            kinds: &[
                Kind::Drain,
                Kind::Exit,
                Kind::StoreOutage,
                Kind::LateCall,
                Kind::Pause,
                Kind::Standstill,
                Kind::SlowClock,
            ],
        },
        Case {
            name: "hosts that restart and crash",
            kinds: &[Kind::Restart, Kind::Crash, Kind::Standstill],
        },
        Case {
            name: "hosts that restart and crash behind cuts",
            kinds: &[
                Kind::Cut,
                Kind::SilentConnections,
                Kind::StoreCut,
                Kind::StoreOutage,
                Kind::Restart,
                Kind::Crash,
                Kind::Pause,
                Kind::SlowClock,
                Kind::Standstill,
            ],
        },
    ];
    let proofs = check(&cases, 150);
    let used: Vec<&str> = proofs.keys().map(String::as_str).collect();
    let all = [
        "left",
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
#[ignore = "issue 44"]
fn a_draining_host_that_is_only_cut_off_keeps_its_runs() {
    let cases = [
        Case {
            name: "open connections stay silent",
            kinds: &[Kind::Drain, Kind::Cut, Kind::SilentConnections],
        },
        Case {
            name: "the path to the store is cut at another time",
            kinds: &[Kind::Drain, Kind::Cut, Kind::StoreCut],
        },
        Case {
            name: "the path to the store is cut at another time and connections stay silent",
            kinds: &[
                Kind::Drain,
                Kind::Cut,
                Kind::StoreCut,
                Kind::SilentConnections,
            ],
        },
        Case {
            name: "the owner is paused",
            kinds: &[Kind::Drain, Kind::Cut, Kind::Pause],
        },
        Case {
            name: "the store is down as well",
            kinds: &[
                Kind::Drain,
                Kind::Exit,
                Kind::Cut,
                Kind::SilentConnections,
                Kind::StoreCut,
                Kind::StoreOutage,
            ],
        },
    ];
    check(&cases, 250);
}

#[test]
#[ignore = "issue 44"]
fn a_process_that_closes_its_listener_keeps_its_runs() {
    let cases = [
        Case {
            name: "its successor answers at its address",
            kinds: &[Kind::Handover],
        },
        Case {
            name: "its successor answers at its address after a cut",
            kinds: &[Kind::Handover, Kind::Cut],
        },
        Case {
            name: "orders are carried out late",
            kinds: &[Kind::Handover, Kind::LateCall],
        },
        Case {
            name: "it stands still",
            kinds: &[Kind::Handover, Kind::Standstill],
        },
        Case {
            name: "all faults",
            kinds: &ALL,
        },
    ];
    check(&cases, 250);
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
        assert!(seeds(50).any(expired), "{}", case.name);
    }
}
