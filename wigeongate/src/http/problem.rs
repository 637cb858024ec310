//! Failures, returned to callers and operators as problem documents.

use derive_more::Display;
use warp::http::StatusCode;
use warp::http::header::{CONTENT_TYPE, HeaderValue};
use warp::reply::{Reply, Response};
use wigeongate_api::problem::{self, Execution, Problem};
use wigeongate_core::ids::JobId;

/// A kind of failure; each has a stable problem type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FailureKind {
    /// The request has no key or an unknown one.
    #[display("the key is not accepted")]
    InvalidKey,
    /// The queue does not exist or does not accept this work.
    #[display("the queue does not take this work")]
    WrongQueue,
    /// The request is not valid.
    #[display("the request is malformed")]
    Malformed,
    /// The body is larger than the limit.
    #[display("the request is too large")]
    TooLarge,
    /// The resource does not exist.
    #[display("not found")]
    NotFound,
    /// A queue or a memory limit is full; a retry may succeed.
    #[display("there is no room")]
    Busy,
    /// The request cannot be answered before its deadline.
    #[display("the deadline cannot be met")]
    Deadline,
    /// The body was not received in time.
    #[display("the request came too slowly")]
    SlowBody,
    /// The idempotency key was used for a different request before.
    #[display("the idempotency key belongs to another request")]
    Mismatch,
    /// A component that the gate needs does not answer.
    #[display("a part of the system does not answer")]
    Unavailable,
    /// Another change or submission came first.
    #[display("another change came first")]
    Conflict,
    /// No response arrived; the outcome is unknown.
    #[display("the outcome is unknown")]
    UnknownOutcome,
}

impl FailureKind {
    const fn name(self) -> &'static str {
        match self {
            Self::InvalidKey => "key",
            Self::WrongQueue => "queue",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::NotFound => "not-found",
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::SlowBody => "slow",
            Self::Mismatch => "mismatch",
            Self::Unavailable => "unavailable",
            Self::Conflict => "raced",
            Self::UnknownOutcome => "lost",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::WrongQueue => StatusCode::FORBIDDEN,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Busy => StatusCode::TOO_MANY_REQUESTS,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Deadline | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Conflict => StatusCode::CONFLICT,
            Self::UnknownOutcome => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A failure that is returned to a caller or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    kind: FailureKind,
    detail: String,
    execution: Execution,
    job: Option<JobId>,
}

impl Failure {
    /// Adds the job whose status shows the outcome.
    #[must_use]
    pub const fn with_job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Creates a failure of work that did not run and will not run.
    pub fn not_run(kind: FailureKind, detail: &str) -> Self {
        Self {
            kind,
            detail: detail.to_owned(),
            execution: Execution::NotRun,
            job: None,
        }
    }

    /// Marks the execution of a request with an idempotency key as unknown where an earlier
    /// request with the key may have run.
    ///
    /// The request was refused before the owner of the key was asked. Only a refusal that every
    /// earlier attempt would have received as well proves that none of them ran.
    #[must_use]
    pub fn for_keyed_request(mut self) -> Self {
        let transient = matches!(
            self.kind,
            FailureKind::InvalidKey
                | FailureKind::Busy
                | FailureKind::SlowBody
                | FailureKind::Unavailable
        );
        if transient {
            self.execution = Execution::Unknown;
        }
        self
    }

    /// Creates a failure of work that may have run.
    pub fn unknown(detail: &str) -> Self {
        let execution = Execution::Unknown;
        Self {
            kind: FailureKind::UnknownOutcome,
            detail: detail.to_owned(),
            execution,
            job: None,
        }
    }

    /// Converts the failure into a response with a problem document.
    pub fn into_response(self) -> Response {
        let status = self.kind.status();
        let problem = Problem {
            kind: format!("/problems/{}", self.kind.name()),
            title: self.kind.to_string(),
            status: status.as_u16(),
            detail: self.detail,
            execution: self.execution,
            job: self.job,
        };
        let body = warp::reply::json(&problem);
        let mut response = warp::reply::with_status(body, status).into_response();
        let media = HeaderValue::from_static(problem::CONTENT_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, media);
        response
    }
}
