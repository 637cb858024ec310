//! Ownership of units under leases that live in the platform's store.
//!
//! A gate rewrites its record every few seconds; that one write renews all of its units. It acts
//! on them only while its own clock says that the last renewal known to have taken effect is
//! young enough. Another gate evicts it by removing the record, with a comparison of the
//! revision it saw, so that renewal and eviction are serialised by the store.

mod balance;
mod lease;
mod observer;

pub use self::balance::{Move, assign, next_move};
pub use self::lease::{Lease, PromiseMembers, ReadBack, RecordWrite, StoredRecord, WriteOutcome};
pub use self::observer::{Observer, PeerRecord, Verdict};
use crate::time::Millis;

/// Clocks of two processes differ by less than one part in this many.
const DRIFT_DIVISOR: u64 = 200;

/// From this many recorded members on, an owner may lack the promise of one.
const TOLERANT_MIN_MEMBERS: usize = 4;

/// How long leases and promises run.
///
/// Invariant: `promise + margin` is below `lease`, and `lease` is below `hold`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a renewal counts.
    pub lease: Millis,
    /// How much earlier an owner stops, for drift and time in flight.
    pub margin: Millis,
    /// How long a promise not to take over counts.
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
    /// Returns a span as the one that must stop in time counts it.
    #[must_use]
    pub const fn shortened(&self, span: Millis) -> Millis {
        span.since(Millis(self.margin.0 + span.0 / DRIFT_DIVISOR))
    }

    /// Returns how many recorded members must refuse before an owner without renewal has stopped;
    /// with one refusal less it may go on.
    pub const fn required_refusals(recorded: usize) -> usize {
        if recorded >= TOLERANT_MIN_MEMBERS {
            2
        } else {
            1
        }
    }
}
