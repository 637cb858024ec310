//! Events that a director takes and actions that it returns.

use std::sync::Arc;

use derive_more::Display;

use super::restore::Record;
use super::spec::{StepId, TaskName};
use crate::ids::HostId;
use crate::time::Millis;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunOutcome {
    /// It did its work.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the executor's.
    #[display("failed")]
    Failed,
    /// It was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// It waited too long for the other members of its gang.
    #[display("alone")]
    Alone,
}

/// A run that an executor listed as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A run that an executor listed as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The number of the end, growing from 1 in each boot.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// An executor's answer to a look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostReport {
    /// When the executor started, in milliseconds since 1970; it tells its boots apart.
    pub boot_ms: u64,
    /// When the call was sent.
    pub sent: Millis,
    /// Until when tasks of this boot may run without another call, on the director's clock.
    pub lease: Millis,
    /// Everything that runs.
    pub running: Vec<Running>,
    /// Ends that it was not told to forget.
    pub ended: Vec<Ended>,
}

/// Why an executor did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// It has seen a higher epoch.
    #[display("fence")]
    Fence,
    /// It has seen this run, or a later one, end.
    #[display("old")]
    Old,
    /// The lease in the order had run out.
    #[display("late")]
    Late,
    /// It has no room.
    #[display("room")]
    Room,
    /// The ticket does not hold.
    #[display("ticket")]
    Ticket,
    /// It is another boot than the order names.
    #[display("boot")]
    Boot,
    /// It is unhealthy.
    #[display("unhealthy")]
    Unhealthy,
    /// It does not take the order.
    #[display("invalid")]
    Invalid,
    /// No connection was made.
    #[display("not sent")]
    NotSent,
}

/// What became of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// The run is there.
    Started,
    /// It was not started and will not be.
    Refused(Refusal),
    /// Nothing is known: it may start now or later.
    Unknown,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Where.
    pub host: HostId,
    /// The task.
    pub task: TaskName,
    /// The number of this start.
    pub run: u32,
    /// What to run.
    pub command: Arc<str>,
    /// The checkpoint to go on from; empty for none.
    pub checkpoint: Arc<str>,
    /// The ticket of the host for this step, where the queue needs advice.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Where.
    pub host: HostId,
    /// The task.
    pub task: TaskName,
    /// The number of its start.
    pub run: u32,
}

/// An answer to a question for advice.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// The hosts that may run the step, with their tickets.
    pub allowed: Vec<(HostId, String)>,
    /// When the tickets end, on the director's clock.
    pub until: Millis,
}

/// Something that the caller of the director has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order a start.
    Start(StartOrder),
    /// Order a stop.
    Stop(StopOrder),
    /// Ask which hosts may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The hosts to name.
        hosts: Vec<HostId>,
        /// How long the call takes, in milliseconds.
        cost_ms: u64,
    },
    /// Write this to the log, in this order.
    Record(Record),
    /// Look at a host at once, without waiting for an end.
    Poll {
        /// The host.
        host: HostId,
    },
    /// Let the host forget its ends up to this number.
    Forget {
        /// The host.
        host: HostId,
        /// The boot whose ends are meant.
        boot_ms: u64,
        /// The number of the last end.
        number: u64,
    },
}
