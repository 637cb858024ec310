//! Room for work that is due: urgent work, teams below their share, large tasks.

use super::Scheduler;
use super::claims::Purpose;
use super::fair::{self, Demand};
use super::fleet::{Lease, StopCause};
use super::held::HeldAction;
use super::index::WorkerIx;
use super::message::Action;
use super::table::Entry;
use super::teams::TeamIx;
use crate::ids::{JobId, TaskId};
use crate::job::Kind;
use crate::resources::Resources;
use crate::time::Millis;

/// Tasks for which one sweep makes room.
const TASKS_PER_SWEEP: usize = 256;

/// Jobs for which one sweep makes room.
const JOBS_PER_SWEEP: usize = 64;

/// How long room is kept beyond the time that a checkpoint may take.
const KEEP: Millis = Millis::from_secs(5);

/// Tasks of a job that need room.
#[derive(Debug)]
struct Need {
    job: JobId,
    team: TeamIx,
    size: Resources,
    count: usize,
    urgent: bool,
}

/// Which tasks may be stopped for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// Those of teams above what they are due.
    OverShare,
    /// Batch tasks that are not urgent.
    Batch,
    /// Any that is not urgent.
    Any,
}

impl Scheduler {
    /// Stops work that is over its team's share for work that is due.
    pub(super) fn make_room(&mut self, actions: &mut Vec<Action>) {
        if self.settings.awaits_restore && !self.restored {
            return;
        }
        let due = self.due();
        let mut needs = self.urgent_needs();
        if !self.dirty {
            self.share_needs(&due, &mut needs);
        }
        if !needs.is_empty() {
            self.squeeze_all(&mut needs, &due, Reach::OverShare, actions);
            needs.retain(|need| need.urgent && need.count > 0);
            if !needs.is_empty() {
                self.squeeze_all(&mut needs, &due, Reach::Any, actions);
            }
        }
        self.press_for_gangs(&due, actions);
        self.drain_for_large_tasks();
    }

