//! Draining of workers for tasks that are larger than the free capacity of any worker.

use super::Scheduler;
use super::claims::{Claim, Claims, Purpose};
use crate::ids::JobId;
use crate::time::Millis;

/// How long a job waits before a worker is drained for it.
const LARGE_WAIT: Millis = Millis::from_secs(10);

/// How many of a team's oldest jobs are checked for one that needs a drained worker.
const MAX_JOBS_PER_TEAM: usize = 16;

/// Sweeps from one check for such jobs to the next.
const SWEEPS_PER_CHECK: u64 = 5;

/// One worker in this many, and one more, may be drained at a time.
const DRAIN_DIVISOR: usize = 100;

impl Scheduler {
    /// Claims workers for the jobs that have waited longest for room, so that no new work starts
    /// there.
    ///
    /// Each team gets at most one worker per check, for the first of its oldest jobs that has
    /// waited for [`LARGE_WAIT`], has no claim, and has found no room.
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
                    self.now.since(entry.waiting_since) >= LARGE_WAIT
                        && self.claims.part_count(*job) == 0
                        && self.fleet.full_for(&entry.size)
                })
            };
            let oldest = self
                .queues
                .team_jobs(team, false)
                .take(MAX_JOBS_PER_TEAM)
                .find(needs_drain);
            let entry = oldest.and_then(|job| self.table.get(job));
            jobs.extend(entry.map(|entry| (entry.waiting_since, entry.job.id)));
        }
        jobs.sort_unstable();
        for (_, job) in jobs {
            if draining(&self.claims) >= most {
                return;
            }
            self.drain_for(job);
        }
    }

    /// Claims the worker that has to free the least before a task of the job fits on it.
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
