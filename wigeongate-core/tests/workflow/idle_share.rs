//! Suspected jobs on an idle service beside work that is started again.

use std::sync::Arc;

use wigeongate_core::ids::QueueId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{AdviceCost, RunOutcome, Workflow};

use super::world::{Faults, World, flow, host, queue, rules, step};
use super::{CORE, task};

/// The time between the crashes of two hosts, in milliseconds.
const CRASH_MS: u64 = 1_500;

/// The time from a crash until its suspect runs again, in milliseconds: the loss is proved when the
/// successor starts at the latest, and another host is vacant.
const RESTART_MS: u64 = 3_200 + 400;

/// How often a run of the other queue fails, in milliseconds.
const FAILURE_MS: u64 = 200;

/// How long the other queue waits for advice, in milliseconds.
const ADVICE_MS: f64 = 400.0;

/// Guards against work that has run for long and counts as waiting for as long when it has to start
/// again.
#[test]
fn suspects_of_an_idle_service_do_not_wait_while_other_work_is_requeued() {
    let hosts = (0..8).map(|at| host(at, 8 * CORE)).collect();
    let mut rules = rules(3, Resources::UNBOUNDED);
    let mut advised = (*rules.queues[&queue()]).clone();
    // No two suspects have a queue in common, so that none is suspected for others.
    for job in 1..=2 {
        let own = Arc::new(advised.clone());
        rules.queues.insert(own_queue(job), own);
    }
    advised.advice = Some(AdviceCost {
        call_ms: ADVICE_MS,
        host_ms: 0.0,
        valid: Millis(2_500),
    });
    // Work that has run for long is still in time.
    advised.target = Millis(60_000);
    rules.queues.insert(queue(), Arc::new(advised));
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.allowed_percent = 100;
    world.run_ms = 60_000;
    world.run_for(100);
    for job in 100..116 {
        submit(&mut world, job, queue(), CORE);
    }
    world.run_for(2_000);
    let mut crashed = Vec::new();
    for job in 1..=2 {
        world.run_for(CRASH_MS);
        submit(&mut world, job, own_queue(job), 5 * CORE);
        world.run_for(100);
        let hosts = world.hosts_running(task(job, 0, 0));
        let host = hosts.first().map(|host| (*host).clone());
        world.kill_host(&host.expect("the task runs"));
        crashed.push(world.now);
    }
    let mut others = 100..;
    while world.now < crashed[0] + RESTART_MS {
        let other = others.next().expect("there is one more");
        world.end_run(task(other, 0, 0), RunOutcome::Failed);
        world.run_for(FAILURE_MS.min(crashed[0] + RESTART_MS - world.now));
    }
    let suspect = task(1, 0, 0);
    assert_eq!(world.hosts_running(suspect).len(), 1);
}

fn own_queue(job: u64) -> QueueId {
    QueueId::from(format!("trials-{job}").as_str())
}

fn submit(world: &mut World, job: u64, queue: QueueId, cpu: u64) {
    let accepted = world.now;
    let flow = flow(job, vec![step(1, cpu)], None);
    world.submit(Workflow {
        accepted,
        queue,
        ..flow
    });
}