    /// Returns the dominant share that each team is due.
    pub(super) fn due(&self) -> Vec<f64> {
        let mut queued = vec![Resources::ZERO; self.teams.all.len()];
        let mut add = |entry: &Entry| {
            let all = entry.size.times(entry.ready.len() as u64);
            queued[entry.team] = queued[entry.team].saturating_add(&all);
        };
        for team in 0..self.teams.all.len() {
            let jobs = self.queues.of_team(team, true);
            jobs.chain(self.queues.of_team(team, false))
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
                    .saturating_add(&team.elsewhere)
                    .saturating_add(queued)
                    .min(&limit);
                Demand {
                    fractions: fair::fractions(&wanted, &self.teams.fleet),
                    weight: f64::from(team.weight),
                }
            })
            .collect();
        fair::fair_shares(&demands)
    }

    fn urgent_needs(&self) -> Vec<Need> {
        let mut needs = Vec::new();
        for team in self.queues.teams(true) {
            for job in self.queues.of_team(team, true) {
                if let Some(need) = self.need(job, usize::MAX) {
                    needs.push(need);
                }
                if needs.len() >= JOBS_PER_SWEEP {
                    return needs;
                }
            }
        }
        needs
    }

    /// Returns what a job needs room for; `None` when nothing.
    fn need(&self, job: JobId, most: usize) -> Option<Need> {
        let entry = self.table.get(job)?;
        let count = entry
            .ready
            .len()
            .saturating_sub(self.claims.part_count(job));
        let count = count.min(most).min(TASKS_PER_SWEEP);
        if count == 0 || !self.startable(job) {
            return None;
        }
        Some(Need {
            job,
            team: entry.team,
            size: entry.size,
            count,
            urgent: entry.job.spec.urgent,
        })
    }

    /// Adds needs of teams that are below what they are due.
    fn share_needs(&self, due: &[f64], needs: &mut Vec<Need>) {
        let mut teams = self.queues.teams(false);
        let missing = |team: TeamIx| due[team] - self.projected(team);
        teams.retain(|team| missing(*team) > 0.0);
        teams.sort_by(|one, other| missing(*other).total_cmp(&missing(*one)));
        for team in teams {
            let mut left = missing(team);
            for job in self.queues.of_team(team, false) {
                if needs.len() >= JOBS_PER_SWEEP || left <= 0.0 {
                    break;
                }
                let Some(entry) = self.table.get(job) else {
                    continue;
                };
                let part = fair::dominant_share(&entry.size, &self.teams.fleet);
                let most = whole(left / part.max(f64::EPSILON) + 0.5);
                if let Some(need) = self.need(job, most) {
                    left -= part * fraction(need.count);
                    needs.push(need);
                }
            }
        }
    }

    /// Returns the dominant share of a team once what was begun is done.
    fn projected(&self, team: TeamIx) -> f64 {
        let team = &self.teams.all[team];
        let usage = team
            .usage
            .saturating_add(&team.elsewhere)
            .saturating_add(&team.claimed)
            .saturating_sub(&team.pressed);
        fair::dominant_share(&usage, &self.teams.fleet)
    }

    /// Makes room for a task of a service that has to move; returns whether there was any.
    pub(super) fn room_for_move(&mut self, job: JobId, actions: &mut Vec<Action>) -> bool {
        let Some(entry) = self.table.get(job) else {
            return false;
        };
        let need = Need {
            job,
            team: entry.team,
            size: entry.size,
            count: 1,
            urgent: true,
        };
        let due = vec![0.0; self.teams.all.len()];
        let mut needs = [need];
        self.squeeze_all(&mut needs, &due, Reach::Batch, actions);
        needs[0].count == 0
    }

    /// Makes room for needs on one worker after the other, from a random one on.
    fn squeeze_all(
        &mut self,
        needs: &mut [Need],
        due: &[f64],
        reach: Reach,
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
        let mut budget = TASKS_PER_SWEEP;
        for step in 0..count {
            let worker = WorkerIx::try_from((first + step) % count).unwrap_or_default();
            if !self.fleet.usable(worker) {
                continue;
            }
            for need in needs.iter_mut().filter(|need| need.count > 0) {
                while need.count > 0
                    && budget > 0
                    && self.squeeze(worker, need, due, reach, actions)
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

    /// Makes room for one task on a worker and claims it; returns whether there was enough.
    fn squeeze(
        &mut self,
        worker: WorkerIx,
        need: &Need,
        due: &[f64],
        reach: Reach,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !need.urgent && self.projected(need.team) >= due[need.team] {
            return false;
        }
        let team = &self.teams.all[need.team];
        let claimed = team.claimed.saturating_add(&need.size);
        if reach != Reach::Batch && !self.within_limit(need.team, &claimed) {
            return false;
        }
        let missing = need.size.saturating_sub(&self.fleet.slot(worker).free());
        let Some(victims) = self.victims(worker, need.team, &missing, due, reach) else {
            return false;
        };
        let until = self.now + self.policy.rules.checkpoint_grace + KEEP;
        self.claim(need.job, worker, Purpose::Tasks, until);
        for task in victims {
            self.press(worker, task, StopCause::Preempted, actions);
        }
        true
    }

    /// Returns the tasks to stop on a worker so that `missing` becomes free; `None` when that
    /// cannot be had.
    fn victims(
        &self,
        worker: WorkerIx,
        team: TeamIx,
        missing: &Resources,
        due: &[f64],
        reach: Reach,
    ) -> Option<Vec<TaskId>> {
        if missing.is_zero() {
            return Some(Vec::new());
        }
        let slot = self.fleet.slot(worker);
        if !missing.fits_in(&slot.reserved) {
            return None;
        }
        let mut able: Vec<(u8, std::cmp::Reverse<Millis>, TaskId, &Lease)> = slot
            .leases
            .iter()
            .filter(|(task, lease)| self.may_stop(**task, lease, team, due, reach))
            .map(|(task, lease)| (rank(lease), std::cmp::Reverse(lease.since), *task, lease))
            .collect();
        able.sort_unstable_by_key(|(rank, since, task, _)| (*rank, *since, *task));
        let mut left = *missing;
        let mut victims = Vec::new();
        for (_, _, task, lease) in able {
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

    /// Returns whether a task may be stopped for work of `team`.
    fn may_stop(
        &self,
        task: TaskId,
        lease: &Lease,
        team: TeamIx,
        due: &[f64],
        reach: Reach,
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
        if lease.kind == Kind::Service && entry.spare() == 0 {
            return false;
        }
        match reach {
            Reach::Any => return true,
            Reach::Batch => return lease.kind == Kind::Batch,
            Reach::OverShare => {}
        }
        let half = fair::dominant_share(&lease.size, &self.teams.fleet) / 2.0;
        owner != team && self.projected(owner) - half >= due[owner]
    }

    /// Stops work over its share where a gang that is due has claimed capacity.
    fn press_for_gangs(&mut self, due: &[f64], actions: &mut Vec<Action>) {
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
            if !urgent && self.projected(team) > due[team] {
                continue;
            }
            if !self.automatic(|| HeldAction::Preempt(job)) {
                continue;
            }
            parts.dedup();
            for worker in parts {
                let reach = if urgent { Reach::Any } else { Reach::OverShare };
                self.relieve(worker, team, due, reach, actions);
            }
        }
    }

    /// Stops what keeps the holds of a worker from being covered.
    fn relieve(
        &mut self,
        worker: WorkerIx,
        team: TeamIx,
        due: &[f64],
        reach: Reach,
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
            .victims(worker, team, &missing, due, reach)
            .unwrap_or_default()
        {
            self.press(worker, task, StopCause::Preempted, actions);
        }
    }
}

/// Orders tasks by how much their stop costs.
fn rank(lease: &Lease) -> u8 {
    match lease.kind {
        Kind::Batch | Kind::Request => 0,
        Kind::Service => 1,
        Kind::Gang => 2,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> usize {
    number as usize
}

#[allow(clippy::cast_precision_loss)]
fn fraction(count: usize) -> f64 {
    count as f64
}
