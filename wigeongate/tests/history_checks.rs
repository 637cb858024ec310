//! Tests that the history checks find the violation of each rule.

mod history;

use history::{Fleet, Host, Violation, check};
use uuid::Uuid;
use wigeongate_api::worker::TaskState;
use wigeongate_core::ids::{Epoch, HostId, JobId, TaskId, TeamId, ZoneId};
use wigeongate_core::job::Outcome;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_standin::history::{HistoryEvent, TaskStart, TimedEvent};

const JOB: JobId = JobId(Uuid::from_u128(1));

fn cores(cpu: u64) -> Resources {
    Resources {
        cpu,
        ..Resources::ZERO
    }
}

fn fleet() -> Fleet {
    let host = |zone: &str| Host {
        zone: ZoneId::from(zone),
        capacity: cores(4),
    };
    Fleet {
        hosts: [("a".into(), host("z1")), ("b".into(), host("z2"))].into(),
        limits: [(TeamId::from("t"), cores(6))].into(),
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: JOB, index }
}

fn accepted(tasks: u32) -> HistoryEvent {
    HistoryEvent::Accepted {
        job: JOB,
        team: "t".into(),
        tasks,
    }
}

fn start(host: &str, index: u32, attempt: u32, cpu: u64) -> HistoryEvent {
    HistoryEvent::Started(TaskStart {
        host: HostId::from(host),
        task: task(index),
        attempt,
        size: cores(cpu),
        epoch: Epoch(1),
    })
}

fn end(host: &str, index: u32, attempt: u32, state: TaskState) -> HistoryEvent {
    HistoryEvent::Ended {
        host: HostId::from(host),
        task: task(index),
        attempt,
        state,
    }
}

fn reported(outcome: Outcome) -> HistoryEvent {
    HistoryEvent::EndReported { job: JOB, outcome }
}

struct Case {
    name: &'static str,
    history: Vec<HistoryEvent>,
    violations: Vec<Violation>,
}

fn done() -> HistoryEvent {
    reported(Outcome::Succeeded)
}

fn failed() -> TaskState {
    TaskState::Failed("1".to_owned())
}

fn place_cases() -> Vec<Case> {
    use TaskState::{Stopped, Succeeded};
    vec![
        Case {
            name: "a task is retried on another host after a failure",
            history: vec![
                start("a", 0, 1, 4),
                accepted(1),
                end("a", 0, 1, failed()),
                start("b", 0, 2, 4),
                end("b", 0, 2, Succeeded),
                done(),
                done(),
            ],
            violations: vec![],
        },
        Case {
            name: "a host is overcommitted",
            history: vec![
                accepted(2),
                start("a", 0, 1, 3),
                start("a", 1, 1, 2),
                end("a", 0, 1, Succeeded),
                end("a", 1, 1, Succeeded),
                done(),
            ],
            violations: vec![Violation::Overcommitted("a".into())],
        },
        Case {
            name: "a task runs on two hosts at the same time",
            history: vec![
                accepted(1),
                start("a", 0, 1, 1),
                start("b", 0, 2, 1),
                end("a", 0, 1, Stopped),
                end("b", 0, 2, Succeeded),
                done(),
            ],
            violations: vec![Violation::ConcurrentRuns(task(0))],
        },
        Case {
            name: "a task starts again after it succeeded",
            history: vec![
                accepted(1),
                start("a", 0, 1, 1),
                end("a", 0, 1, Succeeded),
                start("b", 0, 2, 1),
                end("b", 0, 2, Succeeded),
                done(),
            ],
            violations: vec![Violation::RanAgain(task(0))],
        },
    ]
}

fn policy_cases() -> Vec<Case> {
    use TaskState::Succeeded;
    vec![
        Case {
            name: "a team is above its limit",
            history: vec![
                accepted(2),
                start("a", 0, 1, 4),
                start("b", 1, 1, 3),
                end("a", 0, 1, Succeeded),
                end("b", 1, 1, Succeeded),
                done(),
            ],
            violations: vec![Violation::AboveLimit("t".into())],
        },
        Case {
            name: "a task starts in a zone that is out",
            history: vec![
                accepted(1),
                HistoryEvent::ZoneOut("z1".into()),
                start("b", 0, 1, 1),
                end("b", 0, 1, failed()),
                start("a", 0, 2, 1),
                end("a", 0, 2, Succeeded),
                done(),
            ],
            violations: vec![Violation::ZoneOut(task(0))],
        },
        Case {
            name: "a task starts in a zone that is back",
            history: vec![
                accepted(1),
                HistoryEvent::ZoneOut("z1".into()),
                HistoryEvent::ZoneIn("z1".into()),
                start("a", 0, 1, 1),
                end("a", 0, 1, Succeeded),
                done(),
            ],
            violations: vec![],
        },
    ]
}

fn job_cases() -> Vec<Case> {
    use TaskState::Succeeded;
    vec![
        Case {
            name: "a task of no accepted job starts",
            history: vec![start("a", 0, 1, 1), end("a", 0, 1, Succeeded)],
            violations: vec![Violation::UnexpectedEvent(task(0))],
        },
        Case {
            name: "a task ends without a start",
            history: vec![accepted(1), end("a", 0, 1, Succeeded), done()],
            violations: vec![Violation::UnexpectedEvent(task(0))],
        },
        Case {
            name: "the end of a job is not reported",
            history: vec![accepted(1), start("a", 0, 1, 1), end("a", 0, 1, Succeeded)],
            violations: vec![Violation::NoEnd(JOB)],
        },
        Case {
            name: "two different ends of a job are reported",
            history: vec![
                accepted(1),
                start("a", 0, 1, 1),
                end("a", 0, 1, Succeeded),
                reported(Outcome::Cancelled),
                done(),
            ],
            violations: vec![Violation::ConflictingEnds(JOB)],
        },
        Case {
            name: "a job is reported as succeeded without one of its tasks",
            history: vec![
                accepted(2),
                start("a", 0, 1, 1),
                end("a", 0, 1, Succeeded),
                done(),
            ],
            violations: vec![Violation::FalseSuccess(JOB)],
        },
    ]
}

#[test]
fn each_violated_rule_is_found() {
    let cases = [place_cases(), policy_cases(), job_cases()];
    for case in cases.into_iter().flatten() {
        let timed = |(at, event): (u64, &HistoryEvent)| TimedEvent {
            at: Millis::from_secs(2 * at),
            event: event.clone(),
        };
        let events: Vec<TimedEvent> = (0..).zip(&case.history).map(timed).collect();
        assert_eq!(
            check(&fleet(), &events, &[]),
            case.violations,
            "{}",
            case.name
        );
    }
}
