//! Removes from the store what no owner needs any longer.

use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::{debug, warn};
use wigeongate_core::workflow::{Record, WorkflowId};
use wigeongate_platform::store::{Committed, TXN_ENTRIES, Txn};

use super::records::{OWNER_KEY, job_key};
use super::shared::Shared;

/// The most keys that one transaction removes, beside its condition.
const MAX_REMOVED_KEYS: usize = TXN_ENTRIES - 1;

/// Which batches of the log speak of which jobs, and what may be removed.
#[derive(Debug, Default)]
pub struct Cleanup {
    /// The jobs of each batch, by its key.
    batch_jobs: BTreeMap<String, Vec<WorkflowId>>,
    /// Keys to remove.
    obsolete_keys: Vec<String>,
}

impl Cleanup {
    /// Notes a batch that is in the store.
    pub fn add_batch(&mut self, key: &str, records: &[Record]) {
        let mut jobs: Vec<WorkflowId> = records.iter().map(Record::job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        self.batch_jobs.insert(key.to_owned(), jobs);
    }

    /// Takes in jobs that are no longer shown; `is_known` tells of the others.
    pub fn expire_jobs(&mut self, jobs: &[WorkflowId], is_known: impl Fn(WorkflowId) -> bool) {
        // Jobs go before batches: a record of a job that is gone is passed over, a job without its
        // records would run again.
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

    /// Removes some of the keys, on the condition that the ownership is unchanged.
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
                Ok(Committed::Done(_)) => debug!(keys = count, "cleanup: removed."),
                // What stays is removed by the next owner, which reads it all.
                Ok(_) => debug!(keys = count, "cleanup: another owner's now."),
                Err(error) => warn!(%error, keys = count, "cleanup: not removed."),
            }
        });
    }
}
