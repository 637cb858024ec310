//! What the owner keeps and visits follows the open work, not what has been.

use std::sync::Arc;

use wigeongate_core::ids::{HostId, QueueId, TeamId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Advice, Ended, HostReport, Record, Repeat, Rules, RunOutcome, Running, StartResult, StepSpec,
    TeamRules, Workflow, WorkflowId, WorkflowScheduler, WorkflowSettings, WorkflowStatus,
};

use crate::world::{flow, host, queue, rules, step};
use crate::{CORE, place, starts, task};

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
            waiting: (2, 1),
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

/// The rules of a version that knows one queue and one team.
fn version(queue_id: &QueueId, team: &TeamId) -> Rules {
    let mut rules = rules(3, Resources::UNBOUNDED);
    let queue_rules = rules.queues.remove(&queue()).expect("the queue exists");
    rules.queues.insert(queue_id.clone(), queue_rules);
    rules.teams.clear();
    let team_rules = TeamRules {
        weight: 10.0,
        maximum: Resources::UNBOUNDED,
    };
    rules.teams.insert(team.clone(), team_rules);
    rules
}

/// Guards against teams, queues and runs of unknown jobs that an owner kept for as long as it lived.
#[test]
fn what_is_kept_of_teams_queues_and_unknown_jobs_follows_what_is_there() {
    // The run of an unknown job takes its host as a whole.
    let (id, other) = (HostId::from("w-0"), HostId::from("w-1"));
    let mut scheduler = scheduler();
    scheduler.list_host(host(0, 8 * CORE), NOW);
    scheduler.list_host(host(1, 8 * CORE), NOW);
    let mut ended = Vec::new();
    for number in 1..=60 {
        let now = NOW + Millis(number * 1_000);
        let queue = QueueId::from(format!("queue-{number}"));
        let team = TeamId::from(format!("team-{number}"));
        scheduler.configure(Arc::new(version(&queue, &team)));
        let unknown = Running {
            task: task(1_000 + number, 0, 0),
            run: 1,
            checkpoint: String::new(),
        };
        let report = |at: Millis, running: Vec<Running>, ended: &[Ended]| HostReport {
            boot_ms: 1,
            sent: at,
            lease: at + Millis(3_000),
            running,
            ended: ended.to_vec(),
            ..HostReport::default()
        };
        let with_unknown = report(now, vec![unknown.clone()], &[]);
        scheduler.apply_report(&other, &with_unknown, now, &mut Vec::new());
        scheduler.apply_report(&id, &report(now, Vec::new(), &ended), now, &mut Vec::new());
        let job = Workflow {
            queue,
            team: Some(team),
            ..single(number)
        };
        let name = task(number, 0, 0);
        scheduler.submit(job, now, Millis::ZERO);
        let advice = Advice {
            allowed: vec![(id.clone(), "ticket".to_owned())],
            until: now + Millis(2_000),
        };
        scheduler.apply_advice(name.step, std::slice::from_ref(&id), Some(&advice), now);
        let mut actions = Vec::new();
        place(&mut scheduler, now, &mut actions);
        assert_eq!(starts(&actions), 1, "job {number}");
        let run = (name, 1);
        scheduler.start_result(&id, run, StartResult::Started, now, &mut actions);
        let key = (unknown.task, unknown.run);
        scheduler.stop_result(&other, key, now, now);
        ended.push(Ended {
            number,
            task: name,
            run: 1,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
        let later = now + Millis(500);
        for (host, ended) in [(&id, ended.as_slice()), (&other, &[])] {
            scheduler.apply_report(host, &report(later, Vec::new(), ended), later, &mut actions);
        }
        let status = scheduler.status(WorkflowId(number));
        assert_eq!(
            status,
            Some(WorkflowStatus::Running),
            "its end is not written"
        );
    }
    let kept: Vec<usize> = scheduler.kept_sizes().map(|(_, size)| size).to_vec();
    assert_eq!(kept, [0, 1, 1, 0]);
}
