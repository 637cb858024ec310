//! What the operators' configuration says of queues and teams.

use crate::collections::{HashMap, HashSet};
use crate::ids::{QueueId, TeamId, ZoneId};
use crate::resources::Resources;
use crate::time::Millis;

/// What a call for advice takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdviceCost {
    /// The time of each call, in milliseconds.
    pub call_ms: f64,
    /// The time for each host that a call names, in milliseconds.
    pub host_ms: f64,
    /// How long a ticket is good.
    pub valid: Millis,
}

/// What holds for the jobs of a queue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueRules {
    /// The service whose executors run the tasks.
    pub service: String,
    /// The urgency; zero goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The objective, in multiples of the longest chain of work.
    pub stretch: f64,
    /// What is added to the objective.
    pub target: Millis,
    /// What asking for advice takes, where the queue needs it.
    pub advice: Option<AdviceCost>,
}

/// What holds for a team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamRules {
    /// Its share when the fleet is full.
    pub weight: f64,
    /// The most that it may have running.
    pub maximum: Resources,
}

/// A version of the configuration, as far as placing needs it.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    /// The version.
    pub version: u64,
    /// The queues.
    pub queues: HashMap<QueueId, QueueRules>,
    /// The teams.
    pub teams: HashMap<TeamId, TeamRules>,
    /// Zones in which nothing may start.
    pub evacuated: HashSet<ZoneId>,
}
