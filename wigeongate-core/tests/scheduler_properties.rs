//! Properties of the scheduler under random fleets, jobs and orders of events.

mod world;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::Phase;

use crate::world::{SimCluster, ZONES, zone};

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
enum Step {
    Submit {
        team: usize,
        kind: u8,
        tasks: u32,
        cpu: u64,
        accelerators: u64,
        urgent: bool,
    },
    Cancel(usize),
    Tick(u64),
    Deliver(usize, usize),
    Finish {
        host: usize,
        which: usize,
        fails: bool,
    },
    Write {
        host: usize,
        full: bool,
        usage: u64,
    },
    Arrive {
        host: usize,
        which: usize,
        twice: bool,
    },
    Zone(usize),
    Pause,
    Slice(usize, u64),
    Lose(usize),
    Restart(usize),
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0..16_usize;
    prop_oneof![
        6 => (at.clone(), 0..3_u8, 1..5_u32, 1..9_u64, 0..5_u64, any::<bool>()).prop_map(
            |(team, kind, tasks, cpu, accelerators, urgent)| Step::Submit {
                team,
                kind,
                tasks,
                cpu: cpu * 500,
                accelerators: accelerators.saturating_sub(3),
                urgent,
            }
        ),
        1 => at.clone().prop_map(Step::Cancel),
        6 => (0..700_u64).prop_map(Step::Tick),
        8 => (at.clone(), 1..4_usize).prop_map(|(host, count)| Step::Deliver(host, count)),
        6 => (at.clone(), at.clone(), 0..4_u8).prop_map(|(host, which, luck)| Step::Finish {
            host,
            which,
            fails: luck == 0,
        }),
        8 => (at.clone(), 0..4_u8, 50..180_u64).prop_map(|(host, full, usage)| Step::Write {
            host,
            full: full == 0,
            usage,
        }),
        10 => (at.clone(), at.clone(), 0..5_u8).prop_map(|(host, which, luck)| Step::Arrive {
            host,
            which,
            twice: luck == 0,
        }),
        1 => (0..ZONES).prop_map(Step::Zone),
        1 => Just(Step::Pause),
        1 => (at.clone(), 2..20_u64).prop_map(|(team, cpu)| Step::Slice(team, cpu * 500)),
        1 => at.clone().prop_map(Step::Lose),
        1 => at.prop_map(Step::Restart),
        1 => Just(Step::TakeOver),
    ]
}

fn apply_step(cluster: &mut SimCluster, step: Step) {
    match step {
        Step::Submit {
            team,
            kind,
            tasks,
            cpu,
            accelerators,
            urgent,
        } => {
            let kind = [Kind::Service, Kind::Batch, Kind::Gang][usize::from(kind)];
            let spec = JobSpec {
                tasks,
                size: Resources {
                    cpu,
                    memory: cpu / 2,
                    accelerators,
                },
                urgent,
                ..JobSpec::default()
            };
            cluster.submit(team, kind, spec);
        }
        Step::Cancel(job) => cluster.cancel(job),
        Step::Tick(millis) => cluster.tick(millis),
        Step::Deliver(host, count) => cluster.deliver_orders(host, count),
        Step::Finish { host, which, fails } => {
            let phase = if fails {
                Phase::Failed("the program returned 1".to_owned())
            } else {
                Phase::Succeeded
            };
            cluster.finish_task(host, which, phase);
        }
        Step::Write { host, full, usage } => cluster.write_report(host, full, usage),
        Step::Arrive { host, which, twice } => cluster.deliver_report(host, which, twice),
        Step::Zone(at) => {
            let zone = zone(at);
            if !cluster.policy.zones_out.remove(&zone) {
                cluster.policy.zones_out.insert(zone);
            }
            cluster.configure();
        }
        Step::Pause => {
            cluster.policy.paused = !cluster.policy.paused;
            cluster.configure();
        }
        Step::Slice(team, cpu) => cluster.set_slice(team, cpu),
        Step::Lose(host) => cluster.lose_worker(host),
        Step::Restart(host) => cluster.restart_worker(host),
        Step::TakeOver => cluster.replace_owner(),
    }
}

/// Ends every disturbance, so that all work can run.
fn restore_normal(cluster: &mut SimCluster) {
    cluster.policy.zones_out.clear();
    cluster.policy.paused = false;
    cluster.configure();
    for team in 0..16 {
        cluster.set_slice(team, 1_000_000);
    }
    cluster.cancel_services();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Nothing is overcommitted, runs twice, breaks a limit, starts in part or in a zone that is
    /// out, and every job ends once with nothing left reserved.
    #[test]
    fn invariants_hold_and_every_job_ends(
        workers in 3..9_usize,
        limit in prop_oneof![2..40_u64, Just(1_000)],
        steps in vec(step(), 1..160),
    ) {
        let mut cluster = SimCluster::new(workers, limit * 500);
        for step in steps {
            apply_step(&mut cluster, step);
        }
        restore_normal(&mut cluster);
        cluster.run_to_end();
        cluster.check_ended();
    }
}
