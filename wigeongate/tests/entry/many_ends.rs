//! Tests of executors that have more ends to list than fit in one answer.

use serde_json::json;

use crate::platform::Platform;
use crate::{Gate, KEY, start_deployment, wait_for_owner, wait_until};

const ID: &str = "000000000000e0d5";

const TASKS: usize = 1_200;

/// Starts all tasks of a job on the only executor.
async fn start_tasks(platform: &Platform, gate: &Gate) {
    let job = json!({
        "spec": "hold",
        "steps": [{ "count": TASKS, "cpu": 5, "mem_mb": 1, "estimate_ms": 1_000 }],
    });
    let answer = gate.call("POST", &format!("/q/{ID}"), KEY, &job).await;
    assert_eq!(answer.status, 200);
    wait_until("all tasks run", async || {
        (platform.starts(ID).len() == TASKS).then_some(())
    })
    .await;
}

/// Checks that each task has run once, and that the gate counts no run as ended without its end but those
/// whose start was refused.
async fn check_runs(platform: &Platform, gate: &Gate) {
    gate.wait_state(ID, "completed").await;
    assert_eq!(platform.starts(ID).len(), TASKS);
    let metrics = gate.metrics().await;
    assert!(metrics.contains("wigeongate_"), "{metrics}");
    let released: Vec<&str> = metrics
        .lines()
        .filter(|line| line.starts_with("wigeongate_released") && !line.contains("refused"))
        .collect();
    assert!(released.is_empty(), "{released:?}");
}

/// Guards against review/6: tasks that had ended done started again under the next owner, which took the
/// 500 ends of the first answer for all of them.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_that_ended_before_a_takeover_do_not_start_again() {
    let (platform, mut gates) = start_deployment(1, 2).await;
    let owner = wait_for_owner(&platform, 2).await;
    start_tasks(&platform, &gates[owner]).await;
    gates[owner].process.kill().expect("the gate runs");
    platform.end_held_runs("w-0");
    check_runs(&platform, &gates[1 - owner]).await;
}

/// Guards against tasks that start again without any fault when over 500 of one executor end at once.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_that_end_at_the_same_moment_do_not_start_again() {
    let (platform, gates) = start_deployment(1, 1).await;
    start_tasks(&platform, &gates[0]).await;
    platform.end_held_runs("w-0");
    check_runs(&platform, &gates[0]).await;
}
