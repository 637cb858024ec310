//! Tests of jobs through any gate: idempotency keys, visibility to teams, ends that every gate
//! reports at once, and zones that are out.

mod deployment;
mod history;

use deployment::callers::sleep_job;
use deployment::{Deployment, SMAKRAV, wait_until};
use wigeongate::client::client;
use wigeongate_config::change::Change;
use wigeongate_core::job::{JobStatus, Outcome};

#[tokio::test(flavor = "multi_thread")]
async fn one_idempotency_key_gives_one_job_through_any_gate() {
    let deployment = Deployment::start("keys", SMAKRAV, 3).await;
    let spec = sleep_job("bundles", 1, 200);
    let mut jobs = Vec::new();
    for gate in deployment.gates.values() {
        let mut job = None;
        wait_until("the job is accepted", async || {
            job = deployment.submit_once(gate.address, &spec, "one").await;
            job.is_some()
        })
        .await;
        jobs.push(job.expect("the job is accepted"));
    }
    assert!(jobs.iter().all(|job| *job == jobs[0]), "{jobs:?}");
    let other = sleep_job("bundles", 2, 200);
    let refused = deployment
        .submit_once(deployment.any_address(), &other, "one")
        .await;
    assert_eq!(refused, None, "another job under the same key is refused");
    assert_eq!(deployment.wait_for_end(jobs[0]).await, Outcome::Succeeded);

    for gate in deployment.gates.values() {
        let url = format!("http://{}/v1/jobs/{}", gate.address, jobs[0]);
        let foreign = client().get(&url).bearer_auth("example-key-aarhus");
        let foreign = foreign.send().await.expect("the gate responds");
        assert_eq!(
            foreign.status().as_u16(),
            404,
            "the job of another team is not found"
        );
        let own = client().get(&url).bearer_auth(SMAKRAV.key);
        let own = own.send().await.expect("the gate responds");
        let status: JobStatus = own.json().await.expect("the status can be read");
        assert_eq!(status.succeeded, 1);
    }
    deployment.check(&[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_a_zone_that_is_out() {
    let deployment = Deployment::start("zone", SMAKRAV, 3).await;
    let zone = deployment.inventory.hosts[0].zone.clone();
    let mut jobs = Vec::new();
    for _ in 0..3 {
        jobs.push(deployment.submit(&sleep_job("bundles", 6, 300)).await);
    }
    deployment.take_zone_out(&zone).await;
    for _ in 0..20 {
        jobs.push(deployment.submit(&sleep_job("bundles", 6, 200)).await);
    }
    for job in &jobs {
        assert_eq!(deployment.wait_for_end(*job).await, Outcome::Succeeded);
    }
    deployment
        .apply_change(&Change::ZoneIn { zone: zone.clone() })
        .await;
    let back = deployment.submit(&sleep_job("bundles", 6, 100)).await;
    assert_eq!(deployment.wait_for_end(back).await, Outcome::Succeeded);
    deployment.check(&[]);
}
