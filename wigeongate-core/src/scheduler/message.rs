//! Events that the scheduler takes and actions that it returns.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::ids::{Attempt, HostId, JobId, TaskId, TeamId};
use crate::job::{Job, Outcome, Progress};
use crate::policy::Policy;
use crate::resources::Resources;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A configuration came into force.
    Policy(Arc<Policy>),
    /// This pool's slices of the teams' limits have changed; a team that is absent may start
    /// nothing.
    Slices(Arc<HashMap<TeamId, Resources>>),
    /// What the teams have running in other pools, as last heard.
    OtherPoolUsage(Arc<HashMap<TeamId, Resources>>),
    /// A job was accepted and recorded.
    Submit(Job),
    /// A job that an earlier owner of the pool accepted; tasks of it may run on workers that
    /// have not reported yet.
    Restore(Job),
    /// What is recorded of the tasks of a job; it comes right before its `Restore`.
    RecordedProgress(JobId, Progress),
    /// Every job that earlier owners accepted and that has not ended was restored.
    Restored,
    /// A job was cancelled.
    Cancel(JobId),
    /// A job of which nothing is placed is no longer this pool's.
    Withdraw(JobId),
    /// A worker reported.
    Report(Report),
    /// A worker's task leases have run out: nothing of ours runs there any longer.
    WorkerLost(HostId),
    /// Time has passed.
    Tick,
}

/// What one worker said of its tasks.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The worker.
    pub host: HostId,
    /// Whether `tasks` names every task on the worker, not only those that changed.
    pub full: bool,
    /// The largest [`Start::order`] that the worker had taken when it was asked for this report;
    /// zero when none is known to be taken.
    ///
    /// A full report frees a start that it does not name only up to this order, because a later
    /// one may still be under way.
    pub last_order: u64,
    /// Tells one life of the worker's process from another; zero when it is not known.
    pub incarnation: u64,
    /// The worker's sequence number, growing within an incarnation; zero when it is not known.
    pub seq: u64,
    /// The tasks.
    pub tasks: Vec<TaskReport>,
}

/// What a worker said of one task.
#[derive(Debug, Clone)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt that the worker speaks of.
    pub attempt: Attempt,
    /// The size that was reserved for it.
    pub size: Resources,
    /// What it used when the worker last measured.
    pub usage: Resources,
    /// Where the task stands.
    pub phase: Phase,
}

/// Where a task stands on its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended badly, for the reason given.
    Failed(String),
    /// It was stopped by an order, after its checkpoint if one was asked for.
    Stopped,
    /// The worker never started it.
    Refused(String),
}

/// How a task is to be stopped or held down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskControl {
    /// Write a checkpoint, then stop.
    Checkpoint,
    /// Run slower.
    Throttle,
    /// Stop now.
    Stop,
}

/// Something that the caller of the scheduler has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order a worker to start a task.
    Start(Start),
    /// Order a worker to stop a task or hold it down.
    Control {
        /// The worker.
        host: HostId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How.
        control: TaskControl,
    },
    /// Record the end of a job.
    Ended {
        /// The job.
        job: JobId,
        /// How it ended.
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
    /// The number of this order; it grows over all starts of a scheduler, from 1.
    pub order: u64,
}
