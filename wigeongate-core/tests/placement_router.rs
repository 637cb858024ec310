//! Tests of the selection of the pool that a job is placed in.

use wigeongate_core::ids::PoolId;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::placement_router::{NoPool, PlacementRequest, PoolView, better_pool, rank};
use wigeongate_core::resources::Resources;

fn cores(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: cpu,
        accelerators: 0,
    }
}

/// A pool of four workers of eight cores.
fn pool(name: &str) -> PoolView {
    PoolView {
        pool: name.into(),
        capacity: cores(32),
        workers: vec![cores(8); 4],
        free: cores(32),
        slice: cores(32),
        ..PoolView::default()
    }
}

struct Case {
    name: &'static str,
    tasks: u32,
    cpu: u64,
    kind: Kind,
    pools: Vec<PoolView>,
    order: [&'static str; 2],
    better: Option<&'static str>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            tasks: 1,
            cpu: 4,
            kind: Kind::Batch,
            pools: Vec::new(),
            order: ["a", "b"],
            better: None,
        }
    }
}

fn room_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a tie is broken by name",
            pools: vec![pool("b"), pool("a")],
            better: Some("b"),
            ..Case::default()
        },
        Case {
            name: "the pool with more free capacity comes first",
            pools: vec![
                PoolView {
                    free: cores(8),
                    ..pool("a")
                },
                pool("b"),
            ],
            order: ["b", "a"],
            better: Some("b"),
            ..Case::default()
        },
        Case {
            name: "a pool without a worker large enough for the task comes last",
            cpu: 8,
            pools: vec![
                PoolView {
                    workers: vec![cores(4); 8],
                    ..pool("a")
                },
                PoolView {
                    queued: 5,
                    ..pool("b")
                },
            ],
            order: ["b", "a"],
            better: None,
            ..Case::default()
        },
    ]
}

fn load_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a gang needs free capacity for all of its tasks",
            tasks: 6,
            cpu: 5,
            kind: Kind::Gang,
            pools: vec![
                pool("a"),
                PoolView {
                    workers: vec![cores(8); 6],
                    capacity: cores(48),
                    free: cores(30),
                    ..pool("b")
                },
            ],
            order: ["b", "a"],
            better: Some("b"),
        },
        Case {
            name: "a pool where the team has used up its slice comes later",
            pools: vec![
                PoolView {
                    running: cores(32),
                    ..pool("a")
                },
                PoolView {
                    free: cores(4),
                    ..pool("b")
                },
            ],
            order: ["b", "a"],
            better: Some("b"),
            ..Case::default()
        },
        Case {
            name: "a pool with waiting tasks comes later and is not chosen for a move",
            pools: vec![
                pool("a"),
                PoolView {
                    queued: 1,
                    ..pool("b")
                },
            ],
            ..Case::default()
        },
    ]
}

#[test]
fn jobs_are_offered_to_the_most_suitable_pool_first() {
    for case in room_cases().into_iter().chain(load_cases()) {
        let spec = JobSpec {
            tasks: case.tasks,
            size: cores(case.cpu),
            ..JobSpec::default()
        };
        let wanted = PlacementRequest {
            spec: &spec,
            kind: case.kind,
        };
        let order = case.order.map(PoolId::from).to_vec();
        assert_eq!(rank(wanted, &case.pools), Ok(order), "{}", case.name);
        let found = better_pool(wanted, &"a".into(), &case.pools);
        assert_eq!(found, case.better.map(PoolId::from), "{}", case.name);
    }
}

#[test]
fn ranking_without_an_owned_pool_is_an_error() {
    let spec = JobSpec::default();
    let wanted = PlacementRequest {
        spec: &spec,
        kind: Kind::Batch,
    };
    assert_eq!(rank(wanted, &[]), Err(NoPool::NoOwner));
}
