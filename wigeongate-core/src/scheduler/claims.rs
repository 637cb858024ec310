//! Capacity that is kept for a job until its tasks can start on it.

use std::collections::BTreeMap;

use super::Scheduler;
use super::fleet::Hold;
use super::index::WorkerIx;
use super::message::Action;
use super::teams::TeamIx;
use crate::ids::JobId;
use crate::resources::Resources;
use crate::time::Millis;

/// Why capacity is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// For a gang, until there is enough for all of it.
    Gang,
    /// For a part of a gang whose owner is another, until that owner commits it.
    Foreign,
    /// For single tasks, each as soon as its part is free.
    Room,
}

/// The capacity that is kept for one job.
#[derive(Debug)]
pub(super) struct Claim {
    /// Why.
    pub(super) purpose: Purpose,
    /// The team of the job.
    pub(super) team: TeamIx,
    /// The size of each part.
    pub(super) size: Resources,
    /// The worker of each part.
    pub(super) parts: Vec<WorkerIx>,
    /// When it is given back.
    pub(super) until: Millis,
}

/// All claims.
#[derive(Debug, Default)]
pub(super) struct Claims {
    /// The claims by job.
    pub(super) all: BTreeMap<JobId, Claim>,
}

impl Claims {
    /// Returns how many parts a job has.
    pub(super) fn parts(&self, job: JobId) -> usize {
        self.all.get(&job).map_or(0, |claim| claim.parts.len())
    }
}

impl Scheduler {
    /// Keeps room for one more task of a job on a worker.
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

    /// Keeps room on a worker, as one more part of the job's claim or the first of a new one.
    pub(super) fn claim_part(&mut self, job: JobId, worker: WorkerIx, new: Claim) {
        let until = new.until;
        let claim = self.claims.all.entry(job).or_insert(new);
        claim.until = claim.until.max(until);
        claim.parts.push(worker);
        let (team, size) = (claim.team, claim.size);
        self.teams.all[team].claimed += size;
        self.fleet.hold(worker, Hold { job, size });
    }

    /// Gives back one part of a job's claim.
    pub(super) fn unclaim(&mut self, job: JobId, worker: WorkerIx) {
        let Some(claim) = self.claims.all.get_mut(&job) else {
            return;
        };
        let Some(place) = claim.parts.iter().position(|part| *part == worker) else {
            return;
        };
        claim.parts.remove(place);
        let team = &mut self.teams.all[claim.team];
        team.claimed = team.claimed.saturating_sub(&claim.size);
        if claim.parts.is_empty() {
            self.claims.all.remove(&job);
        }
        self.fleet.unhold(worker, job);
    }

    /// Gives back all that is kept for a job.
    pub(super) fn drop_claim(&mut self, job: JobId) {
        let Some(claim) = self.claims.all.get(&job) else {
            return;
        };
        for worker in claim.parts.clone() {
            self.unclaim(job, worker);
        }
        self.dirty = true;
    }

    /// Gives back claims whose time is up.
    pub(super) fn expire_claims(&mut self) {
        let expired: Vec<JobId> = self
            .claims
            .all
            .iter()
            .filter(|(_, claim)| claim.until <= self.now)
            .map(|(job, _)| *job)
            .collect();
        for job in expired {
            self.rest_gang(job);
            self.drop_claim(job);
        }
    }

    /// Gives back claims on workers that can take no work.
    pub(super) fn drop_blocked_claims(&mut self) {
        let blocked: Vec<JobId> = self
            .claims
            .all
            .iter()
            .filter(|(_, claim)| claim.parts.iter().any(|at| !self.fleet.usable(*at)))
            .map(|(job, _)| *job)
            .collect();
        for job in blocked {
            self.drop_claim(job);
        }
    }

    /// Starts what can start on capacity that was kept for it.
    pub(super) fn fire_claims(&mut self, actions: &mut Vec<Action>) {
        let mut touched = std::mem::take(&mut self.fleet.touched);
        touched.sort_unstable();
        touched.dedup();
        for worker in touched {
            let mut jobs: Vec<JobId> = self
                .fleet
                .slot(worker)
                .holds
                .iter()
                .map(|hold| hold.job)
                .collect();
            jobs.dedup();
            for job in jobs {
                self.fire(job, worker, actions);
            }
        }
        self.fleet.touched.clear();
    }

    /// Starts what can start of one job on a worker, or the whole gang.
    fn fire(&mut self, job: JobId, worker: WorkerIx, actions: &mut Vec<Action>) {
        let (Some(claim), Some(entry)) = (self.claims.all.get(&job), self.table.get(job)) else {
            return;
        };
        if entry.ended.is_some() || entry.size != claim.size {
            self.drop_claim(job);
            return;
        }
        match claim.purpose {
            Purpose::Gang => {
                self.fire_gang(job, actions);
            }
            Purpose::Room => self.fire_room(job, worker, actions),
            Purpose::Foreign => {}
        }
    }

    fn fire_room(&mut self, job: JobId, worker: WorkerIx, actions: &mut Vec<Action>) {
        for _ in 0..self.fleet.covered(worker, job) {
            if !self.startable(job) {
                return;
            }
            self.unclaim(job, worker);
            self.start_next(job, worker, actions);
        }
    }

    /// Starts a gang when all its parts are free and within its team's limit.
    pub(super) fn fire_gang(&mut self, job: JobId, actions: &mut Vec<Action>) -> bool {
        let (Some(claim), Some(entry)) = (self.claims.all.get(&job), self.table.get(job)) else {
            return false;
        };
        let mut wanted: BTreeMap<WorkerIx, u32> = BTreeMap::new();
        for part in &claim.parts {
            *wanted.entry(*part).or_default() += 1;
        }
        let ready = entry.all_ready()
            && claim.parts.len() == entry.ready.len()
            && self.gang_allowed(entry)
            && wanted
                .iter()
                .all(|(worker, count)| self.fleet.covered(*worker, job) >= *count);
        if !ready {
            return false;
        }
        for worker in claim.parts.clone() {
            self.unclaim(job, worker);
            self.start_next(job, worker, actions);
        }
        true
    }
}
