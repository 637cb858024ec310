//! Records in the log, and how a new owner restores its state from them.

use serde::{Deserialize, Serialize};

use super::host::{Host, HostEntry};
use super::job::{Phase, WorkflowStatus};
use super::message::Action;
use super::scheduler::WorkflowScheduler;
use super::spec::{StepId, TaskName, Workflow, WorkflowId};
use crate::collections::HashMap;
use crate::ids::HostId;
use crate::time::Millis;

/// A change that a new owner has to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A run of a task was ordered on a host.
    Started(TaskName, u32, HostId),
    /// A task succeeded.
    Done(TaskName),
    /// Every task of a gang succeeded.
    GangDone(StepId),
    /// The run of a task with this number failed.
    Failed(TaskName, u32),
    /// The run of a gang with this number failed.
    GangFailed(StepId, u32),
    /// A job ended.
    Ended(WorkflowId, WorkflowStatus),
}

impl Record {
    /// Returns the job that the record is about.
    pub const fn job(&self) -> WorkflowId {
        match self {
            Self::Done(task) | Self::Failed(task, _) | Self::Started(task, ..) => task.step.job,
            Self::GangDone(step) | Self::GangFailed(step, _) => step.job,
            Self::Ended(job, _) => *job,
        }
    }
}

impl WorkflowScheduler {
    /// Adds a job that was accepted before this owner took over; `age` is the time since its
    /// acceptance.
    pub fn restore(&mut self, flow: Workflow, now: Millis, age: Millis) {
        let id = flow.id;
        self.submit(flow, now, age);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.inherited = true;
        }
    }

    /// Applies a record of an earlier owner. Its job has to be restored first: records of unknown
    /// jobs are ignored.
    pub fn replay(&mut self, record: &Record, now: Millis) {
        let id = record.job();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match record {
            Record::Ended(_, status) => {
                job.end = Some(*status);
                job.end_record = 0;
                job.ended = now;
                self.ready.retain(|step| step.job != id);
            }
            Record::Started(task, run, host) => {
                job.started = true;
                self.logged_runs.insert((*task, *run), host.clone());
            }
            Record::Done(task) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, task.step)
                    && let Some(state) = step.task(task.index)
                    && state.phase != Phase::Done
                {
                    state.phase = Phase::Done;
                    step.remaining -= 1;
                    step.waiting = step.waiting.saturating_sub(1);
                }
            }
            Record::GangDone(at) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, *at) {
                    for task in &mut step.tasks {
                        task.phase = Phase::Done;
                    }
                    step.remaining = 0;
                    step.waiting = 0;
                }
            }
            Record::Failed(task, run) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, task.step)
                    && let Some(state) = step.task(task.index)
                {
                    state.record_failure(*run);
                }
            }
            Record::GangFailed(at, run) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, *at) {
                    step.record_failure(*run);
                }
            }
        }
    }

    /// Returns whether a task or gang of an open job has failed too often.
    fn is_exhausted(&self, id: WorkflowId) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.end.is_none()) else {
            return false;
        };
        let attempts = self
            .queues
            .get(&job.flow.queue)
            .map_or(1, |rules| rules.attempts.max(1));
        job.occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps)
            .filter(|step| step.remaining > 0 && !step.spec.long_running)
            .any(|step| step.failure_limit_reached(attempts))
    }

    /// Adopts runs that earlier owners ordered and that may still exist. They hold their claims
    /// until their host reports or its lease expires.
    fn adopt_inherited(&mut self, now: Millis) {
        let logged_runs: HashMap<_, _> = std::mem::take(&mut self.logged_runs);
        for ((task, run), id) in logged_runs {
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let ended = job.end.is_some();
            let Some(step) = Self::step_of(job, task.step) else {
                continue;
            };
            let size = step.spec.size;
            let state = usize::try_from(task.index)
                .ok()
                .and_then(|at| step.tasks.get(at));
            let over = state.is_none_or(|state| {
                state.phase == Phase::Done || state.failed.contains(&run) || state.run > run
            });
            if ended || over || step.failed.contains(&run) {
                continue;
            }
            if !self.hosts.contains_key(&id) {
                let entry = HostEntry {
                    id: id.clone(),
                    ..HostEntry::default()
                };
                let mut host = Host::new(entry, now);
                host.listed = false;
                self.hosts.insert(id.clone(), host);
            }
            self.adopt(&id, (task, run), size, now);
        }
    }

    /// Completes the restore: ends the jobs whose tasks have all ended or failed too often, and
    /// marks the steps that can start as ready.
    pub fn finish_restore(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.adopt_inherited(now);
        let ids: Vec<WorkflowId> = self.jobs.keys().copied().collect();
        for id in ids {
            if self.is_exhausted(id) {
                self.end_job(id, WorkflowStatus::Failed, now, actions);
            } else {
                self.advance(id, now, actions);
            }
        }
    }
}
