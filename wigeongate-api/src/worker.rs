//! Messages between gates and the platform's workers.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Attempt, Epoch, HostId, TaskId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

/// A reading of a worker's own clock.
///
/// Leases are counted from such a reading, so an order that was delayed on its way finds its
/// lease run out, and no two clocks have to agree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClock {
    /// Drawn at random when the worker's process starts.
    pub incarnation: u64,
    /// Milliseconds since the worker's process started.
    pub time: Millis,
}

/// A batch of orders, sent as `POST /v1/orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    /// The epoch of the sender's ownership; a worker refuses one older than it has seen.
    pub epoch: Epoch,
    /// The number of the batch, which grows within an epoch; a worker that has taken a batch of
    /// this number or a later one only renews the leases.
    pub batch: u64,
    /// The newest reading of the worker's clock that the sender has received.
    #[serde(rename = "heard")]
    pub last_clock: WorkerClock,
    /// How long the leases of all tasks on the worker run from `last_clock`, in milliseconds.
    pub lease: Millis,
    /// The orders, carried out one after the other.
    pub orders: Vec<Order>,
}

/// One order to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Start a task unless this or a later attempt was seen before.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The size to reserve.
        size: Resources,
        /// What to run.
        command: Vec<String>,
    },
    /// Write a checkpoint, then stop.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Run slower.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stop now.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Forget an attempt that has ended: its end is recorded.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// The answer to a batch of orders; sent with status 409 when the whole batch was refused
/// because its epoch is old or its lease has run out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrdersReply {
    /// The newest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The worker's clock.
    pub clock: WorkerClock,
    /// For each order in turn, why it was refused; `None` when it was carried out.
    pub refused: Vec<Option<String>>,
}

/// The query of `GET /v1/report`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReportQuery {
    /// The sequence number of the last report that was received; zero asks for everything.
    pub since: u64,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub host: HostId,
    /// The newest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The number of the newest batch of orders that it has taken under that epoch.
    pub batch: u64,
    /// The worker's clock when it wrote the report.
    pub clock: WorkerClock,
    /// The sequence number of the newest change that is included.
    pub seq: u64,
    /// Whether `tasks` names every task on the worker, ended ones that it was not told to forget
    /// included.
    pub full: bool,
    /// The tasks that changed, or all of them.
    pub tasks: Vec<TaskEntry>,
}

/// One task in a worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskEntry {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The reserved size.
    pub size: Resources,
    /// What it used when it was last measured.
    pub usage: Resources,
    /// Where it stands.
    pub state: TaskState,
}

/// Where a task stands on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended badly.
    Failed(String),
    /// It was stopped by an order or because its lease ran out.
    Stopped,
    /// It never started.
    Refused(String),
}
