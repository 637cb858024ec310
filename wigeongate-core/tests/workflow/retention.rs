//! Ended jobs stay known until the store no longer holds them, and never run again.

use std::sync::Arc;

use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Archive, Intake, Record, StoredJob, Submission, Transfer, WorkflowId, WorkflowScheduler,
    WorkflowSettings, WorkflowStatus,
};

use crate::CORE;
use crate::world::{flow, rules, step};

/// The most entries of a transaction in these tests.
const LIMIT: usize = 31;

/// When the jobs of these tests ended.
const ENDED: Millis = Millis(1_000);

/// A scheduler whose jobs ended so long ago that their retention has expired.
fn ended_scheduler(jobs: &[u64]) -> WorkflowScheduler {
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), ENDED);
    scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
    for id in jobs {
        scheduler.restore(flow(*id, vec![step(1, CORE)], None), ENDED, Millis::ZERO);
        let record = Record::Ended(WorkflowId(*id), WorkflowStatus::Completed);
        scheduler.replay(&record, ENDED);
    }
    scheduler.finish_restore(ENDED, &mut Vec::new());
    scheduler
}

/// The jobs that a transaction moves, and those whose ends it removes.
fn jobs_of(transfer: Option<&Transfer>) -> Option<(Vec<u64>, Vec<u64>)> {
    let transfer = transfer?;
    let moved = transfer.moves.iter().map(|it| it.job.0).collect();
    let expired = transfer.expired.iter().map(|job| job.0).collect();
    Some((moved, expired))
}

/// How the store answers the transactions about a job that has ended.
struct RemovalCase {
    name: &'static str,
    is_moved: bool,
    is_removed: bool,
    /// The status that the job has afterwards.
    status: Option<WorkflowStatus>,
    /// What becomes of the job if a gate that has read it from the store submits it.
    submission: Submission,
}

/// Guards against review/2: ended jobs ran again after the store had refused to remove their keys.
#[test]
fn an_expired_job_stays_known_until_its_key_is_removed() {
    let cases = [
        RemovalCase {
            name: "the store refuses to move the job, or does not answer",
            is_moved: false,
            is_removed: false,
            status: Some(WorkflowStatus::Completed),
            submission: Submission::Known,
        },
        RemovalCase {
            name: "the store refuses to remove its end, or does not answer",
            is_moved: true,
            is_removed: false,
            status: Some(WorkflowStatus::Completed),
            submission: Submission::Known,
        },
        RemovalCase {
            name: "the store removes the end, and a gate had read the job before",
            is_moved: true,
            is_removed: true,
            status: None,
            submission: Submission::Removed,
        },
    ];
    for case in cases {
        let mut now = Millis(200_000);
        let mut scheduler = ended_scheduler(&[1]);
        let mut intake = Intake::new(100);
        let mut archive = Archive::default();
        let moved = archive.begin(&mut scheduler, LIMIT, now);
        assert_eq!(jobs_of(moved), Some((vec![1], vec![])), "{}", case.name);
        // A caller may ask while the transaction is in progress.
        assert!(scheduler.status(WorkflowId(1)).is_some(), "{}", case.name);
        archive.finish(&mut scheduler, case.is_moved, now);
        now += Millis(500);
        let next = jobs_of(archive.begin(&mut scheduler, LIMIT, now));
        let expected = if case.is_moved {
            (vec![], vec![1])
        } else {
            (vec![1], vec![])
        };
        assert_eq!(next, Some(expected), "{}", case.name);
        assert!(scheduler.status(WorkflowId(1)).is_some(), "{}", case.name);
        archive.finish(&mut scheduler, case.is_removed, now);
        let status = scheduler.status(WorkflowId(1));
        assert_eq!(status, case.status, "{}", case.name);
        let job = StoredJob {
            flow: flow(1, vec![step(1, CORE)], None),
            revision: 90,
        };
        let submission = intake.add(&mut scheduler, job, now, Millis::ZERO);
        assert_eq!(submission, case.submission, "{}", case.name);
        assert_eq!(scheduler.open_jobs(), 0, "{}", case.name);
    }
}

/// A gate may submit a job that it stored after the owner last read the accepted jobs.
#[test]
fn an_archived_job_that_is_submitted_again_does_not_start() {
    let now = Millis(20_000);
    let mut scheduler = ended_scheduler(&[1]);
    let mut archive = Archive::default();
    assert!(archive.begin(&mut scheduler, LIMIT, now).is_some());
    archive.finish(&mut scheduler, true, now);
    assert!(!scheduler.has_job(WorkflowId(1)));
    let job = StoredJob {
        flow: flow(1, vec![step(1, CORE)], None),
        revision: 90,
    };
    let submission = Intake::new(80).add(&mut scheduler, job, now, Millis::ZERO);
    assert_eq!(submission, Submission::Known);
    let cancelled = scheduler.cancel(WorkflowId(1), now, &mut Vec::new());
    assert!(cancelled.is_some_and(|number| scheduler.is_written(number)));
    assert_eq!(scheduler.open_jobs(), 0);
    assert_eq!(
        scheduler.status(WorkflowId(1)),
        Some(WorkflowStatus::Completed)
    );
}

#[test]
fn a_refused_move_is_tried_again() {
    let mut now = Millis(200_000);
    let mut scheduler = ended_scheduler(&[1, 2]);
    let mut archive = Archive::default();
    let mut moved = Vec::new();
    // Every second transaction is refused; each moves one job.
    for turn in 0..8 {
        now += Millis(500);
        let is_confirmed = turn % 2 == 1;
        if let Some(transfer) = archive.begin(&mut scheduler, 2, now).cloned() {
            let again = archive.begin(&mut scheduler, 2, now + Millis(10_000));
            assert_eq!(again, None, "one at a time");
            let jobs = archive.finish(&mut scheduler, is_confirmed, now);
            let wanted = if is_confirmed {
                transfer.moves.len()
            } else {
                0
            };
            assert_eq!(jobs.len(), wanted);
            moved.extend(jobs.iter().map(|job| job.0));
        }
    }
    assert_eq!(moved, [1, 2]);
}
