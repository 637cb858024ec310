//! The records of gates and units in the store.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wigeongate_api::etcd::Bytes;
use wigeongate_core::ids::{GateId, Unit, ZoneId};
use wigeongate_core::ownership::{PeerRecord, PromiseMembers, StoredRecord};

/// The format version that this program writes; records of a newer one are ignored.
pub const RECORD_FORMAT: u32 = 1;

/// The prefix of the keys of gate records.
pub const GATES_PREFIX: &str = "gates/";

/// The prefix of the keys of unit records.
pub const UNITS_PREFIX: &str = "units/";

/// The record of a gate, rewritten every few seconds to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateRecord {
    /// The format of this record.
    pub format: u32,
    /// The name of the gate.
    pub gate: GateId,
    /// A random number, drawn when the process started or after the gate was evicted.
    pub incarnation: u64,
    /// The number of this write; grows with each write of the incarnation.
    pub sequence: u64,
    /// The availability zone of the gate.
    pub zone: ZoneId,
    /// The UDP address at which the gate listens for other gates.
    pub peer: SocketAddr,
    /// The certificate of the gate in DER; empty if an authority signs it.
    pub certificate: Bytes,
    /// Whether the gate is about to stop.
    pub leaving: bool,
    /// The members whose promises let the gate act after its lease has expired.
    pub members: PromiseMembers,
}

impl GateRecord {
    /// Returns the part that the gate's own lease uses.
    pub const fn seen(&self, revision: i64) -> StoredRecord {
        StoredRecord {
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision,
        }
    }

    /// Returns the part that other gates use to decide on an eviction.
    pub fn recorded(&self, revision: i64) -> PeerRecord {
        PeerRecord {
            incarnation: self.incarnation,
            address: self.peer,
            members: self.members.clone(),
            revision,
        }
    }
}

/// The owner of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The gate.
    pub gate: GateId,
    /// The incarnation of the gate when it took the unit.
    pub incarnation: u64,
}

/// The record of a unit; the revision of its last change is the epoch of the ownership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRecord {
    /// The format of this record.
    pub format: u32,
    /// The unit.
    pub unit: Unit,
    /// The owner; `None` once the owner has released the unit.
    pub owner: Option<Owner>,
    /// The gate that the unit is handed over to.
    pub next: Option<GateId>,
}

/// Returns the key of the record of a gate.
pub fn gate_key(gate: &GateId) -> String {
    format!("{GATES_PREFIX}{gate}")
}

/// Returns the key of the record of a unit.
pub fn unit_key(unit: &Unit) -> String {
    format!("{UNITS_PREFIX}{unit}")
}

/// Encodes a record as JSON.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    // Records have text keys only, so encoding cannot fail.
    serde_json::to_vec(record).unwrap_or_default()
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}

/// Decodes a record; returns `None` if it is malformed or has a newer format.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let Format { format } = serde_json::from_slice(value).ok()?;
    if format > RECORD_FORMAT {
        return None;
    }
    serde_json::from_slice(value).ok()
}
