//! The owner's log: the records that a new owner needs, written to the store in batches.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{CheckpointPart, OwnerView, Record, WorkflowId};
use wigeongate_platform::store::{Txn, TxnOutcome};

use super::checkpoint::{CheckpointEvent, Checkpointer};
use super::owner_event::OwnerEvent;
use super::records::{CheckpointHead, OWNER_KEY, batch_key, encode_batch};
use super::shared::Shared;
use super::sweep::Sweep;

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
    checkpointer: Checkpointer,
}

impl Log {
    /// Creates the empty log of an epoch; `revision` is that of the owner key.
    pub fn new(
        shared: Arc<Shared>,
        epoch: u64,
        revision: u64,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        let checkpointer = Checkpointer::new(Arc::clone(&shared), epoch, revision, events.clone());
        Self {
            checkpointer,
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
        }
    }

    /// Takes over the checkpoint in force, whose head has a revision.
    pub const fn add_head(&mut self, revision: u64) {
        self.checkpointer.add_head(revision);
    }

    /// Adds a part of the checkpoint in force; parts come before batches.
    pub fn add_part(&mut self, key: &str, part: CheckpointPart) {
        self.checkpointer.add_part(key, part);
    }

    /// Adds a stored batch of an earlier owner.
    pub fn add_batch(&mut self, key: &str, records: Vec<Record>) {
        self.checkpointer.add_batch(key, records);
    }

    /// Leaves the log as it is in this epoch, because the store holds values that cannot be read.
    pub fn disable_checkpoints(&mut self) {
        self.checkpointer.disable();
    }

    /// Returns the removal of what earlier owners have left behind beside a checkpoint.
    pub fn sweep(&self, head: Option<CheckpointHead>) -> Sweep {
        Sweep {
            shared: Arc::clone(&self.shared),
            epoch: self.epoch,
            revision: self.revision,
            events: self.events.clone(),
            head,
        }
    }

    /// Adds a record to the next write.
    pub fn push(&mut self, record: Record) {
        self.oldest_pending.get_or_insert(self.shared.now());
        self.unwritten.push(record);
    }

    /// Marks the write in progress as finished.
    pub fn finish_write(&mut self) {
        self.writing = false;
        if let Some((key, records)) = self.in_flight.take() {
            self.checkpointer.add_batch(&key, records);
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

    /// Goes on with the checkpoint, and with the removal of what the last one has replaced.
    pub fn advance_checkpoint(&mut self, view: &impl OwnerView, now: Millis) {
        self.checkpointer.advance(view, now);
    }

    /// Handles the outcome of a transaction of the checkpoint.
    pub fn finish_checkpoint(&mut self, event: CheckpointEvent) {
        self.checkpointer.finish(event);
    }

    /// Handles that jobs have left the store.
    pub fn forget_jobs(&mut self, jobs: &[WorkflowId]) {
        self.checkpointer.forget_jobs(jobs);
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
    while !events.is_closed() {
        match shared.store.commit(txn).await {
            Ok(TxnOutcome::Done(_)) => return OwnerEvent::LogWritten(last),
            Ok(TxnOutcome::Conflict(items)) => {
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
                    info!(key, "owner: another gate is the owner; the log ends here.");
                    return OwnerEvent::Fenced;
                }
            }
            Ok(TxnOutcome::LeaseEnded) => {}
            Err(error) => {
                warn!(%error, key, "owner: writing the log failed; trying again.");
                failures += 1;
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
