//! Jobs whose queue is removed from the configuration run to their end under the rules that they
//! were accepted with.

use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::{Rules, RunOutcome, StepSpec, WorkflowStatus};

use crate::world::{ATTEMPTS, Faults, World, flow, host, queue, rules, step};
use crate::{CORE, task};

/// What happens after the queue is removed.
struct Case {
    name: &'static str,
    owner_changes: bool,
    queue_returns: bool,
    /// How many runs of a task fail.
    failures: u32,
    status: WorkflowStatus,
}

/// The rules in force, without the queue.
fn without_queue() -> Rules {
    let mut rules = rules(ATTEMPTS, Resources::UNBOUNDED);
    rules.queues.remove(&queue());
    rules
}

/// Guards against review/3: after a change of the owner, jobs of a removed queue stood still, or were
/// given up after their first failed run.
#[test]
fn jobs_of_a_removed_queue_run_on_under_any_owner() {
    let mut cases = Vec::new();
    for (owner_changes, queue_returns) in [(false, false), (true, false), (true, true)] {
        cases.push(Case {
            name: "fewer failures than the queue allows",
            owner_changes,
            queue_returns,
            failures: ATTEMPTS - 1,
            status: WorkflowStatus::Completed,
        });
        cases.push(Case {
            name: "as many failures as the queue allows",
            owner_changes,
            queue_returns,
            failures: ATTEMPTS,
            status: WorkflowStatus::Failed,
        });
    }
    for case in cases {
        let name = format!(
            "{}; owner changes: {}, queue returns: {}",
            case.name, case.owner_changes, case.queue_returns
        );
        let hosts = (0..2).map(|at| host(at, 8 * CORE)).collect();
        let rules_before = rules(ATTEMPTS, Resources::UNBOUNDED);
        let mut world = World::new(1, hosts, rules_before, Faults::default());
        world.run_for(100);
        let second = StepSpec {
            after: vec![0],
            ..step(2, CORE)
        };
        world.submit(flow(1, vec![step(2, CORE), second], None));
        world.submit(flow(2, vec![step(1, CORE)], None));
        world.run_for(100);
        world.configure(without_queue());
        if case.owner_changes {
            world.take_over();
        }
        for _ in 0..case.failures {
            for _ in 0..100 {
                if world.hosts_running(task(2, 0, 0)).is_empty() {
                    world.run_for(10);
                }
            }
            world.end_run(task(2, 0, 0), RunOutcome::Failed);
            world.run_for(60);
        }
        if case.queue_returns {
            world.configure(rules(ATTEMPTS, Resources::UNBOUNDED));
        }
        world.run_for(5_000);
        assert_eq!(world.status(1), Some(WorkflowStatus::Completed), "{name}");
        assert_eq!(world.status(2), Some(case.status), "{name}");
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
    }
}
