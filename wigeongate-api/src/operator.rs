//! Messages between operators' tools and gates.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{GateId, PoolId, Revision, TeamId, ZoneId};
use wigeongate_core::resources::Resources;

/// The response to an accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The revision that contains the change.
    pub revision: Revision,
}

/// The status of a gate and its view of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateStatus {
    /// The gate.
    pub gate: GateId,
    /// The revision of the configuration in force at the gate.
    pub revision: Revision,
    /// Whether the store answers the calls of the gate.
    pub store: bool,
    /// The status of all gates, as known to this gate.
    #[serde(default)]
    pub cluster: ClusterStatus,
}

/// The status of all gates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClusterStatus {
    /// The newest accepted revision of the configuration.
    pub accepted: Revision,
    /// The newest revision that is in force everywhere: each member of the current membership has
    /// it or is known to have stopped admitting work.
    pub everywhere: Revision,
    /// The state of this gate's circuit breaker for calls to the store: `closed` while they are
    /// answered, otherwise `open for` and a duration.
    pub store: String,
    /// The gates, sorted by name.
    pub gates: Vec<GateEntry>,
}

/// The status of one gate in the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateEntry {
    /// The gate.
    pub gate: GateId,
    /// The availability zone of the gate.
    pub zone: ZoneId,
    /// The state of the gate: `present`, `leaving`, `without store`, `cut off` or `silent`.
    #[serde(rename = "standing")]
    pub status: String,
    /// The revision of the configuration in force at the gate.
    pub revision: Revision,
    /// The number of units that the gate owns.
    pub units: u32,
}

/// An automatic action that the pause holds back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEntry {
    /// The pool that the action belongs to.
    pub pool: PoolId,
    /// A description of the action.
    pub action: String,
}

/// The limits and the usage of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// The weight of the team when the fleet is full.
    pub share: u32,
    /// The maximum resources of the running tasks of the team.
    pub limit: Resources,
    /// The resources of the running tasks of the team.
    pub running: Resources,
    /// The number of queued tasks.
    pub queued: u64,
}
