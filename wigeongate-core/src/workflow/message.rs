//! Events that the scheduler handles and actions that it returns.

use std::sync::Arc;

use derive_more::Display;

use super::advice_gates::AssignedGate;
use super::crash_proofs::{Fate, HostBoot};
use super::evidence::Evidence;
use super::host::HostContact;
use super::restore::Record;
use super::spec::{RunKey, StepId, TaskName};
use crate::ids::{HostId, QueueId};
use crate::time::Millis;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunOutcome {
    /// The run succeeded.
    #[display("done")]
    Done,
    /// The run failed, through a fault of the task or of the executor.
    #[display("failed")]
    Failed,
    /// An order stopped the run.
    #[display("stopped")]
    Stopped,
    /// The task lease expired.
    #[display("lapsed")]
    Lapsed,
    /// Another member of the gang ended.
    #[display("broken")]
    Broken,
    /// The run waited too long for the other members of its gang.
    #[display("alone")]
    Alone,
}

/// A run that an executor reports as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A run that an executor reports as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Number of the end; counts up from 1 in each boot.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// An executor's answer to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostReport {
    /// When the executor started, in milliseconds since 1970; identifies the boot.
    pub boot_ms: u64,
    /// When the poll was sent.
    pub sent: Millis,
    /// When tasks of this boot end without another call, on the scheduler's clock.
    pub lease: Millis,
    /// All running tasks.
    pub running: Vec<Running>,
    /// Ends that the executor has not been told to forget, the oldest first.
    pub ended: Vec<Ended>,
    /// Whether there may be more of them than these. Of a run that is not listed, such a report says
    /// only that it does not go on.
    pub has_more_ends: bool,
}

/// Why a poll got no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PollFailure {
    /// The host held the poll and broke it off, or no complete answer arrived in time.
    #[display("no answer")]
    NoAnswer,
    /// The connection closed as the poll was sent; a process may close an idle one at any time.
    #[display("connection closed")]
    Closed,
    /// Nothing listens at the executor's address.
    #[display("connection refused")]
    Refused,
    /// An executor with another identifier answers at the address.
    #[display("replaced")]
    Replaced,
}

/// Why an executor did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// It has seen a higher epoch.
    #[display("fence")]
    Fence,
    /// It has seen the end of this run or of a later one.
    #[display("old")]
    Old,
    /// The lease in the order has expired.
    #[display("late")]
    Late,
    /// It has too little free capacity.
    #[display("room")]
    Room,
    /// The ticket is not valid.
    #[display("ticket")]
    Ticket,
    /// The order names another boot.
    #[display("boot")]
    Boot,
    /// It is unhealthy.
    #[display("unhealthy")]
    Unhealthy,
    /// It rejects the order as invalid.
    #[display("invalid")]
    Invalid,
    /// No connection could be opened.
    #[display("not sent")]
    NotSent,
    /// The owner did not try to send it: the host has fallen silent since the order, the owner
    /// may grant no lease for as long, or the order has waited for too long.
    #[display("held back")]
    Held,
    /// The owner took it back before it was sent: it is no longer wanted, or its host may get no work.
    #[display("withdrawn")]
    Withdrawn,
}

/// Result of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// The run exists.
    Started,
    /// The task was not started, and this order will not start it.
    Refused(Refusal),
    /// The order may be carried out now, later or never.
    Unknown,
}

/// Why a run that no report lists as ended can neither run now nor start later on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Proof {
    /// The executor refused the start, or the order was not sent.
    #[display("refused")]
    Refused,
    /// The start was decided but never ordered.
    #[display("not ordered")]
    NotOrdered,
    /// A stop was answered, and a later report does not list the run.
    #[display("stopped")]
    Stopped,
    /// Every lease that the executor may have received has expired.
    #[display("lease expired")]
    LeaseExpired,
    /// The executor has restarted since the run was confirmed.
    #[display("new boot")]
    NewBoot,
    /// The process that ran the task left a poll without an answer, and another executor answers at
    /// the address.
    #[display("replaced")]
    Replaced,
    /// The executor has seen this owner's epoch and does not list the run of an earlier owner.
    #[display("fenced")]
    Fenced,
}

