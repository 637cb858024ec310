//! Automatic actions that a pause holds back.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::ids::{HostId, JobId, TaskId};
use crate::time::Millis;

/// How many held-back actions are listed.
const MAX_HELD_ACTIONS: usize = 1_000;

/// An automatic action that a pause holds back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum HeldAction {
    /// Stopping other work to make room for a job.
    #[display("make room for job {_0}")]
    Preempt(JobId),
    /// Moving a task to another worker because its worker leaves.
    #[display("move task {_0}")]
    Move(TaskId),
    /// Moving a task of a service to spread it over zones again.
    #[display("spread job {_0} over zones")]
    Rebalance(JobId),
    /// Setting aside a worker that fails what it starts.
    #[display("set worker {_0} aside")]
    Quarantine(HostId),
    /// Trying a worker that was set aside.
    #[display("try worker {_0} again")]
    Readmit(HostId),
    /// Giving up on a service whose tasks keep failing.
    #[display("give up on service {_0}")]
    FailService(JobId),
    /// Refusing a job that can no longer run.
    #[display("refuse job {_0}")]
    Refuse(JobId),
    /// Holding down or stopping a task that outgrew its size.
    #[display("hold down task {_0}")]
    LimitUsage(TaskId),
}

/// The held-back actions, each with the time at which it was first due.
#[derive(Debug, Default)]
pub(super) struct HeldActions(BTreeMap<HeldAction, Millis>);

impl HeldActions {
    /// Notes an action.
    pub(super) fn add(&mut self, action: HeldAction, now: Millis) {
        if self.0.len() < MAX_HELD_ACTIONS {
            self.0.entry(action).or_insert(now);
        }
    }

    /// Forgets all of them.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns them.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&HeldAction, Millis)> {
        self.0.iter().map(|(action, since)| (action, *since))
    }
}
