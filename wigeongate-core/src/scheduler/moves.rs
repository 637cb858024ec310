//! Moves of tasks: off workers that leave the pool or whose zone was taken out, and between zones
//! to spread services.

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

/// Maximum number of tasks that one sweep moves.
const MAX_MOVES_PER_SWEEP: usize = 64;

/// Number of tasks without room on another worker after which a sweep stops moving tasks.
const MAX_MISSES: usize = 16;

/// How long room for a moving task is held beyond the checkpoint grace period.
const MOVE_HOLD_MARGIN: Millis = Millis::from_secs(5);

/// Period over which the workers of a returned zone become available, at random times.
const REOPEN_WINDOW: Millis = Millis::from_secs(4);

/// Number of sweeps between two checks of how services spread over zones.
const SPREAD_INTERVAL_SWEEPS: u64 = 5;

/// Maximum number of tasks that one such check moves.
const MAX_SPREAD_MOVES: usize = 8;

/// Minimum difference in a service's tasks between two zones before a task moves.
const MIN_ZONE_SKEW: u32 = 2;

/// A task to move off its worker.
///
/// The derived order moves urgent tasks first, then services, then tasks of jobs that can spare the
/// fewest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvacuationCandidate {
    not_urgent: bool,
    not_service: bool,
    /// How many tasks of the job may be stopped without falling below its minimum.
    disruptions: u32,
    since: Millis,
    task: TaskId,
    worker: WorkerIx,
}

impl Scheduler {
    /// Makes the workers of returned zones available at random times within [`REOPEN_WINDOW`].
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

    /// Moves tasks off workers that leave; when there are none, spreads services over zones.
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

    /// Returns whether a task of a job may be stopped in order to move.
    fn can_move(&self, job: JobId) -> bool {
        self.table.get(job).is_some_and(|entry| {
            entry.ended.is_none()
                && (entry.job.kind != Kind::Service || entry.allowed_disruptions() > 0)
        })
    }

    /// Moves a task to another worker; returns false when a service task finds no room.
    ///
    /// For a service, other tasks are preempted if no worker has room. A batch task is stopped by
    /// checkpoint and queued again even without room, because its worker may disappear at any time.
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

    /// Returns whether any capacity claimed for a job is free already.
    fn any_claim_covered(&self, job: JobId) -> bool {
        self.claims.all.get(&job).is_some_and(|claim| {
            claim
                .parts
                .iter()
                .any(|part| self.fleet.covered(*part, job) > 0)
        })
    }

    /// Claims room for a task on another worker and stops the task by checkpoint; returns whether
    /// there was room.
    fn move_task(&mut self, worker: WorkerIx, task: TaskId, actions: &mut Vec<Action>) -> bool {
        let Some(target) = self.choose_worker(task.job) else {
            return false;
        };
        let until = self.now + self.policy.rules.checkpoint_grace + MOVE_HOLD_MARGIN;
        self.claim(task.job, target, Purpose::Room, until);
        self.request_stop(worker, task, Cause::Move, actions);
        true
    }

    /// Moves tasks of unevenly spread services to zones that run fewer of them.
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

    /// Returns a task whose move evens out how a service spreads over zones; `None` while the
    /// service is changing, or when it is spread evenly.
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