impl Proof {
    /// Returns whether the process that ran the task is known to have ended.
    pub const fn is_of_crash(self) -> bool {
        matches!(self, Self::NewBoot | Self::Replaced)
    }

    /// Returns the outcome of a run that ended in this way.
    pub const fn outcome(self) -> RunOutcome {
        match self {
            Self::Refused | Self::NotOrdered | Self::Stopped => RunOutcome::Stopped,
            Self::LeaseExpired | Self::NewBoot | Self::Replaced | Self::Fenced => {
                RunOutcome::Lapsed
            }
        }
    }
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The host to start it on.
    pub host: HostId,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The command to run.
    pub command: Arc<str>,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// The ticket for this step on the host, if the queue requires advice.
    pub ticket: Option<Arc<str>>,
    /// The latest time at which it may be sent; valid once it is ordered.
    pub send_until: Millis,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// The host of the run.
    pub host: HostId,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
}

/// An answer of the advice service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Hosts that may run the step, with their tickets.
    pub allowed: Vec<(HostId, String)>,
    /// When the tickets expire, on the scheduler's clock.
    pub until: Millis,
}

/// An action that the caller of the scheduler has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order a start.
    Start(StartOrder),
    /// Order a stop; a start of the run that was not sent yet is taken back instead.
    Stop(StopOrder),
    /// Take back the starts on a host that were not sent yet.
    Withdraw {
        /// The host.
        host: HostId,
    },
    /// Ask the advice service which hosts may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The hosts to name in the call.
        hosts: Vec<HostId>,
        /// Expected duration of the call, in milliseconds.
        cost_ms: u64,
        /// The gate that makes it.
        gate: AssignedGate,
    },
    /// Log that a run without a reported end has lost its claim.
    Released {
        /// The host of the run.
        host: HostId,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Why the run cannot exist any more.
        proof: Proof,
        /// What was known of the host.
        contact: HostContact,
    },
    /// Log that a host reports a run that had lost its claim: the run goes on although it counted as
    /// ended.
    Returned {
        /// The host of the run.
        host: HostId,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Number of the newest run of the task.
        newest: u32,
        /// What was known of the host before this report.
        contact: HostContact,
    },
    /// Log that a host was lost with its runs.
    HostLost {
        /// The host.
        host: HostId,
        /// The number of runs that were lost with it.
        runs: usize,
        /// The runs that may have crashed it; empty if none is suspected.
        suspects: Vec<RunKey>,
    },
    /// Log what became of a process that seemed to have crashed.
    LossSettled {
        /// The host and the boot.
        boot: HostBoot,
        /// What became of it.
        fate: Fate,
        /// The runs that were suspected.
        suspects: Vec<RunKey>,
    },
    /// Log that a job is given up for the crashes under a task.
    Verdict {
        /// The task.
        task: TaskName,
        /// What the crashes rest on.
        evidence: Vec<Evidence>,
    },
    /// Log that a suspected task did not crash a host after all.
    Acquitted {
        /// The task.
        task: TaskName,
    },
    /// Log that the jobs of a queue are suspected to crash their hosts, or no longer are.
    QueueSuspected {
        /// The queue.
        queue: QueueId,
        /// Whether they are suspected from now on.
        suspected: bool,
    },
    /// Append a record to the log; the order of the records matters.
    Record(Record),
    /// Poll a host immediately; the answer does not wait for a run to end.
    Poll {
        /// The host.
        host: HostId,
    },
    /// Let a host forget its ends up to a number.
    Forget {
        /// The host.
        host: HostId,
        /// The boot that numbered the ends, in milliseconds since 1970.
        boot_ms: u64,
        /// Number of the last end to forget.
        number: u64,
    },
}
