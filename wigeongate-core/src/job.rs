//! Jobs, their tasks and how they end.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, JobId, QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;

/// What kind of work a queue takes.
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
    /// Tasks that run until they are told to stop.
    #[display("service")]
    Service,
    /// Tasks that each run to their end.
    #[default]
    #[display("batch")]
    Batch,
    /// Tasks that start all together or not at all.
    #[display("gang")]
    Gang,
    /// Short requests, forwarded to backend servers.
    #[display("request")]
    Request,
}

/// What a submitter asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// The queue that takes the job; it decides the kind.
    pub queue: QueueId,
    /// How many tasks of the same size the job has, at least 1.
    pub tasks: u32,
    /// The declared size of one task.
    pub size: Resources,
    /// Whether the job goes ahead of all work that is not urgent.
    pub urgent: bool,
    /// The declared run time of one task; zero when unknown.
    pub run_time: Millis,
    /// How many tasks of a service stay up while it is moved.
    pub minimum: u32,
    /// What the worker runs; the first word names the program.
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
    /// Its identifier.
    pub id: JobId,
    /// The team whose key came with it.
    pub team: TeamId,
    /// The kind of its queue when it was accepted.
    pub kind: Kind,
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted, by the wall clock, in milliseconds since 1970.
    pub accepted: u64,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task ended well.
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

/// What is recorded of a job's tasks, so that a new owner does not run them again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Tasks that ended well, in order and apart.
    pub succeeded: Vec<TaskRange>,
    /// Attempts of tasks that were started more than once.
    pub attempts: Vec<TaskAttempts>,
}

/// A run of tasks that follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRange {
    /// The first.
    pub first: u32,
    /// The last, which belongs to it.
    pub last: u32,
}

/// How often a task was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAttempts {
    /// The task's place in its job.
    pub index: u32,
    /// Its newest attempt.
    pub made: Attempt,
}

impl Progress {
    /// Records that a task ended well; `index` must be above every earlier one.
    pub fn record_success(&mut self, index: u32) {
        match self.succeeded.last_mut() {
            Some(range) if range.last + 1 == index => range.last = index,
            _ => self.succeeded.push(TaskRange {
                first: index,
                last: index,
            }),
        }
    }

    /// Returns the tasks that ended well.
    pub fn succeeded_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        self.succeeded
            .iter()
            .flat_map(|range| range.first..=range.last)
    }
}

/// Where a job stands.
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
    /// Where it stands.
    pub state: JobState,
    /// Tasks that wait for a worker.
    pub queued: u32,
    /// Tasks that run, or whose start was ordered.
    pub running: u32,
    /// Tasks that ended well.
    pub succeeded: u32,
}
