//! Time in the decision logic.

use derive_more::{Add, AddAssign, Display, From, Into, Sub, Sum};
use serde::{Deserialize, Serialize};

/// A span of time, or a reading of a monotonic clock, in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Add,
    AddAssign,
    Sub,
    Sum,
    From,
    Into,
    Display,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A span of zero.
    pub const ZERO: Self = Self(0);

    /// Returns a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the span from `earlier` to `self`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl From<Millis> for std::time::Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(span: std::time::Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
