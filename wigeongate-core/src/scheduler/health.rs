//! The health of a worker, judged by the tasks that failed on it.

use crate::ids::{JobId, TaskId};
use crate::time::Millis;

/// The most doublings of a worker's quarantine.
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;

/// The most failed tasks of a worker that are remembered.
const MAX_FAILURES: usize = 64;

/// Whether a worker accepts work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Standing {
    /// It accepts any work.
    #[default]
    Healthy,
    /// It accepts no work, at least until this time.
    Quarantined(Millis),
    /// It accepts one task at a time; a success makes it healthy again, a failure quarantines it.
    Probation,
}

/// The failures of tasks on a worker, and whether it accepts work.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Tasks that failed on the worker since one last succeeded.
    failures: Vec<TaskId>,
    standing: Standing,
    /// Number of quarantines since the worker was last healthy.
    quarantines: u32,
}

impl Health {
    /// Returns whether the worker accepts work; `busy` tells whether it already runs any.
    pub(super) fn accepts_work(&self, busy: bool) -> bool {
        match self.standing {
            Standing::Healthy => true,
            Standing::Quarantined(_) => false,
            Standing::Probation => !busy,
        }
    }

    /// Returns whether the worker is quarantined or on probation.
    pub(super) fn suspect(&self) -> bool {
        self.standing != Standing::Healthy
    }

    /// Records that a task failed; returns whether the worker has to be quarantined.
    ///
    /// That is the case once `limit` different jobs have failed on it, or at the first failure on
    /// probation.
    pub(super) fn record_failure(&mut self, task: TaskId, limit: u32) -> bool {
        if self.failures.len() < MAX_FAILURES {
            self.failures.push(task);
        }
        match self.standing {
            Standing::Healthy => self.failed_jobs() >= limit.max(1),
            Standing::Probation => true,
            Standing::Quarantined(_) => false,
        }
    }

    /// Forgets the failures of a job that fails on other workers too.
    pub(super) fn forget_job(&mut self, job: JobId) {
        self.failures.retain(|failed| failed.job != job);
    }

    /// Returns how many different jobs failed on the worker since a task last succeeded.
    pub(super) fn failed_jobs(&self) -> u32 {
        let mut jobs: Vec<JobId> = self.failures.iter().map(|failed| failed.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        u32::try_from(jobs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the tasks that failed on the worker since one last succeeded.
    pub(super) fn failures(&self) -> &[TaskId] {
        &self.failures
    }

    /// Quarantines the worker for `duration`, doubled for each quarantine since it was last
    /// healthy.
    pub(super) fn quarantine(&mut self, now: Millis, duration: Millis) {
        let duration = Millis(duration.0 << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS));
        self.quarantines += 1;
        self.standing = Standing::Quarantined(now + duration);
        self.failures.clear();
    }

    /// Records that a task succeeded, which ends a probation.
    pub(super) fn record_success(&mut self) {
        self.failures.clear();
        if self.standing == Standing::Probation {
            self.standing = Standing::Healthy;
            self.quarantines = 0;
        }
    }

    /// Returns whether the worker is quarantined and its quarantine time is over.
    pub(super) fn quarantine_over(&self, now: Millis) -> bool {
        matches!(self.standing, Standing::Quarantined(until) if until <= now)
    }

    /// Puts the worker on trial.
    pub(super) fn start_probation(&mut self) {
        self.standing = Standing::Probation;
    }
}
