//! What a caller submits: steps of equal tasks, and when they run.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::rules::QueueRules;
use crate::ids::{QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;

/// Identifier of a job, chosen by its caller.
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
    From,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct WorkflowId(pub u64);

/// Identifier of one step in one occurrence of a job.
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
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// The job.
    pub job: WorkflowId,
    /// Index of the occurrence, from zero.
    pub occurrence: u32,
    /// Index of the step in the job, from zero.
    pub step: u16,
}

/// Identifier of one task.
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
#[display("{step}.{index}")]
pub struct TaskName {
    /// The step.
    pub step: StepId,
    /// Index of the task in the step, from zero.
    pub index: u32,
}

/// A task and the number of its run.
pub type RunKey = (TaskName, u32);

/// Specification of a step, a number of equal tasks.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent option of the caller"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Capacity that the caller asks for one task. What a task claims is [`StepSpec::demand`].
    pub requested: Resources,
    /// The caller's rough estimate of the run time of one task.
    pub estimate: Millis,
    /// Indexes of earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks can only run all together.
    pub gang: bool,
    /// Whether a gang runs slowly on more than one rack.
    pub same_rack: bool,
    /// A label that the host must have.
    pub requires: Option<String>,
    /// The rack that holds the data.
    pub affinity: Option<String>,
    /// The most tasks of the step on one host; zero for no limit.
    pub per_host: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether a task can resume from a checkpoint.
    pub checkpointing: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// The limit on a service's tail latency; zero for none.
    pub target: Millis,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub fills: bool,
    /// How many tasks of a service may be missing because of the scheduler's own actions.
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns the capacity that one task claims on a host. Tasks that fill use only processor time that
    /// others leave.
    pub const fn demand(&self) -> Resources {
        if self.fills {
            Resources {
                cpu: 0,
                ..self.requested
            }
        } else {
            self.requested
        }
    }
}

/// The schedule of a job that runs several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first: u64,
    /// The time between occurrences.
    pub interval: Millis,
    /// Number of occurrences, at least 1.
    pub count: u32,
}

impl Repeat {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    pub const fn due(&self, at: u32) -> u64 {
        let offset = (at as u64).saturating_mul(self.interval.0);
        self.first.saturating_add(offset)
    }
}

/// Specification of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkflowSpec {
    /// The command that the executor gets for each task.
    pub command: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` for once, immediately.
    pub repeat: Option<Repeat>,
}

impl WorkflowSpec {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the estimated run time of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step
                .after
                .iter()
                .filter_map(|at| ends.get(usize::from(*at)))
                .max();
            ends.push(ready.copied().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

/// An accepted job. It carries all that an owner needs to run it to its end, and is stored in this
/// form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workflow {
    /// Identifier of the job.
    pub id: WorkflowId,
    /// The queue that accepted it.
    pub queue: QueueId,
    /// The team whose key the caller sent; `None` on a public queue.
    pub team: Option<TeamId>,
    /// When the job was accepted, by the wall clock in milliseconds since 1970.
    pub accepted: u64,
    /// The specification.
    pub spec: Arc<WorkflowSpec>,
    /// The rules of the queue when the job was accepted. They apply once the configuration no longer
    /// has the queue.
    pub rules: Arc<QueueRules>,
}
