//! Commands for jobs.

use std::path::Path;
use std::time::Duration;

use reqwest::Method;
use tokio::time::Instant;
use wigeongate_api::caller::{Accepted, JobList};
use wigeongate_config::load;
use wigeongate_core::ids::JobId;
use wigeongate_core::job::{JobSpec, JobState, JobStatus, Outcome};

use super::Context;
use crate::client::{Call, RetryPolicy};
use crate::error::CtlError;
use crate::output::Table;
use crate::progress::Progress;

/// The maximum time that a gate holds one status call while the job runs.
const LONG_POLL_WAIT: Duration = Duration::from_secs(10);

/// Submits the job in a file and prints its identifier, or with `wait` its outcome.
pub async fn submit(context: &Context, file: &Path, wait: bool) -> Result<(), CtlError> {
    let spec: JobSpec = load::read(file)?;
    let call = Call {
        step: "submitting the job",
        method: Method::POST,
        path: "/v1/jobs",
        retry: RetryPolicy::Never,
        ..Call::default()
    };
    let accepted: Accepted = context.client.call(&call, Some(&spec)).await?;
    if wait {
        return self::wait(context, accepted.job, None).await;
    }
    context
        .printer
        .print_text(&accepted, &accepted.job.to_string());
    Ok(())
}

/// Lists the jobs of the key's team.
pub async fn list(context: &Context) -> Result<(), CtlError> {
    let list: JobList = context.client.get("listing the jobs", "/v1/jobs").await?;
    context.printer.print(&list, || table(&list.jobs));
    Ok(())
}

/// Shows a job.
pub async fn status(context: &Context, job: JobId) -> Result<(), CtlError> {
    let status = fetch(context, job, Duration::ZERO).await?;
    context
        .printer
        .print(&status, || table(std::slice::from_ref(&status)));
    Ok(())
}

/// Requests the cancellation of a job.
pub async fn cancel(context: &Context, job: JobId) -> Result<(), CtlError> {
    let call = Call {
        step: "cancelling the job",
        method: Method::DELETE,
        path: &format!("/v1/jobs/{job}"),
        ..Call::default()
    };
    context.client.send(&call, None::<&()>).await?;
    context
        .printer
        .print_text(&job, &format!("The cancellation of {job} is accepted."));
    Ok(())
}

/// Waits for a job to end, for at most `timeout` seconds; fails if it does not succeed.
pub async fn wait(context: &Context, job: JobId, timeout: Option<u64>) -> Result<(), CtlError> {
    let progress = Progress::default();
    let deadline = timeout.map(|seconds| Instant::now() + Duration::from_secs(seconds));
    loop {
        let remaining = deadline.map_or(LONG_POLL_WAIT, |deadline| {
            deadline.duration_since(Instant::now())
        });
        let status = fetch(context, job, remaining.min(LONG_POLL_WAIT)).await?;
        if let JobState::Ended(outcome) = &status.state {
            drop(progress);
            context.printer.print_text(&status, &outcome.to_string());
            return check_outcome(outcome);
        }
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            let reason = format!("job {job} has not ended: {}", describe_state(&status));
            return Err(CtlError::WaitTimedOut(reason));
        }
        progress.show(&format!("job {job}: {}", describe_state(&status)));
    }
}

fn check_outcome(outcome: &Outcome) -> Result<(), CtlError> {
    match outcome {
        Outcome::Succeeded => Ok(()),
        other => Err(CtlError::Ended(other.clone())),
    }
}

async fn fetch(context: &Context, job: JobId, gate_wait: Duration) -> Result<JobStatus, CtlError> {
    let call = Call {
        step: "reading the status of the job",
        path: &format!("/v1/jobs/{job}?wait_ms={}", gate_wait.as_millis()),
        gate_wait,
        ..Call::default()
    };
    context.client.call(&call, None::<&()>).await
}

fn describe_state(status: &JobStatus) -> String {
    match &status.state {
        JobState::Queued => "queued".to_owned(),
        JobState::Running => format!("{} tasks run", status.running),
        JobState::Ended(outcome) => outcome.to_string(),
    }
}

fn table(jobs: &[JobStatus]) -> Table {
    let mut table = Table::new([
        "JOB",
        "QUEUE",
        "KIND",
        "TASKS",
        "QUEUED",
        "RUNNING",
        "SUCCEEDED",
        "STATE",
    ]);
    for status in jobs {
        let job = &status.job;
        table.add([
            job.id.to_string(),
            job.spec.queue.to_string(),
            job.kind.to_string(),
            job.spec.tasks.to_string(),
            status.queued.to_string(),
            status.running.to_string(),
            status.succeeded.to_string(),
            describe_state(status),
        ]);
    }
    table
}
