//! What all accepted jobs take of the memory of their owner.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;
use wigeongate::entry::records::{encode, job_key};
use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::{StepSpec, Workflow, WorkflowId, WorkflowSpec};

use crate::gate::{Gate, GateBounds, wait_until};
use crate::platform::Platform;
use crate::{KEY, wait_for_owner};

/// The memory of each gate's machine, in megabytes.
const MEMORY_MB: u64 = 64;

const SETTINGS: &str = "memory_mb: 64\n";

const GATES: usize = 2;

/// More jobs than the gates may hold: an eighth of the memory is 8 MiB, and each takes 9 KB.
const JOBS: u64 = 1_100;

/// Jobs that an earlier version has accepted, more than their machines have memory for.
const STORED: u64 = 4_000;

/// Returns a job that waits for a label which no executor has, of nearly the largest body.
fn waiting_job() -> Value {
    json!({
        "spec": "x".repeat(9_000),
        "steps": [{ "count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 100, "requires": "none" }],
    })
}

fn path(id: u64) -> String {
    format!("/q/{id:016x}")
}

/// Returns the resident memory of a gate, in megabytes.
fn memory_mb(gate: &Gate) -> u64 {
    let file = format!("/proc/{}/status", gate.process.id());
    let status = std::fs::read_to_string(file).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|text| text.trim().strip_suffix(" kB"));
    kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or_default() / 1_024
}

/// Guards against owners that exceed their memory, one after the other, since nobody asks what the
/// accepted jobs take together.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_beyond_the_memory_for_them_are_refused_until_others_end() {
    let platform = Platform::start(1).await;
    platform.configure(1, &[KEY]);
    let bounds = GateBounds {
        lines: SETTINGS,
        ..GateBounds::default()
    };
    let mut gates = Vec::new();
    for at in 0..GATES {
        gates.push(Gate::start_with(platform.address, &format!("gate-{at}"), &bounds).await);
    }
    assert_eq!(gates[0].submit("00000000000f0001", 1, 10).await.status, 200);
    gates[0].wait_state("00000000000f0001", "completed").await;

    let job = waiting_job();
    let mut accepted = Vec::new();
    let mut refused = 0;
    for id in 0..JOBS {
        let at = usize::try_from(id).expect("a number") % GATES;
        let answer = gates[at].call("POST", &path(id), KEY, &job).await;
        match answer.status {
            200 => accepted.push(id),
            503 => {
                assert!(answer.retry_after, "job {id}");
                refused += 1;
            }
            status => panic!("job {id}: {status}"),
        }
    }
    // 8 MiB hold 932 jobs of 9,000 bytes and no more.
    let taken = accepted.len();
    assert!(
        (500..=932).contains(&taken),
        "{taken} accepted, {refused} refused"
    );
    assert!(refused > 0);
    for gate in &gates {
        let memory_mb = memory_mb(gate);
        assert!(memory_mb < MEMORY_MB, "{memory_mb} MB");
    }
    // A job that was stored before is known, also now.
    let again = gates[1].call("POST", &path(accepted[0]), KEY, &job).await;
    assert_eq!(again.status, 200);

    // The next owner holds them, too, and answers for each.
    let owner = wait_for_owner(&platform, GATES).await;
    drop(gates.remove(owner));
    let gate = &gates[0];
    wait_until("the next owner shows the jobs", async || {
        let shown = gate
            .call("GET", &path(accepted[0]), KEY, &Value::Null)
            .await;
        (shown.body == r#"{"state":"queued"}"#).then_some(())
    })
    .await;
    let memory_mb = memory_mb(gate);
    assert!(memory_mb < MEMORY_MB, "{memory_mb} MB");
    for id in &accepted[..100] {
        let cancelled = gate.call("DELETE", &path(*id), KEY, &Value::Null).await;
        assert_eq!(cancelled.status, 200, "job {id}");
    }
    wait_until("a job is accepted after others have ended", async || {
        sleep(Duration::from_millis(200)).await;
        let answer = gate.submit("00000000000f0002", 1, 10).await;
        (answer.status == 200).then_some(())
    })
    .await;
    gate.wait_state("00000000000f0002", "completed").await;
}

/// Stores jobs whose tasks run for 10 ms, as an earlier version has.
fn store_jobs(platform: &Platform) {
    let spec = Arc::new(WorkflowSpec {
        command: format!("10 {}", "x".repeat(9_000)),
        steps: vec![StepSpec {
            count: 1,
            requested: Resources {
                cpu: 100,
                memory: 16,
                accelerators: 0,
            },
            ..StepSpec::default()
        }],
        repeat: None,
    });
    for id in 0..STORED {
        let flow = Workflow {
            id: WorkflowId(id),
            queue: "q".into(),
            team: None,
            accepted: 1_700_000_000_000 + id,
            spec: Arc::clone(&spec),
            rules: Arc::default(),
        };
        platform.store.put_bytes(&job_key(flow.id), encode(&flow));
    }
}

/// Guards against a store that ends each owner which reads it: it holds more than their memory for jobs,
/// since an earlier version accepted it, or the machines are smaller now.
#[tokio::test(flavor = "multi_thread")]
async fn all_jobs_of_a_store_that_holds_too_many_are_shown_and_run() {
    let platform = Platform::start(2).await;
    platform.configure(1, &[KEY]);
    store_jobs(&platform);
    let bounds = GateBounds {
        lines: SETTINGS,
        ..GateBounds::default()
    };
    let gate = Gate::start_with(platform.address, "gate-0", &bounds).await;
    let last = path(STORED - 1);
    wait_until("the last job is shown", async || {
        let shown = gate.call("GET", &last, KEY, &Value::Null).await;
        (shown.status == 200).then_some(())
    })
    .await;
    // A cancelled one must not run, also if it is not held.
    let cancelled = gate.call("DELETE", &last, KEY, &Value::Null).await;
    assert_eq!(cancelled.status, 200);
    let mut most_mb = 0;
    wait_until("all jobs have run", async || {
        most_mb = most_mb.max(memory_mb(&gate));
        let pending = gate.call("GET", "/q/", KEY, &Value::Null).await;
        (pending.body == r#"{"pending":0}"#).then_some(())
    })
    .await;
    assert!(most_mb < MEMORY_MB, "{most_mb} MB");
    gate.wait_state(&format!("{:016x}", STORED - 2), "completed")
        .await;
    let started = platform.starts("");
    let tasks: HashSet<&str> = started.iter().map(|run| run.task.as_str()).collect();
    assert_eq!(tasks.len(), started.len(), "tasks start twice");
    let count = u64::try_from(tasks.len()).expect("a number");
    assert!(
        (STORED - 1..=STORED).contains(&count),
        "{count} tasks have started"
    );
}
