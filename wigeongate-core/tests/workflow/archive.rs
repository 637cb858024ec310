//! Which ended jobs are archived, when, and how many at a time.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Archive, EndedJobs, HostReport, Record, Running, WorkflowId, WorkflowScheduler,
    WorkflowSettings, WorkflowStatus,
};

use super::world::{flow, host, rules, step};
use super::{CORE, task};

/// The entries of a transaction beside its condition.
const LIMIT: usize = 31;

/// When the owner of these tests takes over.
const START: Millis = Millis(10_000);

fn scheduler() -> WorkflowScheduler {
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), START);
    scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
    scheduler
}

fn report(scheduler: &mut WorkflowScheduler, at: usize, report: HostReport, now: Millis) {
    let id = HostId::from(format!("w-{at}").as_str());
    let report = HostReport {
        boot_ms: 1,
        sent: now,
        lease: now + Millis(3_000),
        ..report
    };
    scheduler.apply_report(&id, &report, now, &mut Vec::new());
}

/// The jobs that are moved in a number of milliseconds, if each transaction takes effect at once.
fn moved(
    archive: &mut Archive,
    scheduler: &mut WorkflowScheduler,
    from: Millis,
    ms: u64,
) -> Vec<u64> {
    let mut moved = Vec::new();
    for at in 0..ms {
        let now = from + Millis(at);
        if let Some(transfer) = archive.begin(scheduler, LIMIT, now) {
            assert!(transfer.moves.len() * 2 + transfer.expired.len() <= LIMIT);
            let jobs = archive.finish(scheduler, true, now);
            moved.extend(jobs.iter().map(|job| job.0));
        }
    }
    moved
}

/// The state in which a job has ended, and when it is moved.
struct MoveCase {
    name: &'static str,
    /// Records of an earlier owner about job 1, beside its end.
    records: Vec<Record>,
    hosts: usize,
    /// Hosts that answer this owner.
    answering: usize,
    /// Whether a run of the job goes on on the first host.
    has_run: bool,
    /// The first of the looked at seconds after the takeover by which the job is moved.
    moved_s: Option<u64>,
}

