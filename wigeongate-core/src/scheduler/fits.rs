//! Checks whether a job can ever run.

use derive_more::Display;

use super::Scheduler;
use super::held::HeldAction;
use super::lifecycle::MAX_TASKS;
use super::message::Action;
use crate::ids::{JobId, TeamId};
use crate::job::{JobSpec, Kind, Outcome};
use crate::resources::Resources;

/// Why a job can never run, and the nearest job that could.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{reason}; the nearest that would fit: {tasks} tasks of {nearest}")]
pub struct Unfit {
    /// Why the job can never run.
    pub reason: String,
    /// The task size nearest to the requested one that would fit.
    pub nearest: Resources,
    /// The number of tasks nearest to the requested one that would fit.
    pub tasks: u32,
}

impl Scheduler {
    /// Checks that a job could run on this pool's workers if all of them were empty.
    ///
    /// Workers of zones that are out count, since the zones come back. A pool without workers
    /// accepts any size.
    ///
    /// # Errors
    ///
    /// Returns [`Unfit`] when the job has too many tasks, when no worker could run one of its
    /// tasks, or when the workers could not run all tasks of a gang at once.
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
        if self.any_worker_fits(&spec.size) || !self.fleet.slots.iter().any(|slot| slot.listed) {
            let kind = self.policy.queues.get(&spec.queue).map(|queue| queue.kind);
            let room = self.count_fitting(&spec.size, u64::from(spec.tasks));
            if kind == Some(Kind::Gang) && room < u64::from(spec.tasks) && room > 0 {
                let reason =
                    "the tasks of the gang do not all fit on the workers at once".to_owned();
                return unfit(reason, spec.size, u32::try_from(room).unwrap_or(u32::MAX));
            }
            return Ok(());
        }
        let reason = "no worker has the capacity for a task of this size".to_owned();
        unfit(reason, self.nearest_fit(&spec.size), spec.tasks)
    }

    /// Checks that a team's limit could let a job run: all tasks of a gang, or one task of another
    /// job. A team that is not in the policy passes.
    ///
    /// # Errors
    ///
    /// Returns [`Unfit`] when these tasks need more than the limit.
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
            reason: format!(
                "the job needs more at once than the team's limit of {}",
                team.limit
            ),
            nearest: spec.size.min(&team.limit),
            tasks: tasks.unwrap_or(1),
        })
    }

    /// Returns whether a task of a size would fit on some listed worker if it were empty.
    pub(super) fn any_worker_fits(&self, size: &Resources) -> bool {
        self.fleet
            .slots
            .iter()
            .any(|slot| slot.listed && size.fits_in(&slot.capacity))
    }

    /// Returns how many tasks of a size the listed workers could run if they were empty, up to
    /// `most`.
    fn count_fitting(&self, size: &Resources, most: u64) -> u64 {
        let mut room: u64 = 0;
        for slot in self.fleet.slots.iter().filter(|slot| slot.listed) {
            room = room.saturating_add(slot.capacity.count(size));
            if room >= most {
                return most;
            }
        }
        room
    }

    /// Returns a size reduced to the capacity of the listed worker that needs the least reduction.
    pub(super) fn nearest_fit(&self, size: &Resources) -> Resources {
        let reduction = |fit: &Resources| {
            let lost = size.saturating_sub(fit);
            let permille = |lost: u64, whole: u64| lost * 1_000 / whole.max(1);
            permille(lost.cpu, size.cpu)
                + permille(lost.memory, size.memory)
                + permille(lost.accelerators, size.accelerators)
        };
        self.fleet
            .slots
            .iter()
            .filter(|slot| slot.listed)
            .map(|slot| size.min(&slot.capacity))
            .min_by_key(reduction)
            .unwrap_or_default()
    }

    /// Refuses jobs with no placed task that can no longer run.
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

    /// Refuses a job that can never run, unless it has a placed task, has ended, or automatic
    /// actions are paused.
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
