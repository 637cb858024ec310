//! Messages between operators' tools and gates.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{GateId, PoolId, Revision, TeamId, ZoneId};
use wigeongate_core::resources::Resources;

/// The answer to an accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The revision that holds the change.
    pub revision: Revision,
}

/// What a gate says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateStatus {
    /// The gate.
    pub gate: GateId,
    /// The revision of the configuration in force there.
    pub revision: Revision,
    /// Whether the store answers it.
    pub store: bool,
    /// How the gates stand, as far as this one can tell.
    #[serde(default)]
    pub cluster: ClusterStatus,
}

/// How the gates stand together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClusterStatus {
    /// The newest accepted revision of the configuration.
    pub accepted: Revision,
    /// The newest revision that is in force everywhere: each member of the present membership has
    /// it, or is known to have stopped admitting work.
    pub everywhere: Revision,
    /// Whether this gate's calls of the store are answered: `closed`, or `open` for how long.
    pub store: String,
    /// The gates in order of their names.
    pub gates: Vec<GateEntry>,
}

/// One gate's standing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateEntry {
    /// The gate.
    pub gate: GateId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How it stands: `present`, `leaving`, `without store`, `cut off` or `silent`.
    #[serde(rename = "standing")]
    pub status: String,
    /// The revision of the configuration in force there.
    pub revision: Revision,
    /// How many units it owns.
    pub units: u32,
}

/// An automatic action that the pause holds back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEntry {
    /// The pool in which it is due.
    pub pool: PoolId,
    /// What would be done.
    pub action: String,
}

/// One team's standing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// Its weight when the fleet is full.
    pub share: u32,
    /// What it may have running at most.
    pub limit: Resources,
    /// What it has running.
    pub running: Resources,
    /// Tasks that wait.
    pub queued: u64,
}
