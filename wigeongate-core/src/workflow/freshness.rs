//! Decides whether what was read from the store is fresh enough for a start.
//!
//! Load pattern: hosts announce in the store that they drain or that their capacity has changed. While
//! the store is away they cannot, and all of them catch up within seconds of its return. So a view is
//! stale when it was read too long ago, and also when it was read right after an outage.

use crate::time::Millis;

/// The time between two answers of the store after which it counts as having been away, in
/// milliseconds. Each gate has a watch that is answered every second.
const GAP_MS: u64 = 2_000;

/// The time after the return of the store by which hosts have written what they could not write
/// before, in milliseconds: a heartbeat and its delay.
pub(super) const CATCH_UP_MS: u64 = 2_000;

/// The greatest age of a view on which a start may rest, in milliseconds. The watches are answered
/// every second; one answer may get lost.
const MAX_AGE_MS: u64 = 3_000;

/// The contact of one gate with the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreContact {
    /// When the last answer arrived; zero before the first.
    answered: Millis,
    /// When the first answer after the last outage arrived; zero if there was none.
    returned: Millis,
}

impl StoreContact {
    /// Records an answer of the store.
    pub fn record_answer(&mut self, now: Millis) {
        if self.answered > Millis::ZERO && now.since(self.answered).0 > GAP_MS {
            self.returned = now;
        }
        self.answered = now;
    }

    /// Returns whether a view may be used for a start, if its read was sent at `read`.
    pub fn is_fresh(&self, read: Millis, now: Millis) -> bool {
        let caught_up = self.returned == Millis::ZERO || now >= self.returned + Millis(CATCH_UP_MS);
        caught_up && read >= self.returned && now.since(read).0 <= MAX_AGE_MS
    }
}