#[test]
fn a_job_is_archived_once_nothing_can_be_learnt_of_it_any_more() {
    let lost = Record::Lost(task(1, 0, 0), 1);
    let cases = [
        MoveCase {
            name: "all hosts have answered",
            records: Vec::new(),
            hosts: 2,
            answering: 2,
            has_run: false,
            moved_s: Some(1),
        },
        MoveCase {
            name: "no host is listed yet",
            records: Vec::new(),
            hosts: 0,
            answering: 0,
            has_run: false,
            moved_s: Some(8),
        },
        MoveCase {
            name: "a host is silent until the leases of earlier owners are over",
            records: Vec::new(),
            hosts: 2,
            answering: 1,
            has_run: false,
            moved_s: Some(8),
        },
        MoveCase {
            name: "a run of the job was lost with its host",
            records: vec![lost],
            hosts: 1,
            answering: 1,
            has_run: false,
            moved_s: Some(32),
        },
        MoveCase {
            name: "a run of the job goes on",
            records: Vec::new(),
            hosts: 1,
            answering: 1,
            has_run: true,
            moved_s: None,
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let first = first_move(&case);
        if first != case.moved_s {
            failed.push((case.name, first));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// Returns the first of the looked at seconds after the takeover by which job 1 is moved.
fn first_move(case: &MoveCase) -> Option<u64> {
    let mut scheduler = scheduler();
    scheduler.restore(flow(1, vec![step(1, CORE)], None), START, Millis::ZERO);
    for record in &case.records {
        scheduler.replay(record, START);
    }
    let end = Record::Ended(WorkflowId(1), WorkflowStatus::Completed);
    scheduler.replay(&end, START);
    scheduler.finish_restore(START, &mut Vec::new());
    for at in 0..case.hosts {
        scheduler.list_host(host(at, 8 * CORE), START);
    }
    let mut archive = Archive::default();
    [1_u64, 8, 29, 32].into_iter().find(|second| {
        let now = START + Millis::from_secs(second - 1);
        for at in 0..case.answering {
            let run = Running {
                task: task(1, 0, 0),
                run: 1,
                checkpoint: String::new(),
            };
            let running = Vec::from_iter((case.has_run && at == 0).then_some(run));
            let state = HostReport {
                running,
                ..HostReport::default()
            };
            report(&mut scheduler, at, state, now);
        }
        !moved(&mut archive, &mut scheduler, now, 1_000).is_empty()
    })
}

/// Guards against jobs with evidence that pile up while the owner changes more often than each 30 s.
#[test]
fn a_bounded_number_of_jobs_is_kept_for_their_evidence() {
    let mut scheduler = scheduler();
    for id in 1..=600 {
        scheduler.restore(flow(id, vec![step(1, CORE)], None), START, Millis::ZERO);
        scheduler.replay(&Record::Lost(task(id, 0, 0), 1), START);
        let end = Record::Ended(WorkflowId(id), WorkflowStatus::Completed);
        scheduler.replay(&end, START);
    }
    scheduler.list_host(host(0, 8 * CORE), START);
    report(&mut scheduler, 0, HostReport::default(), START);
    let mut archive = Archive::default();
    let early = moved(&mut archive, &mut scheduler, START, 9_000);
    assert!(early.into_iter().eq(1..=88));
    let later = START + Millis::from_secs(30);
    let rest = moved(&mut archive, &mut scheduler, later, 9_000);
    assert!(rest.into_iter().eq(89..=600));
}

/// A number of ended jobs, and how many transactions they take.
struct BacklogCase {
    jobs: u64,
    /// The time in which all of them are to be moved, in milliseconds.
    within_ms: u64,
}

/// Guards against ended jobs that end faster than they are archived.
#[test]
fn a_backlog_is_archived_at_more_than_300_jobs_a_second() {
    for case in [
        BacklogCase {
            jobs: 10,
            within_ms: 1_000,
        },
        BacklogCase {
            jobs: 3_000,
            within_ms: 8_000,
        },
    ] {
        let mut scheduler = scheduler();
        for id in 1..=case.jobs {
            scheduler.restore(flow(id, vec![step(1, CORE)], None), START, Millis::ZERO);
            let end = Record::Ended(WorkflowId(id), WorkflowStatus::Completed);
            scheduler.replay(&end, START);
        }
        // As many others expire meanwhile.
        for id in 1..=case.jobs {
            let age = Millis::from_secs(200);
            let ended = scheduler.ended_jobs_mut();
            ended.add(
                WorkflowId(id + case.jobs),
                WorkflowStatus::Failed,
                START,
                age,
            );
        }
        scheduler.list_host(host(0, 8 * CORE), START);
        report(&mut scheduler, 0, HostReport::default(), START);
        let mut archive = Archive::default();
        let from = START + Millis(1);
        let moved = moved(&mut archive, &mut scheduler, from, case.within_ms);
        assert_eq!(moved.len() as u64, case.jobs);
        assert!(moved.is_sorted());
        assert_eq!(scheduler.ended_jobs().count() as u64, case.jobs);
    }
}

/// An archived job and when it expires.
struct AgeCase {
    name: &'static str,
    age_s: u64,
    /// The time after which it is not expired yet, and that after which it is, in seconds.
    expires_s: (u64, u64),
}

#[test]
fn the_age_of_an_archived_job_survives_a_takeover() {
    let cases = [
        AgeCase {
            name: "it has just ended, or ends in the future",
            age_s: 0,
            expires_s: (149, 151),
        },
        AgeCase {
            name: "it ended before this host started",
            age_s: 100,
            expires_s: (49, 51),
        },
        AgeCase {
            name: "its retention was over before the takeover",
            age_s: 1_000,
            expires_s: (0, 1),
        },
    ];
    for case in cases {
        let now = Millis(1_000);
        let mut ended = EndedJobs::new(Millis::from_secs(150));
        let status = WorkflowStatus::Cancelled;
        ended.add(WorkflowId(1), status, now, Millis::from_secs(case.age_s));
        // What is read again changes nothing.
        ended.add(WorkflowId(1), WorkflowStatus::Failed, now, Millis::ZERO);
        let (before, after) = case.expires_s;
        let expired = |at| ended.expired(now + Millis::from_secs(at), 9).len();
        assert_eq!((expired(before), expired(after)), (0, 1), "{}", case.name);
        assert_eq!(ended.status(WorkflowId(1)), Some(status), "{}", case.name);
        ended.remove(&[WorkflowId(1)]);
        assert_eq!(ended.status(WorkflowId(1)), None, "{}", case.name);
        assert_eq!(ended.count(), 0, "{}", case.name);
    }
}
