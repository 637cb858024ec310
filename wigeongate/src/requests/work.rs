//! A request on its way, and how it ends.

use std::sync::Arc;

use bytes::Bytes;
use wigeongate_config::key::KeyHash;
use wigeongate_core::admission::{QueuedRequest, Refusal};
use wigeongate_core::class::Class;
use wigeongate_core::ids::{QueueId, RequestId, TeamId};
use wigeongate_core::time::Millis;

use crate::backend::{Answer, BackendError, Fault};
use crate::message::requests::{ErrorKind, ForwardedRequest, RequestError, RequestReply};

/// A request that was admitted by its key and its queue.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its identifier.
    pub id: RequestId,
    /// The team whose work it is.
    pub team: TeamId,
    /// The hash of the key that came with it.
    pub key: KeyHash,
    /// Its queue.
    pub queue: QueueId,
    /// The class of the queue.
    pub class: Class,
    /// Whether it may be sent more than once.
    pub idempotent: bool,
    /// The path behind the queue's name.
    pub path: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// When its answer is due, on the clock of the request path.
    pub deadline: Millis,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// Whether it was first given to an earlier request with the same idempotency key.
    pub again: bool,
}

/// How a request ends.
pub type Outcome = Result<Answered, RequestError>;

impl Work {
    /// Returns what the queue of waiting requests reads of it.
    pub fn waiting(&self) -> QueuedRequest {
        QueuedRequest {
            id: self.id,
            team: self.team.clone(),
            queue: self.queue.clone(),
            class: self.class,
            deadline: self.deadline,
        }
    }

    /// Returns the call that carries it to another gate.
    pub fn forwarded(&self, now: Millis, waits: bool) -> ForwardedRequest {
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
    /// Makes an error of this kind.
    pub fn because(self, detail: impl Into<String>) -> RequestError {
        RequestError {
            kind: self,
            is_final: false,
            detail: detail.into(),
        }
    }
}

impl RequestError {
    /// Says that the home of an idempotency key has decided so.
    #[must_use]
    pub fn finally(mut self) -> Self {
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
        kind.because(refusal.to_string())
    }
}

/// Turns an outcome into the reply to another gate.
pub fn reply(outcome: Outcome) -> RequestReply {
    match outcome {
        Ok(Answered { answer, again }) => RequestReply::Answer {
            status: answer.status,
            media: answer.media,
            body: answer.body.to_vec(),
            replayed: again,
        },
        Err(error) => RequestReply::Error(error),
    }
}

/// Turns the reply of another gate into an outcome.
pub fn outcome(reply: RequestReply) -> Outcome {
    match reply {
        RequestReply::Answer {
            status,
            media,
            body,
            replayed: again,
        } => Ok(Answered {
            answer: Answer {
                status,
                media,
                body: body.into(),
            },
            again,
        }),
        RequestReply::Error(error) => Err(error),
    }
}

/// Turns the error of a backend server into the error of a request.
pub fn error(error: &BackendError) -> RequestError {
    let kind = match error {
        BackendError::Unknown { .. } => ErrorKind::Unknown,
        BackendError::NotRun { fault, .. } => match fault {
            Fault::Deadline => ErrorKind::Late,
            Fault::Epoch => ErrorKind::Elsewhere,
            Fault::Server | Fault::Crossed | Fault::Full => ErrorKind::Unreachable,
        },
    };
    kind.because(error.to_string())
}
