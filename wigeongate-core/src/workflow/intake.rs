//! Adds jobs from the store to the scheduler, each of them once.
//!
//! A job that the scheduler does not know was either never added, or has ended and was removed. The
//! revision at which the store holds it tells the two apart.

use serde::{Deserialize, Serialize};

use super::deferred_jobs::DeferredJobs;
use super::scheduler::WorkflowScheduler;
use super::spec::{Workflow, WorkflowId};
use crate::time::Millis;

/// An accepted job and the revision at which the store holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// The job.
    pub flow: Workflow,
    /// The revision of its key, which is written once.
    pub revision: u64,
}

/// What became of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submission {
    /// The job is new.
    Added,
    /// The job was known.
    Known,
    /// The job had ended, and its key was removed from the store.
    Removed,
}

/// The jobs of the store that have been added to the scheduler.
#[derive(Debug, Default)]
pub struct Intake {
    /// Every job that was stored up to this revision has been added, or is deferred.
    complete: u64,
    deferred: DeferredJobs,
}

impl Intake {
    /// Creates the state of an owner that has added every job up to a revision.
    pub fn new(complete: u64) -> Self {
        Self {
            complete,
            ..Self::default()
        }
    }

    /// Sets the jobs that are not added since there is no memory for them.
    pub fn defer(&mut self, jobs: DeferredJobs) {
        self.deferred = jobs;
    }

    /// Returns the jobs that are not added since there is no memory for them.
    pub const fn deferred(&self) -> &DeferredJobs {
        &self.deferred
    }

    /// Returns the jobs that are not added since there is no memory for them, to read some.
    pub const fn deferred_mut(&mut self) -> &mut DeferredJobs {
        &mut self.deferred
    }

    /// Returns whether a job is deferred.
    pub fn is_deferred(&self, id: WorkflowId) -> bool {
        self.deferred.contains(id)
    }

    /// Adds a job unless it is known or was removed, also a deferred one; `age` is the time since its
    /// acceptance.
    pub fn add(
        &mut self,
        scheduler: &mut WorkflowScheduler,
        job: StoredJob,
        now: Millis,
        age: Millis,
    ) -> Submission {
        if scheduler.status(job.flow.id).is_some() {
            return Submission::Known;
        }
        if self.deferred.remove(job.flow.id) {
            scheduler.submit_inherited(job.flow, now, age);
            return Submission::Added;
        }
        if job.revision <= self.complete {
            return Submission::Removed;
        }
        scheduler.submit(job.flow, now, age);
        Submission::Added
    }

    /// Records that every job that was stored up to a revision has been added.
    pub fn complete(&mut self, revision: u64) {
        self.complete = self.complete.max(revision);
    }
}
