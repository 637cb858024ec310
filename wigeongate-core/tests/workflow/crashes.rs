//! Tasks that crash the hosts that start them, and hosts that are lost for other reasons.

use std::sync::Arc;

use wigeongate_core::ids::{HostId, QueueId};
use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::{StepSpec, Workflow, WorkflowStatus};

use super::world::{Comeback, Faults, World, flow, host, queue, rules, step};
use super::{CORE, task};

/// The hosts that one bad task may crash; with two, its job may be given up.
const HOSTS_PER_TASK: usize = 2;

/// The hosts that a task may crash whose crashes come long after its start. The rule on starts
/// allows five: two more after three crashes.
const HOSTS_PER_LATE_TASK: usize = 4;

/// How long a neighbour of a crash may wait until it runs again, in milliseconds: the successor of
/// its host answers after 3.2 s.
const NEIGHBOUR_WAIT_MS: u64 = 4_000;

/// How long a task that lasts may be away from a host that has shut down, in milliseconds. Its jobs
/// count as lost 3 s after the 6 s in which it has to run again.
const SHUTDOWN_WAIT_MS: u64 = 9_000;

/// A task lease that outlasts the absence of a crashed host, in milliseconds.
const LONG_LEASE_MS: u64 = 10_000;

fn deployment(hosts: usize) -> World {
    let hosts = (0..hosts).map(|at| host(at, 8 * CORE)).collect();
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.lease_ms = LONG_LEASE_MS;
    world.take_over();
    world.run_for(100);
    world
}

fn completed(world: &World, jobs: impl IntoIterator<Item = u64>) -> usize {
    let completed = |id: &u64| world.status(*id) == Some(WorkflowStatus::Completed);
    jobs.into_iter().filter(completed).count()
}

/// A job with one bad task.
struct BadJob {
    name: &'static str,
    step: StepSpec,
    /// Whether the owner is replaced right after each crash.
    takeovers: bool,
    comeback: Comeback,
    crash_delay_ms: u64,
    hosts: usize,
}

impl Default for BadJob {
    fn default() -> Self {
        Self {
            name: "one of three tasks is bad",
            step: step(3, CORE),
            takeovers: false,
            comeback: Comeback::NewId,
            crash_delay_ms: 10,
            hosts: HOSTS_PER_TASK,
        }
    }
}

fn bad_jobs() -> [BadJob; 7] {
    [
        BadJob::default(),
        BadJob {
            name: "one member of a gang is bad",
            step: StepSpec {
                gang: true,
                ..step(4, 4 * CORE)
            },
            ..BadJob::default()
        },
        BadJob {
            name: "a service has a bad task",
            step: StepSpec {
                long_running: true,
                ..step(2, CORE)
            },
            ..BadJob::default()
        },
        BadJob {
            name: "the owner is lost after each crash",
            takeovers: true,
            ..BadJob::default()
        },
        BadJob {
            name: "hosts keep their identifiers",
            comeback: Comeback::SameId,
            ..BadJob::default()
        },
        BadJob {
            name: "hosts keep their identifiers and the owner is lost after each crash",
            comeback: Comeback::SameId,
            takeovers: true,
            ..BadJob::default()
        },
        BadJob {
            name: "a service crashes its hosts after two seconds",
            step: StepSpec {
                long_running: true,
                ..step(2, CORE)
            },
            crash_delay_ms: 2_000,
            hosts: HOSTS_PER_LATE_TASK,
            ..BadJob::default()
        },
    ]
}

