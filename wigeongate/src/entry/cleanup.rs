//! Removes expired jobs and their log batches from the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::{debug, warn};
use wigeongate_core::workflow::{Record, WorkflowId};
use wigeongate_platform::store::{MAX_TXN_KEYS, Txn, TxnOutcome};

use super::records::{OWNER_KEY, job_key};
use super::shared::Shared;

/// The most keys that one transaction removes; its condition takes one more entry.
const MAX_REMOVED_KEYS: usize = MAX_TXN_KEYS - 1;

/// The log batches in the store with their jobs, and the keys to remove.
#[derive(Debug, Default)]
pub struct Cleanup {
    /// The jobs with records in each batch, by the key of the batch.
    batch_jobs: BTreeMap<String, Vec<WorkflowId>>,
    /// The keys to remove, in order: a job's key before those of its batches.
    obsolete_keys: Vec<String>,
}

impl Cleanup {
    /// Adds a batch that is in the store, or is being written to it.
    pub fn add_batch(&mut self, key: &str, records: &[Record]) {
        let mut jobs: Vec<WorkflowId> = records.iter().map(Record::job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        self.batch_jobs.insert(key.to_owned(), jobs);
    }

    /// Queues the keys of expired jobs, and of batches without a job for which `is_known` holds.
    pub fn expire_jobs(&mut self, jobs: &[WorkflowId], is_known: impl Fn(WorkflowId) -> bool) {
        // Jobs are removed before batches: a replay ignores records of a missing job, but a job
        // without its records would run again.
        let obsolete_keys = &mut self.obsolete_keys;
        let mut obsolete_batches = Vec::new();
        self.batch_jobs.retain(|key, job_ids| {
            job_ids.retain(|job| is_known(*job));
            if job_ids.is_empty() {
                obsolete_batches.push(key.clone());
            }
            !job_ids.is_empty()
        });
        obsolete_keys.extend(jobs.iter().map(|job| job_key(*job)));
        obsolete_keys.extend(obsolete_batches);
    }

    /// Removes the next queued keys if the owner key is still at `revision`.
    pub fn remove_next(&mut self, shared: &Arc<Shared>, revision: u64) {
        let count = self.obsolete_keys.len().min(MAX_REMOVED_KEYS);
        if count == 0 {
            return;
        }
        let txn = Txn {
            expected: vec![(OWNER_KEY.to_owned(), revision)],
            removes: self.obsolete_keys.drain(..count).collect(),
            ..Txn::default()
        };
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            match shared.store.commit(&txn).await {
                Ok(TxnOutcome::Done(_)) => debug!(keys = count, "cleanup: expired keys removed."),
                // The next owner reads all jobs and batches and removes the expired ones.
                Ok(_) => debug!(
                    keys = count,
                    "cleanup: nothing removed, another gate is the owner."
                ),
                Err(error) => warn!(%error, keys = count,
                    "cleanup: removing expired keys failed; a later owner removes them."),
            }
        });
    }
}
