//! Gangs: jobs whose tasks all start together.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Scheduler;
use super::claims::Purpose;
use super::fleet::StopCause;
use super::index::WorkerIx;
use super::message::Action;
use super::table::{Entry, Stage};
use crate::ids::{JobId, TaskId};
use crate::job::Kind;
use crate::resources::Resources;
use crate::time::Millis;

/// The most gangs that one sweep tries to start.
const MAX_GANGS_PER_SWEEP: usize = 16;

/// The most doublings of the timeout of a gang's claims.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// The most gangs that hold claims at the same time while they wait for more capacity.
const MAX_WAITING_GANGS: usize = 2;

/// How long a gang that found too little capacity waits before the next attempt.
const RETRY_DELAY: Millis = Millis::from_secs(1);

impl Scheduler {
    /// Starts the gangs that fit, and lets a few others claim capacity as it becomes free.
    ///
    /// Urgent gangs come first, then those whose claims have expired least often.
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
        for (_, _, _, job) in gangs.into_iter().take(MAX_GANGS_PER_SWEEP) {
            self.form_gang(job, actions);
        }
    }

    /// Starts a gang, claims capacity for it, or stops what remains of a broken one.
    fn form_gang(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if self.claims.part_count(job) > 0 {
            self.try_start_gang(job, actions);
            return;
        }
        let Some(entry) = self.table.get(job) else {
            return;
        };
        if !entry.all_ready() {
            if entry.delayed == 0 && self.unsettled.is_zero() {
                self.stop_broken_gang(job, actions);
            }
            return;
        }
        if !self.no_unknown_copies(entry) || !self.gang_within_limit(entry) {
            return;
        }
        let wanted = entry.ready.len();
        let until = self.now + self.claim_timeout(entry);
        self.claim_free(job, wanted, until);
        if self.claims.part_count(job) == wanted {
            self.try_start_gang(job, actions);
            return;
        }
        let waiting = self
            .claims
            .all
            .iter()
            .filter(|(id, claim)| claim.purpose == Purpose::Gang && **id != job)
            .count();
        if waiting >= MAX_WAITING_GANGS || !self.claim_draining(job, wanted, until) {
            self.release_claim(job);
            if let Some(entry) = self.table.get_mut(job) {
                entry.claim_after = self.now + RETRY_DELAY;
            }
        }
    }

    /// Returns how long a gang may hold its claims; it doubles each time that they expired.
    fn claim_timeout(&self, entry: &Entry) -> Millis {
        Millis(self.policy.rules.gang_wait.0 << entry.claim_retries.min(MAX_TIMEOUT_DOUBLINGS))
    }

    /// Claims free capacity for a gang, up to `wanted` parts.
    fn claim_free(&mut self, job: JobId, wanted: usize, until: Millis) {
        while self.claims.part_count(job) < wanted {
            let Some(worker) = self.choose_worker(job) else {
                return;
            };
            self.claim(job, worker, Purpose::Gang, until);
        }
    }

    /// Claims capacity that batch tasks still use; returns whether it is enough for the whole gang.
    fn claim_draining(&mut self, job: JobId, wanted: usize, until: Millis) -> bool {
        let Some(entry) = self.table.get(job) else {
            return false;
        };
        let size = entry.size;
        let mut workers: BinaryHeap<Reverse<(u64, WorkerIx)>> = self
            .drainable_workers(&size)
            .into_iter()
            .map(Reverse)
            .collect();
        while self.claims.part_count(job) < wanted {
            let Some(Reverse((_, worker))) = workers.pop() else {
                return false;
            };
            self.claim(job, worker, Purpose::Gang, until);
            if size.fits_in(&self.free_without_batch(worker)) {
                workers.push(Reverse((self.shortfall(worker, &size), worker)));
            }
        }
        self.claims.part_count(job) == wanted
    }

    /// Returns the usable workers that would have room for `size` without their batch tasks, each
    /// after the amount that has to become free there.
    pub(super) fn drainable_workers(&self, size: &Resources) -> Vec<(u64, WorkerIx)> {
        self.fleet
            .workers()
            .filter(|worker| self.fleet.usable(*worker))
            .filter(|worker| size.fits_in(&self.free_without_batch(*worker)))
            .map(|worker| (self.shortfall(worker, size), worker))
            .collect()
    }

    /// Returns how much has to become free on a worker for its holds and one more task of a size.
    ///
    /// The sum of millicores and MiB ranks workers only.
    fn shortfall(&self, worker: WorkerIx, size: &Resources) -> u64 {
        let slot = self.fleet.slot(worker);
        let held = slot
            .holds
            .iter()
            .fold(*size, |held, hold| held.saturating_add(&hold.size));
        let missing = held.saturating_sub(&slot.unreserved());
        missing.cpu + missing.memory
    }

    /// Returns what a worker would have free, after its holds, without its batch tasks; urgent ones
    /// stay.
    fn free_without_batch(&self, worker: WorkerIx) -> Resources {
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

    /// Returns whether all tasks of a gang that wait to start are together within the team's limit.
    pub(super) fn gang_within_limit(&self, entry: &Entry) -> bool {
        let all = entry.size.times(entry.ready.len() as u64);
        self.within_limit(entry.team, &all)
    }

    /// Delays the next claim of a gang whose claim has expired, by a random time between a quarter
    /// and a half of the `gang_wait` rule.
    pub(super) fn back_off_gang(&mut self, job: JobId) {
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

    /// Stops the remaining tasks of a gang that has lost a task, so that the whole gang starts
    /// again.
    pub(super) fn stop_broken_gang(&mut self, job: JobId, actions: &mut Vec<Action>) {
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
            self.request_stop(worker, task, StopCause::GangBroken, actions);
        }
    }
}
