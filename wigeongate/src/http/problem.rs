//! Failures as problem documents.

use derive_more::Display;
use warp::http::StatusCode;
use warp::http::header::{CONTENT_TYPE, HeaderValue};
use warp::reply::{Reply, Response};
use wigeongate_api::problem::{self, Execution, Problem};
use wigeongate_core::ids::JobId;

/// The kinds of failure; each has a stable `type`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FailureKind {
    /// No key, or one that stands for nobody.
    #[display("the key is not accepted")]
    InvalidKey,
    /// The queue takes other work.
    #[display("the queue does not take this work")]
    WrongQueue,
    /// What was sent cannot be understood.
    #[display("the request is malformed")]
    Malformed,
    /// The body is larger than the bound.
    #[display("the request is too large")]
    TooLarge,
    /// There is nothing there.
    #[display("not found")]
    NotFound,
    /// There is no room now.
    #[display("there is no room")]
    Busy,
    /// The deadline cannot be met.
    #[display("the deadline cannot be met")]
    Deadline,
    /// The body came too slowly.
    #[display("the request came too slowly")]
    SlowBody,
    /// The idempotency key came with another request before.
    #[display("the idempotency key belongs to another request")]
    Mismatch,
    /// Something that the gate needs does not answer.
    #[display("a part of the system does not answer")]
    Unavailable,
    /// Another change came first.
    #[display("another change came first")]
    Conflict,
    /// The answer did not come.
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

/// A failure that the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    kind: FailureKind,
    detail: String,
    execution: Execution,
    job: Option<JobId>,
}

impl Failure {
    /// Names the job to ask about later.
    #[must_use]
    pub const fn with_job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// The work did not run and will not.
    pub fn not_run(kind: FailureKind, detail: &str) -> Self {
        Self {
            kind,
            detail: detail.to_owned(),
            execution: Execution::NotRun,
            job: None,
        }
    }

    /// Says of a request with an idempotency key only what is certain before its home was asked.
    ///
    /// An earlier request with the key may have run, unless the same request would always have
    /// been refused.
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

    /// The work may have run.
    pub fn unknown(detail: &str) -> Self {
        let execution = Execution::Unknown;
        Self {
            kind: FailureKind::UnknownOutcome,
            detail: detail.to_owned(),
            execution,
            job: None,
        }
    }

    /// Returns the response.
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
