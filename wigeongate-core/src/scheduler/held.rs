//! Automatic actions that are held back while an operator has paused them.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::ids::{HostId, JobId, TaskId};
use crate::time::Millis;

/// The most held-back actions that are recorded.
const MAX_HELD_ACTIONS: usize = 1_000;

/// An automatic action that is held back by a pause.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum HeldAction {
    /// Preempts other work to make room for a job.
    #[display("make room for job {_0}")]
    Preempt(JobId),
    /// Moves a task to another worker because its own worker leaves.
    #[display("move task {_0}")]
    Move(TaskId),
    /// Moves a task of a service to spread the service evenly over zones again.
    #[display("spread job {_0} over zones")]
    Rebalance(JobId),
    /// Quarantines a worker on which tasks keep failing.
    #[display("set worker {_0} aside")]
    Quarantine(HostId),
    /// Puts a worker on probation after its quarantine.
    #[display("try worker {_0} again")]
    Readmit(HostId),
    /// Ends a service as failed because a task has used up its attempts.
    #[display("give up on service {_0}")]
    FailService(JobId),
    /// Refuses a job that can no longer run.
    #[display("refuse job {_0}")]
    Refuse(JobId),
    /// Throttles or stops a task that uses more than its size.
    #[display("hold down task {_0}")]
    LimitUsage(TaskId),
}

/// The held-back actions, each with the time at which it was first held back.
#[derive(Debug, Default)]
pub(super) struct HeldActions(BTreeMap<HeldAction, Millis>);

impl HeldActions {
    /// Records an action, unless [`MAX_HELD_ACTIONS`] are recorded already.
    pub(super) fn add(&mut self, action: HeldAction, now: Millis) {
        if self.0.len() < MAX_HELD_ACTIONS {
            self.0.entry(action).or_insert(now);
        }
    }

    /// Removes all actions.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the actions with the times at which they were first held back.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&HeldAction, Millis)> {
        self.0.iter().map(|(action, since)| (action, *since))
    }
}
