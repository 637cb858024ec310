//! Tests of hosts whose capacity shrinks while they cannot tell the store.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;

use crate::platform::{FIRST_BOOT, Platform, StoreFault};
use crate::{Gate, KEY, wait_until};

/// How long the store is away.
const OUTAGE: Duration = Duration::from_millis(3_500);

/// How long after the return of the store the host writes that it has shrunk.
const WRITE_DELAY: Duration = Duration::from_secs(1);

/// What becomes of leases during the outage.
struct Case {
    name: &'static str,
    fault: StoreFault,
}

/// Guards against starts on the capacity that a host had before an outage of the store (LIMIT, day
/// shrunk-store).
#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_on_a_host_that_shrank_during_an_outage() {
    let cases = [
        Case {
            name: "leases expire",
            fault: StoreFault::Busy,
        },
        Case {
            name: "leases pause",
            fault: StoreFault::BusyAndKeepsLeases,
        },
    ];
    join_all(cases.map(shrink_during)).await;
}

async fn shrink_during(case: Case) {
    let mut platform = Platform::start(0).await;
    platform.add_executor("w-0", FIRST_BOOT, 1_000).await;
    platform.configure(1, &[KEY]);
    let gate = Gate::start(&platform, "gate-0").await;
    let submit = async |id: &str, cpu: u64, run_ms: u64| {
        let job = json!({
            "spec": run_ms.to_string(),
            "steps": [{ "count": 1, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms }],
        });
        let answer = gate.call("POST", &format!("/q/{id}"), KEY, &job).await;
        (answer.status == 200).then_some(())
    };
    let (running, new) = ("0000000000009001", "0000000000009002");
    submit(running, 6_000, 50_000)
        .await
        .expect("an accepted job");
    wait_until("the first task starts", async || {
        (platform.starts(running).len() == 1).then_some(())
    })
    .await;
    platform.store.set_fault(case.fault);
    tokio::time::sleep(OUTAGE).await;
    platform.store.set_fault(StoreFault::None);
    // The host has six of its eight cores left, all of them in use.
    wait_until("a job is accepted", async || submit(new, 2_000, 100).await).await;
    tokio::time::sleep(WRITE_DELAY).await;
    platform.resize_executor("w-0", 6_000);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(platform.starts(new).len(), 0, "{}", case.name);
    platform.resize_executor("w-0", 8_000);
    gate.wait_state(new, "completed").await;
}
