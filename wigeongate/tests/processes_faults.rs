//! Tests of gate processes under faults; each test checks its whole history at the end.

mod deployment;
mod history;

use std::time::Duration;

use deployment::callers::{RequestOutcome, forward_request, sleep_job};
use deployment::proxy::Fault;
use deployment::{Deployment, OWNER_LEASE, SMAKRAV, wait_until};
use nix::sys::signal::Signal;
use wigeongate_core::ids::JobId;
use wigeongate_core::job::{JobSpec, Outcome};

/// Submits a few jobs that are still running when the fault occurs.
async fn submit_load(deployment: &Deployment) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for _ in 0..3 {
        jobs.push(deployment.submit(&sleep_job("bundles", 8, 1_500)).await);
        jobs.push(deployment.submit(&sleep_job("comparisons", 4, 800)).await);
    }
    jobs
}

async fn all_succeed(deployment: &Deployment, jobs: &[JobId]) {
    for job in jobs {
        assert_eq!(deployment.wait_for_end(*job).await, Outcome::Succeeded);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_succeed_after_an_owner_is_killed_during_placements() {
    let mut deployment = Deployment::start("killed", SMAKRAV, 3).await;
    let mut jobs = submit_load(&deployment).await;
    let owner = deployment.main_owner().await;
    let mut killed = deployment.gates.remove(&owner).expect("the gate runs");
    killed.signal(Signal::SIGKILL);
    killed.wait_for_exit().await;
    jobs.extend(submit_load(&deployment).await);
    all_succeed(&deployment, &jobs).await;
    deployment.check(&[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_succeed_while_and_after_an_owner_is_paused_past_its_lease() {
    let mut deployment = Deployment::start("paused", SMAKRAV, 3).await;
    let mut jobs = submit_load(&deployment).await;
    let owner = deployment.main_owner().await;
    let paused = deployment.gates.remove(&owner).expect("the gate runs");
    paused.signal(Signal::SIGSTOP);
    jobs.extend(submit_load(&deployment).await);
    all_succeed(&deployment, &jobs).await;
    paused.signal(Signal::SIGCONT);
    deployment.gates.insert(owner, paused);
    jobs = submit_load(&deployment).await;
    all_succeed(&deployment, &jobs).await;
    deployment.check(&[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_succeed_after_a_store_outage_longer_than_the_lease() {
    let deployment = Deployment::start("outage", SMAKRAV, 3).await;
    let jobs = submit_load(&deployment).await;
    deployment.set_store_fault(Fault::Down).await;
    tokio::time::sleep(OWNER_LEASE * 2).await;
    let key = uuid::Uuid::now_v7().to_string();
    let spec = sleep_job("bundles", 1, 10);
    let during = deployment
        .submit_once(deployment.any_address(), &spec, &key)
        .await;
    assert_eq!(
        during, None,
        "a job that cannot be recorded is not accepted"
    );
    deployment.set_store_fault(Fault::None).await;
    all_succeed(&deployment, &jobs).await;
    let after = submit_load(&deployment).await;
    all_succeed(&deployment, &after).await;
    deployment.check(&[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_lost_store_responses_creates_one_job() {
    let deployment = Deployment::start("answers", SMAKRAV, 3).await;
    let key = uuid::Uuid::now_v7().to_string();
    let spec = sleep_job("bundles", 2, 100);
    deployment.set_store_fault(Fault::NoResponses).await;
    let during = deployment
        .submit_once(deployment.any_address(), &spec, &key)
        .await;
    assert_eq!(
        during, None,
        "a job whose record is uncertain is not accepted"
    );
    deployment.set_store_fault(Fault::None).await;
    let mut again = None;
    wait_until("the job is accepted", async || {
        again = deployment
            .submit_once(deployment.any_address(), &spec, &key)
            .await;
        again.is_some()
    })
    .await;
    let repeated = deployment
        .submit_once(deployment.any_address(), &spec, &key)
        .await;
    assert_eq!(again, repeated, "one idempotency key gives one job");
    all_succeed(&deployment, &[again.expect("the job is accepted")]).await;
    deployment.check(&[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_all_gates_one_by_one_under_load_cuts_no_request() {
    let mut deployment = Deployment::start("rolling", SMAKRAV, 3).await;
    let service = JobSpec {
        minimum: 1,
        ..sleep_job("services", 3, 86_400_000)
    };
    let service = deployment.submit(&service).await;
    let mut jobs = submit_load(&deployment).await;
    for number in 1..=3 {
        let name = format!("gate-{number}");
        let mut leaving = deployment.gates.remove(&name).expect("the gate runs");
        let url = format!(
            "http://{}/v1/queues/validations/requests/check",
            leaving.address
        );
        let caller = tokio::spawn(call_until_refused(url));
        leaving.signal(Signal::SIGTERM);
        assert!(
            leaving.wait_for_exit().await.success(),
            "a planned stop exits with success"
        );
        let cut = caller.await.expect("the caller ends");
        assert_eq!(cut, 0, "no request was cut");
        deployment.start_gate(&format!("gate-{}", number + 3)).await;
        deployment.wait_for_ready().await;
        jobs.extend(submit_load(&deployment).await);
    }
    all_succeed(&deployment, &jobs).await;
    deployment.wait_for_running(service, 3).await;
    deployment.check(&[service]);
}

/// Forwards requests to a gate until it accepts no connection; returns how many failed without a
/// reply that they did not run.
async fn call_until_refused(url: String) -> usize {
    let mut cut = 0;
    loop {
        match forward_request(&url, SMAKRAV.key, "wait 20").await {
            RequestOutcome::Answered | RequestOutcome::NotRun => {}
            RequestOutcome::Refused => return cut,
            RequestOutcome::Other => cut += 1,
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
