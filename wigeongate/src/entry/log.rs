//! The owner's log: the records that a new owner needs, written to the store in batches.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{JobFate, Record, Retention, WorkflowId};
use wigeongate_platform::store::{Txn, TxnOutcome};

use super::cleanup::{self, MAX_REMOVED_KEYS};
use super::compaction::{CompactionOutcome, Compactor};
use super::owner_event::OwnerEvent;
use super::records::{OWNER_KEY, batch_key, encode_batch};
use super::shared::Shared;

/// The minimum time between writes of the log, in milliseconds. Every write is charged for, and
/// each start waits for one.
const WRITE_INTERVAL_MS: u64 = 15;

/// The most records in one batch.
const MAX_RECORDS: usize = 5_000;

/// The delay before a failed write is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// How long a record may wait to be written, in milliseconds, before new starts wait too. A write
/// without an answer and its retry take less.
const MAX_LAG_MS: u64 = 800;

/// The number of failed attempts at one write after which the owner asks another gate to take over.
/// A single answer may get lost, but no task starts while the log cannot be written.
const YIELD_FAILURES: u32 = 2;

/// The log of one epoch of the ownership.
#[derive(Debug)]
pub struct Log {
    shared: Arc<Shared>,
    epoch: u64,
    /// The revision of the owner key, which is the condition of each write.
    revision: u64,
    events: mpsc::UnboundedSender<OwnerEvent>,
    unwritten: Vec<Record>,
    /// The number of the first record that is in no write yet; records are numbered from 1.
    first_unwritten: u64,
    /// Whether a write is in progress; there is never more than one.
    writing: bool,
    /// When the oldest record was added that is not known to be written.
    oldest_pending: Option<Millis>,
    /// When the last write began.
    last_write: Millis,
    /// The number of batches of this epoch.
    batch_count: u64,
    /// The key and the records of the write in progress.
    in_flight: Option<(String, Vec<Record>)>,
    retention: Retention,
    compactor: Compactor,
}

impl Log {
    /// Creates the empty log of an epoch; `revision` is that of the owner key. At `runs_known`, no run
    /// can exist any more that the owner does not know.
    pub fn new(
        shared: Arc<Shared>,
        epoch: u64,
        revision: u64,
        events: mpsc::UnboundedSender<OwnerEvent>,
        runs_known: Millis,
    ) -> Self {
        let compactor = Compactor::new(Arc::clone(&shared), revision, events.clone(), runs_known);
        Self {
            compactor,
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
            in_flight: None,
            retention: Retention::default(),
        }
    }

    /// Adds a stored batch of an earlier owner, so that it is removed when its jobs expire.
    pub fn add_batch(&mut self, key: &str, records: Vec<Record>) {
        self.retention.add_batch(key, &records);
        self.compactor.add_batch(key, records);
    }

    /// Leaves the log as it is in this epoch, because the store holds values that cannot be read.
    pub fn disable_compaction(&mut self) {
        self.compactor.disable();
    }

    /// Adds a record to the next write.
    pub fn push(&mut self, record: Record) {
        self.oldest_pending.get_or_insert(self.shared.now());
        self.unwritten.push(record);
    }

    /// Marks the write in progress as finished; `was_answered` tells whether the store answered each
    /// attempt at it.
    pub fn finish_write(&mut self, was_answered: bool) {
        self.writing = false;
        if let Some((key, records)) = self.in_flight.take() {
            self.compactor.add_batch(&key, records);
            if !was_answered {
                self.compactor.delay_newest(self.shared.now());
            }
        }
        // The records that still wait were added after that write began.
        self.oldest_pending = (!self.unwritten.is_empty()).then_some(self.last_write);
    }

    /// Returns whether records have waited for too long to add more starts, which a new owner
    /// would not know of.
    pub fn is_behind(&self) -> bool {
        let now = self.shared.now();
        self.oldest_pending
            .is_some_and(|oldest_pending| now.since(oldest_pending).0 > MAX_LAG_MS)
    }

