//! Faults that can be injected into the store.

use serde::{Deserialize, Serialize};

/// Faults injected into the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// All calls fail without effect, and open watches end.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
    /// Every nth write takes effect but returns an error; zero disables the fault.
    pub lose_every: u64,
}
