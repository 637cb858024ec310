//! Writes checkpoints of the log, and removes what they replace.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, info, warn};
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    CheckpointPart, CheckpointSettings, CheckpointWrite, JobFate, LogCheckpoint, OwnerView, Record,
    WorkflowId, WorkflowScheduler,
};
use wigeongate_platform::store::{Item, Txn, TxnOutcome};

use super::owner_event::OwnerEvent;
use super::records::{CHECKPOINT_KEY, CheckpointHead, OWNER_KEY, encode, part_key};
use super::shared::Shared;

/// The delay before a write without an answer is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// What has become of a transaction of the checkpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckpointEvent {
    /// The value of a key is written, at a revision.
    Written(String, u64),
    /// Another gate is the owner.
    Conflict,
    /// A removal has ended; whether the store has confirmed it.
    Removed(bool),
}

/// The state of the owner as its checkpoints see it.
#[derive(Debug)]
pub struct SchedulerView<'a> {
    /// The scheduler.
    pub scheduler: &'a WorkflowScheduler,
    /// Whether no run can exist that the scheduler does not know.
    pub runs_known: bool,
}

impl OwnerView for SchedulerView<'_> {
    fn fate(&self, job: WorkflowId) -> JobFate {
        self.scheduler.job_fate(job)
    }

    fn has_host(&self, host: &HostId) -> bool {
        self.scheduler.has_host(host)
    }

    fn runs_known(&self) -> bool {
        self.runs_known
    }
}

/// The checkpoints of one epoch of the ownership.
#[derive(Debug)]
pub struct Checkpointer {
    shared: Arc<Shared>,
    epoch: u64,
    /// The revision of the owner key, which is the condition of each transaction.
    revision: u64,
    events: mpsc::UnboundedSender<OwnerEvent>,
    checkpoint: LogCheckpoint,
    /// The revision of the head in force, zero without one. It is a condition of the next, since the
    /// store may carry out a head without an answer much later.
    head_revision: u64,
}

impl Checkpointer {
    /// Creates the state of an owner that has read nothing yet; `revision` is that of the owner key.
    pub fn new(
        shared: Arc<Shared>,
        epoch: u64,
        revision: u64,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        Self {
            shared,
            epoch,
            revision,
            events,
            checkpoint: LogCheckpoint::new(CheckpointSettings::default()),
            head_revision: 0,
        }
    }

    /// Leaves the log as it is, because the store holds values that cannot be read.
    pub fn disable(&mut self) {
        self.checkpoint.freeze();
        self.shared.metrics.count("checkpoints", "unreadable");
        warn!("checkpoint: the store holds values that cannot be read; the log stays as it is.");
    }

    /// Takes over the checkpoint in force, whose head has a revision.
    pub const fn add_head(&mut self, revision: u64) {
        self.head_revision = revision;
    }

    /// Adds a part of the checkpoint in force.
    pub fn add_part(&mut self, key: &str, part: CheckpointPart) {
        self.checkpoint.add_part(key, part);
    }

    /// Adds a batch that the store holds.
    pub fn add_batch(&mut self, key: &str, records: Vec<Record>) {
        self.checkpoint.add_batch(key, records);
    }

    /// Handles that jobs have left the store.
    pub fn forget_jobs(&mut self, jobs: &[WorkflowId]) {
        self.checkpoint.forget_jobs(jobs);
    }

    /// Begins the next write and the next removal if they are due, and sends the owner their outcomes.
    pub fn advance(&mut self, view: &impl OwnerView, now: Millis) {
        if let Some(write) = self.checkpoint.next_write(view, now) {
            let txn = transaction(write, self.epoch, self.revision, self.head_revision);
            let shared = Arc::clone(&self.shared);
            let events = self.events.clone();
            tokio::spawn(async move {
                if let Some(event) = commit(&shared, &events, &txn).await {
                    // Fails only after the owner's loop has ended.
                    let _ = events.send(OwnerEvent::Checkpoint(event));
                }
            });
        }
        if let Some(keys) = self.checkpoint.begin_removal(now) {
            self.remove(keys);
        }
    }