    /// Returns the number of the last record if all records are written, `None` otherwise.
    pub fn written_through(&self) -> Option<u64> {
        (self.unwritten.is_empty() && !self.writing).then_some(self.first_unwritten - 1)
    }

    /// Starts to write the waiting records unless a write is in progress or the last began too
    /// recently.
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
        self.retention.add_batch(&key, &records);
        let txn = Txn {
            expected: vec![(OWNER_KEY.to_owned(), self.revision), (key.clone(), 0)],
            puts: vec![(key.clone(), encode_batch(&records), 0)],
            removes: Vec::new(),
        };
        self.in_flight = Some((key.clone(), records));
        let shared = Arc::clone(&self.shared);
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = write_batch(&shared, &events, &txn, &key, last).await;
            let took = shared.now().since(now);
            shared.metrics.record_duration("log_write", "all", took);
            // Fails only after the owner's loop has ended.
            let _ = events.send(event);
        });
    }

    /// Returns whether a removal of batches may begin.
    pub fn may_remove(&self, now: Millis) -> bool {
        !self.writing && !self.compactor.is_busy() && self.retention.is_due(now)
    }

    /// Shortens the stored log if that is due and no removal is in progress.
    pub fn compact(&mut self, now: Millis, fate: impl Fn(WorkflowId) -> JobFate) {
        // A record that waits may be about a run that the records of its job no longer show.
        if self.written_through().is_some() && !self.retention.is_busy() {
            self.compactor.begin(now, fate);
        }
    }

    /// Ends the compaction in progress.
    pub fn finish_compaction(&mut self, outcome: CompactionOutcome, now: Millis) {
        for merge in self.compactor.finish(outcome, now) {
            self.retention
                .replace_batches(&merge.replaced, &merge.key, &merge.records);
        }
    }

    /// Begins to remove batches without records of stored jobs.
    pub fn remove(&mut self, now: Millis) {
        if let Some(keys) = self.retention.begin_removal(MAX_REMOVED_KEYS, now) {
            cleanup::remove(&self.shared, &self.events, keys, self.revision);
        }
    }

    /// Ends the removal in progress.
    pub fn end_removal(&mut self, is_confirmed: bool) {
        self.retention.end_removal(is_confirmed);
    }

    /// Lets batches be removed that have no records of stored jobs.
    pub fn discard_batches(&mut self, is_stored: impl Fn(WorkflowId) -> bool) {
        self.retention.discard_batches(&is_stored);
        let retention = &self.retention;
        self.compactor
            .retain(|key| retention.has_batch(key), is_stored);
    }
}

/// Writes a batch, with retries until it is known to be written or another gate is the owner.
async fn write_batch(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
    txn: &Txn,
    key: &str,
    last: u64,
) -> OwnerEvent {
    let mut failures = 0;
    let mut was_answered = true;
    while !events.is_closed() {
        match shared.store.commit(txn).await {
            Ok(TxnOutcome::Done(_)) => return OwnerEvent::LogWritten(last, was_answered),
            Ok(TxnOutcome::Conflict(items)) => {
                let owned = items
                    .iter()
                    .any(|item| item.key == OWNER_KEY && item.revision == txn.expected[0].1);
                let written = items
                    .iter()
                    .any(|item| item.key == key && item.revision > 0);
                if written {
                    return OwnerEvent::LogWritten(last, was_answered);
                }
                if !owned {
                    info!(key, "owner: another gate is the owner; the log ends here.");
                    return OwnerEvent::Fenced;
                }
            }
            Ok(TxnOutcome::LeaseEnded) => {}
            Err(error) => {
                warn!(%error, key, "owner: writing the log failed; trying again.");
                failures += 1;
                was_answered &= error.is_not_executed();
                if failures >= YIELD_FAILURES {
                    // Fails only after the owner's loop has ended.
                    let _ = events.send(OwnerEvent::TakeoverWanted);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    OwnerEvent::Fenced
}
