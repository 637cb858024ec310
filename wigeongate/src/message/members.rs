//! What gates say to each other about themselves.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Epoch, GateId, Revision, Unit};

use super::{Call, Digest, Reply};

/// A frame of a gate, the only one on its stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// The gate that asks; its certificate must bear the name.
    pub from: GateId,
    /// What it asks.
    pub request: PeerRequest,
}

/// What a gate asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A call of one part to another.
    Call(Call),
    /// A sign of life.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Promise nothing to an owner until its record is newer.
    Refuse {
        /// The owner.
        owner: GateId,
        /// The revision of its record.
        revision: i64,
    },
    /// Tell the configuration in force.
    Configuration,
    /// Put this configuration in force unless a newer one is; a stored value.
    Push(Vec<u8>),
}

/// The reply to what a gate asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// To a call.
    Reply(Reply),
    /// To a sign of life.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatReply),
    /// It was done.
    Done,
    /// The configuration in force, as a stored value.
    Configuration(Vec<u8>),
}

/// How a gate stands by its own report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateReport {
    /// The incarnation.
    pub incarnation: u64,
    /// The revision of the configuration that it has in force.
    pub revision: Revision,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it takes callers' work.
    pub admits: bool,
    /// The gates that it has heard of late.
    pub recent_gates: Vec<GateId>,
}

/// A sign of life.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How the gate stands.
    pub report: GateReport,
    /// What its parts have to tell; left out when the other gate knows it.
    pub announcement: Option<Announcement>,
}

/// What a gate's parts have to tell the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Grows with each change.
    pub version: u64,
    /// What the parts published.
    pub digest: Arc<Digest>,
    /// The units that the gate owns.
    pub owned: Vec<(Unit, Epoch)>,
}

/// The answer to a sign of life.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// How the gate stands.
    pub report: GateReport,
    /// The version of the other gate's announcement that it knows.
    pub version: u64,
    /// Whether it promises not to take over from the other gate for now.
    pub promise: bool,
}
