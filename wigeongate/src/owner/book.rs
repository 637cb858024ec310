//! The records of a pool's jobs, as its owner holds them.

use tokio::sync::oneshot;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId};
use wigeongate_core::job::{Job, JobState, JobStatus, Outcome, Progress};

use crate::clock::wall_ms;
use crate::jobs::{KEEP, Kept, Stored};

/// An attempt that has ended on a worker, which may forget it once that is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The worker.
    pub host: HostId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// One job's record.
#[derive(Debug)]
struct Page {
    kept: Kept,
    /// Attempts whose end is not recorded yet.
    ended: Vec<Ended>,
    /// Whether the record differs from what is known.
    dirty: bool,
    /// Whether a write is on its way. Invariant: at most one is.
    writing: bool,
    /// How the job ended, before that is recorded.
    outcome: Option<Outcome>,
    waiters: Vec<oneshot::Sender<JobStatus>>,
}

/// A write of a record that is due.
#[derive(Debug)]
pub struct Due {
    /// What to write.
    pub stored: Stored,
    /// The revision that it replaces.
    pub revision: i64,
    /// Attempts whose end it records.
    pub ended: Vec<Ended>,
}

/// The records of a pool's jobs.
#[derive(Debug, Default)]
pub struct Book {
    pages: HashMap<JobId, Page>,
}

impl Book {
    /// Adds a record; returns whether the job is new here.
    pub fn add(&mut self, kept: Kept) -> bool {
        let id = kept.stored.job.id;
        if self.pages.contains_key(&id) {
            return false;
        }
        let page = Page {
            kept,
            ended: Vec::new(),
            dirty: false,
            writing: false,
            outcome: None,
            waiters: Vec::new(),
        };
        self.pages.insert(id, page);
        true
    }

    /// Returns a job that has a record here.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        let page = self.pages.get(&job)?;
        Some(&page.kept.stored.job)
    }

    /// Drops a record.
    pub fn remove(&mut self, job: JobId) {
        self.pages.remove(&job);
    }

    /// Takes a record out that has nothing to be written.
    pub fn take(&mut self, job: JobId) -> Option<Kept> {
        let idle = self
            .pages
            .get(&job)
            .filter(|page| !page.writing && !page.dirty);
        idle?;
        self.pages.remove(&job).map(|page| page.kept)
    }

    /// Returns how many records there are.
    pub fn len(&self) -> usize {
        self.pages.len()
    }

    /// Returns a record.
    pub fn kept(&self, job: JobId) -> Option<&Kept> {
        self.pages.get(&job).map(|page| &page.kept)
    }

    /// Returns every record.
    pub fn all(&self) -> impl Iterator<Item = &Kept> {
        self.pages.values().map(|page| &page.kept)
    }

    /// Notes that an attempt has ended on a worker.
    pub fn attempt_ended(&mut self, ended: Ended) {
        if let Some(page) = self.pages.get_mut(&ended.task.job) {
            if !page.ended.contains(&ended) {
                page.ended.push(ended);
            }
            page.dirty = true;
        }
    }

    /// Notes how a job ended; it counts once it is recorded.
    pub fn job_ended(&mut self, job: JobId, outcome: Outcome) {
        if let Some(page) = self.pages.get_mut(&job) {
            page.outcome.get_or_insert(outcome);
            page.dirty = true;
        }
    }

    /// Returns the jobs whose records are due to be written.
    pub fn dirty(&self) -> Vec<JobId> {
        let due = |(_, page): &(&JobId, &Page)| page.dirty && !page.writing;
        self.pages.iter().filter(due).map(|(id, _)| *id).collect()
    }

    /// Returns the jobs whose end is due to be recorded.
    pub fn ending(&self) -> Vec<JobId> {
        let due =
            |(_, page): &(&JobId, &Page)| page.dirty && !page.writing && page.outcome.is_some();
        self.pages.iter().filter(due).map(|(id, _)| *id).collect()
    }

    /// Starts the write of a record, unless one is on its way.
    pub fn write(&mut self, job: JobId, progress: Option<Progress>) -> Option<Due> {
        let page = self.pages.get_mut(&job)?;
        if page.writing || !page.dirty {
            return None;
        }
        page.writing = true;
        page.dirty = false;
        let mut stored = page.kept.stored.clone();
        stored.progress = progress.unwrap_or(stored.progress);
        if stored.outcome.is_none() && page.outcome.is_some() {
            stored.outcome.clone_from(&page.outcome);
            stored.ended = wall_ms();
        }
        Some(Due {
            stored,
            revision: page.kept.revision,
            ended: std::mem::take(&mut page.ended),
        })
    }

    /// Notes that a record was written; returns whether that recorded the job's end.
    pub fn written(&mut self, kept: Kept) -> bool {
        let Some(page) = self.pages.get_mut(&kept.stored.job.id) else {
            return false;
        };
        let before = page.kept.stored.outcome.is_some();
        page.writing = false;
        page.kept = kept;
        page.kept.stored.outcome.is_some() && !before
    }

    /// Notes that a write failed: it is due again.
    pub fn failed(&mut self, job: JobId, ended: Vec<Ended>, found: Option<Kept>) {
        if let Some(page) = self.pages.get_mut(&job) {
            page.writing = false;
            page.dirty = true;
            page.ended.extend(ended);
            page.kept.revision = found.map_or(page.kept.revision, |kept| kept.revision);
        }
    }

    /// Returns where a job stands: it has ended only when that is recorded.
    pub fn status(&self, job: JobId, running: Option<JobStatus>) -> Option<JobStatus> {
        let stored = &self.pages.get(&job)?.kept.stored;
        let done = stored.progress.succeeded_tasks().count();
        let mut status = running.unwrap_or_else(|| JobStatus {
            job: stored.job.clone(),
            state: JobState::Queued,
            queued: 0,
            running: 0,
            succeeded: u32::try_from(done).unwrap_or(u32::MAX),
        });
        status.state = match (&stored.outcome, status.state) {
            (Some(outcome), _) => JobState::Ended(outcome.clone()),
            (None, JobState::Ended(_)) => JobState::Running,
            (None, state) => state,
        };
        Some(status)
    }

    /// Adds one who waits for a job's end.
    pub fn wait(&mut self, job: JobId) -> Option<oneshot::Receiver<JobStatus>> {
        let page = self.pages.get_mut(&job)?;
        page.waiters.retain(|waiter| !waiter.is_closed());
        let (waiter, receiver) = oneshot::channel();
        page.waiters.push(waiter);
        Some(receiver)
    }

    /// Tells those who wait for a job's end.
    pub fn wake(&mut self, status: &JobStatus) {
        let Some(page) = self.pages.get_mut(&status.job.id) else {
            return;
        };
        for waiter in page.waiters.drain(..) {
            // One who no longer waits needs no word.
            let _ = waiter.send(status.clone());
        }
    }

    /// Returns records that have been kept long enough, at most `count`.
    pub fn expired(&self, count: usize) -> Vec<Kept> {
        let before = wall_ms().saturating_sub(KEEP.0);
        let old = |kept: &&Kept| kept.stored.outcome.is_some() && kept.stored.ended < before;
        self.all().filter(old).take(count).cloned().collect()
    }
}
