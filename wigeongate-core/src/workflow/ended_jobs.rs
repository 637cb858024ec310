//! The ends of jobs that are archived: of such a job, nothing but its status is kept.

use std::collections::BTreeSet;

use super::job::WorkflowStatus;
use super::spec::WorkflowId;
use crate::collections::HashMap;
use crate::time::Millis;

/// The status of each archived job until its retention is over.
#[derive(Debug, Default)]
pub struct EndedJobs {
    /// How long the status of a job is kept after its end.
    retention: Millis,
    /// The status of each job and when its retention is over.
    statuses: HashMap<WorkflowId, (WorkflowStatus, Millis)>,
    /// The same jobs in the order in which they expire.
    by_expiry: BTreeSet<(Millis, WorkflowId)>,
}

impl EndedJobs {
    /// Creates an empty set whose jobs expire this long after their end.
    pub fn new(retention: Millis) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Adds a job that ended the time `age` ago, unless it is known.
    pub fn add(&mut self, id: WorkflowId, status: WorkflowStatus, now: Millis, age: Millis) {
        if self.statuses.contains_key(&id) {
            return;
        }
        let expires = now + self.retention.since(age);
        self.statuses.insert(id, (status, expires));
        self.by_expiry.insert((expires, id));
    }

    /// Returns the status of a job.
    pub fn status(&self, id: WorkflowId) -> Option<WorkflowStatus> {
        self.statuses.get(&id).map(|(status, _)| *status)
    }

    /// Returns up to `limit` jobs whose retention is over, the oldest first. They stay known until
    /// they are removed.
    pub fn expired(&self, now: Millis, limit: usize) -> Vec<WorkflowId> {
        let is_expired = |(expires, _): &&(Millis, WorkflowId)| *expires < now;
        let expired = self.by_expiry.iter().take_while(is_expired).take(limit);
        expired.map(|(_, id)| *id).collect()
    }

    /// Forgets jobs that the store no longer holds.
    pub fn remove(&mut self, jobs: &[WorkflowId]) {
        for id in jobs {
            if let Some((_, expires)) = self.statuses.remove(id) {
                self.by_expiry.remove(&(expires, *id));
            }
        }
    }

    /// Returns the number of jobs.
    pub fn count(&self) -> usize {
        self.statuses.len()
    }
}
