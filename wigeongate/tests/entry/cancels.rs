//! Tests of cancellations that meet other writes, or none.

use std::time::Duration;

use serde_json::Value;

use crate::platform::{StoreFault, WRITE_DELAY};
use crate::{KEY, start_deployment};

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