#[test]
fn a_task_that_crashes_its_hosts_is_given_up_and_its_neighbours_complete() {
    for case in bad_jobs() {
        let mut world = deployment(8);
        let bad = task(1, 0, 1);
        world.make_deadly(bad);
        world.crash_delay_ms = case.crash_delay_ms;
        world.comeback = case.comeback;
        let mut crashes = 0;
        for at in 0..300 {
            world.submit(flow(100 + at, vec![step(2, CORE)], None));
            if at == 20 {
                world.submit(flow(1, vec![case.step.clone()], None));
            }
            world.run_for(100);
            if case.takeovers && world.crashes.len() > crashes {
                world.take_over();
            }
            crashes = world.crashes.len();
        }
        world.run_for(8_000);
        assert!(
            world.crashes_by(bad) <= case.hosts,
            "{}: {:?}",
            case.name,
            world.crashes
        );
        assert_eq!(
            world.status(1),
            Some(WorkflowStatus::Failed),
            "{}",
            case.name
        );
        assert_eq!(completed(&world, 100..400), 300, "{}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn neighbours_of_a_crash_start_again_once_their_hosts_successor_answers() {
    let mut world = deployment(2);
    let service = StepSpec {
        long_running: true,
        ..step(8, CORE)
    };
    world.submit(flow(7, vec![service], None));
    world.run_for(1_000);
    let lost = world.hosts_running(task(7, 0, 0))[0].clone();
    world.kill_host(&lost);
    world.run_for(NEIGHBOUR_WAIT_MS);
    let away = (0..8).filter(|index| world.hosts_running(task(7, 0, *index)).is_empty());
    assert_eq!(away.count(), 0);
}

#[test]
fn tasks_of_a_host_that_has_shut_down_start_again_before_they_count_as_lost() {
    let mut world = deployment(2);
    let service = StepSpec {
        long_running: true,
        ..step(8, CORE)
    };
    world.submit(flow(7, vec![service], None));
    world.run_for(1_000);
    let left = world.hosts_running(task(7, 0, 0))[0].clone();
    world.shut_down_host(&left, 2_000);
    world.run_for(SHUTDOWN_WAIT_MS);
    let away = (0..8).filter(|index| world.hosts_running(task(7, 0, *index)).is_empty());
    assert_eq!(away.count(), 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against tasks that run twice because a draining host that was cut off, with refused
/// connections, counted as one that had shut down.
#[test]
fn tasks_of_a_draining_host_that_is_cut_off_stay_there() {
    let mut world = deployment(2);
    let service = StepSpec {
        long_running: true,
        ..step(8, CORE)
    };
    world.submit(flow(7, vec![service], None));
    world.run_for(1_000);
    let cut = world.hosts_running(task(7, 0, 0))[0].clone();
    world.cut_draining_host(&cut, 8_000);
    assert_eq!(world.violations, Vec::<String>::new());
    // Once the leases have expired there, the tasks start elsewhere.
    world.run_for(LONG_LEASE_MS);
    let away = (0..8).filter(|index| world.hosts_running(task(7, 0, *index)).is_empty());
    assert_eq!(away.count(), 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn no_start_is_ordered_on_a_host_that_refuses_connections() {
    let mut world = deployment(2);
    world.submit(flow(7, vec![step(1, CORE)], None));
    world.run_for(50);
    let used = world.hosts_running(task(7, 0, 0))[0].clone();
    world.kill_host(&used);
    world.run_for(200);
    let refused = world.refused_starts;
    for at in 0..20 {
        world.submit(flow(100 + at, vec![step(1, CORE)], None));
        world.run_for(100);
    }
    assert_eq!(world.refused_starts, refused);
}

#[test]
fn a_queue_with_many_bad_jobs_costs_other_queues_little() {
    // A third of one queue's jobs crash their hosts for 10 s, and the owner is lost twice.
    let hosts = (0..24).map(|at| host(at, 8 * CORE)).collect();
    let mut rules = rules(3, Resources::UNBOUNDED);
    let other = QueueId::from("proofs");
    let base = Arc::clone(&rules.queues[&queue()]);
    rules.queues.insert(other.clone(), base);
    let mut world = World::new(3, hosts, rules, Faults::default());
    world.run_for(100);
    let mut bad = 0;
    for at in 0..250 {
        let proofs = Workflow {
            queue: other.clone(),
            ..flow(10_000 + at, vec![step(3, 2 * CORE)], None)
        };
        world.submit(proofs);
        world.submit(flow(1_000 + at, vec![step(4, CORE)], None));
        if at < 100 && at % 3 == 0 {
            world.make_deadly(task(1_000 + at, 0, 2));
            bad += 1;
        }
        if at == 30 || at == 60 {
            world.take_over();
        }
        world.run_for(100);
    }
    world.run_for(15_000);
    let is_proof = |name: &&wigeongate_core::workflow::TaskName| name.step.job.0 >= 10_000;
    let lost = world.crashes.iter().flat_map(|crash| &crash.neighbours);
    let lost = lost.filter(is_proof).count();
    let most_crashes = world
        .crashes
        .iter()
        .map(|crash| world.crashes_by(crash.cause))
        .max();
    assert!(
        world.crashes.len() <= HOSTS_PER_TASK * bad,
        "{}",
        world.crashes.len()
    );
    assert!(most_crashes <= Some(HOSTS_PER_TASK), "{most_crashes:?}");
    // Until two crashes point to the queue, its jobs run beside others.
    assert!(lost <= 20, "{lost} runs of the other queue were lost");
    assert_eq!(completed(&world, 10_000..10_250), 250);
    assert_eq!(completed(&world, 1_000..1_250), 250 - bad);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn tasks_of_hosts_that_are_lost_together_are_not_given_up() {
    // A zone loses power three times; young and old tasks run in it each time.
    let mut world = deployment(12);
    for at in 0..200 {
        world.submit(flow(100 + at, vec![step(2, CORE)], None));
        world.run_for(100);
        if at % 60 == 30 {
            for host in world.hosts_in_zone("a") {
                world.kill_host(&host);
            }
        }
    }
    world.run_for(8_000);
    assert_eq!(completed(&world, 100..300), 200);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_host_that_only_refuses_connections_for_a_while_condemns_no_task() {
    // The executor goes on behind a cut that refuses connections, three times while the same task
    // has just started.
    let mut world = deployment(1);
    for _ in 0..3 {
        world.submit(flow(world.now, vec![step(1, CORE)], None));
        world.run_for(60);
        world.refuse_connections(&HostId::from("w-0"), 400);
        world.run_for(2_000);
    }
    let jobs: Vec<u64> = world.submitted().collect();
    assert_eq!(completed(&world, jobs), 3);
    assert_eq!(world.starts, 3);
}

#[test]
fn a_suspect_that_only_the_crashed_machine_may_run_is_tried_there_again() {
    for gang in [false, true] {
        let mut hosts = vec![host(0, 8 * CORE), host(1, 8 * CORE)];
        hosts[0].labels.push("kind-b".to_owned());
        let rules = rules(3, Resources::UNBOUNDED);
        let mut world = World::new(1, hosts, rules, Faults::default());
        world.lease_ms = LONG_LEASE_MS;
        world.take_over();
        world.run_for(100);
        let only = StepSpec {
            requires: Some("kind-b".to_owned()),
            gang,
            ..step(1, CORE)
        };
        world.submit(flow(7, vec![only], None));
        world.run_for(60);
        world.kill_host(&HostId::from("w-0"));
        world.run_for(8_000);
        assert_eq!(world.status(7), Some(WorkflowStatus::Completed), "{gang}");
    }
}

#[test]
fn a_suspect_gets_a_host_although_those_that_are_isolated_do_not_suit_it() {
    // Two suspects have been tried on hosts that stay isolated for a while; the third needs a label
    // that these hosts do not have.
    let mut hosts: Vec<_> = (0..10).map(|at| host(at, 8 * CORE)).collect();
    for at in [8, 9] {
        hosts[at].labels.push("kind-b".to_owned());
    }
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.lease_ms = LONG_LEASE_MS;
    world.take_over();
    world.run_for(100);
    for (job, label, pause_ms) in [(1, None, 0), (2, None, 1_000), (3, Some("kind-b"), 0)] {
        let only = StepSpec {
            requires: label.map(str::to_owned),
            ..step(1, CORE)
        };
        world.submit(flow(job, vec![only], None));
        while world.hosts_running(task(job, 0, 0)).is_empty() {
            world.run_for(10);
        }
        let lost = world.hosts_running(task(job, 0, 0))[0].clone();
        world.kill_host(&lost);
        world.run_for(pause_ms);
    }
    world.run_for(8_000);
    assert_eq!(completed(&world, 1..4), 3);
}
