//! Calls about forwarded requests.

use serde::{Deserialize, Serialize};
use wigeongate_config::key::KeyHash;
use wigeongate_core::ids::{QueueId, RequestId, TeamId};
use wigeongate_core::time::Millis;

/// A call to the owner of a lane or of a journal partition.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestCall {
    /// Run a request on a backend server of a lane.
    Run(ForwardedRequest),
    /// Run a request at most once for its idempotency key.
    Once(IdempotentRequest),
}

/// A request that was admitted by another gate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The identifier of the request.
    pub id: RequestId,
    /// The team that sent the request.
    pub team: TeamId,
    /// The hash of the API key that came with the request; once the key is withdrawn, the request
    /// is not started.
    pub key: KeyHash,
    /// The queue of the request.
    pub queue: QueueId,
    /// The path after the name of the queue.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The time until the deadline, in milliseconds.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Whether the request may wait for a slot at the called gate.
    #[serde(rename = "waits")]
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
    /// The complete answer of a backend server.
    Answer {
        /// The status code.
        status: u16,
        /// The media type.
        media: Option<String>,
        /// The body.
        body: Vec<u8>,
        /// Whether this is the kept answer to an earlier request with the same idempotency key.
        #[serde(rename = "again")]
        replayed: bool,
    },
    /// The request failed.
    Error(RequestError),
}

/// The reason why a request failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestError {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// Whether the owner of the idempotency key's journal partition decided this, so that a retry
    /// changes nothing.
    #[serde(rename = "decided")]
    pub is_final: bool,
    /// The cause, with the step and the peer.
    pub detail: String,
}

/// The kinds of request errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The request did not run: too many requests are waiting.
    Full,
    /// The request did not run: its deadline cannot be met.
    Late,
    /// The request did not run: no backend server could be reached.
    Unreachable,
    /// The request did not run: its API key was withdrawn while it waited.
    Withdrawn,
    /// The request did not run: the gate is stopping, or does not own the lane or the journal
    /// partition that the call is for.
    Elsewhere,
    /// The request did not run: the intent to run it cannot be recorded now.
    Record,
    /// The request did not run: its idempotency key belongs to another request.
    Mismatch,
    /// The request may have run.
    Unknown,
    /// The request ran, but its answer was not kept.
    Ran,
}

impl ErrorKind {
    /// Returns whether the request certainly did not run and will not.
    pub const fn not_run(self) -> bool {
        !matches!(self, Self::Unknown | Self::Ran)
    }
}

/// A summary of the state of a lane for the other gates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaneDigest {
    /// The number of the lane.
    pub lane: u16,
    /// The number of free slots of its usable backend servers.
    pub free: u32,
    /// The number of all slots of its usable backend servers.
    pub slots: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The teams that have reached their share of their limit in this lane.
    #[serde(rename = "full")]
    pub full_teams: Vec<TeamId>,
}
