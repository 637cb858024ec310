//! The owner's log: what a new owner has to know, written in batches.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Record, WorkflowId};
use wigeongate_platform::store::{Committed, Txn};

use super::cleanup::Cleanup;
use super::owner::OwnerEvent;
use super::records::{LogBatch, OWNER_KEY, batch_key, encode};
use super::shared::Shared;

/// The shortest time between writes of the log, in milliseconds: every write is priced, and each
/// start waits for one.
const WRITE_INTERVAL_MS: u64 = 15;

/// The most records in one write.
const MAX_RECORDS: usize = 5_000;

/// The pause before a failed write is tried again, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// The time between removals of what is no longer shown, in milliseconds: one removes 31 keys, and
/// about 60 come a second on the users' platform.
const CLEANUP_INTERVAL_MS: u64 = 400;

/// How long a record may wait, in milliseconds, before starts wait too: one write without an
/// answer and its repetition take less.
const MAX_LAG_MS: u64 = 800;

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
    events: mpsc::UnboundedSender<OwnerEvent>,
    unwritten: Vec<Record>,
    /// The number of the first unwritten record; they are numbered from 1.
    first_unwritten: u64,
    writing: bool,
    /// When the oldest record was taken that is not known to be written.
    oldest_pending: Option<Millis>,
    last_write: Millis,
    batch_count: u64,
    cleanup: Cleanup,
    last_cleanup: Millis,
}

impl Log {
    /// Begins the log of an epoch.
    pub fn new(
        shared: Arc<Shared>,
        epoch: u64,
        revision: u64,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        Self {
            last_cleanup: shared.now(),
            shared,
            epoch,
            revision,
            events,
            unwritten: Vec::new(),
            first_unwritten: 1,
            writing: false,
            oldest_pending: None,
            last_write: Millis::ZERO,
            batch_count: 0,
            cleanup: Cleanup::default(),
        }
    }

    /// Notes a batch of an earlier owner.
    pub fn add_batch(&mut self, key: &str, records: &[Record]) {
        self.cleanup.add_batch(key, records);
    }

    /// Takes a record to be written.
    pub fn push(&mut self, record: Record) {
        self.oldest_pending.get_or_insert(self.shared.now());
        self.unwritten.push(record);
    }

    /// Takes in that the write under way has ended.
    pub fn finish_write(&mut self) {
        self.writing = false;
        // Records that wait were taken after the write began.
        self.oldest_pending = (!self.unwritten.is_empty()).then_some(self.last_write);
    }

    /// Returns whether records wait for so long that no more starts may be added: a new owner
    /// would not know of them.
    pub fn is_behind(&self) -> bool {
        let now = self.shared.now();
        self.oldest_pending
            .is_some_and(|oldest_pending| now.since(oldest_pending).0 > MAX_LAG_MS)
    }

    /// Returns the number of the last record when every one is written.
    pub fn written_through(&self) -> Option<u64> {
        (self.unwritten.is_empty() && !self.writing).then_some(self.first_unwritten - 1)
    }

    /// Writes what is recorded, one write at a time.
    pub fn write(&mut self) {
        let now = self.shared.now();
        if self.writing
            || self.unwritten.is_empty()
            || now.since(self.last_write).0 < WRITE_INTERVAL_MS
        {
            return;
        }
        self.last_write = now;
        self.writing = true;
        self.batch_count += 1;
        let count = self.unwritten.len().min(MAX_RECORDS);
        let records: Vec<Record> = self.unwritten.drain(..count).collect();
        let last = self.first_unwritten + u64::try_from(count).unwrap_or(0) - 1;
        self.first_unwritten = last + 1;
        let key = batch_key(self.epoch, self.batch_count);
        self.cleanup.add_batch(&key, &records);
        let txn = Txn {
            expected: vec![(OWNER_KEY.to_owned(), self.revision), (key.clone(), 0)],
            puts: vec![(key.clone(), encode(&LogBatch { records }), 0)],
            removes: Vec::new(),
        };
        let shared = Arc::clone(&self.shared);
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = write_batch(&shared, &events, &txn, &key, last).await;
            let took = shared.now().since(now);
            shared.metrics.record_duration("log_write", "all", took);
            // The owner's loop has ended when nobody listens.
            let _ = events.send(event);
        });
    }

    /// Returns whether it is time to remove what is no longer shown, and notes it.
    pub fn take_cleanup_turn(&mut self, now: Millis) -> bool {
        let due = now.since(self.last_cleanup).0 >= CLEANUP_INTERVAL_MS;
        if due {
            self.last_cleanup = now;
        }
        due
    }

    /// Removes jobs that are no longer shown, and batches that speak of no other.
    pub fn clean_up(&mut self, expired: &[WorkflowId], is_known: impl Fn(WorkflowId) -> bool) {
        if !expired.is_empty() {
            self.cleanup.expire_jobs(expired, is_known);
        }
        if !self.writing {
            self.cleanup.remove_next(&self.shared, self.revision);
        }
    }
}

/// Writes a batch until it is known to be written or another owner has taken over.
async fn write_batch(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
    txn: &Txn,
    key: &str,
    last: u64,
) -> OwnerEvent {
    let mut failures = 0;
    while !events.is_closed() {
        match shared.store.commit(txn).await {
            Ok(Committed::Done(_)) => return OwnerEvent::LogWritten(last),
            Ok(Committed::Conflict(items)) => {
                let owned = items
                    .iter()
                    .any(|item| item.key == OWNER_KEY && item.revision == txn.expected[0].1);
                let written = items
                    .iter()
                    .any(|item| item.key == key && item.revision > 0);
                if written {
                    return OwnerEvent::LogWritten(last);
                }
                if !owned {
                    info!(key, "owner: the log is another owner's now.");
                    return OwnerEvent::Fenced;
                }
            }
            Ok(Committed::NoLease) => {}
            Err(error) => {
                warn!(%error, key, "owner: the log was not written.");
                failures += 1;
                if failures >= YIELD_FAILURES {
                    // The owner's loop has ended when nobody listens.
                    let _ = events.send(OwnerEvent::TakeoverWanted);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    OwnerEvent::Fenced
}
