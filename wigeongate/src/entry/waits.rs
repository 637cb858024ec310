//! Logs why steps wait, the oldest ones at an interval.

use tracing::info;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::WorkflowScheduler;

use super::shared::Shared;

/// The interval between two reports, in milliseconds.
const INTERVAL_MS: u64 = 3_000;

/// How long a step waits before it is reported, in milliseconds.
const LEAST_MS: u64 = 5_000;

/// The most steps that one report names.
const MOST: usize = 4;

/// Writes the reports.
#[derive(Debug, Default)]
pub struct WaitReport {
    next: Millis,
}

impl WaitReport {
    /// Reports the steps that have waited for longest, if a report is due.
    pub fn tick(&mut self, scheduler: &WorkflowScheduler, shared: &Shared) {
        let now = shared.now();
        if now < self.next {
            return;
        }
        self.next = now + Millis(INTERVAL_MS);
        for wait in scheduler.waits(Millis(LEAST_MS), MOST, now) {
            let hosts = wait.hosts;
            info!(step = %wait.step, waited_ms = wait.waited.0, tasks = wait.tasks,
                unsettled = wait.unsettled, caution = ?wait.caution, limited = wait.is_limited,
                asked = wait.asked, listed = hosts.listed, sound = hosts.sound,
                admitted = hosts.admitted, suitable = hosts.suitable, roomy = hosts.roomy,
                ticketed = hosts.ticketed, "owner: a step waits.");
        }
    }
}
