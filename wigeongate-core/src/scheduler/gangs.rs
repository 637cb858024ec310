//! Jobs whose tasks start all together.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Scheduler;
use super::claims::Purpose;
use super::fleet::Cause;
use super::index::WorkerIx;
use super::message::Action;
use super::table::{Entry, Stage};
use crate::ids::{JobId, TaskId};
use crate::job::Kind;
use crate::resources::Resources;
use crate::time::Millis;

/// Gangs that one sweep tries.
const GANGS_PER_SWEEP: usize = 16;

/// How often the time limit of a gang's claims doubles at most.
const MAX_DOUBLINGS: u32 = 2;

/// Gangs that hold capacity at a time while they wait for the rest.
const MAX_WAITING: usize = 2;

/// How long a gang that found no room waits before it is tried again.
const RETRY: Millis = Millis::from_secs(1);

impl Scheduler {
    /// Starts gangs that fit, and lets one that does not claim capacity as it becomes free.
    pub(super) fn form_gangs(&mut self, actions: &mut Vec<Action>) {
        let mut gangs: Vec<(bool, u32, u64, JobId)> = self
            .queues
            .gangs()
            .filter_map(|id| self.table.get(id))
            .filter(|entry| entry.claim_after <= self.now)
            .map(|entry| {
                (
                    !entry.job.spec.urgent,
                    entry.claim_retries,
                    entry.seq,
                    entry.job.id,
                )
            })
            .collect();
        gangs.sort_unstable();
        for (_, _, _, job) in gangs.into_iter().take(GANGS_PER_SWEEP) {
            self.form_gang(job, actions);
        }
    }

    fn form_gang(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if self.claims.parts(job) > 0 {
            self.fire_gang(job, actions);
            return;
        }
        let Some(entry) = self.table.get(job) else {
            return;
        };
        if !entry.all_ready() {
            if entry.delayed == 0 && self.unsettled.is_zero() {
                self.break_gang(job, actions);
            }
            return;
        }
        if !self.no_unknown_copies(entry) || !self.gang_allowed(entry) {
            return;
        }
        let wanted = entry.ready.len();
        let until = self.now + self.gang_wait(entry);
        self.claim_free(job, wanted, until);
        if self.claims.parts(job) == wanted {
            self.fire_gang(job, actions);
            return;
        }
        let waiting = self
            .claims
            .all
            .iter()
            .filter(|(id, claim)| claim.purpose == Purpose::Gang && **id != job)
            .count();
        if waiting >= MAX_WAITING || !self.claim_drained(job, wanted, until) {
            self.drop_claim(job);
            if let Some(entry) = self.table.get_mut(job) {
                entry.claim_after = self.now + RETRY;
            }
        }
    }

    /// Returns how long a gang may hold capacity, longer after each time that it gave it back.
    fn gang_wait(&self, entry: &Entry) -> Millis {
        Millis(self.policy.rules.gang_wait.0 << entry.claim_retries.min(MAX_DOUBLINGS))
    }

    /// Claims free capacity for a gang.
    fn claim_free(&mut self, job: JobId, wanted: usize, until: Millis) {
        while self.claims.parts(job) < wanted {
            let Some(worker) = self.choose_worker(job) else {
                return;
            };
            self.claim(job, worker, Purpose::Gang, until);
        }
    }

    /// Claims capacity that batch tasks still use; returns whether there is enough of it.
    fn claim_drained(&mut self, job: JobId, wanted: usize, until: Millis) -> bool {
        let Some(entry) = self.table.get(job) else {
            return false;
        };
        let size = entry.size;
        let mut workers: BinaryHeap<Reverse<(u64, WorkerIx)>> =
            self.drainable(&size).into_iter().map(Reverse).collect();
        while self.claims.parts(job) < wanted {
            let Some(Reverse((_, worker))) = workers.pop() else {
                return false;
            };
            self.claim(job, worker, Purpose::Gang, until);
            if size.fits_in(&self.drained(worker)) {
                workers.push(Reverse((self.missing(worker, &size), worker)));
            }
        }
        self.claims.parts(job) == wanted
    }

    /// Returns workers that would have room for `size` without their batch tasks, each with how
    /// much has to become free there.
    pub(super) fn drainable(&self, size: &Resources) -> Vec<(u64, WorkerIx)> {
        self.fleet
            .workers()
            .filter(|worker| self.fleet.usable(*worker))
            .filter(|worker| size.fits_in(&self.drained(*worker)))
            .map(|worker| (self.missing(worker, size), worker))
            .collect()
    }

    /// Returns how much has to become free on a worker for its holds and one more of a size.
    fn missing(&self, worker: WorkerIx, size: &Resources) -> u64 {
        let slot = self.fleet.slot(worker);
        let held = slot
            .holds
            .iter()
            .fold(*size, |held, hold| held.saturating_add(&hold.size));
        let missing = held.saturating_sub(&slot.unreserved());
        missing.cpu + missing.memory
    }

    /// Returns what a worker would have free without its batch tasks.
    fn drained(&self, worker: WorkerIx) -> Resources {
        let slot = self.fleet.slot(worker);
        let stays = slot
            .leases
            .values()
            .filter(|lease| lease.kind != Kind::Batch || lease.urgent)
            .map(|lease| lease.size);
        let held = slot.holds.iter().map(|hold| hold.size);
        stays
            .chain(held)
            .fold(slot.capacity, |free, size| free.saturating_sub(&size))
    }

    /// Returns whether all tasks of a gang together are within its team's limit.
    pub(super) fn gang_allowed(&self, entry: &Entry) -> bool {
        let all = entry.size.times(entry.ready.len() as u64);
        self.within_limit(entry.team, &all)
    }

    /// Lets a gang whose claims ran out wait before it claims again.
    pub(super) fn rest_gang(&mut self, job: JobId) {
        let gang = self
            .claims
            .all
            .get(&job)
            .is_some_and(|claim| claim.purpose == Purpose::Gang);
        if !gang {
            return;
        }
        let wait = self.policy.rules.gang_wait.0 / 4;
        let rest = Millis(wait + self.rng.below(wait));
        if let Some(entry) = self.table.get_mut(job) {
            entry.claim_after = self.now + rest;
            entry.claim_retries += 1;
        }
    }

    /// Stops what still runs of a gang that has lost a task, so that all of it starts again.
    pub(super) fn break_gang(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(job) else {
            return;
        };
        if !entry.is_gang() || entry.ended.is_some() {
            return;
        }
        let placed: Vec<(WorkerIx, TaskId)> = (0..)
            .zip(&entry.tasks)
            .filter_map(|(index, progress)| match progress.stage {
                Stage::Placed(worker) => Some((worker, TaskId { job, index })),
                _ => None,
            })
            .collect();
        for (worker, task) in placed {
            self.request_stop(worker, task, Cause::Gang, actions);
        }
    }
}
