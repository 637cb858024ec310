//! Progress records of jobs, from which a new owner of the pool continues.

use super::Scheduler;
use super::message::Phase;
use super::table::{Entry, Stage};
use crate::ids::{JobId, TaskId};
use crate::job::{Attempts, Kind, Outcome, Progress};

impl Scheduler {
    /// Returns the progress to record for a job's tasks; `None` when the job is unknown or ended
    /// without success.
    pub fn progress(&self, job: JobId) -> Option<Progress> {
        let entry = self.table.get(job)?;
        let all = entry.ended == Some(Outcome::Succeeded);
        if entry.ended.is_some() && !all {
            return None;
        }
        Some(progress(entry, all))
    }

    /// Returns whether every worker has sent a full report or was lost since this scheduler took
    /// over the pool.
    pub fn settled(&self) -> bool {
        self.unsettled.is_zero()
    }

    /// Removes a job; does nothing while one of its tasks is placed.
    pub(super) fn withdraw(&mut self, id: JobId) {
        let placed = self.table.get(id).map(|entry| entry.placed);
        if placed != Some(0) {
            return;
        }
        self.drop_claim(id);
        self.dequeue_job(id);
        self.delayed.retain(|(_, task)| task.job != id);
        self.table.remove(id);
    }

    /// Stores the recorded progress of a job until the job is restored.
    pub(super) fn load_progress(&mut self, job: JobId, progress: &Progress) {
        for index in progress.done() {
            let task = TaskId { job, index };
            self.early_ends.insert(task, (1, Phase::Succeeded));
        }
        for Attempts { index, made } in &progress.attempts {
            let task = TaskId { job, index: *index };
            let ended = self
                .early_ends
                .entry(task)
                .or_insert((*made, Phase::Stopped));
            ended.0 = ended.0.max(*made);
        }
    }
}

fn progress(entry: &Entry, all: bool) -> Progress {
    let mut progress = Progress::default();
    for (index, task) in (0..).zip(&entry.tasks) {
        let done = task.stage == Stage::Done && entry.job.kind != Kind::Service;
        if done || all {
            progress.push(index);
        } else if task.last_ended > 0 {
            progress.attempts.push(Attempts {
                index,
                made: task.last_ended,
            });
        }
    }
    progress
}
