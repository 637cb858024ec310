//! Adds jobs from the store to the scheduler, each of them once.
//!
//! A job that the scheduler does not know was either never added, or has ended and was removed. The
//! revision at which the store holds it tells the two apart.

use serde::{Deserialize, Serialize};

use super::scheduler::WorkflowScheduler;
use super::spec::Workflow;
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
    /// Every job that was stored up to this revision has been added.
    complete: u64,
}

impl Intake {
    /// Creates the state of an owner that has added every job up to a revision.
    pub const fn new(complete: u64) -> Self {
        Self { complete }
    }

    /// Adds a job unless it is known or was removed; `age` is the time since its acceptance.
    pub fn add(
        &self,
        scheduler: &mut WorkflowScheduler,
        job: StoredJob,
        now: Millis,
        age: Millis,
    ) -> Submission {
        if scheduler.status(job.flow.id).is_some() {
            return Submission::Known;
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
