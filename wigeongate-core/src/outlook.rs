//! Admission control: refuses jobs on arrival that would end worthless.
//!
//! The owner forecasts with a [`Forecaster`] how long a new job of each queue waits, and sends each
//! gate an [`Outlook`] with the gate's own portion of the capacity. The gate decides on each arriving
//! job with an [`AdmissionControl`]. A forecast may be wrong by any factor: it only decides whether a
//! job is accepted, and without a recent one every job is.

mod control;
mod decayed;
mod forecaster;

use serde::{Deserialize, Serialize};

pub use self::control::{AdmissionControl, Decision, Refusal, RefusalReason};
pub use self::forecaster::Forecaster;
use crate::ids::{QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;
use crate::workflow::FreeHosts;

/// The interval at which a gate asks for an outlook, in milliseconds.
pub const OUTLOOK_INTERVAL_MS: u64 = 500;

/// How long a gate uses an outlook, in milliseconds from when it sent the call.
pub const OUTLOOK_VALID_MS: u64 = 2_000;

/// What callers offered to a gate since its last call, refused jobs included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// Number of jobs of each team.
    pub jobs: Vec<(TeamId, u32)>,
    /// Estimated work of all jobs, in core-milliseconds.
    pub core_ms: u64,
}

/// How long a new job waits in one lane, and how its wait grows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaneOutlook {
    /// The wait behind the work whose objective is within each of `HORIZONS_MS`, the shortest first;
    /// a single wait where the order does not depend on the objective.
    pub waits: Vec<Millis>,
    /// The longest wait that observation supports.
    pub ceiling: Millis,
    /// The gate's portion of the capacity for the lane, in millionths of the service's; at least 1.
    pub rate: u64,
}

impl LaneOutlook {
    /// Returns the lane with every wait at least `floor`.
    fn raised(mut self, floor: Millis) -> Self {
        for wait in &mut self.waits {
            *wait = floor.max(*wait);
        }
        self
    }
}

/// What a gate needs to decide on the jobs of one queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueOutlook {
    /// The queue.
    pub queue: QueueId,
    /// The service.
    pub service: String,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// A job that can still meet its objective.
    pub in_time: LaneOutlook,
    /// A job that is late.
    pub late: LaneOutlook,
    /// A job of a team over its share.
    pub over_share: LaneOutlook,
    /// The part of the service that waiting tasks of the queue need, in millionths.
    pub wanted: u64,
    /// Hosts with free capacity that the queue may use.
    pub free: Vec<FreeHosts>,
}

/// A team that submits more than its share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamOutlook {
    /// The team.
    pub team: TeamId,
    /// The part of its jobs that is within its share, in millionths.
    pub within: u64,
}

/// What the owner tells one gate about the work that waits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// The age of the state that it describes, when it was sent.
    pub age: Millis,
    /// The gate's portion of the demand, in millionths; at least 1.
    pub portion: u64,
    /// The services with the capacity that work is measured against.
    pub services: Vec<(String, Resources)>,
    /// The queues.
    pub queues: Vec<QueueOutlook>,
    /// The teams over their share; no other is.
    pub teams: Vec<TeamOutlook>,
}

/// Converts an amount for a computation in fractions.
#[expect(
    clippy::cast_precision_loss,
    reason = "forecasts need no more than 15 digits"
)]
pub(crate) const fn fraction(amount: u64) -> f64 {
    amount as f64
}

/// Rounds a result that is not negative; not a number becomes zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) const fn whole(value: f64) -> u64 {
    value as u64
}
