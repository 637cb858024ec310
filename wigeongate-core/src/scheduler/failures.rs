//! Failed tasks: whether the job or the worker is at fault, and when a task is retried.

use super::Scheduler;
use super::fleet::Lease;
use super::held::HeldAction;
use super::index::WorkerIx;
use super::message::Action;
use crate::ids::TaskId;
use crate::job::{Kind, Outcome};
use crate::time::Millis;

/// The longest delay before a failed task is retried, before any wait for the retry budget.
const MAX_RETRY_DELAY: Millis = Millis::from_secs(60);

/// How long a task of a service has to run before its earlier failures are forgotten.
const SERVICE_STABLE_TIME: Millis = Millis::from_secs(60);

/// The interval between retries once the burst is used up.
const RETRY_INTERVAL: Millis = Millis(50);

/// How many retries a pool may make at once.
const RETRY_BURST: u64 = 100;

/// One in this many listed workers, but at least one, may be quarantined or on probation.
const QUARANTINE_DIVISOR: usize = 5;

/// Number of failed jobs from which on a worker is likely to be at fault itself, so that a failure
/// there is no evidence against a job.
const UNRELIABLE_WORKER_JOBS: u32 = 2;

/// Limits the rate at which a pool retries tasks.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// The time up to which retries have used the budget; it may lie one burst ahead of now.
    next: Millis,
}

impl RetryBudget {
    /// Takes one retry from the budget; returns how long that retry has to wait for it.
    fn take(&mut self, now: Millis) -> Millis {
        self.next = self.next.max(now) + RETRY_INTERVAL;
        let burst = Millis(RETRY_INTERVAL.0 * RETRY_BURST);
        self.next.since(now + burst)
    }
}

impl Scheduler {
    /// Records that a task succeeded on a worker.
    pub(super) fn note_success(&mut self, worker: WorkerIx) {
        self.fleet.slot_mut(worker).health.record_success();
        self.fleet.refresh(worker);
    }

    /// Schedules a restart of a service's task that ended by itself.
    pub(super) fn restart_service(&mut self, task: TaskId, lease: &Lease) {
        self.forget_failures(task, lease);
        self.retry(task);
    }

    /// Handles the failure of a task: retries it, or ends its job once its attempts are used up.
    ///
    /// A failure on a worker that is quarantined or on probation does not count against the job.
    /// While automatic actions are paused, a service is retried instead of ended.
    pub(super) fn fail(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        lease: &Lease,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        self.forget_failures(task, lease);
        let suspect = self.fleet.slot(worker).health.suspect();
        let quarantined = self.attribute_failure(worker, task);
        let max_attempts = self.max_attempts(task);
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        let progress = &mut entry.tasks[task.index as usize];
        if !suspect && !quarantined {
            progress.failures += 1;
        }
        let exhausted = progress.failures >= max_attempts;
        let service = entry.job.kind == Kind::Service;
        if exhausted && (!service || self.allow_automatic(|| HeldAction::FailService(task.job))) {
            self.end_job(task.job, Outcome::Failed(reason.to_owned()), actions);
            return;
        }
        self.retry(task);
    }

    /// Returns how many failed attempts of a task end its job.
    fn max_attempts(&self, task: TaskId) -> u32 {
        self.table
            .get(task.job)
            .and_then(|entry| self.policy.queues.get(&entry.job.spec.queue))
            .map_or(1, |queue| queue.attempts)
    }

    /// Clears the failures of a service's task that ran for [`SERVICE_STABLE_TIME`] or longer.
    fn forget_failures(&mut self, task: TaskId, lease: &Lease) {
        let stable =
            lease.kind == Kind::Service && self.now.since(lease.since) >= SERVICE_STABLE_TIME;
        if !stable {
            return;
        }
        if let Some(entry) = self.table.get_mut(task.job) {
            entry.tasks[task.index as usize].failures = 0;
        }
    }

