//! How long a gate waits before it takes over an ownership that is free.

use crate::time::Millis;

/// The processor share under which a gate lets others take over first, in cores: the calls of 350
/// executors take a fifth of a core.
const SMALL_CORES: f64 = 0.25;

/// How much longer a gate on a small host waits, in milliseconds: the others have seen the same
/// change and tried by then.
const SMALL_WAIT_MS: u64 = 300;

/// The longest wait of a gate on a large host, in milliseconds, so that few try at once.
const SPREAD_MS: u64 = 120;

/// Returns how long a gate with so many cores waits before it takes over.
pub fn takeover_wait(cores: f64, random: u64) -> Millis {
    let spread = random % SPREAD_MS;
    if cores < SMALL_CORES {
        Millis(SMALL_WAIT_MS + spread)
    } else {
        Millis(spread)
    }
}
