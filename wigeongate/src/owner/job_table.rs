//! The records of a pool's jobs, as its owner holds them.

use tokio::sync::oneshot;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId};
use wigeongate_core::job::{Job, JobState, JobStatus, Outcome, Progress};

use crate::clock::wall;
use crate::jobs::{JobRecord, RECORD_RETENTION, VersionedRecord};

/// An attempt that has ended on a worker, which may forget it once that is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The worker.
    pub host: HostId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// One job's record.
#[derive(Debug)]
struct JobEntry {
    versioned: VersionedRecord,
    /// Attempts whose end is not recorded yet.
    ended: Vec<EndedAttempt>,
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
pub struct PendingWrite {
    /// What to write.
    pub record: JobRecord,
    /// The revision that it replaces.
    pub revision: i64,
    /// Attempts whose end it records.
    pub ended: Vec<EndedAttempt>,
}

/// The records of a pool's jobs.
#[derive(Debug, Default)]
pub struct JobTable {
    entries: HashMap<JobId, JobEntry>,
}

impl JobTable {
    /// Adds a record; returns whether the job is new here.
    pub fn add(&mut self, versioned: VersionedRecord) -> bool {
        let id = versioned.record.job.id;
        if self.entries.contains_key(&id) {
            return false;
        }
        let entry = JobEntry {
            versioned,
            ended: Vec::new(),
            dirty: false,
            writing: false,
            outcome: None,
            waiters: Vec::new(),
        };
        self.entries.insert(id, entry);
        true
    }

    /// Returns a job that has a record here.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        let entry = self.entries.get(&job)?;
        Some(&entry.versioned.record.job)
    }

    /// Drops a record.
    pub fn remove(&mut self, job: JobId) {
        self.entries.remove(&job);
    }

    /// Takes a record out that has nothing to be written.
    pub fn take_clean(&mut self, job: JobId) -> Option<VersionedRecord> {
        let clean = self
            .entries
            .get(&job)
            .filter(|entry| !entry.writing && !entry.dirty);
        clean?;
        self.entries.remove(&job).map(|entry| entry.versioned)
    }

    /// Returns how many records there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns a record.
    pub fn get(&self, job: JobId) -> Option<&VersionedRecord> {
        self.entries.get(&job).map(|entry| &entry.versioned)
    }

    /// Returns every record.
    pub fn all(&self) -> impl Iterator<Item = &VersionedRecord> {
        self.entries.values().map(|entry| &entry.versioned)
    }

    /// Notes that an attempt has ended on a worker.
    pub fn attempt_ended(&mut self, ended: EndedAttempt) {
        if let Some(entry) = self.entries.get_mut(&ended.task.job) {
            if !entry.ended.contains(&ended) {
                entry.ended.push(ended);
            }
            entry.dirty = true;
        }
    }

    /// Notes how a job ended; it counts once it is recorded.
    pub fn job_ended(&mut self, job: JobId, outcome: Outcome) {
        if let Some(entry) = self.entries.get_mut(&job) {
            entry.outcome.get_or_insert(outcome);
            entry.dirty = true;
        }
    }

    /// Returns the jobs whose records are due to be written.
    pub fn dirty(&self) -> Vec<JobId> {
        let due = |(_, entry): &(&JobId, &JobEntry)| entry.dirty && !entry.writing;
        self.entries.iter().filter(due).map(|(id, _)| *id).collect()
    }

    /// Returns the jobs whose end is due to be recorded.
    pub fn dirty_ends(&self) -> Vec<JobId> {
        let due = |(_, entry): &(&JobId, &JobEntry)| {
            entry.dirty && !entry.writing && entry.outcome.is_some()
        };
        self.entries.iter().filter(due).map(|(id, _)| *id).collect()
    }

    /// Starts the write of a record, unless one is on its way.
    pub fn begin_write(&mut self, job: JobId, progress: Option<Progress>) -> Option<PendingWrite> {
        let entry = self.entries.get_mut(&job)?;
        if entry.writing || !entry.dirty {
            return None;
        }
        entry.writing = true;
        entry.dirty = false;
        let mut record = entry.versioned.record.clone();
        record.progress = progress.unwrap_or(record.progress);
        if record.outcome.is_none() && entry.outcome.is_some() {
            record.outcome.clone_from(&entry.outcome);
            record.ended_ms = wall();
        }
        Some(PendingWrite {
            record,
            revision: entry.versioned.revision,
            ended: std::mem::take(&mut entry.ended),
        })
    }

    /// Notes that a record was written; returns whether that recorded the job's end.
    pub fn write_done(&mut self, versioned: VersionedRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&versioned.record.job.id) else {
            return false;
        };
        let before = entry.versioned.record.outcome.is_some();
        entry.writing = false;
        entry.versioned = versioned;
        entry.versioned.record.outcome.is_some() && !before
    }

    /// Notes that a write failed: it is due again.
    pub fn write_failed(
        &mut self,
        job: JobId,
        ended: Vec<EndedAttempt>,
        found: Option<VersionedRecord>,
    ) {
        if let Some(entry) = self.entries.get_mut(&job) {
            entry.writing = false;
            entry.dirty = true;
            entry.ended.extend(ended);
            entry.versioned.revision =
                found.map_or(entry.versioned.revision, |versioned| versioned.revision);
        }
    }

    /// Returns where a job stands: it has ended only when that is recorded.
    pub fn status(&self, job: JobId, running: Option<JobStatus>) -> Option<JobStatus> {
        let record = &self.entries.get(&job)?.versioned.record;
        let done = record.progress.done().count();
        let mut status = running.unwrap_or_else(|| JobStatus {
            job: record.job.clone(),
            state: JobState::Queued,
            queued: 0,
            running: 0,
            succeeded: u32::try_from(done).unwrap_or(u32::MAX),
        });
        status.state = match (&record.outcome, status.state) {
            (Some(outcome), _) => JobState::Ended(outcome.clone()),
            (None, JobState::Ended(_)) => JobState::Running,
            (None, state) => state,
        };
        Some(status)
    }

    /// Adds one who waits for a job's end.
    pub fn add_waiter(&mut self, job: JobId) -> Option<oneshot::Receiver<JobStatus>> {
        let entry = self.entries.get_mut(&job)?;
        entry.waiters.retain(|waiter| !waiter.is_closed());
        let (waiter, receiver) = oneshot::channel();
        entry.waiters.push(waiter);
        Some(receiver)
    }

    /// Tells those who wait for a job's end.
    pub fn notify_waiters(&mut self, status: &JobStatus) {
        let Some(entry) = self.entries.get_mut(&status.job.id) else {
            return;
        };
        for waiter in entry.waiters.drain(..) {
            // One who no longer waits needs no word.
            let _ = waiter.send(status.clone());
        }
    }

    /// Returns records that have been kept long enough, at most `count`.
    pub fn expired(&self, count: usize) -> Vec<VersionedRecord> {
        let before = wall().saturating_sub(RECORD_RETENTION.0);
        let old = |versioned: &&VersionedRecord| {
            versioned.record.outcome.is_some() && versioned.record.ended_ms < before
        };
        self.all().filter(old).take(count).cloned().collect()
    }
}
