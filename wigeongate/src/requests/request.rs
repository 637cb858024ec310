//! Requests admitted to a queue, their outcomes, and the conversions to messages between gates.

use std::sync::Arc;

use bytes::Bytes;
use wigeongate_config::key::KeyHash;
use wigeongate_core::admission::{QueuedRequest, Refusal};
use wigeongate_core::class::Class;
use wigeongate_core::ids::{QueueId, RequestId, TeamId};
use wigeongate_core::time::Millis;

use crate::backend::{BackendError, BackendResponse, Fault};
use crate::message::requests::{ErrorKind, ForwardedRequest, RequestError, RequestReply};

/// A request whose key and queue have been checked.
#[derive(Debug, Clone)]
pub struct QueueRequest {
    /// The identifier of this attempt.
    pub id: RequestId,
    /// The team that sent the request.
    pub team: TeamId,
    /// The hash of the key that the request was sent with.
    pub key: KeyHash,
    /// The queue.
    pub queue: QueueId,
    /// The class of the queue.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The path and query after the prefix that names the queue.
    pub path: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// When the response is due, on the monotonic clock of the request path, in milliseconds.
    pub deadline: Millis,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The response.
    pub response: BackendResponse,
    /// Whether the response was first given to an earlier request with the same idempotency key.
    pub replayed: bool,
}

/// The result of a request; the error says whether the request may have run.
pub type Outcome = Result<Completion, RequestError>;

impl QueueRequest {
    /// Returns the entry for the queue of waiting requests.
    pub fn to_waiting(&self) -> QueuedRequest {
        QueuedRequest {
            id: self.id,
            team: self.team.clone(),
            queue: self.queue.clone(),
            class: self.class,
            deadline: self.deadline,
        }
    }

    /// Returns the message that forwards the request to another gate.
    pub fn to_forwarded(&self, now: Millis, waits: bool) -> ForwardedRequest {
        ForwardedRequest {
            id: self.id,
            team: self.team.clone(),
            key: self.key.clone(),
            queue: self.queue.clone(),
            path: self.path.to_string(),
            body: self.body.to_vec(),
            time_left: self.deadline.since(now),
            may_wait: waits,
        }
    }
}

impl ErrorKind {
    /// Creates an error of this kind.
    pub fn with_detail(self, detail: impl Into<String>) -> RequestError {
        RequestError {
            kind: self,
            is_final: false,
            detail: detail.into(),
        }
    }
}

impl RequestError {
    /// Marks the error as the decision of the owner of the idempotency key.
    #[must_use]
    pub fn as_decided(mut self) -> Self {
        self.is_final = true;
        self
    }
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        let kind = match refusal {
            Refusal::Full => ErrorKind::Full,
            Refusal::Late => ErrorKind::Late,
        };
        kind.with_detail(refusal.to_string())
    }
}

/// Converts an outcome into the reply to another gate.
pub fn to_reply(outcome: Outcome) -> RequestReply {
    match outcome {
        Ok(Completion { response, replayed }) => RequestReply::Answer {
            status: response.status,
            media: response.media,
            body: response.body.to_vec(),
            replayed,
        },
        Err(error) => RequestReply::Error(error),
    }
}

/// Converts the reply of another gate into an outcome.
pub fn from_reply(reply: RequestReply) -> Outcome {
    match reply {
        RequestReply::Answer {
            status,
            media,
            body,
            replayed,
        } => Ok(Completion {
            response: BackendResponse {
                status,
                media,
                body: body.into(),
            },
            replayed,
        }),
        RequestReply::Error(error) => Err(error),
    }
}

/// Converts an error of a backend server into an error of a request.
pub fn from_backend(error: &BackendError) -> RequestError {
    let kind = match error {
        BackendError::Unknown { .. } => ErrorKind::Unknown,
        BackendError::NotRun { fault, .. } => match fault {
            Fault::Deadline => ErrorKind::Late,
            Fault::StaleEpoch => ErrorKind::Elsewhere,
            Fault::Server | Fault::MismatchedId | Fault::Full => ErrorKind::Unreachable,
        },
    };
    kind.with_detail(error.to_string())
}
