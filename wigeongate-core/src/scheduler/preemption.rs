//! Room for urgent work, teams below their fair share, gangs, moved services and large tasks, made
//! by preempting other tasks or draining workers.

use super::Scheduler;
use super::claims::Purpose;
use super::fleet::{Lease, StopCause};
use super::held::HeldAction;
use super::index::WorkerIx;
use super::message::Action;
use super::table::Entry;
use super::teams::TeamIx;
use crate::fair::{self, Demand};
use crate::ids::{JobId, TaskId};
use crate::job::Kind;
use crate::resources::Resources;
use crate::time::Millis;

/// Maximum number of tasks for which one sweep makes room.
const MAX_TASKS_PER_SWEEP: usize = 256;

/// Maximum number of jobs for which one sweep makes room.
const MAX_JOBS_PER_SWEEP: usize = 64;

/// How long room is held beyond the checkpoint grace period.
const ROOM_HOLD_MARGIN: Millis = Millis::from_secs(5);

/// Tasks of a job that need room on a worker.
#[derive(Debug)]
struct RoomNeed {
    job: JobId,
    team: TeamIx,
    size: Resources,
    count: usize,
    urgent: bool,
}

/// Which tasks may be stopped to make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VictimScope {
    /// Tasks of teams above their fair share, urgent tasks excepted.
    OverShare,
    /// Batch tasks that are not urgent.
    Batch,
    /// All tasks that are not urgent.
    Any,
}

impl Scheduler {
    /// Preempts tasks for urgent jobs, teams below their fair share and gangs, then drains workers
    /// for large tasks.
    pub(super) fn make_room(&mut self, actions: &mut Vec<Action>) {
        if self.settings.awaits_restore && !self.restored {
            return;
        }
        let fair_shares = self.fair_shares();
        let mut needs = self.urgent_needs();
        if !self.dirty {
            self.share_needs(&fair_shares, &mut needs);
        }
        if !needs.is_empty() {
            self.preempt_for_all(&mut needs, &fair_shares, VictimScope::OverShare, actions);
            needs.retain(|need| need.urgent && need.count > 0);
            if !needs.is_empty() {
                self.preempt_for_all(&mut needs, &fair_shares, VictimScope::Any, actions);
            }
        }
        self.preempt_for_gangs(&fair_shares, actions);
        self.drain_for_large_tasks();
    }

    /// Returns the fair dominant share of each team, by team index.
    pub(super) fn fair_shares(&self) -> Vec<f64> {
        let mut queued = vec![Resources::ZERO; self.teams.all.len()];
        let mut add = |entry: &Entry| {
            let all = entry.size.times(entry.ready.len() as u64);
            queued[entry.team] = queued[entry.team].saturating_add(&all);
        };
        for team in 0..self.teams.all.len() {
            let jobs = self.queues.team_jobs(team, true);
            jobs.chain(self.queues.team_jobs(team, false))
                .filter_map(|job| self.table.get(job))
                .for_each(&mut add);
        }
        self.queues
            .gangs()
            .filter_map(|job| self.table.get(job))
            .for_each(&mut add);
        let demands: Vec<Demand> = self
            .teams
            .all
            .iter()
            .zip(&queued)
            .map(|(team, queued)| {
                let limit = team.limit.unwrap_or_default();
                let wanted = team
                    .usage
                    .saturating_add(&team.other_usage)
                    .saturating_add(queued)
                    .min(&limit);
                Demand {
                    fractions: fair::fractions(&wanted, &self.teams.fleet_capacity),
                    weight: f64::from(team.weight),
                }
            })
            .collect();
        fair::fair_shares(&demands)
    }

    fn urgent_needs(&self) -> Vec<RoomNeed> {
        let mut needs = Vec::new();
        for team in self.queues.teams(true) {
            for job in self.queues.team_jobs(team, true) {
                if let Some(need) = self.room_need(job, usize::MAX) {
                    needs.push(need);
                }
                if needs.len() >= MAX_JOBS_PER_SWEEP {
                    return needs;
                }
            }
        }
        needs
    }

    /// Returns the tasks of a job that need room, `most` at most; `None` when there are none.
    fn room_need(&self, job: JobId, most: usize) -> Option<RoomNeed> {
        let entry = self.table.get(job)?;
        let count = entry
            .ready
            .len()
            .saturating_sub(self.claims.part_count(job));
        let count = count.min(most).min(MAX_TASKS_PER_SWEEP);
        if count == 0 || !self.startable(job) {
            return None;
        }
        Some(RoomNeed {
            job,
            team: entry.team,
            size: entry.size,
            count,
            urgent: entry.job.spec.urgent,
        })
    }

