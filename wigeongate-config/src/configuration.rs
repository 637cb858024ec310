//! The configuration that operators control, as stored.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Revision, ZoneId};

use crate::inventory::Inventory;
use crate::key::KeyHash;
use crate::rules::Rules;

/// Format version that this program writes; newer versions are rejected.
pub const FORMAT: u32 = 1;

/// Maximum number of withdrawn keys kept; the oldest is dropped first.
pub const WITHDRAWN_KEYS_LIMIT: usize = 4_096;

/// One revision of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Format version of this document.
    pub format: u32,
    /// Revision number. Invariant: each accepted change increments it by one.
    pub revision: Revision,
    /// Inventory of regions, hosts, backend servers, teams and keys.
    pub inventory: Inventory,
    /// Rules for queues and placement.
    pub rules: Rules,
    /// Availability zones that are out of service.
    pub zones_out: Vec<ZoneId>,
    /// Whether automatic actions are suspended.
    pub paused: bool,
    /// Hashes of withdrawn keys, oldest first. Invariant: none of them is in the inventory, so that
    /// applying an old inventory file does not restore a withdrawn key.
    #[serde(default)]
    pub withdrawn: Vec<KeyHash>,
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            format: FORMAT,
            revision: Revision::default(),
            inventory: Inventory::default(),
            rules: Rules::default(),
            zones_out: Vec::new(),
            paused: false,
            withdrawn: Vec::new(),
        }
    }
}
