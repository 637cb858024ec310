//! A store that holds more jobs than their owner has memory for.

use std::sync::Arc;

use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, DeferredJobs, HostReport, Intake, JobSelection, Record, StoredJob, Submission,
    WorkflowId, WorkflowScheduler, WorkflowSettings, WorkflowSpec, WorkflowStatus, job_bytes,
};

use super::world::{flow, host, queue, rules, step};
use super::{CORE, place, task};

const NOW: Millis = Millis(10_000);

/// The revision of the store when it was read.
const READ: u64 = 50;

/// Returns a stored job with this accepted time.
fn stored(id: u64, accepted: u64) -> StoredJob {
    let mut flow = flow(id, vec![step(1, CORE)], None);
    flow.accepted = accepted;
    flow.spec = Arc::new(WorkflowSpec {
        command: "x".repeat(10_000),
        ..(*flow.spec).clone()
    });
    StoredJob { flow, revision: id }
}

fn held(jobs: &[StoredJob]) -> Vec<u64> {
    jobs.iter().map(|job| job.flow.id.0).collect()
}

/// A log, the stored jobs with their priorities, and those that a new owner holds.
struct Case {
    name: &'static str,
    log: Vec<Record>,
    /// Identifier, accepted time and priority.
    jobs: Vec<(u64, u64, u32)>,
    /// The number of jobs for which there is memory.
    room: u64,
    held: &'static [u64],
}

/// Guards against new owners that read more than they can hold and end, one after the other.
#[test]
fn a_new_owner_holds_what_has_begun_and_then_the_most_valuable_jobs() {
    let begun = |id| Record::Begun(WorkflowId(id));
    let ended = |id| Record::Ended(WorkflowId(id), WorkflowStatus::Completed);
    let cases = [
        Case {
            name: "room for all",
            log: Vec::new(),
            jobs: vec![(1, 30, 1), (2, 20, 1), (3, 10, 1)],
            room: 3,
            held: &[3, 2, 1],
        },
        Case {
            name: "the oldest first",
            log: Vec::new(),
            jobs: vec![(1, 30, 1), (2, 20, 1), (3, 10, 1)],
            room: 2,
            held: &[3, 2],
        },
        Case {
            name: "urgent queues first",
            log: Vec::new(),
            jobs: vec![(1, 30, 0), (2, 20, 1), (3, 10, 1)],
            room: 2,
            held: &[3, 1],
        },
        Case {
            name: "what has begun before all others",
            log: vec![begun(1), Record::Done(task(2, 0, 0))],
            jobs: vec![(1, 40, 1), (2, 30, 1), (3, 10, 0), (4, 20, 0)],
            room: 3,
            held: &[3, 2, 1],
        },
        Case {
            name: "more has begun than there is room for",
            log: vec![begun(1), begun(2)],
            jobs: vec![(1, 40, 1), (2, 30, 1), (3, 10, 0)],
            room: 1,
            held: &[2, 1],
        },
        Case {
            name: "what has ended takes no room of the others",
            log: vec![ended(1), ended(2)],
            jobs: vec![(1, 40, 1), (2, 30, 1), (3, 10, 1), (4, 20, 1)],
            room: 1,
            held: &[3, 2, 1],
        },
        Case {
            name: "no room",
            log: Vec::new(),
            jobs: vec![(1, 30, 1), (2, 20, 1)],
            room: 0,
            held: &[],
        },
    ];
    for case in cases {
        let bytes = job_bytes(&stored(1, 0).flow);
        let mut selection = JobSelection::new(case.room * bytes);
        case.log
            .iter()
            .for_each(|record| selection.add_record(record));
        let jobs = case.jobs.len();
        for (id, accepted, priority) in case.jobs {
            selection.add(stored(id, accepted), priority);
        }
        let (kept, deferred) = selection.finish();
        assert_eq!(held(&kept), case.held, "{}", case.name);
        assert_eq!(deferred.len(), jobs - kept.len(), "{}", case.name);
    }
}

fn deferred(count: u64) -> DeferredJobs {
    let mut selection = JobSelection::new(0);
    for id in 1..=count {
        selection.add(stored(id, 100 - id), 1);
    }
    selection.finish().1
}

/// Guards against jobs that are read faster than others end, out of their order, or not again after a
/// read without an answer.
#[test]
fn deferred_jobs_are_read_in_their_order_as_far_as_there_is_room() {
    let bytes = job_bytes(&stored(1, 0).flow);
    let mut jobs = deferred(20);
    assert_eq!(jobs.bytes(), 20 * bytes);
    assert_eq!(jobs.queued(&queue()), 20);
    let ids = |ids: &[u64]| ids.iter().copied().map(WorkflowId).collect::<Vec<_>>();
    assert_eq!(jobs.begin_reads(0, false), ids(&[]));
    // The job that was accepted first has the highest identifier.
    assert_eq!(jobs.begin_reads(2 * bytes, false), ids(&[20, 19]));
    assert_eq!(jobs.begin_reads(2 * bytes, false), ids(&[]));
    assert_eq!(jobs.begin_reads(3 * bytes, false), ids(&[18]));
    jobs.fail_read(WorkflowId(19));
    assert_eq!(jobs.begin_reads(3 * bytes, false), ids(&[19]));
    assert!(jobs.remove(WorkflowId(20)));
    assert!(!jobs.remove(WorkflowId(20)));
    assert_eq!(jobs.queued(&queue()), 19);
    assert_eq!(jobs.begin_reads(u64::MAX, false).len(), 6);
    for id in 1..20 {
        assert!(jobs.remove(WorkflowId(id)));
    }
    assert!(jobs.is_empty() && jobs.bytes() == 0 && jobs.queued(&queue()) == 0);
}

/// Guards against a job that no owner holds since it is larger than what is left.
#[test]
fn a_deferred_job_that_never_fits_is_read_once_nothing_else_is_held() {
    let mut jobs = deferred(3);
    assert!(jobs.begin_reads(1, false).is_empty());
    assert_eq!(jobs.begin_reads(1, true), [WorkflowId(3)]);
    assert!(jobs.begin_reads(1, true).is_empty(), "one at a time");
}

/// Guards against deferred jobs that are taken for removed ones, and run numbers that an earlier owner
/// has used.
#[test]
fn a_deferred_job_is_added_once_and_numbers_its_runs_anew() {
    let settings = WorkflowSettings {
        epoch: 3,
        ..WorkflowSettings::default()
    };
    let mut scheduler = WorkflowScheduler::new(settings, NOW);
    scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
    let mut intake = Intake::new(READ);
    intake.defer(deferred(2));
    let mut add = |id| {
        let job = stored(id, 0);
        intake.add(&mut scheduler, job, NOW, Millis::ZERO)
    };
    assert_eq!(add(7), Submission::Removed);
    assert_eq!(add(2), Submission::Added);
    assert_eq!(add(2), Submission::Known);
    assert_eq!(intake.deferred().len(), 1);
    assert_eq!(
        scheduler.status(WorkflowId(2)),
        Some(WorkflowStatus::Queued)
    );
    scheduler.list_host(host(0, 8 * CORE), NOW);
    let report = HostReport {
        boot_ms: 1,
        sent: NOW,
        lease: NOW + Millis(3_000),
        ..HostReport::default()
    };
    let mut actions = Vec::new();
    scheduler.apply_report(&"w-0".into(), &report, NOW, &mut actions);
    place(&mut scheduler, NOW, &mut actions);
    let runs: Vec<u32> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Start(order) => Some(order.run),
            _ => None,
        })
        .collect();
    assert_eq!(runs, [2_001]);
}
