//! One revision of everything that operators decide, as the store keeps it.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Revision, ZoneId};

use crate::inventory::Inventory;
use crate::key::KeyHash;
use crate::rules::Rules;

/// The format that this program writes; a newer one is refused.
pub const FORMAT: u32 = 1;

/// How many withdrawn keys are remembered.
pub const WITHDRAWN_KEYS_LIMIT: usize = 4_096;

/// One revision of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The format of this document.
    pub format: u32,
    /// Its revision. Invariant: each accepted change raises it by one.
    pub revision: Revision,
    /// The inventory.
    pub inventory: Inventory,
    /// The rules.
    pub rules: Rules,
    /// Availability zones that were taken out.
    pub zones_out: Vec<ZoneId>,
    /// Whether every automatic action is held back.
    pub paused: bool,
    /// Hashes of keys that were withdrawn, the oldest first. Invariant: none of them is among the
    /// keys of the inventory, so that an old inventory file brings no withdrawn key back.
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
