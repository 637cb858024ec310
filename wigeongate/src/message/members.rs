//! Messages between gates about membership.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Epoch, GateId, Revision, Unit};

use super::{Call, Digest, Reply};

/// The frame that a gate sends, the only one on its stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// The sender; its certificate must be valid for this name.
    pub from: GateId,
    /// The request.
    #[serde(rename = "ask")]
    pub request: PeerRequest,
}

/// A request to another gate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A call to a part of the gate.
    Call(Call),
    /// A heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Refuse to promise anything to an owner until its record is newer than this revision.
    Refuse {
        /// The owner.
        owner: GateId,
        /// The revision of the owner's record.
        revision: i64,
    },
    /// Return the configuration in force.
    Configuration,
    /// Apply this configuration, encoded as in the store, unless a newer one is in force.
    Push(Vec<u8>),
}

/// The reply to a request of another gate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// The reply to a call.
    Reply(Reply),
    /// The reply to a heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatReply),
    /// The request was carried out.
    Done,
    /// The configuration in force, encoded as in the store.
    Configuration(Vec<u8>),
}

/// A gate's report about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateReport {
    /// The incarnation of the gate.
    pub incarnation: u64,
    /// The revision of the configuration in force at the gate.
    pub revision: Revision,
    /// Whether the store answers the gate.
    #[serde(rename = "store")]
    pub store_answers: bool,
    /// Whether the gate is about to stop.
    pub leaving: bool,
    /// Whether the gate may admit callers' work by its own contact with the store, by contact with
    /// a gate that the store answers, or by promises. False for a gate that only relies on the
    /// `admits` of others.
    pub admits: bool,
    /// The gates that sent it a message recently.
    #[serde(rename = "hears")]
    pub recent_gates: Vec<GateId>,
}

/// A heartbeat from one gate to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The gate's report about itself.
    #[serde(rename = "account")]
    pub report: GateReport,
    /// The gate's announcement; `None` once the other gate has acknowledged its version.
    #[serde(rename = "news")]
    pub announcement: Option<Announcement>,
}

/// The information that a gate publishes to all others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The version, which grows with each change.
    pub version: u64,
    /// The digest published by the parts of the gate.
    pub digest: Arc<Digest>,
    /// The units that the gate owns, with the epochs of the ownerships.
    #[serde(rename = "held")]
    pub owned: Vec<(Unit, Epoch)>,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The gate's report about itself.
    #[serde(rename = "account")]
    pub report: GateReport,
    /// The acknowledged version of the other gate's announcement.
    pub version: u64,
    /// Whether the gate promises not to take over from the other gate while the promise lasts.
    pub promise: bool,
}
