//! Which of the stored jobs a new owner holds.

use std::collections::BTreeMap;

use super::deferred_jobs::{DeferredJob, DeferredJobs, DeferredRank};
use super::intake::StoredJob;
use super::job_budget::job_bytes;
use super::restore::Record;
use super::spec::WorkflowId;
use crate::collections::HashSet;

/// Chooses the jobs that a new owner holds while it reads the store.
#[derive(Debug, Default)]
pub struct JobSelection {
    /// The most bytes that the open jobs may take.
    budget: u64,
    /// Jobs that the log names, which are held: they may have begun.
    logged: HashSet<WorkflowId>,
    /// Those among them that have ended.
    ended: HashSet<WorkflowId>,
    held: Vec<StoredJob>,
    /// Jobs that are held as long as there is room, and the priority of their queues.
    unbegun: BTreeMap<DeferredRank, StoredJob>,
    deferred: DeferredJobs,
    bytes: u64,
}

impl JobSelection {
    /// Creates an empty selection.
    pub fn new(budget: u64) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Adds a record of the log. All records come before the jobs.
    pub fn add_record(&mut self, record: &Record) {
        let job = record.job();
        self.logged.insert(job);
        if matches!(record, Record::Ended(..)) {
            self.ended.insert(job);
        }
    }

    /// Adds a stored job; `priority` is that of its queue.
    pub fn add(&mut self, job: StoredJob, priority: u32) {
        let id = job.flow.id;
        if !self.ended.contains(&id) {
            self.bytes += job_bytes(&job.flow);
        }
        if self.logged.contains(&id) {
            self.held.push(job);
        } else {
            let rank = DeferredRank {
                priority,
                accepted: job.flow.accepted,
                id,
            };
            self.unbegun.insert(rank, job);
        }
        while self.bytes > self.budget
            && let Some((rank, job)) = self.unbegun.pop_last()
        {
            let bytes = job_bytes(&job.flow);
            self.bytes -= bytes;
            self.deferred.add(DeferredJob {
                rank,
                queue: job.flow.queue.clone(),
                bytes,
            });
        }
    }

    /// Returns the jobs to hold, in the order in which they were accepted, and the others.
    pub fn finish(mut self) -> (Vec<StoredJob>, DeferredJobs) {
        self.held.extend(self.unbegun.into_values());
        self.held.sort_by_key(|job| job.flow.accepted);
        (self.held, self.deferred)
    }
}
