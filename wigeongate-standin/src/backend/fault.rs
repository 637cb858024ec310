//! What can go wrong with a backend server.

use serde::{Deserialize, Serialize};

/// What goes wrong with a backend server; each `every` is a period in answers, zero for never.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFault {
    /// Each run takes this much longer, in milliseconds.
    pub delay_ms: u64,
    /// Every nth request gets the answer of the one before.
    pub cross_every: u64,
    /// Every nth answer is cut in the middle of its body.
    pub cut_every: u64,
    /// Every nth request runs and is not answered.
    pub lose_every: u64,
    /// Every nth request is run twice.
    pub twice_every: u64,
    /// Every request is refused as if no slot were free.
    pub refuse: bool,
}

/// What goes wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseFault {
    None,
    Swapped,
    Truncated,
    Lost,
}

impl BackendFault {
    /// Returns what goes wrong with the nth answer.
    pub(super) const fn response_fault(&self, request_index: u64) -> ResponseFault {
        if is_due(request_index, self.cross_every) {
            ResponseFault::Swapped
        } else if is_due(request_index, self.cut_every) {
            ResponseFault::Truncated
        } else if is_due(request_index, self.lose_every) {
            ResponseFault::Lost
        } else {
            ResponseFault::None
        }
    }

    /// Returns whether the nth request is run twice.
    pub(super) const fn runs_twice(&self, request_index: u64) -> bool {
        is_due(request_index, self.twice_every)
    }
}

const fn is_due(request_index: u64, every: u64) -> bool {
    every > 0 && request_index % every == every - 1
}