    fn remove(&self, keys: Vec<String>) {
        let txn = removal(keys, self.revision);
        let shared = Arc::clone(&self.shared);
        let events = self.events.clone();
        tokio::spawn(async move {
            let keys = txn.removes.len();
            let result = shared.store.commit(&txn).await;
            if let Err(error) = &result {
                warn!(%error, keys, "checkpoint: removing replaced keys failed; trying again.");
            }
            let is_confirmed = matches!(result, Ok(TxnOutcome::Done(_)));
            // Fails only after the owner's loop has ended.
            let _ = events.send(OwnerEvent::Checkpoint(CheckpointEvent::Removed(
                is_confirmed,
            )));
        });
    }

    /// Handles the outcome of a transaction.
    pub fn finish(&mut self, event: CheckpointEvent) {
        match event {
            CheckpointEvent::Written(key, revision) => {
                if key == CHECKPOINT_KEY {
                    self.head_revision = revision;
                }
                if self.checkpoint.finish_write(&key) {
                    let records = self.checkpoint.stored_records();
                    debug!(records, "checkpoint: in force.");
                    self.shared.metrics.count("checkpoints", "written");
                }
            }
            CheckpointEvent::Conflict => self.checkpoint.freeze(),
            CheckpointEvent::Removed(is_confirmed) => self.checkpoint.finish_removal(is_confirmed),
        }
        let (batches, records) = self.checkpoint.size();
        let gauge = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
        let metrics = &self.shared.metrics;
        metrics.set_gauge("log_batches", gauge(batches));
        metrics.set_gauge("log_records", gauge(records));
        metrics.set_gauge(
            "checkpoint_records",
            gauge(self.checkpoint.stored_records()),
        );
    }
}

/// Returns the transaction that removes keys if the owner key is still at a revision.
pub fn removal(keys: Vec<String>, revision: u64) -> Txn {
    Txn {
        expected: vec![(OWNER_KEY.to_owned(), revision)],
        removes: keys,
        ..Txn::default()
    }
}

/// Returns the transaction of a part or a head.
fn transaction(write: &CheckpointWrite, epoch: u64, revision: u64, head_revision: u64) -> Txn {
    let owner = (OWNER_KEY.to_owned(), revision);
    let (expected, key, value) = match write {
        CheckpointWrite::Part(number, at, part) => {
            (vec![owner], part_key(epoch, *number, *at), encode(part))
        }
        CheckpointWrite::Head(number, covered, parts) => {
            let head = CheckpointHead {
                covered: covered.clone(),
                epoch,
                number: *number,
                parts: *parts,
            };
            let key = CHECKPOINT_KEY.to_owned();
            (
                vec![owner, (key.clone(), head_revision)],
                key,
                encode(&head),
            )
        }
    };
    Txn {
        expected,
        puts: vec![(key, value, 0)],
        removes: Vec::new(),
    }
}

/// Commits the write of one key, with retries until it is known whether it has taken effect; returns
/// `None` if the owner has ended.
async fn commit(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
    txn: &Txn,
) -> Option<CheckpointEvent> {
    let (key, value, _) = txn.puts.first()?;
    while !events.is_closed() {
        match shared.store.commit(txn).await {
            Ok(TxnOutcome::Done(revision)) => {
                return Some(CheckpointEvent::Written(key.clone(), revision));
            }
            Ok(TxnOutcome::Conflict(items)) => {
                // An earlier attempt may have taken effect.
                let is_held = |item: &&Item| item.key == *key && item.value == *value;
                if let Some(item) = items.iter().find(is_held) {
                    return Some(CheckpointEvent::Written(key.clone(), item.revision));
                }
                info!(key, "checkpoint: another gate is the owner.");
                return Some(CheckpointEvent::Conflict);
            }
            Ok(TxnOutcome::LeaseEnded) => {}
            Err(error) => warn!(%error, key, "checkpoint: a write failed; trying again."),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    None
}
