//! Suspected jobs that share the few hosts kept free for them.

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::{HostEntry, StepSpec, Workflow, WorkflowStatus};

use super::CORE;
use super::world::{Faults, World, flow, host, rules, step};

/// The time from the crash of two hosts until the runs on them have started again one after the
/// other, in milliseconds: the successors are back, and each run is on trial for half a second.
const RESTART_MS: u64 = 3_200 + 4_000;

/// Two suspected jobs on a fleet of which one host may be kept free for them; each can use one host.
struct Case {
    name: &'static str,
    /// The hosts that shut down for good after their crash.
    gone: &'static [usize],
    /// The jobs that complete.
    complete: &'static [u64],
}

/// Guards against suspects that wait for ever for hosts that each takes from the other.
#[test]
fn two_suspects_do_not_take_hosts_from_each_other() {
    let cases = [
        Case {
            name: "each has a host",
            gone: &[],
            complete: &[1, 2],
        },
        Case {
            name: "the first has none",
            gone: &[0],
            complete: &[2],
        },
        Case {
            name: "the second has none",
            gone: &[1],
            complete: &[1],
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let labelled = |at: usize| HostEntry {
            labels: vec![format!("kind-{at}")],
            ..host(at, 8 * CORE)
        };
        let hosts = (0..3).map(labelled).collect();
        let mut world = World::new(1, hosts, rules(3, Resources::UNBOUNDED), Faults::default());
        world.run_ms = 1_000;
        world.run_for(100);
        for job in [1, 2] {
            let own = StepSpec {
                requires: Some(format!("kind-{}", job - 1)),
                ..step(1, CORE)
            };
            let accepted = world.now;
            let flow = flow(job, vec![own], None);
            world.submit(Workflow { accepted, ..flow });
        }
        world.run_for(100);
        for at in 0..2 {
            world.kill_host(&HostId::from(format!("w-{at}")));
        }
        world.run_for(500);
        for at in case.gone {
            world.shut_down_host(&HostId::from(format!("w-{at}")), 10);
        }
        world.run_for(RESTART_MS);
        let complete = |job: &u64| world.status(*job) == Some(WorkflowStatus::Completed);
        let jobs: Vec<u64> = [1, 2].into_iter().filter(complete).collect();
        if jobs != case.complete {
            failed.push((case.name, jobs));
        }
    }
    assert!(failed.is_empty(), "completed: {failed:?}");
}
