//! Suspected jobs that share the few hosts kept free for them.

use std::sync::Arc;

use wigeongate_core::ids::{HostId, QueueId};
use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::{HostEntry, QueueRules, StepSpec, Workflow, WorkflowStatus};

use super::world::{Faults, World, flow, host, queue, rules, step};
use super::{CORE, task};

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

/// Guards against a bound on the work of a pass that suspects of one service use up for the others.
#[test]
fn a_suspect_does_not_wait_for_suspects_of_another_service() {
    let mut failed = Vec::new();
    for others in [0, 7, 8, 30] {
        let placed = |at: usize| HostEntry {
            service: if at < 8 { "desk" } else { "lab" }.to_owned(),
            ..host(at, 8 * CORE)
        };
        let hosts = (0..16).map(placed).collect();
        let mut rules = rules(3, Resources::UNBOUNDED);
        let other = QueueId::from("trials");
        let other_rules = QueueRules {
            service: "lab".to_owned(),
            ..(*rules.queues[&queue()]).clone()
        };
        rules.queues.insert(other.clone(), Arc::new(other_rules));
        let mut world = World::new(1, hosts, rules, Faults::default());
        world.run_ms = 20_000;
        world.run_for(100);
        let flow = flow(500, vec![step(1, CORE)], None);
        world.submit(Workflow {
            accepted: world.now,
            queue: other,
            ..flow
        });
        world.run_for(100);
        let hosts = world.hosts_running(task(500, 0, 0));
        let crashed = hosts.first().map(|host| (*host).clone());
        world.kill_host(&crashed.expect("the task runs"));
        suspect_queue(&mut world, others);
        world.run_for(RESTART_MS);
        if world.hosts_running(task(500, 0, 0)).is_empty() {
            failed.push(others);
        }
    }
    assert!(failed.is_empty(), "behind as many others: {failed:?}");
}

/// Submits jobs that crash their hosts until their queue is suspected, and others behind them.
fn suspect_queue(world: &mut World, others: u64) {
    for job in 1..=3 {
        world.make_deadly(task(job, 0, 0));
        submit_large(world, job);
    }
    world.run_for(500);
    for job in 11..11 + others {
        submit_large(world, job);
    }
}

/// Submits a job that shares its host with no other of its kind.
fn submit_large(world: &mut World, job: u64) {
    let accepted = world.now;
    let flow = flow(job, vec![step(1, 5 * CORE)], None);
    world.submit(Workflow { accepted, ..flow });
}
