//! Single cases of the scheduler: reports out of order, restore, preemption, pauses and faulty
//! workers.

use std::sync::Arc;

use uuid::Uuid;
use wigeongate_core::ids::{JobId, TaskId};
use wigeongate_core::job::{Job, JobSpec, JobState, Kind, Outcome};
use wigeongate_core::policy::{Policy, Queue, Rules, Team, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{
    Action, Event, HeldAction, Phase, Report, Scheduler, Start, TaskControl, TaskReport, Wait,
};
use wigeongate_core::time::Millis;

const CORE: Resources = Resources {
    cpu: 1_000,
    memory: 1_024,
    accelerators: 0,
};

/// A scheduler with its policy and clock, and the actions that it returned.
struct TestPool {
    scheduler: Scheduler,
    policy: Policy,
    now: Millis,
    actions: Vec<Action>,
}

impl TestPool {
    /// Creates a pool of workers with four cores each, each in a zone of its own.
    fn new(workers: u32) -> Self {
        let worker = |index: u32| Worker {
            host: host(index),
            pool: "pool".into(),
            rack: format!("rack-{index}").into(),
            zone: format!("zone-{index}").into(),
            region: "region".into(),
            capacity: CORE.times(4),
        };
        let team = |share| Team {
            share,
            limit: CORE.times(1_000),
            slots: 1,
        };
        let queue = |kind| Queue {
            kind,
            team: None,
            bound: 100,
            attempts: 3,
        };
        let kinds = [Kind::Service, Kind::Batch, Kind::Gang];
        let policy = Policy {
            workers: (0..workers)
                .map(|index| (host(index), Arc::new(worker(index))))
                .collect(),
            teams: [("one".into(), team(1)), ("two".into(), team(1))]
                .into_iter()
                .collect(),
            queues: kinds
                .map(|kind| (kind.to_string().into(), queue(kind)))
                .into_iter()
                .collect(),
            rules: Rules::default(),
            ..Policy::default()
        };
        let mut pool = Self {
            scheduler: Scheduler::default(),
            policy,
            now: Millis(1),
            actions: Vec::new(),
        };
        pool.configure();
        for index in 0..workers {
            pool.event(Event::Report(Report {
                host: host(index),
                full: true,
                ..Report::default()
            }));
        }
        pool
    }

    fn configure(&mut self) {
        self.event(Event::Policy(Arc::new(self.policy.clone())));
    }

    fn event(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.actions);
    }

    fn tick(&mut self, millis: u64) {
        self.now = Millis(self.now.0 + millis);
        self.event(Event::Tick);
    }

    fn submit(&mut self, number: u128, team: &str, kind: Kind, spec: JobSpec) -> JobId {
        let id = JobId(Uuid::from_u128(number));
        self.event(Event::Submit(Job {
            id,
            team: team.into(),
            kind,
            spec: JobSpec {
                queue: kind.to_string().into(),
                ..spec
            },
            accepted: 0,
        }));
        id
    }

    fn starts(&mut self) -> Vec<Start> {
        let start = |action: Action| match action {
            Action::Start(start) => Some(start),
            _ => None,
        };
        std::mem::take(&mut self.actions)
            .into_iter()
            .filter_map(start)
            .collect()
    }

    fn controls(&mut self) -> Vec<(TaskId, TaskControl)> {
        let control = |action: Action| match action {
            Action::Control { task, control, .. } => Some((task, control)),
            _ => None,
        };
        std::mem::take(&mut self.actions)
            .into_iter()
            .filter_map(control)
            .collect()
    }

    fn report(&mut self, start: &Start, seq: u64, phase: Phase) {
        self.event(Event::Report(Report {
            host: start.host.clone(),
            incarnation: 1,
            seq,
            tasks: vec![TaskReport {
                task: start.task,
                attempt: start.attempt,
                size: start.size,
                usage: start.size,
                phase,
            }],
            ..Report::default()
        }));
    }

    fn running(&self, team: &str) -> Resources {
        self.scheduler.running(&team.into())
    }
}

fn host(index: u32) -> wigeongate_core::ids::HostId {
    format!("worker-{index}").into()
}

fn size(cores: u64) -> JobSpec {
    JobSpec {
        size: CORE.times(cores),
        ..JobSpec::default()
    }
}

#[test]
fn full_report_frees_only_starts_that_the_worker_had_received() {
    struct Case {
        last_order: u64,
        reserved: Resources,
    }
    for case in [
        Case {
            last_order: 0,
            reserved: CORE,
        },
        Case {
            last_order: 1,
            reserved: CORE,
        },
    ] {
        let mut pool = TestPool::new(1);
        pool.submit(1, "one", Kind::Batch, size(1));
        let first = pool.starts();
        pool.event(Event::Report(Report {
            host: host(0),
            full: true,
            last_order: case.last_order,
            ..Report::default()
        }));
        let again = pool.starts();
        assert_eq!(first[0].order, 1);
        assert_eq!(again.len(), usize::from(case.last_order == 1));
        assert_eq!(pool.running("one"), case.reserved);
    }
}

#[test]
fn stale_report_of_an_ended_task_reserves_nothing() {
    let mut pool = TestPool::new(1);
    pool.submit(1, "one", Kind::Batch, size(1));
    let start = pool.starts().remove(0);
    pool.report(&start, 5, Phase::Succeeded);
    pool.report(&start, 3, Phase::Running);
    assert_eq!(pool.running("one"), Resources::ZERO);
    assert!(pool.controls().is_empty());
}

