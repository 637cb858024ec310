//! What an owner says of a job, begun or waiting, is the same before and after a change of owner.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostReport, PollFailure, Record, Refusal, RunOutcome, Running, StartResult,
    TaskName, WorkflowId, WorkflowScheduler, WorkflowSettings, WorkflowStatus,
};

use crate::world::{flow, host, queue, rules, step};
use crate::{CORE, task};

const JOB: WorkflowId = WorkflowId(1);

/// An owner with one host, one job and the log that it writes.
struct Owner {
    scheduler: WorkflowScheduler,
    now: Millis,
    log: Vec<Record>,
}

impl Owner {
    fn new(epoch: u64, now: Millis) -> Self {
        let settings = WorkflowSettings {
            epoch,
            ..WorkflowSettings::default()
        };
        let mut scheduler = WorkflowScheduler::new(settings, now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        Self {
            scheduler,
            now,
            log: Vec::new(),
        }
    }

    /// An owner of a job with two tasks, of which the first has been ordered to start.
    fn ordered() -> Self {
        let mut owner = Self::new(1, Millis(10_000));
        owner.scheduler.list_host(host(0, CORE), owner.now);
        owner.report(&HostReport::default());
        let job = flow(JOB.0, vec![step(2, CORE)], None);
        owner.scheduler.submit(job, owner.now, Millis::ZERO);
        owner.place();
        owner
    }

    /// The next owner, with the log written so far.
    fn next(&self) -> Self {
        let mut owner = Self::new(2, self.now);
        let job = flow(JOB.0, vec![step(2, CORE)], None);
        owner.scheduler.restore(job, self.now, Millis::ZERO);
        owner.scheduler.begin_batch();
        for record in &self.log {
            owner.scheduler.replay(record, self.now);
        }
        owner.act(WorkflowScheduler::finish_restore);
        owner.scheduler.list_host(host(0, CORE), self.now);
        owner.log.splice(0..0, self.log.iter().cloned());
        owner
    }

    fn act(&mut self, step: impl FnOnce(&mut WorkflowScheduler, Millis, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        step(&mut self.scheduler, self.now, &mut actions);
        let written = self.scheduler.last_record();
        self.scheduler
            .records_written(written, self.now, &mut actions);
        self.log.extend(actions.into_iter().filter_map(|action| {
            let Action::Record(record) = action else {
                return None;
            };
            Some(record)
        }));
    }

    fn place(&mut self) {
        self.act(WorkflowScheduler::place);
    }

    fn pass(&mut self, ms: u64) {
        self.now += Millis(ms);
        self.act(|scheduler, now, out| scheduler.tick(now, now.0, out));
    }

    fn answer(&mut self, result: StartResult) {
        self.act(|scheduler, now, out| {
            scheduler.start_result(&w0(), run(), result, now, out);
        });
    }

    fn report(&mut self, report: &HostReport) {
        self.now += Millis(1);
        let report = HostReport {
            boot_ms: report.boot_ms.max(1),
            sent: self.now,
            lease: self.now + Millis(3_000),
            ..report.clone()
        };
        self.now += Millis(1);
        self.act(|scheduler, now, out| {
            scheduler.poll_sent(&w0(), report.lease);
            scheduler.apply_report(&w0(), &report, now, out);
        });
    }

    fn fail_poll(&mut self, failure: PollFailure) {
        self.act(|scheduler, now, out| scheduler.poll_failed(&w0(), failure, now, out));
    }

    fn stop(&mut self) {
        self.act(|scheduler, now, _| scheduler.stop_result(&w0(), run(), now, now));
        self.report(&HostReport::default());
    }

    /// The status of the job, and how many jobs of its queue wait.
    fn said(&self) -> (Option<WorkflowStatus>, usize) {
        let waiting = self.scheduler.queued_jobs(&queue());
        (self.scheduler.status(JOB), waiting)
    }
}

fn w0() -> HostId {
    HostId::from("w-0")
}

fn run() -> (TaskName, u32) {
    (task(JOB.0, 0, 0), 1)
}

fn running() -> HostReport {
    let (task, run) = run();
    HostReport {
        running: vec![Running {
            task,
            run,
            checkpoint: String::new(),
        }],
        ..HostReport::default()
    }
}

fn ended(outcome: RunOutcome) -> HostReport {
    let (task, run) = run();
    HostReport {
        ended: vec![Ended {
            number: 1,
            task,
            run,
            outcome,
            checkpoint: String::new(),
        }],
        ..HostReport::default()
    }
}

/// What happens after the first start was ordered, and what is said of the job then.
struct Case {
    name: &'static str,
    history: fn(&mut Owner),
    status: WorkflowStatus,
}

const fn waits(name: &'static str, history: fn(&mut Owner)) -> Case {
    Case {
        name,
        history,
        status: WorkflowStatus::Queued,
    }
}

const fn has_begun(name: &'static str, history: fn(&mut Owner)) -> Case {
    Case {
        name,
        history,
        status: WorkflowStatus::Running,
    }
}

const CASES: &[Case] = &[
    waits("the start has no answer yet", |_| {}),
    waits("the start gets no answer", |owner| {
        owner.answer(StartResult::Unknown);
    }),
    waits("the start gets no answer and is stopped", |owner| {
        owner.answer(StartResult::Unknown);
        owner.stop();
    }),
    waits("the start is refused", |owner| {
        owner.answer(StartResult::Refused(Refusal::Room));
    }),
    waits("the start is not sent", |owner| {
        owner.answer(StartResult::Refused(Refusal::NotSent));
    }),
    waits("the host is lost with an unanswered start", |owner| {
        owner.answer(StartResult::Unknown);
        owner.fail_poll(PollFailure::NoAnswer);
        owner.fail_poll(PollFailure::Replaced);
    }),
    waits("the host crashes after an unanswered start", |owner| {
        owner.fail_poll(PollFailure::Refused);
        owner.pass(200);
        owner.answer(StartResult::Unknown);
    }),
    waits("the lease of an unanswered start expires", |owner| {
        owner.answer(StartResult::Unknown);
        owner.pass(4_000);
    }),
    has_begun("the start is confirmed", |owner| {
        owner.answer(StartResult::Started);
    }),
    has_begun("the start is confirmed and the host silent", |owner| {
        owner.answer(StartResult::Started);
        owner.fail_poll(PollFailure::NoAnswer);
    }),
    has_begun("the lease of a confirmed start expires", |owner| {
        owner.answer(StartResult::Started);
        owner.fail_poll(PollFailure::NoAnswer);
        owner.pass(4_000);
    }),
    has_begun("the host is lost with a confirmed start", |owner| {
        owner.answer(StartResult::Started);
        owner.fail_poll(PollFailure::NoAnswer);
        owner.fail_poll(PollFailure::Replaced);
    }),
    has_begun("a report lists an unanswered start", |owner| {
        owner.answer(StartResult::Unknown);
        owner.report(&running());
    }),
    has_begun("a report lists the end of an unanswered start", |owner| {
        owner.answer(StartResult::Unknown);
        owner.report(&ended(RunOutcome::Stopped));
    }),
    has_begun(
        "a report lists the failure of an unanswered start",
        |owner| {
            owner.answer(StartResult::Unknown);
            owner.report(&ended(RunOutcome::Failed));
        },
    ),
    has_begun("one of two tasks is done", |owner| {
        owner.answer(StartResult::Unknown);
        owner.report(&ended(RunOutcome::Done));
    }),
    has_begun("the answer comes after the lease expired", |owner| {
        owner.pass(4_000);
        owner.answer(StartResult::Started);
    }),
];

/// Guards against issue 41: a new owner called jobs begun that no host had begun.
#[test]
fn a_job_waits_or_has_begun_for_the_next_owner_as_for_this_one() {
    let mut wrong = Vec::new();
    for case in CASES {
        let mut owner = Owner::ordered();
        (case.history)(&mut owner);
        let waiting = usize::from(case.status == WorkflowStatus::Queued);
        let expected = (Some(case.status), waiting);
        let mut check = |when: &str, said| {
            if said != expected {
                wrong.push(format!("{}, {when}: {said:?}", case.name));
            }
        };
        check("at once", owner.said());
        // The host can't tell the next owner anything.
        owner.fail_poll(PollFailure::NoAnswer);
        owner.pass(100);
        check("later", owner.said());
        let next = owner.next();
        check("next owner", next.said());
        check("owner after it", next.next().said());
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Each write is charged for.
#[test]
fn the_record_of_a_begun_job_is_written_beside_another_or_for_a_silent_host() {
    struct Case {
        name: &'static str,
        event: fn(&mut Owner),
        jobs: &'static [WorkflowId],
    }
    let cases = [
        Case {
            name: "the host reports",
            event: |owner| owner.report(&running()),
            jobs: &[],
        },
        Case {
            name: "time passes",
            event: |owner| owner.pass(2_000),
            jobs: &[],
        },
        Case {
            name: "another record is written",
            event: |owner| {
                let job = flow(2, vec![step(1, CORE)], None);
                owner.scheduler.submit(job, owner.now, Millis::ZERO);
                owner.act(|scheduler, now, out| {
                    scheduler.cancel(WorkflowId(2), now, out);
                });
            },
            jobs: &[JOB, WorkflowId(2)],
        },
        Case {
            name: "the host is silent",
            event: |owner| owner.fail_poll(PollFailure::NoAnswer),
            jobs: &[JOB],
        },
    ];
    for case in cases {
        let mut owner = Owner::ordered();
        let before = owner.log.len();
        owner.answer(StartResult::Started);
        assert_eq!(owner.log.len(), before, "{}", case.name);
        (case.event)(&mut owner);
        let added: Vec<WorkflowId> = owner.log[before..].iter().map(Record::job).collect();
        assert_eq!(added, case.jobs, "{}", case.name);
        owner.report(&running());
        owner.fail_poll(PollFailure::NoAnswer);
        owner.fail_poll(PollFailure::NoAnswer);
        let begun = owner.log.iter().filter(|it| **it == Record::Begun(JOB));
        assert_eq!(begun.count(), 1, "{}", case.name);
    }
}

/// An owner that dies before the record was written.
#[test]
fn a_report_shows_the_next_owner_what_no_record_holds() {
    struct Case {
        name: &'static str,
        answer: StartResult,
        report: HostReport,
        said: (Option<WorkflowStatus>, usize),
    }
    let has_begun = (Some(WorkflowStatus::Running), 0);
    let cases = [
        Case {
            name: "the run goes on",
            answer: StartResult::Started,
            report: running(),
            said: has_begun,
        },
        Case {
            name: "the run was stopped",
            answer: StartResult::Started,
            report: ended(RunOutcome::Stopped),
            said: has_begun,
        },
        Case {
            name: "the run failed",
            answer: StartResult::Started,
            report: ended(RunOutcome::Failed),
            said: has_begun,
        },
        Case {
            name: "the start did not arrive",
            answer: StartResult::Unknown,
            report: HostReport::default(),
            said: (Some(WorkflowStatus::Queued), 1),
        },
    ];
    for case in cases {
        let mut owner = Owner::ordered();
        owner.answer(case.answer);
        // So is a log of versions that did not record what has begun.
        assert!(!owner.log.contains(&Record::Begun(JOB)), "{}", case.name);
        let mut next = owner.next();
        next.report(&case.report);
        assert_eq!(next.said(), case.said, "{}", case.name);
        next.fail_poll(PollFailure::NoAnswer);
        assert_eq!(next.next().said(), case.said, "{}, later", case.name);
    }
}

/// The host forgets the end of a stopped run, which has no record, once the owner lets it.
#[test]
fn an_end_is_forgotten_once_it_is_recorded_that_its_job_has_begun() {
    let mut owner = Owner::ordered();
    owner.answer(StartResult::Unknown);
    let mut actions = Vec::new();
    let report = HostReport {
        boot_ms: 1,
        sent: owner.now,
        lease: owner.now + Millis(3_000),
        ..ended(RunOutcome::Stopped)
    };
    let written = owner.scheduler.last_record();
    owner
        .scheduler
        .apply_report(&w0(), &report, owner.now, &mut actions);
    assert!(actions.contains(&Action::Record(Record::Begun(JOB))));
    owner
        .scheduler
        .records_written(written, owner.now, &mut actions);
    let is_forget = |action: &Action| matches!(action, Action::Forget { .. });
    assert!(!actions.iter().any(is_forget), "before the record");
    let written = owner.scheduler.last_record();
    owner
        .scheduler
        .records_written(written, owner.now, &mut actions);
    assert!(actions.iter().any(is_forget), "after the record");
}
