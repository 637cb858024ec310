//! Gangs that span several pools, each with a scheduler and an owner of its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::Uuid;
use wigeongate_core::gang::{Coordinator, CoordinatorSettings, Step};
use wigeongate_core::ids::{JobId, PoolId};
use wigeongate_core::job::{Job, JobSpec, Kind};
use wigeongate_core::policy::{Policy, Team, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Action, Event, Report, Reservation, Scheduler};
use wigeongate_core::time::Millis;

const CORE: Resources = Resources {
    cpu: 1_000,
    memory: 1_024,
    accelerators: 0,
};

const UNTIL: Millis = Millis(10_000);

fn pool(name: &str, cores: u64) -> Scheduler {
    let worker = Worker {
        host: "worker".into(),
        pool: name.into(),
        rack: "rack".into(),
        zone: "zone".into(),
        region: "region".into(),
        capacity: CORE.times(cores),
    };
    let team = Team {
        share: 1,
        limit: CORE.times(1_000),
        slots: 1,
    };
    let policy = Policy {
        workers: [("worker".into(), Arc::new(worker))].into_iter().collect(),
        teams: [("team".into(), team)].into_iter().collect(),
        ..Policy::default()
    };
    let mut scheduler = Scheduler::default();
    let events = [
        Event::Policy(Arc::new(policy)),
        Event::Report(Report {
            host: "worker".into(),
            full: true,
            ..Report::default()
        }),
    ];
    for event in events {
        scheduler.handle(Millis(1), event, &mut Vec::new());
    }
    scheduler
}

/// Returns a number that tells the pools of a test apart, for the identifiers of a gang's jobs
/// there.
fn pool_number(pool: &PoolId) -> u128 {
    pool.as_str().bytes().map(u128::from).sum()
}

/// Several pools, and the tasks that each gang has started in them.
struct Simulation {
    pools: BTreeMap<PoolId, Scheduler>,
    now: Millis,
    started: BTreeMap<u64, u32>,
}

impl Simulation {
    /// Carries out one step of a gang's coordinator; returns the steps that follow from its result.
    fn carry_out(&mut self, gang: u64, coordinator: &mut Coordinator, step: Step) -> Vec<Step> {
        let id = JobId(Uuid::from_u128(u128::from(gang)));
        match step {
            Step::Reserve { pool, tasks } => {
                let reservation = Reservation {
                    gang: id,
                    team: "team".into(),
                    size: CORE,
                    tasks,
                    until: UNTIL,
                };
                let scheduler = self.pools.get_mut(&pool).expect("the pool exists");
                let granted = scheduler.reserve(self.now, &reservation);
                coordinator.on_reserved(self.now, &pool, granted)
            }
            Step::Commit { pool, tasks } => {
                let scheduler = self.pools.get_mut(&pool).expect("the pool exists");
                let job = Job {
                    id: JobId(Uuid::from_u128(id.0.as_u128() * 1_000 + pool_number(&pool))),
                    team: "team".into(),
                    kind: Kind::Gang,
                    spec: JobSpec {
                        tasks,
                        size: CORE,
                        ..JobSpec::default()
                    },
                    accepted: 0,
                };
                let mut actions = Vec::new();
                let started = scheduler.commit(self.now, id, job, &mut actions);
                let starts = actions
                    .iter()
                    .filter(|action| matches!(action, Action::Start(_)))
                    .count();
                assert_eq!(starts, if started { tasks as usize } else { 0 });
                *self.started.entry(gang).or_default() += tasks * u32::from(started);
                coordinator.on_committed(started)
            }
            Step::Release { pool } => {
                let scheduler = self.pools.get_mut(&pool).expect("the pool exists");
                scheduler.release_reservation(self.now, id);
                Vec::new()
            }
            Step::Started | Step::GaveUp => Vec::new(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Checks that gangs which compete for the same pools each start whole or not at all while
    /// their reservations last, and that only started tasks use capacity afterwards.
    #[test]
    fn gangs_start_whole_or_not_at_all(
        cores in prop::collection::vec(0..6_u64, 1..4),
        sizes in prop::collection::vec(1..10_u32, 1..4),
        order in prop::collection::vec((0..4_usize, 0..800_u64), 0..60),
    ) {
        let names = ["one", "three", "two", "four"];
        let mut simulation = Simulation {
            pools: names
                .iter()
                .zip(&cores)
                .map(|(name, cores)| (PoolId::from(*name), pool(name, *cores)))
                .collect(),
            now: Millis(2),
            started: BTreeMap::new(),
        };
        let mut gangs = Vec::new();
        for tasks in &sizes {
            gangs.push(Coordinator::new(CoordinatorSettings {
                pools: simulation.pools.keys().cloned().collect(),
                tasks: *tasks,
                expires_at: UNTIL,
            }));
        }
        let mut ends = vec![0; gangs.len()];
        let rest = (0..400).map(|turn| (turn, 0));
        for (which, millis) in order.into_iter().chain(rest) {
            simulation.now = Millis(simulation.now.0 + millis);
            let at = which % gangs.len();
            let (coordinator, steps) = &mut gangs[at];
            if steps.is_empty() {
                continue;
            }
            let step = steps.remove(0);
            ends[at] += u32::from(matches!(step, Step::Started | Step::GaveUp));
            let id = u64::try_from(at).expect("there are few gangs") + 1;
            let more = simulation.carry_out(id, coordinator, step);
            steps.extend(more);
        }
        for (at, tasks) in sizes.iter().enumerate() {
            let id = u64::try_from(at).expect("there are few gangs") + 1;
            prop_assert_eq!(ends[at], 1, "gang {} ends exactly once", id);
            let started = simulation.started.get(&id).copied().unwrap_or_default();
            let ended = gangs[at].0.expire(Millis(u64::MAX)).is_empty();
            prop_assert!(ended);
            prop_assert!(started == 0 || started == *tasks || simulation.now >= UNTIL);
        }
        let used: u64 = simulation
            .pools
            .values()
            .map(|pool| pool.running(&"team".into()).cpu)
            .sum();
        let started: u64 = simulation.started.values().map(|tasks| u64::from(*tasks)).sum();
        prop_assert_eq!(used, started * CORE.cpu);
    }
}
