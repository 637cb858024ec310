//! Calls about forwarded requests.

use serde::{Deserialize, Serialize};
use wigeongate_config::key::KeyHash;
use wigeongate_core::ids::{QueueId, RequestId, TeamId};
use wigeongate_core::time::Millis;

/// A call to the owner of a lane or of a part of the journal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestCall {
    /// Run a request on a backend server of a lane.
    Run(ForwardedRequest),
    /// Run a request at most once for its idempotency key.
    Once(IdempotentRequest),
}

/// A request that another gate has admitted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Its identifier.
    pub id: RequestId,
    /// The team whose work it is.
    pub team: TeamId,
    /// The hash of the key that came with it; a withdrawn key stops it.
    pub key: KeyHash,
    /// Its queue.
    pub queue: QueueId,
    /// The path behind the queue's name.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The time that is left.
    pub time_left: Millis,
    /// Whether it may wait for a slot there.
    pub may_wait: bool,
}

/// A request with an idempotency key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct IdempotentRequest {
    /// The request.
    pub request: ForwardedRequest,
    /// The caller's idempotency key.
    pub idempotency: String,
}

/// The reply to a call about a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestReply {
    /// The whole answer.
    Answer {
        /// The status code.
        status: u16,
        /// The media type.
        media: Option<String>,
        /// The body.
        body: Vec<u8>,
        /// Whether it was first given to an earlier request with the same idempotency key.
        replayed: bool,
    },
    /// There is no answer.
    Error(RequestError),
}

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestError {
    /// The kind of error.
    pub kind: ErrorKind,
    /// Whether the home of an idempotency key has decided so; asking again changes nothing.
    pub is_final: bool,
    /// What was seen, with the step and the peer.
    pub detail: String,
}

/// The kinds of error of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// It did not run: too many requests wait.
    Full,
    /// It did not run: its deadline cannot be met.
    Late,
    /// It did not run: no backend server could be reached.
    Unreachable,
    /// It did not run: its key was withdrawn while it waited.
    Withdrawn,
    /// It did not run: the gate is stopping, or does not own what it was asked for.
    Elsewhere,
    /// It did not run: its intent cannot be recorded now.
    Record,
    /// It did not run: its idempotency key came with another request before.
    Mismatch,
    /// It may have run.
    Unknown,
    /// It ran, but its answer is not kept.
    Ran,
}

impl ErrorKind {
    /// Returns whether it is certain that the request did not run and will not.
    pub const fn not_run(self) -> bool {
        !matches!(self, Self::Unknown | Self::Ran)
    }
}

/// What a lane has to tell the other gates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaneDigest {
    /// The lane.
    pub lane: u16,
    /// Free slots of its usable backend servers.
    pub free: u32,
    /// Slots of its usable backend servers.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Teams that have reached their part of their limit in this lane.
    pub full_teams: Vec<TeamId>,
}