    /// Queues a task again after a delay that doubles with each failure, with jitter.
    fn retry(&mut self, task: TaskId) {
        let Some(entry) = self.table.get(task.job) else {
            return;
        };
        let failures = entry.tasks[task.index as usize].failures;
        let doublings = failures.saturating_sub(1).min(16);
        let base = (self.policy.rules.retry_delay.0 << doublings).min(MAX_RETRY_DELAY.0);
        let jitter = self.rng.below(base / 2 + 1);
        let due = self.now + Millis(base / 2 + jitter) + self.retries.take(self.now);
        self.delay_task(task, due);
    }

    /// Decides whether a failure counts against the worker; returns whether the worker is
    /// quarantined for it.
    ///
    /// When the job has failed on another reliable worker too, the job is at fault, and its
    /// failures are cleared from every worker.
    fn attribute_failure(&mut self, worker: WorkerIx, task: TaskId) -> bool {
        let Some(entry) = self.table.get_mut(task.job) else {
            return false;
        };
        entry.record_failed_worker(worker);
        let failed_on = entry.failed_on.clone();
        let elsewhere = failed_on.iter().any(|other| {
            let health = &self.fleet.slot(*other).health;
            *other != worker && !health.suspect() && health.failed_jobs() < UNRELIABLE_WORKER_JOBS
        });
        if elsewhere {
            for other in failed_on {
                self.fleet.slot_mut(other).health.forget_job(task.job);
            }
            return false;
        }
        let limit = self.policy.rules.worker_strikes;
        let unhealthy = self
            .fleet
            .slot_mut(worker)
            .health
            .record_failure(task, limit);
        unhealthy && self.quarantine(worker)
    }

    /// Quarantines a worker, unless too many are quarantined or automatic actions are paused;
    /// returns whether it did.
    ///
    /// That bound does not hold for a worker on probation, which counts as one of them already.
    fn quarantine(&mut self, worker: WorkerIx) -> bool {
        let listed = self.fleet.slots.iter().filter(|slot| slot.listed).count();
        let quarantined = self
            .fleet
            .slots
            .iter()
            .filter(|slot| slot.listed && slot.health.suspect())
            .count();
        let on_probation = self.fleet.slot(worker).health.suspect();
        if !on_probation && quarantined >= (listed / QUARANTINE_DIVISOR).max(1) {
            return false;
        }
        let host = self.fleet.slot(worker).host.clone();
        if !self.allow_automatic(|| HeldAction::Quarantine(host)) {
            return false;
        }
        let rest = self.policy.rules.worker_rest;
        let now = self.now;
        let health = &mut self.fleet.slot_mut(worker).health;
        let mut counted = health.failures().to_vec();
        // The newest failure has not been counted against its job.
        counted.pop();
        health.quarantine(now, rest);
        self.fleet.refresh(worker);
        self.uncount_failures(&counted);
        true
    }

    /// Stops counting failures against their jobs, because the worker was at fault.
    fn uncount_failures(&mut self, counted: &[TaskId]) {
        for task in counted {
            if let Some(entry) = self.table.get_mut(task.job) {
                let progress = &mut entry.tasks[task.index as usize];
                progress.failures = progress.failures.saturating_sub(1);
            }
        }
    }

    /// Puts workers on probation whose quarantine is over, and makes workers usable again some time
    /// after their zone came back.
    pub(super) fn readmit_workers(&mut self) {
        for worker in self.fleet.workers() {
            let slot = self.fleet.slot_mut(worker);
            let reopens = slot.usable_from > Millis::ZERO && slot.usable_from <= self.now;
            if reopens {
                slot.usable_from = Millis::ZERO;
            }
            if reopens || self.readmit_worker(worker) {
                self.fleet.refresh(worker);
            }
        }
    }

    /// Puts a worker on probation if its quarantine is over; returns whether it did.
    fn readmit_worker(&mut self, worker: WorkerIx) -> bool {
        let now = self.now;
        if !self.fleet.slot(worker).health.quarantine_over(now) {
            return false;
        }
        let host = self.fleet.slot(worker).host.clone();
        if !self.allow_automatic(|| HeldAction::Readmit(host)) {
            return false;
        }
        self.fleet.slot_mut(worker).health.start_probation();
        true
    }
}
