//! Monotonic, wall and boot-time clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use wigeongate_core::time::Millis;

/// A monotonic clock that reads zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock {
    /// Returns the time since the clock was created, in milliseconds.
    pub fn now(&self) -> Millis {
        self.0.elapsed().into()
    }
}

/// Reads the wall clock, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from(elapsed).0
}

/// A monotonic clock that also counts time during which the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine booted, in milliseconds.
    pub fn now(self) -> Millis {
        let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
            .map(std::time::Duration::from)
            .unwrap_or_default();
        time.into()
    }
}
