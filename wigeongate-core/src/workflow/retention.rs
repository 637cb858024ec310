//! Decides which keys of ended jobs to remove from the store.
//!
//! A key counts as removed only once the store has confirmed it. Until then its job stays known to
//! the scheduler: a job that is stored but unknown would be taken for one that has never run.

use super::spec::WorkflowId;
use crate::time::Millis;

/// The time between removals, in milliseconds. Every call to the store is charged for.
const INTERVAL_MS: u64 = 400;

/// The time between removals while more keys wait than one transaction takes, in milliseconds.
const BACKLOG_INTERVAL_MS: u64 = 100;

/// The keys that one transaction removes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Removal {
    /// Jobs whose keys are removed.
    pub jobs: Vec<WorkflowId>,
}

/// The removal in progress.
#[derive(Debug, Default)]
pub struct Retention {
    /// The removal that the store has not answered yet; there is never more than one.
    current: Option<Removal>,
    /// The earliest time of the next removal.
    next: Millis,
}

impl Retention {
    /// Returns whether a removal may begin.
    pub fn is_due(&self, now: Millis) -> bool {
        self.current.is_none() && now >= self.next
    }

    /// Begins the removal of up to `limit` keys: the expired jobs. Returns
    /// `None` if there is nothing to remove, or the last removal is still in progress.
    ///
    /// The keys stay known until [`Retention::end_removal`] says that they are removed.
    pub fn begin_removal(
        &mut self,
        expired: &[WorkflowId],
        limit: usize,
        now: Millis,
    ) -> Option<&Removal> {
        if self.current.is_some() {
            return None;
        }
        let jobs = expired.len().min(limit);
        let is_full = jobs == limit;
        let pause_ms = if is_full {
            BACKLOG_INTERVAL_MS
        } else {
            INTERVAL_MS
        };
        self.next = now + Millis(pause_ms);
        if jobs == 0 {
            return None;
        }
        Some(self.current.insert(Removal {
            jobs: expired[..jobs].to_vec(),
        }))
    }

    /// Ends the removal in progress; returns the jobs that have left the store, none if the removal
    /// failed or its outcome is not known.
    pub fn end_removal(&mut self, is_confirmed: bool) -> Vec<WorkflowId> {
        let Some(removal) = self.current.take().filter(|_| is_confirmed) else {
            return Vec::new();
        };
        removal.jobs
    }
}
