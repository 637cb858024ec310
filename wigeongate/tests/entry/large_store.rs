//! Tests of gates that start over what a long day has left in the store.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use wigeongate_core::ids::{HostId, QueueId, TeamId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    QueueRules, Record, StepId, StepSpec, TaskName, Workflow, WorkflowId, WorkflowSpec,
    WorkflowStatus,
};

use crate::platform::{FIRST_BOOT, Platform, Store};
use crate::slow_process::SlowProcesses;
use crate::{Gate, GateBounds, KEY};

/// How long after the start of all gates callers have to be served: the platform's `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);

/// How long a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// The share of a core that each gate gets; its settings name it as well.
const SHARE: f64 = 0.12;

const GATES: usize = 3;

const HOSTS: u64 = 4;

/// Tasks of each stored job.
const TASKS: u32 = 4;

/// Jobs with records in a batch of the log.
const BATCH_JOBS: u64 = 3;

/// The epoch of their owner.
const EPOCH: u64 = 1;

/// Stored jobs that have not ended.
const OPEN: u64 = 24;

/// A new job, which is submitted after the start.
const NEW_JOB: &str = "00000000000a0001";

/// What the store holds when all gates start.
struct Case {
    name: &'static str,
    /// Jobs that have ended a moment ago, a multiple of those in a batch.
    ended: u64,
}

/// What callers see within the bound.
#[derive(Debug, PartialEq, Eq)]
struct Service {
    open_job_started: bool,
    new_job_accepted: bool,
    new_job_started: bool,
}

/// Guards against issue 52: each new owner lost its lease while it restored what earlier owners had
/// left, so that no task ever started again.
#[tokio::test(flavor = "multi_thread")]
async fn service_returns_after_all_gates_were_lost_over_a_large_store() {
    let case = Case {
        name: "thousands of jobs have ended",
        ended: 12_000,
    };
    assert_service_returns(case).await;
}

/// Shows that the gates of the test above are fast enough for a store that holds little else.
#[tokio::test(flavor = "multi_thread")]
async fn service_returns_after_all_gates_were_lost_over_a_small_store() {
    let case = Case {
        name: "few jobs have ended",
        ended: 60,
    };
    assert_service_returns(case).await;
}

async fn assert_service_returns(case: Case) {
    let platform = Platform::start(usize::try_from(HOSTS).expect("a count")).await;
    platform.configure(1, &[KEY]);
    fill_store(&platform.store, case.ended);
    let bounds = GateBounds {
        lines: "share: 0.12\n",
        ..GateBounds::default()
    };
    let spawn = |at| Gate::spawn(platform.address, &format!("gate-{at}"), &bounds);
    let gates: Vec<Gate> = (0..GATES).map(spawn).collect();
    let _slow = SlowProcesses::start(gates.iter().map(|gate| gate.process.id()), SHARE);
    let until = Instant::now() + RECOVER;
    let open_job = workflow_id(case.ended).to_string();
    let open_job_started = starts_by(&platform, &open_job, until);
    let new_job = async {
        let accepted = submit_by(&gates, until).await;
        (accepted, starts_by(&platform, NEW_JOB, until).await)
    };
    let (open_job_started, (new_job_accepted, new_job_started)) =
        tokio::join!(open_job_started, new_job);
    let seen = Service {
        open_job_started,
        new_job_accepted,
        new_job_started,
    };
    let wanted = Service {
        open_job_started: true,
        new_job_accepted: true,
        new_job_started: true,
    };
    assert_eq!(seen, wanted, "{}", case.name);
}

/// Returns whether a task of a job starts by the given time.
async fn starts_by(platform: &Platform, job: &str, until: Instant) -> bool {
    while platform.starts(job).is_empty() {
        if Instant::now() > until {
            return false;
        }
        sleep(Duration::from_millis(25)).await;
    }
    true
}

/// Submits the new job to the gates in turn; returns whether it is accepted by the given time.
async fn submit_by(gates: &[Gate], until: Instant) -> bool {
    let attempts = async {
        for gate in gates.iter().cycle() {
            let attempt = timeout(CALLER_TIMEOUT, gate.submit(NEW_JOB, 1, 100)).await;
            if attempt.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout_at(until, attempts).await.is_ok()
}

fn workflow_id(at: u64) -> WorkflowId {
    WorkflowId(0x50_0000 + at)
}

/// Stores jobs that have ended, further ones that have not, and the log of their owner, in the form in
/// which the gates store them.
fn fill_store(store: &Store, ended: u64) {
    let spec = Arc::new(WorkflowSpec {
        command: "100".to_owned(),
        steps: vec![StepSpec {
            count: TASKS,
            requested: Resources {
                cpu: 500,
                memory: 64,
                accelerators: 0,
            },
            estimate: Millis(100),
            ..StepSpec::default()
        }],
        repeat: None,
    });
    let rules = Arc::new(QueueRules {
        service: "desk".to_owned(),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        target: Millis(500),
        advice: None,
    });
    let accepted = wigeongate::clock::wall_ms() - 30_000;
    for at in 0..ended + OPEN {
        let id = workflow_id(at);
        let job = Workflow {
            id,
            queue: QueueId::from("q"),
            team: Some(TeamId::from("branch")),
            accepted: accepted + at,
            spec: Arc::clone(&spec),
            rules: Arc::clone(&rules),
        };
        store.put_bytes(&format!("wigeongate/job/{id}"), encoded(&job));
    }
    for batch in 0..ended / BATCH_JOBS {
        let jobs = batch * BATCH_JOBS..(batch + 1) * BATCH_JOBS;
        let records: Vec<Record> = jobs.flat_map(records_of).collect();
        let key = format!("wigeongate/log/{EPOCH:08x}/{:08x}", batch + 1);
        store.put_bytes(&key, encoded(&records));
    }
    store.put_bytes("wigeongate/epoch", encoded(&EPOCH));
}

/// Returns the records of a job that has completed.
fn records_of(at: u64) -> Vec<Record> {
    let job = workflow_id(at);
    let tasks = (0..TASKS).map(|index| {
        let step = StepId {
            job,
            ..StepId::default()
        };
        TaskName { step, index }
    });
    let host = HostId::from(format!("w-{}", at % HOSTS));
    let mut records = vec![Record::Begun(job)];
    for task in tasks {
        records.push(Record::StartedOn(task, 1, host.clone(), FIRST_BOOT));
        records.push(Record::Done(task));
    }
    records.push(Record::Ended(job, WorkflowStatus::Completed));
    records
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value is encoded")
}
