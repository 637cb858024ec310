//! Claims: capacity that is kept for a job until its tasks can start on it.

use std::collections::BTreeMap;

use super::Scheduler;
use super::fleet::Hold;
use super::index::WorkerIx;
use super::message::Action;
use super::teams::TeamIx;
use crate::ids::JobId;
use crate::resources::Resources;
use crate::time::Millis;

/// What a claim keeps capacity for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A gang, until the claim covers all of its tasks.
    Gang,
    /// The tasks of a gang that another owner coordinates, until that owner commits them.
    RemoteGang,
    /// Single tasks; each starts as soon as its part of the capacity is free.
    Tasks,
}

/// The capacity that is kept for one job.
#[derive(Debug)]
pub(super) struct Claim {
    /// What the capacity is kept for.
    pub(super) purpose: Purpose,
    /// The team of the job.
    pub(super) team: TeamIx,
    /// Resources of each part, which is enough for one task.
    pub(super) size: Resources,
    /// The worker of each part; a worker that has several parts is listed as often.
    pub(super) parts: Vec<WorkerIx>,
    /// When the claim expires.
    pub(super) until: Millis,
}

/// The claims of the pool.
#[derive(Debug, Default)]
pub(super) struct Claims {
    /// The claims by job; a job has at most one.
    pub(super) all: BTreeMap<JobId, Claim>,
}

impl Claims {
    /// Returns how many parts the claim of a job has, or zero when it has no claim.
    pub(super) fn part_count(&self, job: JobId) -> usize {
        self.all.get(&job).map_or(0, |claim| claim.parts.len())
    }
}

impl Scheduler {
    /// Claims capacity for one more task of a job on a worker.
    pub(super) fn claim(&mut self, job: JobId, worker: WorkerIx, purpose: Purpose, until: Millis) {
        let Some(entry) = self.table.get(job) else {
            return;
        };
        let claim = Claim {
            purpose,
            team: entry.team,
            size: entry.size,
            parts: Vec::new(),
            until,
        };
        self.claim_part(job, worker, claim);
    }

    /// Adds a part on a worker to the claim of a job, or makes `new` its claim if it has none.
    ///
    /// The claim then expires at the later of its own time and that of `new`.
    pub(super) fn claim_part(&mut self, job: JobId, worker: WorkerIx, new: Claim) {
        let until = new.until;
        let claim = self.claims.all.entry(job).or_insert(new);
        claim.until = claim.until.max(until);
        claim.parts.push(worker);
        let (team, size) = (claim.team, claim.size);
        self.teams.all[team].claimed += size;
        self.fleet.hold(worker, Hold { job, size });
    }

    /// Releases one part of a job's claim on a worker.
    pub(super) fn release_part(&mut self, job: JobId, worker: WorkerIx) {
        let Some(claim) = self.claims.all.get_mut(&job) else {
            return;
        };
        let Some(index) = claim.parts.iter().position(|part| *part == worker) else {
            return;
        };
        claim.parts.remove(index);
        let team = &mut self.teams.all[claim.team];
        team.claimed = team.claimed.saturating_sub(&claim.size);
        if claim.parts.is_empty() {
            self.claims.all.remove(&job);
        }
        self.fleet.release_hold(worker, job);
    }

    /// Releases the whole claim of a job.
    pub(super) fn release_claim(&mut self, job: JobId) {
        let Some(claim) = self.claims.all.get(&job) else {
            return;
        };
        for worker in claim.parts.clone() {
            self.release_part(job, worker);
        }
        self.dirty = true;
    }

    /// Releases the claims that have expired; a gang then waits before it claims again.
    pub(super) fn expire_claims(&mut self) {
        let expired: Vec<JobId> = self
            .claims
            .all
            .iter()
            .filter(|(_, claim)| claim.until <= self.now)
            .map(|(job, _)| *job)
            .collect();
        for job in expired {
            self.back_off_gang(job);
            self.release_claim(job);
        }
    }

    /// Releases every claim that has a part on a worker which accepts no work.
    pub(super) fn release_unusable_claims(&mut self) {
        let blocked: Vec<JobId> = self
            .claims
            .all
            .iter()
            .filter(|(_, claim)| claim.parts.iter().any(|at| !self.fleet.usable(*at)))
            .map(|(job, _)| *job)
            .collect();
        for job in blocked {
            self.release_claim(job);
        }
    }

    /// Starts tasks on claimed capacity of the workers that have changed since the last pass.
    pub(super) fn start_ready_claims(&mut self, actions: &mut Vec<Action>) {
        let mut changed = std::mem::take(&mut self.fleet.changed_workers);
        changed.sort_unstable();
        changed.dedup();
        for worker in changed {
            let mut jobs: Vec<JobId> = self
                .fleet
                .slot(worker)
                .holds
                .iter()
                .map(|hold| hold.job)
                .collect();
            jobs.dedup();
            for job in jobs {
                self.start_ready_claim(job, worker, actions);
            }
        }
        self.fleet.changed_workers.clear();
    }

    /// Starts the tasks of a job whose parts on a worker are free, or the whole gang when all of
    /// its parts are free.
    fn start_ready_claim(&mut self, job: JobId, worker: WorkerIx, actions: &mut Vec<Action>) {
        let (Some(claim), Some(entry)) = (self.claims.all.get(&job), self.table.get(job)) else {
            return;
        };
        if entry.ended.is_some() || entry.size != claim.size {
            self.release_claim(job);
            return;
        }
        match claim.purpose {
            Purpose::Gang => {
                self.try_start_gang(job, actions);
            }
            Purpose::Tasks => self.start_claimed_tasks(job, worker, actions),
            Purpose::RemoteGang => {}
        }
    }

    /// Starts a task of a job on each of its parts on a worker that is free.
    fn start_claimed_tasks(&mut self, job: JobId, worker: WorkerIx, actions: &mut Vec<Action>) {
        for _ in 0..self.fleet.covered_holds(worker, job) {
            if !self.startable(job) {
                return;
            }
            self.release_part(job, worker);
            self.start_next(job, worker, actions);
        }
    }

    /// Starts a gang when all of its parts are free and it is within its team's limit; returns
    /// whether it started.
    pub(super) fn try_start_gang(&mut self, job: JobId, actions: &mut Vec<Action>) -> bool {
        let (Some(claim), Some(entry)) = (self.claims.all.get(&job), self.table.get(job)) else {
            return false;
        };
        let mut wanted: BTreeMap<WorkerIx, u32> = BTreeMap::new();
        for part in &claim.parts {
            *wanted.entry(*part).or_default() += 1;
        }
        let ready = entry.all_ready()
            && claim.parts.len() == entry.ready.len()
            && self.gang_within_limit(entry)
            && wanted
                .iter()
                .all(|(worker, count)| self.fleet.covered_holds(*worker, job) >= *count);
        if !ready {
            return false;
        }
        for worker in claim.parts.clone() {
            self.release_part(job, worker);
            self.start_next(job, worker, actions);
        }
        true
    }
}
