//! What gates keep in the store about themselves and their units.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wigeongate_api::etcd::Bytes;
use wigeongate_core::ids::{GateId, Unit, ZoneId};
use wigeongate_core::ownership::{Promisers, Recorded, Seen};

/// The format that this program writes; a newer one is not read.
pub const RECORD_FORMAT: u32 = 1;

/// What the keys of gates start with.
pub const GATES_PREFIX: &str = "gates/";

/// What the keys of units start with.
pub const UNITS_PREFIX: &str = "units/";

/// A gate's record, rewritten every few seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateRecord {
    /// The format of this record.
    pub format: u32,
    /// The gate.
    pub gate: GateId,
    /// Drawn at random when its process started or after it was evicted.
    pub incarnation: u64,
    /// Grows with each write of this incarnation.
    pub sequence: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for the other gates.
    pub peer: SocketAddr,
    /// Its certificate, when no authority signs it.
    pub certificate: Bytes,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The members whose promises let it act beyond its lease.
    pub members: Promisers,
}

impl GateRecord {
    /// Returns the part that the owner's lease is about.
    pub const fn seen(&self, revision: i64) -> Seen {
        Seen {
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision,
        }
    }

    /// Returns the part that other gates observe.
    pub fn recorded(&self, revision: i64) -> Recorded {
        Recorded {
            incarnation: self.incarnation,
            place: self.peer,
            members: self.members.clone(),
            revision,
        }
    }
}

/// The gate that owns a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The gate.
    pub gate: GateId,
    /// Its incarnation when it took the unit.
    pub incarnation: u64,
}

/// A unit's record; the revision of its last change is the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRecord {
    /// The format of this record.
    pub format: u32,
    /// The unit.
    pub unit: Unit,
    /// The owner; none after an orderly handover.
    pub owner: Option<Owner>,
    /// The gate that should take it next.
    pub next: Option<GateId>,
}

/// Returns the key of a gate's record.
pub fn gate_key(gate: &GateId) -> String {
    format!("{GATES_PREFIX}{gate}")
}

/// Returns the key of a unit's record.
pub fn unit_key(unit: &Unit) -> String {
    format!("{UNITS_PREFIX}{unit}")
}

/// Encodes a record.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    // Records have text keys only, so encoding cannot fail.
    serde_json::to_vec(record).unwrap_or_default()
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}

/// Decodes a record; one of a newer format or of another shape is none.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let Format { format } = serde_json::from_slice(value).ok()?;
    if format > RECORD_FORMAT {
        return None;
    }
    serde_json::from_slice(value).ok()
}
