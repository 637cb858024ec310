//! What a caller asks for: steps of equal tasks, and when they run.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::ids::{QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;

/// The identifier of a job, chosen by its caller.
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

/// One step of one occurrence of a job.
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
    /// Which time the steps run, from zero.
    pub occurrence: u32,
    /// The step's place in the job, from zero.
    pub step: u16,
}

/// One task.
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
    /// Its step.
    pub step: StepId,
    /// Its place in the step, from zero.
    pub index: u32,
}

/// A number of equal tasks.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a choice of the caller's, independent of the others"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What one task needs.
    pub size: Resources,
    /// The caller's rough figure for the run time of one task.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether a gang is slow on more than one rack.
    pub same_rack: bool,
    /// A label that the host must have.
    pub requires: Option<String>,
    /// The rack where the data is.
    pub affinity: Option<String>,
    /// The most tasks of the step on one host; zero for no bound.
    pub per_host: u32,
    /// Whether copies may run in parallel.
    pub speculative: bool,
    /// Whether a task can go on from a checkpoint.
    pub checkpointing: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run, as far as tasks of the same image behave alike.
    pub image: Option<String>,
    /// The bound of a service's tail latency; zero for none.
    pub target: Millis,
    /// Whether the tasks use only processor time that others leave.
    pub fills: bool,
    /// How many tasks of a service may be away through the system's own actions.
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns what one task takes of a host's room.
    pub const fn demand(&self) -> Resources {
        if self.fills {
            Resources {
                cpu: 0,
                ..self.size
            }
        } else {
            self.size
        }
    }
}

/// A job that runs several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first: u64,
    /// The time between occurrences.
    pub interval: Millis,
    /// How many occurrences, at least 1.
    pub count: u32,
}

/// What a caller asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkflowSpec {
    /// What the executor is given for each task.
    pub command: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if not at once.
    pub repeat: Option<Repeat>,
}

impl WorkflowSpec {
    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns the estimated run time of the longest chain of steps.
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

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workflow {
    /// Its identifier.
    pub id: WorkflowId,
    /// The queue that took it.
    pub queue: QueueId,
    /// The team whose key came with it; `None` on a public queue.
    pub team: Option<TeamId>,
    /// When it was accepted, by the wall clock, in milliseconds since 1970.
    pub accepted: u64,
    /// What was asked for.
    pub spec: Arc<WorkflowSpec>,
}