#[test]
fn restored_job_waits_until_workers_that_may_run_it_settle() {
    let mut pool = TestPool::new(1);
    pool.policy.workers.insert(
        host(9),
        Arc::new(Worker {
            host: host(9),
            ..Worker::clone(&pool.policy.workers[&host(0)])
        }),
    );
    pool.configure();
    let job = Job {
        id: JobId(Uuid::from_u128(1)),
        team: "one".into(),
        kind: Kind::Batch,
        spec: JobSpec {
            queue: "batch".into(),
            ..size(1)
        },
        accepted: 0,
    };
    pool.event(Event::Restore(job.clone()));
    assert!(pool.starts().is_empty());
    let waits = pool.scheduler.explain(job.id).map(|why| why.waits);
    assert!(waits.is_some_and(|waits| waits.contains(&Wait::Unsettled)));
    pool.event(Event::WorkerLost(host(9)));
    assert_eq!(pool.starts().len(), 1);
}

#[test]
fn urgent_work_preempts_by_checkpoint_then_throttle_then_stop() {
    let mut pool = TestPool::new(1);
    pool.submit(1, "one", Kind::Batch, size(4));
    let long = pool.starts().remove(0);
    let urgent = JobSpec {
        urgent: true,
        ..size(4)
    };
    pool.submit(2, "two", Kind::Batch, urgent);
    let mut orders = Vec::new();
    for _ in 0..40 {
        pool.tick(100);
        orders.extend(pool.controls().into_iter().map(|(_, control)| control));
    }
    assert_eq!(
        orders,
        [
            TaskControl::Checkpoint,
            TaskControl::Throttle,
            TaskControl::Stop
        ]
    );
    assert_eq!(pool.running("two"), Resources::ZERO);
    pool.report(&long, 2, Phase::Stopped);
    assert_eq!(pool.starts()[0].task.job, JobId(Uuid::from_u128(2)));
}

#[test]
fn pause_holds_back_preemption_and_lists_it() {
    let mut pool = TestPool::new(1);
    pool.policy.paused = true;
    pool.configure();
    pool.submit(1, "one", Kind::Batch, size(4));
    assert_eq!(pool.starts().len(), 1);
    let urgent = JobSpec {
        urgent: true,
        ..size(4)
    };
    let id = pool.submit(2, "two", Kind::Batch, urgent);
    pool.tick(1_000);
    assert!(pool.controls().is_empty());
    let held: Vec<HeldAction> = pool
        .scheduler
        .held()
        .map(|(held, _)| held.clone())
        .collect();
    assert_eq!(held, [HeldAction::Preempt(id)]);
    pool.policy.paused = false;
    pool.configure();
    pool.tick(1_000);
    assert_eq!(pool.controls()[0].1, TaskControl::Checkpoint);
}

#[test]
fn job_that_can_never_run_is_refused_with_the_nearest_size() {
    let mut pool = TestPool::new(2);
    let unfit = pool.scheduler.fits(&JobSpec {
        queue: "batch".into(),
        ..size(9)
    });
    assert_eq!(unfit.map_err(|unfit| unfit.nearest), Err(CORE.times(4)));
    let gang = JobSpec {
        queue: "gang".into(),
        tasks: 3,
        ..size(4)
    };
    let unfit = pool.scheduler.fits(&gang);
    assert_eq!(unfit.map_err(|unfit| unfit.tasks), Err(2));
    let id = pool.submit(1, "one", Kind::Batch, size(9));
    let state = pool.scheduler.status(id).map(|status| status.state);
    assert!(matches!(state, Some(JobState::Ended(Outcome::Refused(_)))));
}

#[test]
fn worker_that_fails_several_jobs_is_set_aside_and_the_jobs_keep_their_attempts() {
    let mut pool = TestPool::new(1);
    pool.policy.rules.worker_rest = Millis(5_000);
    pool.configure();
    for number in 1..=3 {
        pool.submit(number, "one", Kind::Batch, size(1));
    }
    let failed = "the program returned 1".to_owned();
    for (seq, start) in (1..).zip(pool.starts()) {
        pool.report(&start, seq, Phase::Failed(failed.clone()));
    }
    pool.tick(3_000);
    assert!(pool.starts().is_empty());
    pool.tick(3_000);
    let trial = pool.starts();
    assert_eq!(
        trial.len(),
        1,
        "exactly one task is started on the worker as a trial"
    );
    pool.report(&trial[0], 9, Phase::Succeeded);
    assert_eq!(pool.starts().len(), 2);
}

#[test]
fn task_that_exceeds_its_size_is_stopped_and_restarts_with_a_larger_one() {
    let mut pool = TestPool::new(1);
    pool.submit(1, "one", Kind::Batch, size(1));
    pool.submit(2, "two", Kind::Batch, size(3));
    let starts = pool.starts();
    pool.event(Event::Report(Report {
        host: host(0),
        tasks: vec![TaskReport {
            task: starts[0].task,
            attempt: 1,
            size: CORE,
            usage: CORE.times(2),
            phase: Phase::Running,
        }],
        ..Report::default()
    }));
    assert_eq!(pool.controls(), [(starts[0].task, TaskControl::Checkpoint)]);
    pool.report(&starts[0], 2, Phase::Stopped);
    pool.report(&starts[1], 3, Phase::Succeeded);
    let again = pool.starts();
    let larger = Resources {
        cpu: 2_500,
        memory: 2_560,
        accelerators: 0,
    };
    assert_eq!(again[0].size, larger);
}
