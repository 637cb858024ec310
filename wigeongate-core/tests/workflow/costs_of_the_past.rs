//! What the owner keeps and visits follows the open work, not what has been.

use std::sync::Arc;

use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Record, Repeat, StepSpec, Workflow, WorkflowId, WorkflowScheduler, WorkflowSettings,
    WorkflowStatus,
};

use crate::CORE;
use crate::world::{flow, rules, step};

const NOW: Millis = Millis(10_000);

fn scheduler() -> WorkflowScheduler {
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), NOW);
    scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
    scheduler
}

fn single(id: u64) -> Workflow {
    flow(id, vec![step(1, CORE)], None)
}

/// Guards against replays that scanned the steps of all stored jobs for each ended one.
#[test]
fn steps_of_stored_jobs_are_not_ready_before_their_ends_are_read() {
    let (ended, open) = (200, 3);
    let mut scheduler = scheduler();
    for id in 0..ended + open {
        scheduler.restore(single(id), NOW, Millis::ZERO);
    }
    assert_eq!(scheduler.waiting_steps(), (0, 0));
    for id in 0..ended {
        let record = Record::Ended(WorkflowId(id), WorkflowStatus::Completed);
        scheduler.replay(&record, NOW);
    }
    scheduler.finish_restore(NOW, &mut Vec::new());
    assert_eq!(scheduler.waiting_steps(), (3, 0));
}

/// A job that is cancelled beside another one, and the steps that wait before.
struct EndCase {
    name: &'static str,
    job: Workflow,
    waiting: (usize, usize),
}

#[test]
fn the_steps_of_an_ended_job_wait_no_more() {
    let steps = || {
        let second = StepSpec {
            after: vec![0],
            ..step(1, CORE)
        };
        vec![step(2, CORE), step(1, CORE), second]
    };
    let repeat = Repeat {
        first: 0,
        interval: Millis(1_000),
        count: 3,
    };
    let cases = [
        EndCase {
            name: "at once",
            job: flow(2, steps(), None),
            waiting: (2, 0),
        },
        EndCase {
            name: "at several times",
            job: flow(2, steps(), Some(repeat)),
            waiting: (2, 4),
        },
    ];
    for case in cases {
        let mut scheduler = scheduler();
        for id in [1, 3] {
            scheduler.submit(single(id), NOW, Millis::ZERO);
        }
        scheduler.submit(case.job, NOW, Millis::ZERO);
        let (ready, due) = case.waiting;
        assert_eq!(scheduler.waiting_steps(), (2 + ready, due), "{}", case.name);
        scheduler.cancel(WorkflowId(2), NOW, &mut Vec::new());
        assert_eq!(scheduler.waiting_steps(), (2, 0), "{}", case.name);
    }
}
