//! Decides which log batches to remove from the store.

use std::collections::{BTreeMap, VecDeque};

use super::restore::Record;
use super::spec::WorkflowId;
use crate::time::Millis;

/// The time between removals, in milliseconds. Every call to the store is charged for.
const INTERVAL_MS: u64 = 400;

/// The time between removals while more keys wait than one transaction takes, in milliseconds.
const BACKLOG_INTERVAL_MS: u64 = 100;

/// The log batches in the store with their jobs, and the removal in progress.
#[derive(Debug, Default)]
pub struct Retention {
    /// The jobs with records in each batch, by the key of the batch.
    batch_jobs: BTreeMap<String, Vec<WorkflowId>>,
    /// Batches whose jobs have all been archived, in the order of their removal.
    obsolete: VecDeque<String>,
    /// The keys whose removal the store has not answered yet; there is never more than one.
    current: Option<Vec<String>>,
    /// The earliest time of the next removal.
    next: Millis,
}

impl Retention {
    /// Adds a batch that is in the store, or is being written to it.
    pub fn add_batch(&mut self, key: &str, records: &[Record]) {
        let mut jobs: Vec<WorkflowId> = records.iter().map(Record::job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        self.batch_jobs.insert(key.to_owned(), jobs);
    }

    /// Records that the store holds a batch in place of others; without records it holds none.
    pub fn replace_batches(&mut self, replaced: &[String], key: &str, records: &[Record]) {
        for key in replaced {
            self.batch_jobs.remove(key);
        }
        if !records.is_empty() {
            self.add_batch(key, records);
        }
    }

    /// Returns whether a batch has records of stored jobs.
    pub fn has_batch(&self, key: &str) -> bool {
        self.batch_jobs.contains_key(key)
    }

    /// Returns whether a removal is in progress.
    pub const fn is_busy(&self) -> bool {
        self.current.is_some()
    }

    /// Returns whether a removal may begin.
    pub fn is_due(&self, now: Millis) -> bool {
        self.current.is_none() && now >= self.next
    }

    /// Begins the removal of up to `limit` obsolete batches. Returns `None` if there is nothing to
    /// remove, or the last removal is still in progress.
    pub fn begin_removal(&mut self, limit: usize, now: Millis) -> Option<&[String]> {
        if self.current.is_some() {
            return None;
        }
        let count = self.obsolete.len().min(limit);
        let pause_ms = if count == limit {
            BACKLOG_INTERVAL_MS
        } else {
            INTERVAL_MS
        };
        self.next = now + Millis(pause_ms);
        if count == 0 {
            return None;
        }
        let keys = self.obsolete.iter().take(count).cloned().collect();
        Some(self.current.insert(keys))
    }

    /// Ends the removal in progress; without a confirmation its batches are removed again.
    pub fn end_removal(&mut self, is_confirmed: bool) {
        if let Some(keys) = self.current.take()
            && is_confirmed
        {
            self.obsolete.drain(..keys.len());
        }
    }

    /// Lets batches without a job for which `is_stored` holds be removed.
    ///
    /// Jobs are archived before batches are removed: a replay ignores records of a missing job, but a
    /// job without its records would run again.
    pub fn discard_batches(&mut self, is_stored: impl Fn(WorkflowId) -> bool) {
        let obsolete = &mut self.obsolete;
        self.batch_jobs.retain(|key, jobs| {
            jobs.retain(|job| is_stored(*job));
            if jobs.is_empty() {
                obsolete.push_back(key.clone());
            }
            !jobs.is_empty()
        });
    }
}
