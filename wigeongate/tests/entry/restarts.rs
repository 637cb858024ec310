//! Tests of executors that start again under the identifier that they had.

use serde_json::json;

use crate::platform::{FIRST_BOOT, Platform};
use crate::{Gate, KEY, wait_until};

/// What the clock of the executor reads before its restart, in milliseconds.
const LONG_UP_MS: u64 = 600_000;

/// Guards against review/5: a task of a host that had restarted and was lost later did not start again
/// for as long as the host had been up before its restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_of_a_restarted_and_lost_executor_starts_again() {
    let mut platform = Platform::start(1).await;
    platform.add_executor("aged", FIRST_BOOT, LONG_UP_MS).await;
    platform.configure(1, &[KEY]);
    let gate = Gate::start(&platform, "gate-0").await;
    // Each task takes a whole host.
    let run = async |id: &str, run_ms: u64| {
        let job = json!({
            "spec": run_ms.to_string(),
            "steps": [{ "count": 2, "cpu": 8_000, "mem_mb": 64, "estimate_ms": run_ms }],
        });
        let answer = gate.call("POST", &format!("/q/{id}"), KEY, &job).await;
        assert_eq!(answer.status, 200);
    };
    run("0000000000008001", 100).await;
    gate.wait_state("0000000000008001", "completed").await;

    platform.crash_executor("aged");
    platform.add_executor("aged", FIRST_BOOT + 1, 1_000).await;
    wait_until("the owner polls the new boot", async || {
        platform.is_polled("aged").then_some(())
    })
    .await;
    let id = "0000000000008002";
    run(id, 3_000).await;
    wait_until("the tasks start on both hosts", async || {
        let starts = platform.starts(id);
        (starts.len() == 2 && starts.iter().any(|run| run.host == "aged")).then_some(())
    })
    .await;
    platform.crash_executor("aged");
    wait_until("the lost task starts again", async || {
        (platform.starts(id).len() == 3).then_some(())
    })
    .await;
    gate.wait_state(id, "completed").await;
}
