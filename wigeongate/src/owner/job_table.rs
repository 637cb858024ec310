//! The job records that a pool's owner keeps in memory, and which of them are to be written.

use tokio::sync::oneshot;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId};
use wigeongate_core::job::{Job, JobState, JobStatus, Outcome, Progress};

use crate::clock::wall_ms;
use crate::jobs::{JobRecord, RECORD_RETENTION, VersionedRecord};

/// An attempt that has ended on a worker. The worker may forget it once the end is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The worker.
    pub host: HostId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// The record of one job, and what has changed since it was written.
#[derive(Debug)]
struct JobEntry {
    versioned: VersionedRecord,
    /// The attempts whose end is not yet recorded.
    ended: Vec<EndedAttempt>,
    /// Whether there is something newer to write than the record.
    dirty: bool,
    /// Whether a write is in flight. Invariant: there is at most one.
    writing: bool,
    /// How the job ended; set before the end is recorded.
    outcome: Option<Outcome>,
    /// The callers that wait for the recorded end of the job.
    waiters: Vec<oneshot::Sender<JobStatus>>,
}

/// A write of a record that the caller must carry out.
#[derive(Debug)]
pub struct PendingWrite {
    /// The record to write.
    pub record: JobRecord,
    /// The store revision that the write replaces.
    pub revision: i64,
    /// The attempts whose end the write records.
    pub ended: Vec<EndedAttempt>,
}

/// The records of a pool's jobs.
#[derive(Debug, Default)]
pub struct JobTable {
    entries: HashMap<JobId, JobEntry>,
}

impl JobTable {
    /// Adds a record and returns true, or returns false when the job already has one.
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

    /// Returns the job of a record.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        let entry = self.entries.get(&job)?;
        Some(&entry.versioned.record.job)
    }

    /// Removes a record.
    pub fn remove(&mut self, job: JobId) {
        self.entries.remove(&job);
    }

    /// Removes and returns a record, unless it is being written or must be.
    pub fn take_clean(&mut self, job: JobId) -> Option<VersionedRecord> {
        let clean = self
            .entries
            .get(&job)
            .filter(|entry| !entry.writing && !entry.dirty);
        clean?;
        self.entries.remove(&job).map(|entry| entry.versioned)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the record of a job.
    pub fn get(&self, job: JobId) -> Option<&VersionedRecord> {
        self.entries.get(&job).map(|entry| &entry.versioned)
    }

    /// Returns every record, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &VersionedRecord> {
        self.entries.values().map(|entry| &entry.versioned)
    }

    /// Stores that an attempt has ended on a worker, to be recorded with the next write.
    pub fn attempt_ended(&mut self, ended: EndedAttempt) {
        if let Some(entry) = self.entries.get_mut(&ended.task.job) {
            if !entry.ended.contains(&ended) {
                entry.ended.push(ended);
            }
            entry.dirty = true;
        }
    }

    /// Stores how a job ended, unless an end is stored already. The end takes effect once it is
    /// recorded.
    pub fn job_ended(&mut self, job: JobId, outcome: Outcome) {
        if let Some(entry) = self.entries.get_mut(&job) {
            entry.outcome.get_or_insert(outcome);
            entry.dirty = true;
        }
    }

    /// Returns the jobs whose records can be written now.
    pub fn dirty(&self) -> Vec<JobId> {
        let due = |(_, entry): &(&JobId, &JobEntry)| entry.dirty && !entry.writing;
        self.entries.iter().filter(due).map(|(id, _)| *id).collect()
    }

    /// Returns the jobs that have ended and whose records can be written now.
    pub fn dirty_ends(&self) -> Vec<JobId> {
        let due = |(_, entry): &(&JobId, &JobEntry)| {
            entry.dirty && !entry.writing && entry.outcome.is_some()
        };
        self.entries.iter().filter(due).map(|(id, _)| *id).collect()
    }

    /// Returns the write of a record with the given progress, and marks it as in flight. Returns
    /// `None` when nothing has changed or a write is in flight.
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
            record.ended_ms = wall_ms();
        }
        Some(PendingWrite {
            record,
            revision: entry.versioned.revision,
            ended: std::mem::take(&mut entry.ended),
        })
    }

    /// Stores a record that was written, and returns whether this write recorded the job's end.
    pub fn write_done(&mut self, versioned: VersionedRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&versioned.record.job.id) else {
            return false;
        };
        let before = entry.versioned.record.outcome.is_some();
        entry.writing = false;
        entry.versioned = versioned;
        entry.versioned.record.outcome.is_some() && !before
    }

    /// Marks a record as to be written again after a failed write. `found` is the record in the
    /// store, if it was read after the failure.
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

    /// Returns the status of a job, which shows the job as ended only when the end is recorded.
    /// `running` is its status in the scheduler, if it has one.
    pub fn status(&self, job: JobId, running: Option<JobStatus>) -> Option<JobStatus> {
        let record = &self.entries.get(&job)?.versioned.record;
        let succeeded_tasks = record.progress.succeeded_tasks().count();
        let mut status = running.unwrap_or_else(|| JobStatus {
            job: record.job.clone(),
            state: JobState::Queued,
            queued: 0,
            running: 0,
            succeeded: u32::try_from(succeeded_tasks).unwrap_or(u32::MAX),
        });
        status.state = match (&record.outcome, status.state) {
            (Some(outcome), _) => JobState::Ended(outcome.clone()),
            (None, JobState::Ended(_)) => JobState::Running,
            (None, state) => state,
        };
        Some(status)
    }

    /// Returns a receiver of the job's status at its recorded end, or `None` for an unknown job.
    pub fn add_waiter(&mut self, job: JobId) -> Option<oneshot::Receiver<JobStatus>> {
        let entry = self.entries.get_mut(&job)?;
        entry.waiters.retain(|waiter| !waiter.is_closed());
        let (waiter, receiver) = oneshot::channel();
        entry.waiters.push(waiter);
        Some(receiver)
    }

    /// Sends the status of an ended job to everyone who waits for it.
    pub fn notify_waiters(&mut self, status: &JobStatus) {
        let Some(entry) = self.entries.get_mut(&status.job.id) else {
            return;
        };
        for waiter in entry.waiters.drain(..) {
            // A waiter that has gone away can be ignored.
            let _ = waiter.send(status.clone());
        }
    }

    /// Returns up to `count` records of jobs that ended longer ago than [`RECORD_RETENTION`].
    pub fn expired(&self, count: usize) -> Vec<VersionedRecord> {
        let before = wall_ms().saturating_sub(RECORD_RETENTION.0);
        let old = |versioned: &&VersionedRecord| {
            versioned.record.outcome.is_some() && versioned.record.ended_ms < before
        };
        self.all().filter(old).take(count).cloned().collect()
    }
}
