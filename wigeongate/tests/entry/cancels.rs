//! Tests of cancellations that meet other writes, or none.

use std::time::Duration;

use serde_json::Value;

use crate::platform::{StoreFault, WRITE_DELAY};
use crate::{KEY, start_deployment, wait_until};

/// Guards against a second cancellation that gets no answer because nothing is written any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_cancellation_is_answered_although_the_system_is_idle() {
    let (platform, gates) = start_deployment(1, 2).await;
    let id = "000000000000a001";
    assert_eq!(gates[0].submit(id, 1, 50_000).await.status, 200);
    wait_until("the task starts", async || {
        (platform.starts(id).len() == 1).then_some(())
    })
    .await;
    let path = format!("/q/{id}");
    for gate in [&gates[0], &gates[0], &gates[1]] {
        let answer = gate.call("DELETE", &path, KEY, &Value::Null).await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against a job that runs although its caller was told that there is no such job: its write
/// was carried out after the cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_cancelled_before_its_late_write_never_runs() {
    let (platform, gates) = start_deployment(1, 1).await;
    let id = "000000000000a002";
    platform.store.set_fault(StoreFault::DelaysJobs);
    assert_eq!(gates[0].submit(id, 1, 100).await.status, 504);
    platform.store.set_fault(StoreFault::None);
    let path = format!("/q/{id}");
    let answer = gates[0].call("DELETE", &path, KEY, &Value::Null).await;
    assert_eq!(answer.status, 410);
    tokio::time::sleep(WRITE_DELAY + Duration::from_secs(3)).await;
    assert_eq!(platform.starts(id).len(), 0);
    // The job can be neither asked for nor handed in again.
    let answer = gates[0].call("GET", &path, KEY, &Value::Null).await;
    assert_eq!(answer.status, 410);
    assert_eq!(gates[0].submit(id, 1, 100).await.status, 503);
    assert_eq!(platform.starts(id).len(), 0);
}
