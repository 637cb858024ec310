//! Work that leaves workers whose zone was taken out, and comes back when the zone does.

use super::Scheduler;
use super::claims::Purpose;
use super::fleet::Cause;
use super::held::HeldAction;
use super::index::{WorkerIx, ZoneIx};
use super::message::Action;
use super::rng::mix;
use super::table::Stage;
use crate::ids::{JobId, TaskId};
use crate::job::Kind;
use crate::time::Millis;

/// Tasks that one sweep moves.
const MAX_MOVES_PER_SWEEP: usize = 64;

/// Tasks in a row that find no room before a sweep gives up.
const MAX_MISSES: usize = 16;

/// How long room is kept for a task that moves, beyond the time that a checkpoint may take.
const MOVE_HOLD_MARGIN: Millis = Millis::from_secs(5);

/// The time over which the workers of a zone that came back open.
const REOPEN_WINDOW: Millis = Millis::from_secs(4);

/// Sweeps between two looks at the spread of services.
const SPREAD_INTERVAL_SWEEPS: u64 = 5;

/// Tasks that one look moves to spread services.
const MAX_SPREAD_MOVES: usize = 8;

/// How many more tasks of a service one zone carries than another before one moves.
const MIN_ZONE_SKEW: u32 = 2;

/// A task that is to leave its worker, in order of need.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvacuationCandidate {
    not_urgent: bool,
    not_service: bool,
    /// How many tasks of its job may be stopped.
    disruptions: u32,
    since: Millis,
    task: TaskId,
    worker: WorkerIx,
}

impl Scheduler {
    /// Opens the workers of zones that came back, one after the other.
    pub(super) fn reopen_zones(&mut self, was_out: &[bool]) {
        let back = |zone: ZoneIx, zones: &[super::fleet::Zone]| {
            was_out.get(zone).copied().unwrap_or_default() && !zones[zone].out
        };
        let seed = self.settings.seed;
        let now = self.now;
        let fleet = &mut self.fleet;
        for (worker, slot) in (0..).zip(&mut fleet.slots) {
            if back(slot.zone, &fleet.zones) {
                let wait = mix(seed ^ mix(worker)) % REOPEN_WINDOW.0;
                slot.opens = now + Millis(wait + 1);
            }
        }
    }

    /// Moves tasks away from workers that leave, then spreads services.
    pub(super) fn move_tasks(&mut self, actions: &mut Vec<Action>) {
        let mut candidates = self.evacuation_candidates();
        if candidates.is_empty() {
            if self.sweeps.is_multiple_of(SPREAD_INTERVAL_SWEEPS) {
                self.spread_services(actions);
            }
            return;
        }
        candidates.sort_unstable();
        let mut misses = 0;
        let mut moves = 0;
        for candidate in candidates {
            if moves >= MAX_MOVES_PER_SWEEP || misses >= MAX_MISSES {
                return;
            }
            let EvacuationCandidate { task, worker, .. } = candidate;
            if !self.can_move(task.job) {
                continue;
            }
            if !self.allow_automatic(|| HeldAction::Move(task)) {
                continue;
            }
            if self.evacuate(worker, task, actions) {
                moves += 1;
            } else {
                misses += 1;
            }
        }
    }

    fn evacuation_candidates(&self) -> Vec<EvacuationCandidate> {
        let mut candidates = Vec::new();
        for (worker, slot) in (0..).zip(&self.fleet.slots) {
            if slot.listed && !self.fleet.zones[slot.zone].out {
                continue;
            }
            for (task, lease) in &slot.leases {
                let moves = lease.pressed.is_none()
                    && lease.kind != Kind::Gang
                    && self.is_current(worker, *task);
                if !moves {
                    continue;
                }
                candidates.push(EvacuationCandidate {
                    not_urgent: !lease.urgent,
                    not_service: lease.kind != Kind::Service,
                    disruptions: self
                        .table
                        .get(task.job)
                        .map_or(0, super::table::Entry::allowed_disruptions),
                    since: lease.since,
                    task: *task,
                    worker,
                });
            }
        }
        candidates
    }

