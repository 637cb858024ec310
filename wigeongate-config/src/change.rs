//! Changes that operators make to a configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Revision, ZoneId};

use crate::check::Check;
use crate::configuration::{Configuration, WITHDRAWN_KEYS_LIMIT};
use crate::inventory::{Inventory, Key};
use crate::problem::{FieldPath, Problems};
use crate::rules::Rules;

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Replace the inventory, the rules or both.
    Apply {
        /// The new inventory; left out, it stays.
        inventory: Option<Inventory>,
        /// The new rules; left out, they stay.
        rules: Option<Rules>,
    },
    /// Add a key.
    GrantKey {
        /// The key.
        key: Key,
    },
    /// Remove a key.
    WithdrawKey {
        /// The key's name.
        name: String,
    },
    /// Take an availability zone out.
    ZoneOut {
        /// The zone.
        zone: ZoneId,
    },
    /// Bring an availability zone back.
    ZoneIn {
        /// The zone.
        zone: ZoneId,
    },
    /// Hold back every automatic action.
    Pause,
    /// Lift the pause.
    Resume,
}

/// Why a change was refused; nothing of it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum InvalidChange {
    /// The change names something that is not there.
    #[display("{what} {name:?} is not in the inventory")]
    Unknown {
        /// What kind of thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// The change adds something that is already there.
    #[display("{what} {name:?} is already there")]
    Duplicate {
        /// What kind of thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// The change alters what is fixed once it was set.
    #[display("{field} is {found} and cannot become {wanted}: {reason}")]
    Immutable {
        /// The field.
        field: &'static str,
        /// What it is.
        found: u16,
        /// What was asked for.
        wanted: u16,
        /// Why it cannot be changed.
        reason: &'static str,
    },
    /// The changed configuration would be wrong.
    #[display("{_0}")]
    Invalid(#[error(not(source))] Problems),
}

impl Configuration {
    /// Returns the next revision, with `change` made.
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

    /// Refuses another number of parts of the record of non-idempotent requests.
    fn check_journals_unchanged(&self, next: &Self) -> Result<(), InvalidChange> {
        let found = self.rules.placement.journals;
        let wanted = next.rules.placement.journals;
        // Before the first change nothing was recorded.
        if self.revision == Revision::default() || found == wanted {
            return Ok(());
        }
        Err(InvalidChange::Immutable {
            field: "rules.placement.journals",
            found,
            wanted,
            reason: "keys would move to parts whose homes have not seen them",
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
