//! Breadth-first search through all reachable states of the ownership protocol.

mod model;

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use self::model::{Action, FaultBudget, OmittedGuard, State};

/// Result of a search.
struct Search {
    states: usize,
    /// Steps to the first state that violates a rule, and the violation.
    trace: Option<(Vec<Action>, &'static str)>,
}

/// Visits every reachable state; states are identified by their hashes.
fn search(first: State) -> Search {
    let hasher = RandomState::new();
    let start = hasher.hash_one(&first);
    let mut parents: HashMap<u64, Option<(u64, Action)>> = HashMap::from([(start, None)]);
    let mut queue = VecDeque::from([(start, first)]);
    while let Some((at, state)) = queue.pop_front() {
        for action in state.actions() {
            let next = state.after(action);
            let hash = hasher.hash_one(&next);
            if parents.contains_key(&hash) {
                continue;
            }
            parents.insert(hash, Some((at, action)));
            if let Some(violation) = next.violation {
                let trace = Some((path(&parents, hash), violation));
                let states = parents.len();
                return Search { states, trace };
            }
            queue.push_back((hash, next));
        }
    }
    Search {
        states: parents.len(),
        trace: None,
    }
}

fn path(parents: &HashMap<u64, Option<(u64, Action)>>, mut at: u64) -> Vec<Action> {
    let mut path = Vec::new();
    while let Some(Some((parent, action))) = parents.get(&at) {
        path.push(*action);
        at = *parent;
    }
    path.reverse();
    path
}

fn format_trace(trace: &[Action]) -> String {
    let lines = trace.iter().map(|action| format!("  {action}\n"));
    lines.collect()
}

struct Case {
    name: &'static str,
    gates: usize,
    recorded: usize,
    budget: FaultBudget,
    min_states: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "two gates and lost answers",
        gates: 2,
        recorded: 1,
        budget: FaultBudget {
            ticks: 5,
            losses: 1,
            outages: 0,
            drifts: 0,
            renewals: 1,
        },
        min_states: 10_000,
    },
    Case {
        name: "two gates and clock drift",
        gates: 2,
        recorded: 1,
        budget: FaultBudget {
            ticks: 7,
            losses: 0,
            outages: 0,
            drifts: 1,
            renewals: 1,
        },
        min_states: 10_000,
    },
    Case {
        name: "two gates and a store outage",
        gates: 2,
        recorded: 1,
        budget: FaultBudget {
            ticks: 6,
            losses: 0,
            outages: 1,
            drifts: 0,
            renewals: 1,
        },
        min_states: 10_000,
    },
    Case {
        name: "a gate unknown to the owner takes over during a store outage",
        gates: 2,
        recorded: 0,
        budget: FaultBudget {
            ticks: 7,
            losses: 0,
            outages: 1,
            drifts: 0,
            renewals: 1,
        },
        min_states: 10_000,
    },
    Case {
        name: "two gates race to take over, and answers are lost",
        gates: 3,
        recorded: 2,
        budget: FaultBudget {
            ticks: 4,
            losses: 1,
            outages: 0,
            drifts: 0,
            renewals: 0,
        },
        min_states: 10_000,
    },
];

#[test]
fn no_reachable_state_violates_the_protocol() {
    for case in CASES {
        let first = State::new(case.gates, case.recorded, OmittedGuard::None, case.budget);
        let found = search(first);
        println!("{}: {} states", case.name, found.states);
        if let Some((trace, violation)) = found.trace {
            panic!("{}: {violation}:\n{}", case.name, format_trace(&trace));
        }
        assert!(
            found.states >= case.min_states,
            "{}: the search visited too few states",
            case.name
        );
    }
}

struct OmissionCase {
    omitted: OmittedGuard,
    gates: usize,
    budget: FaultBudget,
}

const OMISSION_CASES: &[OmissionCase] = &[
    OmissionCase {
        omitted: OmittedGuard::EpochCheck,
        gates: 2,
        budget: FaultBudget {
            ticks: 4,
            losses: 0,
            outages: 0,
            drifts: 0,
            renewals: 0,
        },
    },
    OmissionCase {
        omitted: OmittedGuard::Margin,
        gates: 2,
        budget: FaultBudget {
            ticks: 7,
            losses: 0,
            outages: 0,
            drifts: 2,
            renewals: 0,
        },
    },
    OmissionCase {
        omitted: OmittedGuard::ReadBack,
        gates: 3,
        budget: FaultBudget {
            ticks: 4,
            losses: 1,
            outages: 0,
            drifts: 0,
            renewals: 0,
        },
    },
];

#[test]
fn omitting_a_guard_leads_to_a_violation() {
    for case in OMISSION_CASES {
        let whole = State::new(case.gates, 1, OmittedGuard::None, case.budget);
        assert!(
            search(whole).trace.is_none(),
            "the complete protocol has no violation"
        );
        let first = State::new(case.gates, 1, case.omitted, case.budget);
        let found = search(first);
        let (trace, violation) = found.trace.expect("the search must find a violation");
        println!("{:?}: {violation}:\n{}", case.omitted, format_trace(&trace));
    }
}
