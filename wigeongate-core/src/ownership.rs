//! Ownership of units under leases in the platform's store.
//!
//! A gate rewrites its record every few seconds; this one write renews the leases of all its units.
//! The gate acts on its units only while, by its own clock, the last renewal known to have taken
//! effect is recent enough. Another gate evicts it by removing the record on condition that the
//! revision is still the one that it saw, so the store serialises renewals and evictions.

mod balance;
mod lease;
mod observer;

pub use self::balance::{Move, assign, next_move};
pub use self::lease::{Lease, PromiseMembers, ReadBack, RecordWrite, StoredRecord, WriteOutcome};
pub use self::observer::{Observer, PeerRecord, Verdict};
use crate::time::Millis;

/// Bound of the clock drift: the clocks of two processes diverge by less than one part in this
/// many.
const DRIFT_DIVISOR: u64 = 200;

/// Number of recorded members from which an owner may lack the promise of one member.
const TOLERANT_MIN_MEMBERS: usize = 4;

/// Durations of leases and promises.
///
/// Invariant: `promise + margin` is below `lease`, and `lease` is below `hold`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a renewal is valid.
    pub lease: Millis,
    /// How much earlier an owner stops, to cover clock drift and messages in flight.
    pub margin: Millis,
    /// How long a promise not to take over is valid.
    pub promise: Millis,
    /// How long after its last renewal an owner may act on promises.
    pub hold: Millis,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Millis::from_secs(6),
            margin: Millis::from_secs(1),
            promise: Millis::from_secs(3),
            hold: Millis::from_secs(1_800),
        }
    }
}

impl LeaseTiming {
    /// Returns `span` less the margin and the clock drift, for the process that must stop in time.
    #[must_use]
    pub const fn shortened(&self, span: Millis) -> Millis {
        span.since(Millis(self.margin.0 + span.0 / DRIFT_DIVISOR))
    }

    /// Returns how many of the recorded members must refuse a promise before an owner without a
    /// renewal has stopped; with one refusal fewer it may continue.
    pub const fn required_refusals(recorded: usize) -> usize {
        if recorded >= TOLERANT_MIN_MEMBERS {
            2
        } else {
            1
        }
    }
}
