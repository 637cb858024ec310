//! Scheduling pass over the queues: starts the tasks that fit now, by class and fair share.

use super::Scheduler;
use super::fleet::Want;
use super::index::WorkerIx;
use super::message::Action;
use super::table::Entry;
use super::teams::TeamIx;
use crate::ids::JobId;
use crate::job::Kind;
use crate::resources::Resources;

/// Maximum number of tasks that one pass starts.
const STARTS_PER_PASS: u32 = 256;

impl Scheduler {
    /// Starts the queued tasks that can start, up to the limit of one pass.
    pub(super) fn start_ready(&mut self, actions: &mut Vec<Action>) {
        if !self.dirty && !self.fleet.grown && self.fleet.touched.is_empty() {
            return;
        }
        if self.settings.awaits_restore && !self.restored {
            return;
        }
        self.dirty = false;
        self.fleet.grown = false;
        self.fire_claims(actions);
        let mut budget = STARTS_PER_PASS;
        self.start_class(true, &mut budget, actions);
        self.start_class(false, &mut budget, actions);
        self.dirty = budget == 0;
        self.fleet.grown = false;
    }

    /// Starts tasks of one class, each from the team with the smallest weighted share.
    fn start_class(&mut self, urgent: bool, budget: &mut u32, actions: &mut Vec<Action>) {
        let mut teams = self.queues.teams(urgent);
        while *budget > 0 {
            let least = (0..teams.len()).min_by(|one, other| {
                let share = |at: usize| self.teams.all[teams[at]].weighted_share;
                share(*one).total_cmp(&share(*other))
            });
            let Some(least) = least else {
                return;
            };
            if self.start_for_team(teams[least], urgent, actions) {
                *budget -= 1;
            } else {
                teams.swap_remove(least);
            }
        }
    }

    /// Starts one task of a team; among its oldest jobs, the largest that fits goes first.
    fn start_for_team(&mut self, team: TeamIx, urgent: bool, actions: &mut Vec<Action>) -> bool {
        let mut candidates = std::mem::take(&mut self.candidates);
        let fleet = &self.fleet;
        self.queues
            .candidates(team, urgent, |size| fleet.misses(size), &mut candidates);
        let placed = candidates
            .iter()
            .any(|candidate| self.try_start(candidate.job, actions));
        self.candidates = candidates;
        placed
    }

    fn try_start(&mut self, job: JobId, actions: &mut Vec<Action>) -> bool {
        if !self.startable(job) {
            return false;
        }
        let Some(worker) = self.choose_worker(job) else {
            return false;
        };
        self.start_next(job, worker, actions);
        true
    }

    /// Returns the most suitable worker for the next task of a job; `None` when none has room.
    pub(super) fn choose_worker(&mut self, job: JobId) -> Option<WorkerIx> {
        let entry = self.table.get(job)?;
        let spread = (entry.job.kind == Kind::Service).then_some(&entry.spread);
        let want = Want {
            size: entry.size,
            spread,
            avoid: &entry.failed_on,
        };
        self.fleet.choose(&want)
    }

    /// Returns whether a task of a job may start, given room on a worker: it is ready, no copy of
    /// it may run unreported, and the team stays within its limit.
    pub(super) fn startable(&self, job: JobId) -> bool {
        self.table.get(job).is_some_and(|entry| {
            !entry.ready.is_empty()
                && self.no_unknown_copies(entry)
                && self.within_limit(entry.team, &entry.size)
        })
    }

    /// Returns whether no task of a job can run unreported on a worker that has not settled.
    pub(super) fn no_unknown_copies(&self, entry: &Entry) -> bool {
        !entry.restored || self.unsettled.is_zero()
    }

    /// Returns whether a team's usage in this pool may grow by `more`.
    ///
    /// What may run unreported on workers that have not settled counts against the team.
    pub(super) fn within_limit(&self, team: TeamIx, more: &Resources) -> bool {
        let Some(limit) = self.teams.limit(team) else {
            return false;
        };
        let usage = self.teams.all[team].usage;
        usage
            .saturating_add(more)
            .saturating_add(&self.unsettled)
            .fits_in(&limit)
    }
}
