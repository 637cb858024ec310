//! Orders that wait while an executor leaves others without an answer.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::gate::wait_until;
use crate::platform::Platform;
use crate::{KEY, start_deployment};

const JOB: &str = "00000000000000aa";

/// The platform's `cancel_ms`: how long after a cancelling was acknowledged tasks may start.
const CANCEL: Duration = Duration::from_secs(3);

/// The platform's `stop_ms`: how long after that tasks may run.
const STOP: Duration = Duration::from_millis(900);

/// How long orders that wait would still be sent after that: the executor leaves each without an answer
/// for 0.7 s, and four at a time.
const REST: Duration = Duration::from_secs(2);

/// Guards against tasks of a cancelled job that start, or run on, for as long as their orders wait for
/// an executor that leaves others without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_cancelled_job_do_not_start_while_orders_wait() {
    let (platform, gates) = start_deployment(1, 2).await;
    assert_eq!(gates[0].submit("00000000000000a1", 1, 10).await.status, 200);
    gates[0].wait_state("00000000000000a1", "completed").await;
    platform.set_grey("w-0", true);
    let job = json!({
        "spec": "20000",
        "steps": [{ "count": 60, "cpu": 100, "mem_mb": 16, "estimate_ms": 20_000 }],
    });
    let path = format!("/q/{JOB}");
    let sent = gates[0].call("POST", &path, KEY, &job).await;
    assert_eq!(sent.status, 200);
    wait_until("a task has started", async || {
        (!platform.starts(JOB).is_empty()).then_some(())
    })
    .await;
    sleep(Duration::from_millis(500)).await;
    let cancelled = gates[0].call("DELETE", &path, KEY, &Value::Null).await;
    assert_eq!(cancelled.status, 200);
    check_cancelled(&platform).await;
}

async fn check_cancelled(platform: &Platform) {
    sleep(CANCEL).await;
    let starts = platform.starts(JOB).len();
    sleep(STOP).await;
    assert_eq!(platform.running(JOB), 0, "tasks run on");
    sleep(REST).await;
    assert_eq!(platform.starts(JOB).len(), starts, "tasks start late");
}
