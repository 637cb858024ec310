//! Faults that can be injected into a backend server.

use serde::{Deserialize, Serialize};

/// Faults injected into a backend server.
///
/// Each `*_every` field is a period, counted in accepted requests; zero disables the fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFault {
    /// Delay added to each run, in milliseconds.
    pub delay_ms: u64,
    /// Every nth request gets the response of the request that finished before it.
    pub cross_every: u64,
    /// Every nth response is cut off in the middle of its body.
    pub cut_every: u64,
    /// Every nth request runs but gets no response.
    pub lose_every: u64,
    /// Every nth request is recorded as two runs, which simulates duplicate execution.
    pub twice_every: u64,
    /// All requests are refused as if no slot were free.
    pub refuse: bool,
}

/// Fault applied to one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseFault {
    None,
    /// The response belongs to another request.
    Swapped,
    /// The body ends with an error after its first half.
    Truncated,
    /// No response is sent.
    Lost,
}

impl BackendFault {
    /// Returns the fault for the response to the request with this index, counted from zero.
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

    /// Returns whether the request with this index, counted from zero, is recorded as two runs.
    pub(super) const fn runs_twice(&self, request_index: u64) -> bool {
        is_due(request_index, self.twice_every)
    }
}

/// Returns whether an index is the last of a period of `every` indices.
const fn is_due(request_index: u64, every: u64) -> bool {
    every > 0 && request_index % every == every - 1
}
