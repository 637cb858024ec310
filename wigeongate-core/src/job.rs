//! Jobs, their tasks and how they end.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, JobId, QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;

/// Kind of work that a queue accepts.
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
pub enum Kind {
    /// Tasks that run until they are stopped.
    #[display("service")]
    Service,
    /// Tasks that each run to completion.
    #[default]
    #[display("batch")]
    Batch,
    /// Tasks that all start together or not at all.
    #[display("gang")]
    Gang,
    /// Short requests, forwarded to backend servers.
    #[display("request")]
    Request,
}

/// Specification of a job by its submitter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Queue of the job; it determines the kind.
    pub queue: QueueId,
    /// Number of tasks, all of the same size; at least 1.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: Resources,
    /// Whether the job takes precedence over all work that is not urgent.
    pub urgent: bool,
    /// Declared run time of one task; zero when unknown.
    pub run_time: Millis,
    /// Number of tasks of a service that stay up while it is moved.
    pub minimum: u32,
    /// Command that the worker runs; the first word names the program.
    pub command: Vec<String>,
}

impl Default for JobSpec {
    fn default() -> Self {
        Self {
            queue: QueueId::default(),
            tasks: 1,
            size: Resources::ZERO,
            urgent: false,
            run_time: Millis::ZERO,
            minimum: 0,
            command: Vec::new(),
        }
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Team whose API key submitted the job.
    pub team: TeamId,
    /// Kind of the queue when the job was accepted.
    pub kind: Kind,
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Wall-clock time of the acceptance, in milliseconds since 1970.
    pub accepted: u64,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task succeeded.
    #[display("succeeded")]
    Succeeded,
    /// A task failed and no retry is left.
    #[display("failed: {_0}")]
    Failed(String),
    /// The submitter or an operator cancelled it.
    #[display("cancelled")]
    Cancelled,
    /// It can never run.
    #[display("refused: {_0}")]
    Refused(String),
}

/// Recorded progress of a job's tasks, so that a new owner does not run finished tasks again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Ranges of tasks that succeeded, in ascending order with a gap between each two.
    pub succeeded: Vec<TaskRange>,
    /// Attempts of the tasks that were started more than once.
    pub attempts: Vec<TaskAttempts>,
}

/// Range of consecutive tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRange {
    /// Index of the first task.
    pub first: u32,
    /// Index of the last task, inclusive.
    pub last: u32,
}

/// Number of attempts of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAttempts {
    /// Index of the task in its job.
    pub index: u32,
    /// Newest attempt of the task.
    pub made: Attempt,
}

impl Progress {
    /// Records that a task succeeded; `index` must be greater than every index recorded before.
    pub fn record_success(&mut self, index: u32) {
        match self.succeeded.last_mut() {
            Some(range) if range.last + 1 == index => range.last = index,
            _ => self.succeeded.push(TaskRange {
                first: index,
                last: index,
            }),
        }
    }

    /// Returns the indices of the tasks that succeeded, in ascending order.
    pub fn succeeded_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        self.succeeded
            .iter()
            .flat_map(|range| range.first..=range.last)
    }
}

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started and the job has not ended.
    Running,
    /// The job has ended; this is final.
    Ended(Outcome),
}

/// A job with its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: Job,
    /// State of the job.
    pub state: JobState,
    /// Number of tasks that wait for a worker.
    pub queued: u32,
    /// Number of tasks that run or whose start was ordered.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
}
