//! Messages between gates, encoded with postcard.

pub mod jobs;
pub mod members;
pub mod requests;

use derive_more::From;
use serde::{Deserialize, Serialize};

/// A call to another gate.
#[derive(Debug, Clone, Serialize, Deserialize, From)]
pub enum Call {
    /// A call about jobs.
    Job(jobs::JobCall),
    /// A call about forwarded requests.
    Request(requests::RequestCall),
}

/// The reply to a call.
#[derive(Debug, Clone, Serialize, Deserialize, From)]
pub enum Reply {
    /// A reply to a call about jobs.
    Job(jobs::JobReply),
    /// A reply to a call about forwarded requests.
    Request(requests::RequestReply),
    /// The called gate cannot carry out the call and has done nothing; holds the cause.
    #[from(skip)]
    NotDone(String),
}

/// A summary of the state of a gate, sent to the others when it changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The pools that the gate owns.
    pub pools: Vec<jobs::PoolDigest>,
    /// The lanes that the gate owns.
    pub lanes: Vec<requests::LaneDigest>,
}