    /// Adds the needs of teams below their fair share, those furthest below it first.
    fn share_needs(&self, fair_shares: &[f64], needs: &mut Vec<RoomNeed>) {
        let mut teams = self.queues.teams(false);
        let missing = |team: TeamIx| fair_shares[team] - self.projected_share(team);
        teams.retain(|team| missing(*team) > 0.0);
        teams.sort_by(|one, other| missing(*other).total_cmp(&missing(*one)));
        for team in teams {
            let mut left = missing(team);
            for job in self.queues.team_jobs(team, false) {
                if needs.len() >= MAX_JOBS_PER_SWEEP || left <= 0.0 {
                    break;
                }
                let Some(entry) = self.table.get(job) else {
                    continue;
                };
                let part = fair::dominant_share(&entry.size, &self.teams.fleet_capacity);
                let most = to_count(left / part.max(f64::EPSILON) + 0.5);
                if let Some(need) = self.room_need(job, most) {
                    left -= part * to_f64(need.count);
                    needs.push(need);
                }
            }
        }
    }

    /// Returns the dominant share that a team will have once its claims are used and its preempted
    /// tasks have stopped.
    fn projected_share(&self, team: TeamIx) -> f64 {
        let team = &self.teams.all[team];
        let usage = team
            .usage
            .saturating_add(&team.other_usage)
            .saturating_add(&team.claimed)
            .saturating_sub(&team.preempted);
        fair::dominant_share(&usage, &self.teams.fleet_capacity)
    }

    /// Preempts batch tasks for a task of a service that has to move; returns whether that makes
    /// enough room.
    pub(super) fn make_room_for_move(&mut self, job: JobId, actions: &mut Vec<Action>) -> bool {
        let Some(entry) = self.table.get(job) else {
            return false;
        };
        let need = RoomNeed {
            job,
            team: entry.team,
            size: entry.size,
            count: 1,
            urgent: true,
        };
        let fair_shares = vec![0.0; self.teams.all.len()];
        let mut needs = [need];
        self.preempt_for_all(&mut needs, &fair_shares, VictimScope::Batch, actions);
        needs[0].count == 0
    }

    /// Makes room for all needs, visiting the workers in order from a random one.
    fn preempt_for_all(
        &mut self,
        needs: &mut [RoomNeed],
        fair_shares: &[f64],
        scope: VictimScope,
        actions: &mut Vec<Action>,
    ) {
        if self.policy.paused {
            for need in needs.iter() {
                self.held.add(HeldAction::Preempt(need.job), self.now);
            }
            return;
        }
        let count = self.fleet.slots.len() as u64;
        let first = self.rng.below(count);
        let mut budget = MAX_TASKS_PER_SWEEP;
        for step in 0..count {
            let worker = WorkerIx::try_from((first + step) % count).unwrap_or_default();
            if !self.fleet.usable(worker) {
                continue;
            }
            for need in needs.iter_mut().filter(|need| need.count > 0) {
                while need.count > 0
                    && budget > 0
                    && self.preempt_for(worker, need, fair_shares, scope, actions)
                {
                    need.count -= 1;
                    budget -= 1;
                }
            }
            if budget == 0 || needs.iter().all(|need| need.count == 0) {
                return;
            }
        }
    }

    /// Makes room for one task on a worker by preemption and claims it; returns whether that was
    /// possible.
    fn preempt_for(
        &mut self,
        worker: WorkerIx,
        need: &RoomNeed,
        fair_shares: &[f64],
        scope: VictimScope,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !need.urgent && self.projected_share(need.team) >= fair_shares[need.team] {
            return false;
        }
        let team = &self.teams.all[need.team];
        let claimed = team.claimed.saturating_add(&need.size);
        if scope != VictimScope::Batch && !self.within_limit(need.team, &claimed) {
            return false;
        }
        let missing = need.size.saturating_sub(&self.fleet.slot(worker).free());
        let Some(victims) = self.victims(worker, need.team, &missing, fair_shares, scope) else {
            return false;
        };
        let until = self.now + self.policy.rules.checkpoint_grace + ROOM_HOLD_MARGIN;
        self.claim(need.job, worker, Purpose::Tasks, until);
        for task in victims {
            self.request_stop(worker, task, StopCause::Preempted, actions);
        }
        true
    }

