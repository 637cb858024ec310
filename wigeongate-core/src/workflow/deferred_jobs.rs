//! Accepted jobs that wait in the store until their owner has memory for them.
//!
//! Load pattern: a store that holds more than a new owner can, since an earlier version accepted it or
//! the machine is smaller. The owner holds the jobs that have begun and the most valuable ones of the
//! others, answers for all, and reads the rest as others end.

use std::collections::BTreeMap;

use super::spec::WorkflowId;
use crate::collections::HashMap;
use crate::ids::QueueId;

/// How many jobs are read from the store at a time.
const MAX_READS: usize = 8;

/// The place of a job among those that wait; the smallest is held first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeferredRank {
    /// Priority of its queue; zero is the most urgent.
    pub priority: u32,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted: u64,
    /// The job.
    pub id: WorkflowId,
}

/// A job that has not begun and is not held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeferredJob {
    /// Its place.
    pub rank: DeferredRank,
    /// Its queue.
    pub queue: QueueId,
    /// A bound on the bytes that it takes once it is held.
    pub bytes: u64,
}

/// The jobs that have not begun and are not held.
#[derive(Debug, Default)]
pub struct DeferredJobs {
    waiting: BTreeMap<DeferredRank, DeferredJob>,
    ranks: HashMap<WorkflowId, DeferredRank>,
    /// The number of jobs of each queue.
    queued: HashMap<QueueId, usize>,
    /// The jobs that are being read, with their bytes.
    reading: HashMap<WorkflowId, u64>,
    bytes: u64,
}

impl DeferredJobs {
    /// Adds a job.
    pub fn add(&mut self, job: DeferredJob) {
        *self.queued.entry(job.queue.clone()).or_default() += 1;
        self.bytes += job.bytes;
        self.ranks.insert(job.rank.id, job.rank);
        self.waiting.insert(job.rank, job);
    }

    /// Removes a job; returns whether it was one of these.
    pub fn remove(&mut self, id: WorkflowId) -> bool {
        self.reading.remove(&id);
        let rank = self.ranks.remove(&id);
        let Some(job) = rank.and_then(|rank| self.waiting.remove(&rank)) else {
            return false;
        };
        self.bytes = self.bytes.saturating_sub(job.bytes);
        if let Some(count) = self.queued.get_mut(&job.queue) {
            *count -= 1;
            if *count == 0 {
                self.queued.remove(&job.queue);
            }
        }
        true
    }

    /// Returns whether a job is one of these.
    pub fn contains(&self, id: WorkflowId) -> bool {
        self.ranks.contains_key(&id)
    }

    /// Returns the number of jobs of a queue.
    pub fn queued(&self, queue: &QueueId) -> usize {
        self.queued.get(queue).copied().unwrap_or_default()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns a bound on the bytes that they take once they are held.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the jobs to read from the store now, in the order of their ranks, of which no more than
    /// `left` bytes are held then. One is read if nothing else is held.
    pub fn begin_reads(&mut self, left: u64, is_idle: bool) -> Vec<WorkflowId> {
        let mut left = left.saturating_sub(self.reading.values().sum());
        let mut is_idle = is_idle && self.reading.is_empty();
        let mut begun = Vec::new();
        for (rank, job) in &self.waiting {
            if self.reading.len() >= MAX_READS {
                break;
            }
            if self.reading.contains_key(&rank.id) {
                continue;
            }
            // Smaller ones behind it wait as well, so that it has its turn.
            if job.bytes > left && !std::mem::take(&mut is_idle) {
                break;
            }
            left = left.saturating_sub(job.bytes);
            self.reading.insert(rank.id, job.bytes);
            begun.push(rank.id);
        }
        begun
    }

    /// Handles that a read got no answer; the job is read again.
    pub fn fail_read(&mut self, id: WorkflowId) {
        self.reading.remove(&id);
    }
}
