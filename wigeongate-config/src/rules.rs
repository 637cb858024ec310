//! The rules: queues and the placement of tasks.

use serde::{Deserialize, Serialize};
pub use wigeongate_core::class::Class;
use wigeongate_core::ids::{QueueId, TeamId};
use wigeongate_core::job::Kind;
use wigeongate_core::time::Millis;

/// The queues and the placement rules.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// The queues.
    pub queues: Vec<Queue>,
    /// Rules for placing and retrying tasks.
    pub placement: Placement,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// Name of the queue.
    pub name: QueueId,
    /// Kind of work that the queue accepts.
    pub kind: Kind,
    /// Team that may use the queue; if omitted, all teams may.
    pub team: Option<TeamId>,
    /// Latency class of the requests.
    pub class: Class,
    /// Whether a request may be sent more than once.
    pub idempotent: bool,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of waiting jobs or requests.
    pub bound: u32,
    /// Maximum number of times that a failing task is started.
    pub attempts: u32,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            name: QueueId::default(),
            kind: Kind::Batch,
            team: None,
            class: Class::Normal,
            idempotent: false,
            deadline_ms: 30_000,
            bound: 10_000,
            attempts: 3,
        }
    }
}

/// Rules for placing and retrying tasks; times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Placement {
    /// Number of pools across which the racks of a region are distributed.
    pub pools: u16,
    /// Number of lanes across which the backend servers are distributed.
    pub lanes: u16,
    /// Number of parts into which the record of non-idempotent requests is split.
    ///
    /// Invariant: the value set by the first revision of a configuration never changes.
    pub journals: u16,
    /// Maximum time that a gang holds reservations before it releases them.
    pub gang_wait_ms: Millis,
    /// Initial delay before a failed task is retried.
    pub retry_delay_ms: Millis,
    /// Number of consecutive failures of different jobs after which a worker is quarantined.
    pub worker_strikes: u32,
    /// Time that a worker stays quarantined before it is probed with one task.
    pub worker_rest_ms: Millis,
    /// Time that a task has to write its checkpoint before it is stopped.
    pub checkpoint_grace_ms: Millis,
}

impl Default for Placement {
    fn default() -> Self {
        let rules = wigeongate_core::policy::Rules::default();
        Self {
            pools: 2,
            lanes: 18,
            journals: 18,
            gang_wait_ms: rules.gang_wait,
            retry_delay_ms: rules.retry_delay,
            worker_strikes: rules.worker_strikes,
            worker_rest_ms: rules.worker_rest,
            checkpoint_grace_ms: rules.checkpoint_grace,
        }
    }
}
