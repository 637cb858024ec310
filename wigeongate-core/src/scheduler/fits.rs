//! Whether a job can ever run.

use derive_more::Display;

use super::Scheduler;
use super::held::HeldAction;
use super::lifecycle::MAX_TASKS;
use super::message::Action;
use crate::ids::{JobId, TeamId};
use crate::job::{JobSpec, Kind, Outcome};
use crate::resources::Resources;

/// Why a job can never run, and what would.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{reason}; the nearest that would fit: {tasks} tasks of {nearest}")]
pub struct Unfit {
    /// Why it can never run.
    pub reason: String,
    /// The nearest size of a task that would fit.
    pub nearest: Resources,
    /// The nearest number of tasks that would fit.
    pub tasks: u32,
}

impl Scheduler {
    /// Returns why a job could never run on this pool's workers, were they all empty.
    ///
    /// Zones that are out count, since they come back. A pool without workers refuses nothing.
    pub fn fits(&self, spec: &JobSpec) -> Result<(), Unfit> {
        let unfit = |reason: String, nearest, tasks| {
            Err(Unfit {
                reason,
                nearest,
                tasks,
            })
        };
        if spec.tasks > MAX_TASKS {
            let reason = format!("a job has at most {MAX_TASKS} tasks");
            return unfit(reason, spec.size, MAX_TASKS);
        }
        if self.carries(&spec.size) || !self.fleet.slots.iter().any(|slot| slot.listed) {
            let kind = self.policy.queues.get(&spec.queue).map(|queue| queue.kind);
            let room = self.room(&spec.size, u64::from(spec.tasks));
            if kind == Some(Kind::Gang) && room < u64::from(spec.tasks) && room > 0 {
                let reason = "all tasks of the gang do not fit on the workers at once".to_owned();
                return unfit(reason, spec.size, u32::try_from(room).unwrap_or(u32::MAX));
            }
            return Ok(());
        }
        let reason = "no worker can carry a task of this size".to_owned();
        unfit(reason, self.nearest(&spec.size), spec.tasks)
    }

    /// Returns why a team's limit could never let a job run.
    pub fn fits_limit(&self, team: &TeamId, spec: &JobSpec) -> Result<(), Unfit> {
        let Some(team) = self.policy.teams.get(team) else {
            return Ok(());
        };
        let kind = self.policy.queues.get(&spec.queue).map(|queue| queue.kind);
        let count = if kind == Some(Kind::Gang) {
            spec.tasks
        } else {
            1
        };
        if spec.size.times(u64::from(count)).fits_in(&team.limit) {
            return Ok(());
        }
        let tasks = (1..count)
            .rev()
            .find(|count| spec.size.times(u64::from(*count)).fits_in(&team.limit));
        Err(Unfit {
            reason: format!("the team's limit is {}", team.limit),
            nearest: spec.size.min(&team.limit),
            tasks: tasks.unwrap_or(1),
        })
    }

    /// Returns whether some listed worker could carry a size, were it empty.
    pub(super) fn carries(&self, size: &Resources) -> bool {
        self.fleet
            .slots
            .iter()
            .any(|slot| slot.listed && size.fits_in(&slot.capacity))
    }

    /// Returns how many tasks of a size the listed workers could carry, up to `most`.
    fn room(&self, size: &Resources, most: u64) -> u64 {
        let mut room: u64 = 0;
        for slot in self.fleet.slots.iter().filter(|slot| slot.listed) {
            room = room.saturating_add(slot.capacity.count(size));
            if room >= most {
                return most;
            }
        }
        room
    }

    /// Returns the part of a size that the worker which cuts it least could carry.
    pub(super) fn nearest(&self, size: &Resources) -> Resources {
        let cut = |fit: &Resources| {
            let lost = size.saturating_sub(fit);
            let part = |lost: u64, whole: u64| lost * 1_000 / whole.max(1);
            part(lost.cpu, size.cpu)
                + part(lost.memory, size.memory)
                + part(lost.accelerators, size.accelerators)
        };
        self.fleet
            .slots
            .iter()
            .filter(|slot| slot.listed)
            .map(|slot| size.min(&slot.capacity))
            .min_by_key(cut)
            .unwrap_or_default()
    }

    /// Refuses queued jobs that can no longer run.
    pub(super) fn refuse_unfit(&mut self, actions: &mut Vec<Action>) {
        let mut jobs: Vec<JobId> = self
            .table
            .all()
            .filter(|entry| entry.ended.is_none() && entry.placed == 0)
            .map(|entry| entry.job.id)
            .collect();
        jobs.sort_unstable();
        for job in jobs {
            self.refuse_if_unfit(job, actions);
        }
    }

    /// Refuses a job that can never run.
    pub(super) fn refuse_if_unfit(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(job) else {
            return;
        };
        if entry.placed > 0 || entry.ended.is_some() {
            return;
        }
        let spec = &entry.job.spec;
        let unfit = self
            .fits(spec)
            .and_then(|()| self.fits_limit(&entry.job.team, spec));
        let Err(unfit) = unfit else {
            return;
        };
        if self.allow_automatic(|| HeldAction::Refuse(job)) {
            self.end_job(job, Outcome::Refused(unfit.to_string()), actions);
        }
    }
}
