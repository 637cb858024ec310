//! Failed tasks: whose fault it was, and when to try again.

use super::Scheduler;
use super::fleet::Lease;
use super::held::HeldAction;
use super::index::WorkerIx;
use super::message::Action;
use crate::ids::TaskId;
use crate::job::{Kind, Outcome};
use crate::time::Millis;

/// The longest delay before a failed task is started again.
const MAX_DELAY: Millis = Millis::from_secs(60);

/// How long a task of a service runs before its earlier failures are forgotten.
const STEADY: Millis = Millis::from_secs(60);

/// The time between retries once the budget is spent.
const RETRY_EVERY: Millis = Millis(50);

/// How many retries may come at once.
const RETRY_BURST: u64 = 100;

/// One worker in so many may be set aside.
const SET_ASIDE_PART: usize = 5;

/// Failures of other jobs from which on a worker's word against a job counts for nothing.
const DOUBTFUL_JOBS: u32 = 2;

/// Bounds how many retries a pool makes.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// When a retry that finds the budget spent would be due.
    next: Millis,
}

impl RetryBudget {
    /// Takes one retry; returns how long it has to wait for the budget.
    fn take(&mut self, now: Millis) -> Millis {
        self.next = self.next.max(now) + RETRY_EVERY;
        let burst = Millis(RETRY_EVERY.0 * RETRY_BURST);
        self.next.since(now + burst)
    }
}

impl Scheduler {
    /// Notes that a task ended well on a worker.
    pub(super) fn note_success(&mut self, worker: WorkerIx) {
        self.fleet.slot_mut(worker).health.succeed();
        self.fleet.refresh(worker);
    }

    /// Starts a task of a service again that ended by itself.
    pub(super) fn restart_service(&mut self, task: TaskId, lease: &Lease) {
        self.forget_failures(task, lease);
        self.retry(task);
    }

    /// Takes in that a task failed.
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
        let aside = self.blame(worker, task);
        let attempts = self.attempts(task);
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        let progress = &mut entry.tasks[task.index as usize];
        if !suspect && !aside {
            progress.failures += 1;
        }
        let spent = progress.failures >= attempts;
        let service = entry.job.kind == Kind::Service;
        if spent && (!service || self.allow_automatic(|| HeldAction::GiveUp(task.job))) {
            self.end_job(task.job, Outcome::Failed(reason.to_owned()), actions);
            return;
        }
        self.retry(task);
    }

    /// Returns how often a task may fail.
    fn attempts(&self, task: TaskId) -> u32 {
        self.table
            .get(task.job)
            .and_then(|entry| self.policy.queues.get(&entry.job.spec.queue))
            .map_or(1, |queue| queue.attempts)
    }

    /// Forgets the failures of a service's task that ran for long.
    fn forget_failures(&mut self, task: TaskId, lease: &Lease) {
        let steady = lease.kind == Kind::Service && self.now.since(lease.since) >= STEADY;
        if !steady {
            return;
        }
        if let Some(entry) = self.table.get_mut(task.job) {
            entry.tasks[task.index as usize].failures = 0;
        }
    }

    /// Lets a task wait before it is started again, longer after each failure.
    fn retry(&mut self, task: TaskId) {
        let Some(entry) = self.table.get(task.job) else {
            return;
        };
        let failures = entry.tasks[task.index as usize].failures;
        let doublings = failures.saturating_sub(1).min(16);
        let base = (self.policy.rules.retry_delay.0 << doublings).min(MAX_DELAY.0);
        let jitter = self.rng.below(base / 2 + 1);
        let due = self.now + Millis(base / 2 + jitter) + self.retries.take(self.now);
        self.delay_task(task, due);
    }

    /// Weighs a failure against the worker; returns whether the worker is set aside for it.
    fn blame(&mut self, worker: WorkerIx, task: TaskId) -> bool {
        let Some(entry) = self.table.get_mut(task.job) else {
            return false;
        };
        entry.record_failed_worker(worker);
        let failed_on = entry.failed_on.clone();
        let elsewhere = failed_on.iter().any(|other| {
            let health = &self.fleet.slot(*other).health;
            *other != worker && !health.suspect() && health.jobs() < DOUBTFUL_JOBS
        });
        if elsewhere {
            for other in failed_on {
                self.fleet.slot_mut(other).health.absolve(task.job);
            }
            return false;
        }
        let limit = self.policy.rules.worker_strikes;
        let tired = self.fleet.slot_mut(worker).health.strike(task, limit);
        tired && self.set_aside(worker)
    }

    /// Sets a worker aside unless too many are.
    fn set_aside(&mut self, worker: WorkerIx) -> bool {
        let listed = self.fleet.slots.iter().filter(|slot| slot.listed).count();
        let aside = self
            .fleet
            .slots
            .iter()
            .filter(|slot| slot.listed && slot.health.suspect())
            .count();
        let trial = self.fleet.slot(worker).health.suspect();
        if !trial && aside >= (listed / SET_ASIDE_PART).max(1) {
            return false;
        }
        let host = self.fleet.slot(worker).host.clone();
        if !self.allow_automatic(|| HeldAction::SetAside(host)) {
            return false;
        }
        let rest = self.policy.rules.worker_rest;
        let now = self.now;
        let health = &mut self.fleet.slot_mut(worker).health;
        let mut struck = health.strikes().to_vec();
        // The newest failure was not counted against its job.
        struck.pop();
        health.set_aside(now, rest);
        self.fleet.refresh(worker);
        self.refund(&struck);
        true
    }

    /// Takes back failures that a worker was to blame for.
    fn refund(&mut self, struck: &[TaskId]) {
        for task in struck {
            if let Some(entry) = self.table.get_mut(task.job) {
                let progress = &mut entry.tasks[task.index as usize];
                progress.failures = progress.failures.saturating_sub(1);
            }
        }
    }

    /// Tries workers again that have rested, and opens those whose zone came back.
    pub(super) fn wake_workers(&mut self) {
        for worker in self.fleet.workers() {
            let slot = self.fleet.slot_mut(worker);
            let opens = slot.opens > Millis::ZERO && slot.opens <= self.now;
            if opens {
                slot.opens = Millis::ZERO;
            }
            if opens || self.wake_worker(worker) {
                self.fleet.refresh(worker);
            }
        }
    }

    fn wake_worker(&mut self, worker: WorkerIx) -> bool {
        let now = self.now;
        if !self.fleet.slot(worker).health.rested(now) {
            return false;
        }
        let host = self.fleet.slot(worker).host.clone();
        if !self.allow_automatic(|| HeldAction::Try(host)) {
            return false;
        }
        self.fleet.slot_mut(worker).health.wake();
        true
    }
}
