//! What has to be recorded of jobs, so that a new owner goes on where the last one stopped.

use super::Scheduler;
use super::message::Phase;
use super::table::{Entry, Stage};
use crate::ids::{JobId, TaskId};
use crate::job::{Kind, Outcome, Progress, TaskAttempts};

impl Scheduler {
    /// Returns what has to be recorded of a job's tasks; `None` when that no longer changes.
    pub fn progress(&self, job: JobId) -> Option<Progress> {
        let entry = self.table.get(job)?;
        let all = entry.ended == Some(Outcome::Succeeded);
        if entry.ended.is_some() && !all {
            return None;
        }
        Some(progress(entry, all))
    }

    /// Returns whether every worker has reported everything or was lost since it was owned.
    pub fn settled(&self) -> bool {
        self.unsettled.is_zero()
    }

    /// Drops a job of which nothing is placed.
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

    /// Remembers what is recorded of a job that is about to be restored.
    pub(super) fn load_progress(&mut self, job: JobId, progress: &Progress) {
        for index in progress.succeeded_tasks() {
            let task = TaskId { job, index };
            self.early_ends.insert(task, (1, Phase::Succeeded));
        }
        for TaskAttempts { index, made } in &progress.attempts {
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
            progress.record_success(index);
        } else if task.last_ended > 0 {
            progress.attempts.push(TaskAttempts {
                index,
                made: task.last_ended,
            });
        }
    }
    progress
}
