//! Routes through which callers submit, list, read and cancel jobs.

use std::sync::Arc;

use serde::Deserialize;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use wigeongate_api::caller::{Accepted, IDEMPOTENCY_HEADER, JobList};
use wigeongate_config::key::KeyHash;
use wigeongate_core::ids::{JobId, QueueId, TeamId};
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::time::Millis;

use super::{Failure, FailureKind, Shared, authenticate_team, respond};
use crate::jobs::{JobFailure, Submission, SubmissionToken};
use crate::live::LiveConfiguration;

/// The longest wait for the end of a job in one status request, in milliseconds.
const WAIT_LIMIT_MS: u64 = 60_000;

/// The largest number of tasks in one job.
const TASKS_LIMIT: u32 = 10_000;

/// The largest total length of the arguments of a command, in bytes.
const COMMAND_LIMIT_BYTES: usize = 16 << 10;

/// The query parameters of a job status request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StatusQuery {
    /// How long to wait for the job to end, in milliseconds.
    wait_ms: u64,
}

/// Returns the routes about jobs.
pub fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync {
    let limit = shared.settings.bounds.body_bytes;
    let with_shared = warp::any().map(move || shared.clone());
    let key = warp::header::optional::<String>("authorization");
    let body = warp::body::content_length_limit(limit);
    let submit = warp::post()
        .and(warp::path!("v1" / "jobs"))
        .and(with_shared.clone())
        .and(key)
        .and(warp::header::optional::<String>(IDEMPOTENCY_HEADER))
        .and(body.and(warp::body::json()))
        .then(
            |shared: Arc<Shared>, key: Option<String>, idempotency, spec| async move {
                respond(submit(&shared, key.as_deref(), idempotency, spec).await)
            },
        );
    let list = warp::get()
        .and(warp::path!("v1" / "jobs"))
        .and(with_shared.clone())
        .and(key)
        .then(|shared: Arc<Shared>, key: Option<String>| async move {
            respond(list(&shared, key.as_deref()).await)
        });
    let status = warp::get()
        .and(warp::path!("v1" / "jobs" / JobId))
        .and(with_shared.clone())
        .and(key)
        .and(warp::query())
        .then(
            |job, shared: Arc<Shared>, key: Option<String>, query| async move {
                respond(status(&shared, key.as_deref(), job, query).await)
            },
        );
    let cancel = warp::delete()
        .and(warp::path!("v1" / "jobs" / JobId))
        .and(with_shared)
        .and(key)
        .then(|job, shared: Arc<Shared>, key: Option<String>| async move {
            respond(cancel(&shared, key.as_deref(), job).await)
        });
    submit
        .or(list)
        .unify()
        .or(status)
        .unify()
        .or(cancel)
        .unify()
}

fn queue_kind(live: &LiveConfiguration, queue: &QueueId, team: &TeamId) -> Result<Kind, Failure> {
    let missing = || {
        Failure::not_run(
            FailureKind::WrongQueue,
            &format!("queue {queue} does not exist"),
        )
    };
    let found = live.queue(queue).ok_or_else(missing)?;
    if found.team.as_ref().is_some_and(|only| only != team) {
        let detail = format!("queue {queue} belongs to another team");
        return Err(Failure::not_run(FailureKind::WrongQueue, &detail));
    }
    Ok(found.kind)
}

async fn submit(
    shared: &Shared,
    key: Option<&str>,
    idempotency: Option<String>,
    spec: JobSpec,
) -> Result<Response, Failure> {
    let live = shared.configurations.live();
    shared.check_current()?;
    let team = authenticate_team(&live, key)?;
    let kind = queue_kind(&live, &spec.queue, &team)?;
    check_spec(kind, &spec)?;
    let token = idempotency.map(|key| SubmissionToken {
        key: KeyHash::of(&key).to_string(),
        body: KeyHash::of(&format!("{spec:?}")).to_string(),
    });
    let submission = Submission {
        team,
        kind,
        spec,
        token,
    };
    let job = shared
        .jobs
        .submit(submission)
        .await
        .map_err(|error| failure(&error))?;
    let body = warp::reply::json(&Accepted { job });
    Ok(warp::reply::with_status(body, StatusCode::ACCEPTED).into_response())
}

fn check_spec(kind: Kind, spec: &JobSpec) -> Result<(), Failure> {
    if kind == Kind::Request || !(1..=TASKS_LIMIT).contains(&spec.tasks) {
        let detail = format!("a job needs 1 to {TASKS_LIMIT} tasks and a queue that accepts jobs");
        return Err(Failure::not_run(FailureKind::Malformed, &detail));
    }
    let size: usize = spec.command.iter().map(String::len).sum();
    if size > COMMAND_LIMIT_BYTES {
        let detail = format!("a command may have at most {COMMAND_LIMIT_BYTES} bytes");
        return Err(Failure::not_run(FailureKind::TooLarge, &detail));
    }
    Ok(())
}

fn failure(failure: &JobFailure) -> Failure {
    let detail = failure.to_string();
    match failure {
        JobFailure::Missing => Failure::not_run(FailureKind::NotFound, &detail),
        JobFailure::Full => Failure::not_run(FailureKind::Busy, &detail),
        JobFailure::Mismatch => Failure::not_run(FailureKind::Conflict, &detail),
        JobFailure::NotDone(_) => Failure::not_run(FailureKind::Unavailable, &detail),
        JobFailure::Unknown { job, .. } => {
            Failure::unknown(&format!("{detail}; read the status of job {job}")).with_job(*job)
        }
    }
}

async fn list(shared: &Shared, key: Option<&str>) -> Result<Response, Failure> {
    shared.check_current()?;
    let team = authenticate_team(&shared.configurations.live(), key)?;
    let jobs = shared
        .jobs
        .list(&team)
        .await
        .map_err(|error| failure(&error))?;
    Ok(warp::reply::json(&JobList { jobs }).into_response())
}

async fn status(
    shared: &Shared,
    key: Option<&str>,
    job: JobId,
    query: StatusQuery,
) -> Result<Response, Failure> {
    shared.check_current()?;
    let team = authenticate_team(&shared.configurations.live(), key)?;
    let wait = Millis(query.wait_ms.min(WAIT_LIMIT_MS));
    let status = shared.jobs.status(&team, job, wait).await;
    let status = status.map_err(|error| failure(&error))?;
    Ok(warp::reply::json(&status).into_response())
}

async fn cancel(shared: &Shared, key: Option<&str>, job: JobId) -> Result<Response, Failure> {
    shared.check_current()?;
    let team = authenticate_team(&shared.configurations.live(), key)?;
    shared
        .jobs
        .cancel(&team, job)
        .await
        .map_err(|error| failure(&error))?;
    Ok(StatusCode::NO_CONTENT.into_response())
}
