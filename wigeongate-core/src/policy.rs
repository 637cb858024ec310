//! Scheduling policy: the part of the configuration that the decision logic reads.

use std::sync::Arc;

use crate::collections::{HashMap, HashSet};
use crate::ids::{HostId, PoolId, QueueId, RackId, RegionId, Revision, TeamId, ZoneId};
use crate::job::Kind;
use crate::resources::Resources;
use crate::time::Millis;

/// Worker host of the inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Name of the host.
    pub host: HostId,
    /// Pool that the host belongs to.
    pub pool: PoolId,
    /// Rack of the host.
    pub rack: RackId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region of the host.
    pub region: RegionId,
    /// Resources that the host offers.
    pub capacity: Resources,
}

/// Share and limits of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Weight of the team when the fleet is full.
    pub share: u32,
    /// Maximum resources that the team may have running across the fleet.
    pub limit: Resources,
    /// Maximum number of forwarded requests that the team may have running across the fleet.
    pub slots: u32,
}

/// Policy of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// Kind of work that the queue accepts.
    pub kind: Kind,
    /// Team whose work the queue accepts; `None` when it is open to all.
    pub team: Option<TeamId>,
    /// Maximum number of jobs or requests that wait in the queue.
    pub bound: u32,
    /// Maximum number of starts of a task that fails.
    pub attempts: u32,
}

/// Rules for the scheduler's automatic actions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rules {
    /// How long a gang may hold reservations before it releases them.
    pub gang_wait: Millis,
    /// Initial delay before a failed task is started again.
    pub retry_delay: Millis,
    /// Number of consecutive failures of different jobs after which a worker is quarantined.
    pub worker_strikes: u32,
    /// How long a worker stays quarantined before it is tried again with one task.
    pub worker_rest: Millis,
    /// How long a task may take to write its checkpoint before it is stopped.
    pub checkpoint_grace: Millis,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            gang_wait: Millis::from_secs(30),
            retry_delay: Millis(500),
            worker_strikes: 3,
            worker_rest: Millis::from_secs(60),
            checkpoint_grace: Millis::from_secs(3),
        }
    }
}

/// Policy of one revision of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// Revision of the configuration that the policy was made from.
    pub revision: Revision,
    /// Every worker of the fleet by name.
    pub workers: HashMap<HostId, Arc<Worker>>,
    /// Every team by name.
    pub teams: HashMap<TeamId, Team>,
    /// Every queue by name.
    pub queues: HashMap<QueueId, Queue>,
    /// Availability zones that operators took out of service.
    pub zones_out: HashSet<ZoneId>,
    /// Whether all automatic actions are paused.
    pub paused: bool,
    /// Rules for the scheduler's automatic actions.
    pub rules: Rules,
}