    /// Returns the tasks to stop on a worker so that `missing` becomes free, those with the lowest
    /// cost and the shortest run time first; `None` when they do not free enough.
    fn victims(
        &self,
        worker: WorkerIx,
        team: TeamIx,
        missing: &Resources,
        fair_shares: &[f64],
        scope: VictimScope,
    ) -> Option<Vec<TaskId>> {
        if missing.is_zero() {
            return Some(Vec::new());
        }
        let slot = self.fleet.slot(worker);
        if !missing.fits_in(&slot.reserved) {
            return None;
        }
        let mut candidates: Vec<(u8, std::cmp::Reverse<Millis>, TaskId, &Lease)> = slot
            .leases
            .iter()
            .filter(|(task, lease)| self.may_stop(**task, lease, team, fair_shares, scope))
            .map(|(task, lease)| {
                (
                    stop_cost(lease),
                    std::cmp::Reverse(lease.since),
                    *task,
                    lease,
                )
            })
            .collect();
        candidates.sort_unstable_by_key(|(stop_cost, since, task, _)| (*stop_cost, *since, *task));
        let mut left = *missing;
        let mut victims = Vec::new();
        for (_, _, task, lease) in candidates {
            let after = left.saturating_sub(&lease.size);
            if after != left {
                victims.push(task);
                left = after;
            }
            if left.is_zero() {
                return Some(victims);
            }
        }
        None
    }

    /// Returns whether a task may be stopped in favour of `team`.
    fn may_stop(
        &self,
        task: TaskId,
        lease: &Lease,
        team: TeamIx,
        fair_shares: &[f64],
        scope: VictimScope,
    ) -> bool {
        let Some(owner) = lease.team else {
            return false;
        };
        if lease.urgent || lease.stopping.is_some() {
            return false;
        }
        let Some(entry) = self.table.get(task.job) else {
            return false;
        };
        if lease.kind == Kind::Service && entry.allowed_disruptions() == 0 {
            return false;
        }
        match scope {
            VictimScope::Any => return true,
            VictimScope::Batch => return lease.kind == Kind::Batch,
            VictimScope::OverShare => {}
        }
        let half = fair::dominant_share(&lease.size, &self.teams.fleet_capacity) / 2.0;
        owner != team && self.projected_share(owner) - half >= fair_shares[owner]
    }

    /// Preempts tasks on the workers where a gang holds claims, if it is urgent or its team is not
    /// above its fair share.
    fn preempt_for_gangs(&mut self, fair_shares: &[f64], actions: &mut Vec<Action>) {
        let gangs: Vec<(JobId, TeamIx, Vec<WorkerIx>)> = self
            .claims
            .all
            .iter()
            .filter(|(_, claim)| claim.purpose == Purpose::Gang)
            .map(|(job, claim)| (*job, claim.team, claim.parts.clone()))
            .collect();
        for (job, team, mut parts) in gangs {
            let urgent = self
                .table
                .get(job)
                .is_some_and(|entry| entry.job.spec.urgent);
            if !urgent && self.projected_share(team) > fair_shares[team] {
                continue;
            }
            if !self.allow_automatic(|| HeldAction::Preempt(job)) {
                continue;
            }
            parts.dedup();
            for worker in parts {
                let scope = if urgent {
                    VictimScope::Any
                } else {
                    VictimScope::OverShare
                };
                self.preempt_for_holds(worker, team, fair_shares, scope, actions);
            }
        }
    }

    /// Preempts tasks on a worker until the capacity that is held there will be free.
    fn preempt_for_holds(
        &mut self,
        worker: WorkerIx,
        team: TeamIx,
        fair_shares: &[f64],
        scope: VictimScope,
        actions: &mut Vec<Action>,
    ) {
        let slot = self.fleet.slot(worker);
        let held: Resources = slot.holds.iter().map(|hold| hold.size).sum();
        let leaving: Resources = slot
            .leases
            .values()
            .filter(|lease| lease.stopping.is_some())
            .map(|lease| lease.size)
            .sum();
        let missing = held
            .saturating_sub(&slot.unreserved())
            .saturating_sub(&leaving);
        for task in self
            .victims(worker, team, &missing, fair_shares, scope)
            .unwrap_or_default()
        {
            self.request_stop(worker, task, StopCause::Preempted, actions);
        }
    }
}

/// Returns the relative cost of stopping a task; tasks with a lower cost are stopped first.
fn stop_cost(lease: &Lease) -> u8 {
    match lease.kind {
        Kind::Batch | Kind::Request => 0,
        Kind::Service => 1,
        Kind::Gang => 2,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_count(number: f64) -> usize {
    number as usize
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
