//! The owner's log: what a new owner has to know, written in batches.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Record, WorkflowId};
use wigeongate_platform::store::{Committed, Txn};

use super::cleanup::Cleanup;
use super::owner::Input;
use super::records::{Batch, OWNER, batch_key, encode};
use super::shared::Shared;

/// The shortest time between writes of the log, in milliseconds: every write is priced, and each
/// start waits for one.
const WRITE_EVERY_MS: u64 = 15;

/// The most records in one write.
const MOST_RECORDS: usize = 5_000;

/// The pause before a failed write is tried again, in milliseconds.
const WRITE_AGAIN_MS: u64 = 100;

/// The time between removals of what is no longer shown, in milliseconds: one removes 31 keys, and
/// about 60 come a second on the users' platform.
const CLEAN_EVERY_MS: u64 = 400;

/// How long a record may wait, in milliseconds, before starts wait too: one write without an
/// answer and its repetition take less.
const BEHIND_MS: u64 = 800;

/// After how many failures in a row the owner asks another gate to take over: one answer may be
/// lost, and nothing starts without the log.
const YIELD_FAILURES: u32 = 2;

/// The log of one ownership.
#[derive(Debug)]
pub struct Log {
    shared: Arc<Shared>,
    epoch: u64,
    /// The revision of the ownership's key, the condition of each write.
    revision: u64,
    inputs: mpsc::UnboundedSender<Input>,
    unwritten: Vec<Record>,
    /// The number of the first unwritten record; they are numbered from 1.
    first: u64,
    writing: bool,
    /// When the oldest record was taken that is not known to be written.
    oldest: Option<Millis>,
    wrote: Millis,
    batches: u64,
    cleanup: Cleanup,
    cleaned: Millis,
}

impl Log {
    /// Begins the log of an epoch.
    pub fn new(
        shared: Arc<Shared>,
        epoch: u64,
        revision: u64,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        Self {
            cleaned: shared.now(),
            shared,
            epoch,
            revision,
            inputs,
            unwritten: Vec::new(),
            first: 1,
            writing: false,
            oldest: None,
            wrote: Millis::ZERO,
            batches: 0,
            cleanup: Cleanup::default(),
        }
    }

    /// Notes a batch of an earlier owner.
    pub fn note(&mut self, key: &str, records: &[Record]) {
        self.cleanup.note(key, records);
    }

    /// Takes a record to be written.
    pub fn push(&mut self, record: Record) {
        self.oldest.get_or_insert(self.shared.now());
        self.unwritten.push(record);
    }

    /// Takes in that the write under way has ended.
    pub fn written(&mut self) {
        self.writing = false;
        // Records that wait were taken after the write began.
        self.oldest = (!self.unwritten.is_empty()).then_some(self.wrote);
    }

    /// Returns whether records wait for so long that no more starts may be added: a new owner
    /// would not know of them.
    pub fn is_behind(&self) -> bool {
        let now = self.shared.now();
        self.oldest
            .is_some_and(|oldest| now.since(oldest).0 > BEHIND_MS)
    }

    /// Returns the number of the last record when every one is written.
    pub fn idle_at(&self) -> Option<u64> {
        (self.unwritten.is_empty() && !self.writing).then_some(self.first - 1)
    }

    /// Writes what is recorded, one write at a time.
    pub fn write(&mut self) {
        let now = self.shared.now();
        if self.writing || self.unwritten.is_empty() || now.since(self.wrote).0 < WRITE_EVERY_MS {
            return;
        }
        self.wrote = now;
        self.writing = true;
        self.batches += 1;
        let count = self.unwritten.len().min(MOST_RECORDS);
        let records: Vec<Record> = self.unwritten.drain(..count).collect();
        let last = self.first + u64::try_from(count).unwrap_or(0) - 1;
        self.first = last + 1;
        let key = batch_key(self.epoch, self.batches);
        self.cleanup.note(&key, &records);
        let txn = Txn {
            expected: vec![(OWNER.to_owned(), self.revision), (key.clone(), 0)],
            puts: vec![(key.clone(), encode(&Batch { records }), 0)],
            removes: Vec::new(),
        };
        let shared = Arc::clone(&self.shared);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let input = write_batch(&shared, &inputs, &txn, &key, last).await;
            let took = shared.now().since(now);
            shared.meters.time("log_write", "all", took);
            // The owner's loop has ended when nobody listens.
            let _ = inputs.send(input);
        });
    }

    /// Returns whether it is time to remove what is no longer shown, and notes it.
    pub fn cleans(&mut self, now: Millis) -> bool {
        let due = now.since(self.cleaned).0 >= CLEAN_EVERY_MS;
        if due {
            self.cleaned = now;
        }
        due
    }

    /// Removes jobs that are no longer shown, and batches that speak of no other.
    pub fn clean(&mut self, expired: &[WorkflowId], is_known: impl Fn(WorkflowId) -> bool) {
        if !expired.is_empty() {
            self.cleanup.forget(expired, is_known);
        }
        if !self.writing {
            self.cleanup.remove_some(&self.shared, self.revision);
        }
    }
}

/// Writes a batch until it is known to be written or another owner has taken over.
async fn write_batch(
    shared: &Shared,
    inputs: &mpsc::UnboundedSender<Input>,
    txn: &Txn,
    key: &str,
    last: u64,
) -> Input {
    let mut failures = 0;
    while !inputs.is_closed() {
        match shared.store.commit(txn).await {
            Ok(Committed::Done(_)) => return Input::Written(last),
            Ok(Committed::Conflict(items)) => {
                let owned = items
                    .iter()
                    .any(|item| item.key == OWNER && item.revision == txn.expected[0].1);
                let written = items
                    .iter()
                    .any(|item| item.key == key && item.revision > 0);
                if written {
                    return Input::Written(last);
                }
                if !owned {
                    info!(key, "owner: the log is another owner's now.");
                    return Input::Fenced;
                }
            }
            Ok(Committed::NoLease) => {}
            Err(error) => {
                warn!(%error, key, "owner: the log was not written.");
                failures += 1;
                if failures >= YIELD_FAILURES {
                    // The owner's loop has ended when nobody listens.
                    let _ = inputs.send(Input::Yield);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(WRITE_AGAIN_MS)).await;
    }
    Input::Fenced
}