    /// Returns whether a task of a job may be stopped to move.
    fn can_move(&self, job: JobId) -> bool {
        self.table.get(job).is_some_and(|entry| {
            entry.ended.is_none()
                && (entry.job.kind != Kind::Service || entry.allowed_disruptions() > 0)
        })
    }

    /// Moves a task to a worker with room.
    ///
    /// For a service room is made if there is none; a batch task is queued again after its
    /// checkpoint, because its worker may go at any time.
    fn evacuate(&mut self, worker: WorkerIx, task: TaskId, actions: &mut Vec<Action>) -> bool {
        let service = self.table.services.contains(&task.job);
        if !service {
            if !self.move_task(worker, task, actions) {
                self.request_stop(worker, task, Cause::Move, actions);
            }
            return true;
        }
        let moving = self.table.get(task.job).map_or(0, |entry| entry.stopping);
        if self.claims.parts(task.job) > moving as usize {
            if self.any_claim_covered(task.job) {
                self.request_stop(worker, task, Cause::Move, actions);
            }
            return true;
        }
        self.move_task(worker, task, actions) || self.make_room_for_move(task.job, actions)
    }

    /// Returns whether capacity that is kept for a job is free already.
    fn any_claim_covered(&self, job: JobId) -> bool {
        self.claims.all.get(&job).is_some_and(|claim| {
            claim
                .parts
                .iter()
                .any(|part| self.fleet.covered(*part, job) > 0)
        })
    }

    /// Keeps room for a task on another worker and stops it; returns whether there was room.
    fn move_task(&mut self, worker: WorkerIx, task: TaskId, actions: &mut Vec<Action>) -> bool {
        let Some(target) = self.choose_worker(task.job) else {
            return false;
        };
        let until = self.now + self.policy.rules.checkpoint_grace + MOVE_HOLD_MARGIN;
        self.claim(task.job, target, Purpose::Room, until);
        self.request_stop(worker, task, Cause::Move, actions);
        true
    }

    /// Moves tasks of services from zones that carry many of them to zones that carry few.
    fn spread_services(&mut self, actions: &mut Vec<Action>) {
        let services: Vec<JobId> = self.table.services.iter().copied().collect();
        let mut moves = 0;
        for job in services {
            if moves >= MAX_SPREAD_MOVES {
                return;
            }
            if let Some((worker, task)) = self.rebalance_candidate(job)
                && self.allow_automatic(|| HeldAction::Rebalance(job))
                && self.move_task(worker, task, actions)
            {
                moves += 1;
            }
        }
    }

    /// Returns the task of a service that has to move so that its zones carry alike.
    fn rebalance_candidate(&mut self, job: JobId) -> Option<(WorkerIx, TaskId)> {
        let entry = self.table.get(job)?;
        let steady = entry.ready.is_empty()
            && entry.delayed == 0
            && entry.stopping == 0
            && entry.allowed_disruptions() > 0
            && self.claims.parts(job) == 0;
        if !steady {
            return None;
        }
        let zones = 0..self.fleet.zones.len();
        let most = zones
            .clone()
            .max_by_key(|zone| (entry.spread.zone(*zone), *zone))?;
        let least = zones
            .filter(|zone| !self.fleet.zones[*zone].out)
            .min_by_key(|zone| (entry.spread.zone(*zone), *zone))?;
        if entry.spread.zone(most) < entry.spread.zone(least) + MIN_ZONE_SKEW {
            return None;
        }
        let many = entry.spread.zone(most);
        let target = self.choose_worker(job)?;
        let zone = self.fleet.slot(target).zone;
        let entry = self.table.get(job)?;
        if entry.spread.zone(zone) + MIN_ZONE_SKEW > many {
            return None;
        }
        (0..)
            .zip(&entry.tasks)
            .find_map(|(index, progress)| match progress.stage {
                Stage::Placed(worker) if self.fleet.slot(worker).zone == most => {
                    Some((worker, TaskId { job, index }))
                }
                _ => None,
            })
    }
}
