//! Removes from the store what no owner needs any longer.

use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::{debug, warn};
use wigeongate_core::workflow::{Record, WorkflowId};
use wigeongate_platform::store::{Committed, TXN_ENTRIES, Txn};

use super::records::{OWNER, job_key};
use super::shared::Shared;

/// The most keys that one transaction removes, beside its condition.
const MOST_KEYS: usize = TXN_ENTRIES - 1;

/// Which batches of the log speak of which jobs, and what may be removed.
#[derive(Debug, Default)]
pub struct Cleanup {
    /// The jobs of each batch, by its key.
    batches: BTreeMap<String, Vec<WorkflowId>>,
    /// Keys to remove.
    keys: Vec<String>,
}

impl Cleanup {
    /// Notes a batch that is in the store.
    pub fn note(&mut self, key: &str, records: &[Record]) {
        let mut jobs: Vec<WorkflowId> = records.iter().map(Record::job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        self.batches.insert(key.to_owned(), jobs);
    }

    /// Takes in jobs that are no longer shown; `is_known` tells of the others.
    pub fn forget(&mut self, jobs: &[WorkflowId], is_known: impl Fn(WorkflowId) -> bool) {
        // Jobs go before batches: a record of a job that is gone is passed over, a job without its
        // records would run again.
        let keys = &mut self.keys;
        let mut gone = Vec::new();
        self.batches.retain(|key, of| {
            of.retain(|job| is_known(*job));
            if of.is_empty() {
                gone.push(key.clone());
            }
            !of.is_empty()
        });
        keys.extend(jobs.iter().map(|job| job_key(*job)));
        keys.extend(gone);
    }

    /// Removes some of the keys, on the condition that the ownership is unchanged.
    pub fn remove_some(&mut self, shared: &Arc<Shared>, revision: u64) {
        let count = self.keys.len().min(MOST_KEYS);
        if count == 0 {
            return;
        }
        let txn = Txn {
            expected: vec![(OWNER.to_owned(), revision)],
            removes: self.keys.drain(..count).collect(),
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
