//! Workers kept free of new work for tasks too large for what is free on any.

use super::Scheduler;
use super::claims::{Claim, Claims, Purpose};
use crate::ids::JobId;
use crate::time::Millis;

/// How long a job waits before a worker is drained for it.
const LARGE_WAIT: Millis = Millis::from_secs(10);

/// Jobs of a team among which such a job is looked for.
const OLDEST: usize = 16;

/// Sweeps between two looks for such jobs.
const LARGE_EVERY: u64 = 5;

/// One worker in so many is drained at a time.
const DRAINED_PART: usize = 100;

impl Scheduler {
    /// Keeps workers free of new work for the jobs that have waited longest.
    pub(super) fn drain_for_large(&mut self) {
        if !self.sweeps.is_multiple_of(LARGE_EVERY) {
            return;
        }
        let most = self.fleet.slots.len() / DRAINED_PART + 1;
        let rooms = |claims: &Claims| {
            let room = |claim: &&Claim| claim.purpose == Purpose::Room;
            claims.all.values().filter(room).count()
        };
        let mut jobs: Vec<(Millis, JobId)> = Vec::new();
        for team in self.queues.teams(false) {
            let waits = |job: &JobId| {
                self.table.get(*job).is_some_and(|entry| {
                    self.now.since(entry.waiting_since) >= LARGE_WAIT
                        && self.claims.parts(*job) == 0
                        && self.fleet.misses(&entry.size)
                })
            };
            let oldest = self.queues.team_jobs(team, false).take(OLDEST).find(waits);
            let entry = oldest.and_then(|job| self.table.get(job));
            jobs.extend(entry.map(|entry| (entry.waiting_since, entry.job.id)));
        }
        jobs.sort_unstable();
        for (_, job) in jobs {
            if rooms(&self.claims) >= most {
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
        if let Some((_, worker)) = self.drainable(&size).into_iter().min() {
            let until = self.now + self.policy.rules.gang_wait;
            self.claim(job, worker, Purpose::Room, until);
        }
    }
}
