//! Events that the scheduler handles and actions that it returns.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::ids::{Attempt, HostId, JobId, TaskId, TeamId};
use crate::job::{Job, Outcome, Progress};
use crate::policy::Policy;
use crate::resources::Resources;

/// An input of the scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// A new policy is in force.
    Policy(Arc<Policy>),
    /// This pool's slices of the teams' limits changed; a team without a slice may start nothing.
    Slices(Arc<HashMap<TeamId, Resources>>),
    /// The latest known usage of the teams in other pools.
    OtherPoolUsage(Arc<HashMap<TeamId, Resources>>),
    /// A job was accepted and recorded.
    Submit(Job),
    /// A job that an earlier owner of the pool accepted was loaded; its tasks may run on workers
    /// that have not reported yet.
    Restore(Job),
    /// The stored progress of a job's tasks; sent right before the job's `Restore`.
    RecordedProgress(JobId, Progress),
    /// Every unfinished job of earlier owners was restored.
    Restored,
    /// A job was cancelled.
    Cancel(JobId),
    /// A job left this pool; ignored while one of its tasks is placed here.
    Withdraw(JobId),
    /// A worker sent a report.
    Report(Report),
    /// A worker's task leases expired, so no task of this pool runs there any longer.
    WorkerLost(HostId),
    /// Time passed; drives delays, retries and sweeps.
    Tick,
}

/// A worker's report on its tasks.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The worker.
    pub host: HostId,
    /// Whether `tasks` lists every task on the worker rather than only those that changed.
    pub full: bool,
    /// The largest [`Start::order`] that the worker had received when this report was requested;
    /// zero when none is known to be received.
    ///
    /// A full report frees a start that it does not list only up to this order, because a later one
    /// may still be in transit.
    pub last_order: u64,
    /// The incarnation of the worker's process, which changes with each restart; zero when unknown.
    pub incarnation: u64,
    /// The worker's sequence number, which increases within an incarnation; zero when unknown.
    pub seq: u64,
    /// The tasks.
    pub tasks: Vec<TaskReport>,
}

/// A worker's report on one task.
#[derive(Debug, Clone)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt that the report is about.
    pub attempt: Attempt,
    /// The size that is reserved for the attempt.
    pub size: Resources,
    /// The usage at the worker's last measurement.
    pub usage: Resources,
    /// The state of the attempt.
    pub phase: Phase,
}

/// The state of an attempt on its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The attempt runs.
    Running,
    /// The attempt succeeded.
    Succeeded,
    /// The attempt failed, for the given reason.
    Failed(String),
    /// The attempt was stopped by an order, after its checkpoint if one was requested.
    Stopped,
    /// The worker never started the attempt, for the given reason.
    Refused(String),
}

/// An order that stops or slows a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskControl {
    /// Writes a checkpoint, then stops.
    Checkpoint,
    /// Runs slower.
    Throttle,
    /// Stops at once.
    Stop,
}

/// An output of the scheduler that its caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Orders a worker to start a task.
    Start(Start),
    /// Orders a worker to stop or slow a task.
    Control {
        /// The worker.
        host: HostId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How the task is stopped or slowed.
        control: TaskControl,
    },
    /// Records the end of a job.
    Ended {
        /// The job.
        job: JobId,
        /// The outcome.
        outcome: Outcome,
    },
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The worker.
    pub host: HostId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The size to reserve.
    pub size: Resources,
    /// What to run.
    pub command: Vec<String>,
    /// The number of this order, counted from 1 over all starts of a scheduler.
    pub order: u64,
}
