//! Workers kept free of new work for tasks too large for what is free on any.

use super::Scheduler;
use super::claims::{Claim, Claims, Purpose};
use crate::ids::JobId;
use crate::time::Millis;

/// How long a job waits before a worker is drained for it.
const LARGE_WAIT: Millis = Millis::from_secs(10);

/// Jobs of a team among which such a job is looked for.
const MAX_JOBS_PER_TEAM: usize = 16;

/// Sweeps between two looks for such jobs.
const SWEEPS_PER_CHECK: u64 = 5;

/// One worker in so many is drained at a time.
const DRAIN_DIVISOR: usize = 100;

impl Scheduler {
    /// Keeps workers free of new work for the jobs that have waited longest.
    pub(super) fn drain_for_large_tasks(&mut self) {
        if !self.sweeps.is_multiple_of(SWEEPS_PER_CHECK) {
            return;
        }
        let most = self.fleet.slots.len() / DRAIN_DIVISOR + 1;
        let draining = |claims: &Claims| {
            let for_tasks = |claim: &&Claim| claim.purpose == Purpose::Tasks;
            claims.all.values().filter(for_tasks).count()
        };
        let mut jobs: Vec<(Millis, JobId)> = Vec::new();
        for team in self.queues.teams(false) {
            let needs_drain = |job: &JobId| {
                self.table.get(*job).is_some_and(|entry| {
                    self.now.since(entry.waiting) >= LARGE_WAIT
                        && self.claims.part_count(*job) == 0
                        && self.fleet.full_for(&entry.size)
                })
            };
            let oldest = self
                .queues
                .of_team(team, false)
                .take(MAX_JOBS_PER_TEAM)
                .find(needs_drain);
            let entry = oldest.and_then(|job| self.table.get(job));
            jobs.extend(entry.map(|entry| (entry.waiting, entry.job.id)));
        }
        jobs.sort_unstable();
        for (_, job) in jobs {
            if draining(&self.claims) >= most {
                return;
            }
            self.drain_for(job);
        }
    }

    fn drain_for(&mut self, job: JobId) {
        if !self.startable(job) {
            return;
        }
        let Some(entry) = self.table.get(job) else {
            return;
        };
        let size = entry.size;
        if let Some((_, worker)) = self.drainable_workers(&size).into_iter().min() {
            let until = self.now + self.policy.rules.gang_wait;
            self.claim(job, worker, Purpose::Tasks, until);
        }
    }
}
