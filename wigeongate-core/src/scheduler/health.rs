//! Whether a worker is to be trusted with work.

use crate::ids::{JobId, TaskId};
use crate::time::Millis;

/// How often the rest of a worker doubles at most.
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;

/// Failed tasks of a worker that are remembered.
const MAX_FAILURES: usize = 64;

/// Where a worker stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Standing {
    /// It takes any work.
    #[default]
    Healthy,
    /// It takes none until then.
    Quarantined(Millis),
    /// It takes one task at a time.
    Probation,
}

/// The record of failures of a worker.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Tasks that failed here since one last ended well.
    failures: Vec<TaskId>,
    standing: Standing,
    /// How often it was set aside since it was last open.
    quarantines: u32,
}

impl Health {
    /// Returns whether it takes work, given whether it runs any.
    pub(super) fn accepts_work(&self, busy: bool) -> bool {
        match self.standing {
            Standing::Healthy => true,
            Standing::Quarantined(_) => false,
            Standing::Probation => !busy,
        }
    }

    /// Returns whether it is set aside or on trial.
    pub(super) fn suspect(&self) -> bool {
        self.standing != Standing::Healthy
    }

    /// Notes that a task failed; returns whether the worker is to be set aside.
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

    /// Takes back the strikes of a job that fails on other workers too.
    pub(super) fn forget_job(&mut self, job: JobId) {
        self.failures.retain(|failed| failed.job != job);
    }

    /// Returns how many different jobs failed here since a task last ended well.
    pub(super) fn failed_jobs(&self) -> u32 {
        let mut jobs: Vec<JobId> = self.failures.iter().map(|failed| failed.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        u32::try_from(jobs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the tasks that failed here since one last ended well.
    pub(super) fn failures(&self) -> &[TaskId] {
        &self.failures
    }

    /// Sets the worker aside for `rest`, longer each time.
    pub(super) fn quarantine(&mut self, now: Millis, duration: Millis) {
        let duration = Millis(duration.0 << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS));
        self.quarantines += 1;
        self.standing = Standing::Quarantined(now + duration);
        self.failures.clear();
    }

    /// Notes that a task ended well.
    pub(super) fn record_success(&mut self) {
        self.failures.clear();
        if self.standing == Standing::Probation {
            self.standing = Standing::Healthy;
            self.quarantines = 0;
        }
    }

    /// Returns whether it was set aside and has rested.
    pub(super) fn quarantine_over(&self, now: Millis) -> bool {
        matches!(self.standing, Standing::Quarantined(until) if until <= now)
    }

    /// Puts the worker on trial.
    pub(super) fn start_probation(&mut self) {
        self.standing = Standing::Probation;
    }
}
