//! What can go wrong with the store.

use serde::{Deserialize, Serialize};

/// What goes wrong with the store's answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFault {
    /// Every call fails without taking effect.
    pub down: bool,
    /// Every call takes this long, in milliseconds.
    pub delay_ms: u64,
    /// Every nth write takes effect but its answer is an error; zero for none.
    pub lose_every: u64,
}
