//! Bounds the task leases that an owner grants after it may have lost the ownership.
//!
//! An owner that is cut off from the store goes on for a while, since an outage of the store must not
//! end the work of the fleet. Executors that only this owner reaches cannot learn of the next one. So
//! both sides follow one rule: with `renewed` the time at which the last confirmed renewal of the
//! ownership was sent,
//!
//! - no task lease that this owner grants ends later than `renewed + ttl + grant`;
//! - a new owner, which takes over no earlier than `renewed`, counts the runs of a silent host as
//!   running for `ttl + grant` from its takeover.

use super::host_lease::slowest;
use crate::time::Millis;

/// How long beyond one task lease an owner goes on granting leases once its ownership has ended, in
/// milliseconds. An outage of the store ends no work if it is shorter than this and a task lease.
const OUTAGE_MS: u64 = 2_000;

/// The time for the transit of a call and its answer, in milliseconds.
const TRANSIT_MS: u64 = 300;

/// The lease of the ownership and the longest lease of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// How long the ownership lasts after a renewal.
    pub ttl: Millis,
    /// The longest lease of a task.
    pub task_lease: Millis,
}

impl Tenure {
    /// Returns the latest end of a task lease that an owner may grant if the last confirmed renewal
    /// of its ownership was sent at `renewed`.
    pub fn last_grant(&self, renewed: Millis) -> Millis {
        renewed + self.ttl + self.grant()
    }

    /// Returns how long after its takeover a new owner counts the runs of a silent host as running.
    pub fn inherited_lease(&self) -> Millis {
        self.ttl + slowest(self.grant().0) + Millis(TRANSIT_MS)
    }

    fn grant(&self) -> Millis {
        self.task_lease + Millis(OUTAGE_MS)
    }
}
