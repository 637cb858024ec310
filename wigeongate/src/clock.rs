//! The clocks of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use wigeongate_core::time::Millis;

/// A monotonic clock that starts at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock {
    /// Reads the clock.
    pub fn now(&self) -> Millis {
        self.0.elapsed().into()
    }
}

/// Reads the wall clock, in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from(elapsed).0
}

/// A clock that also counts the time in which the machine was suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Reads the clock.
    pub fn now(self) -> Millis {
        let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
            .map(std::time::Duration::from)
            .unwrap_or_default();
        time.into()
    }
}
