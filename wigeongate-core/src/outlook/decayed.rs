//! Sums and means that forget exponentially.

use super::fraction;
use crate::time::Millis;

/// A sum whose contributions decay with a time constant.
#[derive(Debug, Clone, Copy)]
pub struct DecayedSum {
    value: f64,
    at: Millis,
    constant_ms: f64,
}

impl DecayedSum {
    /// Creates a sum of zero with a time constant in milliseconds.
    pub const fn new(constant_ms: f64) -> Self {
        Self {
            value: 0.0,
            at: Millis::ZERO,
            constant_ms,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.value = self.value(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the sum at a time.
    pub fn value(&self, now: Millis) -> f64 {
        let age_ms = fraction(now.since(self.at).0);
        self.value * (-age_ms / self.constant_ms).exp()
    }

    /// Returns the amount added per millisecond.
    pub fn rate(&self, now: Millis) -> f64 {
        self.value(now) / self.constant_ms
    }
}
