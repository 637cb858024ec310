//! Messages between gates and the platform's workers.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{Attempt, Epoch, HostId, TaskId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

/// A reading of a worker's own clock.
///
/// A lease starts at such a reading, so the lease of an order that was delayed in transit has
/// expired on arrival, and clocks need not be synchronized.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClock {
    /// A random number chosen when the worker process starts; it tells the clocks of two processes
    /// apart.
    pub incarnation: u64,
    /// The time since the worker process started, in milliseconds.
    pub time: Millis,
}

/// A batch of orders, the body of `POST /v1/orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    /// The epoch of the sender's ownership; a worker refuses a batch with an epoch older than the
    /// newest that it has seen.
    pub epoch: Epoch,
    /// The number of the batch, which increases within an epoch; a worker that has already accepted
    /// a batch with this number or a later one only renews the leases.
    pub batch: u64,
    /// The newest reading of the worker's clock that the sender has received.
    #[serde(rename = "heard")]
    pub last_clock: WorkerClock,
    /// The duration of the leases of all tasks on the worker, in milliseconds from `last_clock`.
    pub lease: Millis,
    /// The orders, executed in sequence.
    pub orders: Vec<Order>,
}

/// One order to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Starts a task unless the worker has already seen this attempt or a later one.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The resources to reserve.
        size: Resources,
        /// The program and its arguments.
        command: Vec<String>,
    },
    /// Writes a checkpoint of the task, then stops it.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Slows the task down.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stops the task immediately.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Removes an ended attempt from the worker, since its end has been recorded.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// The response to a batch of orders; it has status 409 if the whole batch was refused because its
/// epoch is old or its lease has expired.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrdersReply {
    /// The newest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The worker's clock when it answered.
    pub clock: WorkerClock,
    /// For each order in sequence, why it was refused; `None` if it was executed.
    pub refused: Vec<Option<String>>,
}

/// The query of `GET /v1/report`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReportQuery {
    /// The sequence number of the last report received; zero requests a full report.
    pub since: u64,
    /// The maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub host: HostId,
    /// The newest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The number of the newest batch of orders accepted in that epoch.
    pub batch: u64,
    /// The worker's clock when the report was created.
    pub clock: WorkerClock,
    /// The sequence number of the newest change in the report.
    pub seq: u64,
    /// Whether `tasks` contains every task on the worker, including ended ones without a
    /// [`Order::Forget`].
    pub full: bool,
    /// The changed tasks, or all tasks if `full` is set.
    pub tasks: Vec<TaskEntry>,
}

/// A task in a worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskEntry {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The reserved resources.
    pub size: Resources,
    /// The resources in use at the last measurement.
    pub usage: Resources,
    /// The state of the task.
    pub state: TaskState,
}

/// The state of a task on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task succeeded.
    Succeeded,
    /// The task failed, with the reason.
    Failed(String),
    /// The task was stopped by an order or because its lease expired.
    Stopped,
    /// The task was refused and never started, with the reason.
    Refused(String),
}
