//! A new owner continues a job from its recorded progress without running an ended task again.

use std::sync::Arc;

use uuid::Uuid;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{JobId, PoolId, TaskId};
use wigeongate_core::job::{Job, JobSpec, Kind, Outcome, Progress, TaskAttempts, TaskRange};
use wigeongate_core::policy::{Policy, Queue, Team, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{
    Action, Event, Phase, Report, Scheduler, SchedulerSettings, Start, TaskReport,
};
use wigeongate_core::time::Millis;

const CORE: Resources = Resources {
    cpu: 1_000,
    memory: 1_024,
    accelerators: 0,
};

fn policy() -> Arc<Policy> {
    let worker = Worker {
        host: "w".into(),
        pool: "p".into(),
        rack: "r".into(),
        zone: "z".into(),
        region: "g".into(),
        capacity: CORE.times(8),
    };
    let team = Team {
        share: 1,
        limit: Resources::UNBOUNDED,
        slots: 1,
    };
    let queue = Queue {
        kind: Kind::Batch,
        team: None,
        bound: 10,
        attempts: 5,
    };
    Arc::new(Policy {
        workers: HashMap::from_iter([("w".into(), Arc::new(worker))]),
        teams: HashMap::from_iter([("t".into(), team)]),
        queues: HashMap::from_iter([("q".into(), queue)]),
        ..Policy::default()
    })
}

fn job(tasks: u32) -> Job {
    Job {
        id: JobId(Uuid::from_u128(7)),
        team: "t".into(),
        kind: Kind::Batch,
        spec: JobSpec {
            queue: "q".into(),
            tasks,
            size: CORE,
            ..JobSpec::default()
        },
        accepted: 0,
    }
}

/// An owner of the pool, with a scheduler that waits for the restore of earlier jobs.
struct PoolOwner {
    scheduler: Scheduler,
    now: Millis,
}

impl PoolOwner {
    fn new() -> Self {
        let scheduler = Scheduler::new(SchedulerSettings {
            pool: Some(PoolId::from("p")),
            awaits_restore: true,
            ..SchedulerSettings::default()
        });
        let mut owner = Self {
            scheduler,
            now: Millis(1_000),
        };
        owner.handle(Event::Policy(policy()));
        let slices = HashMap::from_iter([("t".into(), Resources::UNBOUNDED)]);
        owner.handle(Event::Slices(Arc::new(slices)));
        owner
    }

    /// Handles an event and a tick, 5 s after the last ones.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.now += Millis(5_000);
        self.scheduler.handle(self.now, event, &mut actions);
        self.scheduler.handle(self.now, Event::Tick, &mut actions);
        actions
    }

    fn report(&mut self, full: bool, tasks: Vec<TaskReport>) -> Vec<Action> {
        self.handle(Event::Report(Report {
            host: "w".into(),
            full,
            tasks,
            ..Report::default()
        }))
    }
}

/// Returns the index and the attempt of each started task, sorted.
fn starts(actions: &[Action]) -> Vec<(u32, u32)> {
    let start = |action: &Action| match action {
        Action::Start(Start { task, attempt, .. }) => Some((task.index, *attempt)),
        _ => None,
    };
    let mut starts: Vec<_> = actions.iter().filter_map(start).collect();
    starts.sort_unstable();
    starts
}

fn task_report(index: u32, attempt: u32, phase: Phase) -> TaskReport {
    TaskReport {
        task: TaskId {
            job: job(1).id,
            index,
        },
        attempt,
        size: CORE,
        usage: CORE,
        phase,
    }
}

#[test]
fn a_new_owner_does_not_rerun_ended_tasks_and_continues_attempt_numbers() {
    let mut first = PoolOwner::new();
    first.handle(Event::Restored);
    first.report(true, Vec::new());
    let actions = first.handle(Event::Submit(job(4)));
    assert_eq!(starts(&actions), [(0, 1), (1, 1), (2, 1), (3, 1)]);
    let ends = vec![
        task_report(0, 1, Phase::Succeeded),
        task_report(1, 1, Phase::Succeeded),
        task_report(3, 1, Phase::Failed("1".to_owned())),
    ];
    first.report(false, ends);
    let progress = first
        .scheduler
        .progress(job(4).id)
        .expect("the job is known");
    assert_eq!(progress.succeeded, [TaskRange { first: 0, last: 1 }]);
    assert_eq!(progress.attempts, [TaskAttempts { index: 3, made: 1 }]);

    let mut next = PoolOwner::new();
    next.handle(Event::RecordedProgress(job(4).id, progress));
    next.handle(Event::Restore(job(4)));
    let actions = next.handle(Event::Restored);
    assert_eq!(
        starts(&actions),
        [],
        "nothing starts before the worker has reported"
    );
    let actions = next.report(true, vec![task_report(2, 1, Phase::Running)]);
    assert_eq!(starts(&actions), [(3, 2)]);
}

#[test]
fn a_restored_job_whose_tasks_have_all_ended_ends_at_once() {
    let mut next = PoolOwner::new();
    let mut progress = Progress::default();
    progress.record_success(0);
    progress.record_success(1);
    next.handle(Event::RecordedProgress(job(2).id, progress));
    let actions = next.handle(Event::Restore(job(2)));
    let ended = Action::Ended {
        job: job(2).id,
        outcome: Outcome::Succeeded,
    };
    assert_eq!(actions, [ended]);
}

#[test]
fn a_withdrawn_job_is_forgotten_and_can_be_restored() {
    let mut owner = PoolOwner::new();
    owner.handle(Event::Restored);
    owner.handle(Event::Submit(job(2)));
    owner.handle(Event::Withdraw(job(2).id));
    assert_eq!(owner.scheduler.status(job(2).id), None);
    let actions = owner.report(true, Vec::new());
    assert_eq!(starts(&actions), []);
    let actions = owner.handle(Event::Restore(job(2)));
    assert_eq!(starts(&actions), [(0, 1), (1, 1)]);
}
