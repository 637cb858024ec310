//! Changes that operators apply to a configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Revision, ZoneId};

use crate::check::Check;
use crate::configuration::{Configuration, WITHDRAWN_KEYS_LIMIT};
use crate::inventory::{Inventory, Key};
use crate::problem::{FieldPath, Problems};
use crate::rules::Rules;

/// A change to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Replace the inventory, the rules or both.
    Apply {
        /// The new inventory; `None` keeps the current one.
        inventory: Option<Inventory>,
        /// The new rules; `None` keeps the current ones.
        rules: Option<Rules>,
    },
    /// Add a team's key to the inventory.
    GrantKey {
        /// The key.
        key: Key,
    },
    /// Remove a key from the inventory and record it as withdrawn.
    WithdrawKey {
        /// The key's name.
        name: String,
    },
    /// Take an availability zone out of service.
    ZoneOut {
        /// The zone.
        zone: ZoneId,
    },
    /// Return an availability zone to service.
    ZoneIn {
        /// The zone.
        zone: ZoneId,
    },
    /// Suspend all automatic actions.
    Pause,
    /// Resume automatic actions.
    Resume,
}

/// The reason for rejecting a change; no part of a rejected change takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum InvalidChange {
    /// The change names an item that the inventory does not contain.
    #[display("{what} {name:?} is not in the inventory")]
    Unknown {
        /// Kind of the item.
        what: &'static str,
        /// Name of the item.
        name: String,
    },
    /// The change adds an item whose name is already in use.
    #[display("{what} {name:?} is already there")]
    Duplicate {
        /// Kind of the item.
        what: &'static str,
        /// Name of the item.
        name: String,
    },
    /// The change alters a field that cannot change after the first revision.
    #[display("{field} is {found} and cannot become {wanted}: {reason}")]
    Immutable {
        /// Path of the field.
        field: &'static str,
        /// Current value.
        found: u16,
        /// Requested value.
        wanted: u16,
        /// Why the field cannot change.
        reason: &'static str,
    },
    /// The resulting configuration would be invalid.
    #[display("{_0}")]
    Invalid(#[error(not(source))] Problems),
}

impl Configuration {
    /// Returns the next revision with `change` applied.
    ///
    /// Fails if the change names an unknown or duplicate item, alters an immutable field, or makes
    /// the configuration invalid.
    pub fn with_change(&self, change: Change) -> Result<Self, InvalidChange> {
        let mut next = self.clone();
        next.revision = Revision(self.revision.0 + 1);
        match change {
            Change::Apply { inventory, rules } => {
                next.inventory = inventory.unwrap_or(next.inventory);
                next.rules = rules.unwrap_or(next.rules);
                next.validate().map_err(InvalidChange::Invalid)?;
                self.check_journals_unchanged(&next)?;
            }
            Change::GrantKey { key } => next.grant(key)?,
            Change::WithdrawKey { name } => next.withdraw(&name)?,
            Change::ZoneOut { zone } => next.zone_out(zone)?,
            Change::ZoneIn { zone } => next.zones_out.retain(|out| *out != zone),
            Change::Pause => next.paused = true,
            Change::Resume => next.paused = false,
        }
        Ok(next)
    }

    /// Rejects a different number of journals, the parts of the record of non-idempotent requests.
    fn check_journals_unchanged(&self, next: &Self) -> Result<(), InvalidChange> {
        let found = self.rules.placement.journals;
        let wanted = next.rules.placement.journals;
        // No requests are recorded before the first change.
        if self.revision == Revision::default() || found == wanted {
            return Ok(());
        }
        Err(InvalidChange::Immutable {
            field: "rules.placement.journals",
            found,
            wanted,
            reason: "request keys would map to parts whose owners have no record of them",
        })
    }

    fn grant(&mut self, key: Key) -> Result<(), InvalidChange> {
        if !self
            .inventory
            .teams
            .iter()
            .any(|team| team.name == key.team)
        {
            return Err(InvalidChange::Unknown {
                what: "team",
                name: key.team.to_string(),
            });
        }
        if self.inventory.keys.iter().any(|old| old.name == key.name) {
            return Err(InvalidChange::Duplicate {
                what: "key",
                name: key.name,
            });
        }
        let index = self.inventory.keys.len();
        self.inventory.keys.push(key);
        let path = FieldPath::of("inventory").join("keys").join(index);
        let mut problems = Problems::default();
        self.check(&mut problems);
        problems.0.retain(|problem| path.contains(&problem.field));
        problems.into_result(()).map_err(InvalidChange::Invalid)
    }

    fn withdraw(&mut self, name: &str) -> Result<(), InvalidChange> {
        let keys = &mut self.inventory.keys;
        let unknown = || InvalidChange::Unknown {
            what: "key",
            name: name.to_owned(),
        };
        let index = keys.iter().position(|key| key.name == name);
        let key = keys.remove(index.ok_or_else(unknown)?);
        if self.withdrawn.len() >= WITHDRAWN_KEYS_LIMIT {
            self.withdrawn.remove(0);
        }
        self.withdrawn.push(key.hash);
        Ok(())
    }

    fn zone_out(&mut self, zone: ZoneId) -> Result<(), InvalidChange> {
        if !self.inventory.zones().any(|(_, known)| known.name == zone) {
            return Err(InvalidChange::Unknown {
                what: "availability zone",
                name: zone.to_string(),
            });
        }
        if !self.zones_out.contains(&zone) {
            self.zones_out.push(zone);
        }
        Ok(())
    }
}
