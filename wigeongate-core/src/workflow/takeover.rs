//! The delay before a gate takes over a free ownership.

use crate::time::Millis;

/// The processor share below which a gate lets others take over first, in cores; calls to 350
/// executors use a fifth of a core.
const SMALL_CORES: f64 = 0.25;

/// The additional delay of a gate on a small host, in milliseconds: by then the other gates have
/// seen the free ownership and tried to take it.
const SMALL_WAIT_MS: u64 = 300;

/// The upper bound of the random delay of every gate, in milliseconds, so that few gates try at
/// once.
const SPREAD_MS: u64 = 120;

/// Returns the delay before a gate with this many cores takes over; `random` spreads the gates.
pub fn takeover_wait(cores: f64, random: u64) -> Millis {
    let spread = random % SPREAD_MS;
    if cores < SMALL_CORES {
        Millis(SMALL_WAIT_MS + spread)
    } else {
        Millis(spread)
    }
}
