//! The parts of the operators' configuration that the scheduler uses.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet};
use crate::ids::{QueueId, TeamId, ZoneId};
use crate::resources::Resources;
use crate::time::Millis;

/// The duration of an advice call and the validity of its tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Fixed duration of each call, in milliseconds.
    pub call_ms: f64,
    /// Additional duration for each host that the call names, in milliseconds.
    pub host_ms: f64,
    /// How long a ticket is valid.
    pub valid: Millis,
}

/// Rules for the jobs of a queue. They are stored with each job; new fields need a new form of the
/// stored job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueRules {
    /// The service whose executors run the tasks.
    pub service: String,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// The number of failures after which a task has failed for good; at least 1 applies.
    pub attempts: u32,
    /// The objective as a multiple of the critical path.
    pub stretch: f64,
    /// A fixed time that is added to the objective.
    pub target: Millis,
    /// The cost of advice; `None` if the queue requires none.
    pub advice: Option<AdviceCost>,
}

impl QueueRules {
    /// Returns the time from the acceptance of a job to its objective.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times of a day in milliseconds are exact"
    )]
    pub fn time_budget(&self, critical_path: Millis) -> Millis {
        Millis((critical_path.0 as f64 * self.stretch) as u64) + self.target
    }
}

/// Rules for a team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamRules {
    /// The team's share when the fleet is full: how many jobs a second it may submit before its
    /// jobs rank behind others.
    pub weight: f64,
    /// The most capacity that the team's runs may use at a time.
    pub maximum: Resources,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    /// Number of the version.
    pub version: u64,
    /// Rules of each queue.
    pub queues: HashMap<QueueId, Arc<QueueRules>>,
    /// Rules of each team.
    pub teams: HashMap<TeamId, TeamRules>,
    /// Availability zones in which nothing may start.
    pub evacuated: HashSet<ZoneId>,
}
