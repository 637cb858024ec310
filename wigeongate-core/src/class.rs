//! Latency classes of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Latency class of a request.
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
    Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// An interactive caller waits for the answer.
    #[display("instant")]
    Instant,
    /// The answer is needed within the deadline.
    #[default]
    #[display("normal")]
    Normal,
    /// The request may wait until slots are free.
    #[display("slow")]
    Slow,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Instant, Self::Normal, Self::Slow];

    /// Returns the weight of the class relative to the others when slots are scarce.
    pub const fn weight(self) -> u64 {
        match self {
            Self::Instant => 16,
            Self::Normal => 4,
            Self::Slow => 1,
        }
    }
}
