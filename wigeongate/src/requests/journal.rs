//! The partitions of the journal of non-idempotent requests that this gate owns.
//!
//! Entries are written in batches: one transaction for all partitions, on the condition that their
//! unit records are unchanged, so that a gate cannot write to a partition that it no longer owns.

mod partition;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, eyre};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep};
use tracing::{info, warn};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, Unit};
use wigeongate_core::journal::{Fingerprint, Key, State, Verdict};
use wigeongate_core::time::Millis;

use self::partition::{Partition, PartitionWrite};
use super::Outcome;
use crate::clock::wall_ms;
use crate::cluster::{Cluster, View};
use crate::store::{CommitOutcome, Store, StoreError, Txn};

/// The shortest time between two batch writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);

/// How often the mark is written when no entry is new, in milliseconds.
const MARK_INTERVAL: Millis = Millis(2_500);

/// How long the next write is delayed, beyond `WRITE_INTERVAL`, after the store has failed.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// How often the ownership is checked when no change is signalled.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The limit on the last writes of a gate that shuts down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What the owner of a key decides about a request.
pub enum BeginResult {
    /// This gate does not own the key, or has not loaded its partition yet.
    NotOwner,
    /// The verdict is final.
    Decided(Verdict),
    /// The request may run.
    Run(RunPermit),
    /// The same request is in flight; the receiver gets its outcome.
    Join(watch::Receiver<Option<Outcome>>),
}

/// The permission to run a request.
pub struct RunPermit {
    /// The journal partition of its key.
    pub number: u16,
    /// The epoch under which the partition is owned.
    pub epoch: Epoch,
    /// Signals that the intent is in the store, before which the request must not run; `None` to
    /// run at once.
    pub recorded: Option<oneshot::Receiver<()>>,
}

/// The journal partitions that this gate owns.
pub struct Journals {
    store: Arc<dyn Store>,
    cluster: Arc<dyn Cluster>,
    partitions: Mutex<HashMap<u16, Partition>>,
    changed: Notify,
    /// Whether this gate is shutting down and loads no more partitions.
    closed: AtomicBool,
}

const fn journal_number(unit: &Unit) -> Option<u16> {
    match unit {
        Unit::Journal(number) => Some(*number),
        _ => None,
    }
}

impl Journals {
    /// Creates the set without partitions; `run` loads those that this gate owns.
    pub fn new(store: Arc<dyn Store>, cluster: Arc<dyn Cluster>) -> Arc<Self> {
        Arc::new(Self {
            store,
            cluster,
            partitions: Mutex::default(),
            changed: Notify::new(),
            closed: AtomicBool::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u16, Partition>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn epoch(&self, number: u16) -> Option<Epoch> {
        self.cluster.may_act(&Unit::Journal(number))
    }

    /// Decides whether a request may run.
    pub fn begin(&self, number: u16, key: &Key, fingerprint: Fingerprint) -> BeginResult {
        let now = Millis(wall_ms());
        let mut partitions = self.lock();
        let Some(partition) = partitions.get_mut(&number) else {
            return BeginResult::NotOwner;
        };
        // The ownership is checked after the clock was read: a key that is new by that reading
        // was issued before the ownership of any later owner began.
        if partition.closing || self.epoch(number) != Some(partition.epoch) {
            return BeginResult::NotOwner;
        }
        match partition.journal.begin(now, key, fingerprint) {
            verdict @ (Verdict::Record | Verdict::Run) => {
                let recorded = partition.record_intent(key);
                self.changed.notify_one();
                BeginResult::Run(RunPermit {
                    number,
                    epoch: partition.epoch,
                    recorded: (verdict == Verdict::Record).then_some(recorded),
                })
            }
            Verdict::Join => partition
                .subscribe(key)
                .map_or(BeginResult::Decided(Verdict::Unknown), BeginResult::Join),
            verdict => BeginResult::Decided(verdict),
        }
    }

    /// Records the outcome of a request and sends it to the waiting duplicates.
    ///
    /// An outcome from another epoch is ignored: the present owner may know more about the key.
    pub fn finish(&self, number: u16, epoch: Epoch, key: &Key, outcome: &Outcome, state: State) {
        let mut partitions = self.lock();
        let partition = partitions.get_mut(&number);
        if let Some(partition) = partition.filter(|partition| partition.epoch == epoch) {
            partition.finish(key, outcome, state);
            self.changed.notify_one();
        }
    }

    /// Loads the partitions that this gate comes to own and writes their entries, until the
    /// future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut view = self.cluster.subscribe();
        let mut written = Instant::now();
        loop {
            self.sync_ownership().await;
            let due = written + WRITE_INTERVAL;
            if self.is_write_due() {
                tokio::time::sleep_until(due).await;
                let succeeded = self.write().await;
                let delay = if succeeded {
                    Duration::ZERO
                } else {
                    FAILURE_DELAY
                };
                written = Instant::now() + delay;
            }
            tokio::select! {
                () = self.changed.notified() => {}
                _ = view.changed() => {}
                () = sleep(OWNERSHIP_POLL_INTERVAL) => {}
            }
        }
    }

    async fn sync_ownership(&self) {
        let view = self.cluster.view();
        self.hand_over(&view);
        self.release_unloaded(&view);
        if self.closed.load(Ordering::SeqCst) {
            return;
        }
        let missing: Vec<u16> = {
            let partitions = self.lock();
            let numbers = view.owned.keys().filter_map(journal_number);
            numbers.filter(|n| !partitions.contains_key(n)).collect()
        };
        for number in missing {
            let Some(epoch) = self.epoch(number) else {
                continue;
            };
            match self.load(number, epoch).await {
                Ok(partition) => drop(self.lock().insert(number, partition)),
                Err(error) => warn!("requests: journal partition {number}: {error:#}; retrying."),
            }
        }
    }

    /// Drops partitions that another gate owns, and hands over those that this gate must give up.
    ///
    /// A partition is kept while this gate temporarily may not act on it, since its epoch is then
    /// still the same.
    fn hand_over(&self, view: &View) {
        let mut partitions = self.lock();
        partitions.retain(|number, partition| {
            let unit = Unit::Journal(*number);
            if view.owned.get(&unit).map(|owned| owned.epoch) == Some(partition.epoch) {
                return true;
            }
            if self.cluster.may_act(&unit) != Some(partition.epoch) {
                return false;
            }
            partition.closing = true;
            if !partition.settled() {
                return true;
            }
            info!("requests: every entry of {unit} is stored; handing it over.");
            self.cluster.confirm_stopped(&unit);
            false
        });
    }

    /// Releases partitions that this gate must give up and has not loaded.
    fn release_unloaded(&self, view: &View) {
        let partitions = self.lock();
        for unit in view.owners.keys().filter(|u| !view.owned.contains_key(*u)) {
            let absent = journal_number(unit).is_some_and(|n| !partitions.contains_key(&n));
            if absent && self.cluster.may_act(unit).is_some() {
                self.cluster.confirm_stopped(unit);
            }
        }
    }

    /// Reads a partition after its ownership was taken, so that no earlier owner can still write.
    ///
    /// Fails if the store does not answer, or the unit record belongs to another epoch.
    async fn load(&self, number: u16, epoch: Epoch) -> Result<Partition> {
        let unit = self.store.get(&partition::unit_key(number)).await?;
        let revision = u64::try_from(unit.revision)?;
        if revision != 0 && revision != epoch.0 {
            return Err(eyre!(
                "its unit record has revision {revision}, not that of epoch {epoch}"
            ));
        }
        let stored = self.store.range(&partition::prefix(number)).await?;
        let partition =
            Partition::restore(number, epoch, unit.revision, Millis(wall_ms()), &stored)?;
        let count = partition.journal.len();
        info!("requests: loaded journal partition {number} with {count} entries.");
        Ok(partition)
    }

    fn is_write_due(&self) -> bool {
        let now = Millis(wall_ms());
        let partitions = self.lock();
        partitions
            .values()
            .any(|partition| partition.is_write_due(now, MARK_INTERVAL))
    }

    /// Writes the new entries of all partitions in one transaction.
    ///
    /// Returns whether the store answered.
    async fn write(&self) -> bool {
        let batch = self.collect();
        if batch.is_empty() {
            return true;
        }
        let txn = Txn {
            when: batch.iter().map(|write| write.condition.clone()).collect(),
            writes: batch
                .iter()
                .flat_map(|write| write.writes.clone())
                .collect(),
        };
        match self.store.commit(txn).await {
            Ok(CommitOutcome::Committed(_)) => self.confirm(&batch),
            Ok(CommitOutcome::Conflict) => self.write_separately(&batch).await,
            Err(error) => {
                self.on_write_failed(&batch, &error);
                return false;
            }
        }
        true
    }

    fn collect(&self) -> Vec<PartitionWrite> {
        let now = Millis(wall_ms());
        let mut partitions = self.lock();
        let partitions = partitions.values_mut();
        let due = partitions.filter(|partition| partition.is_write_due(now, MARK_INTERVAL));
        due.map(|partition| partition.collect(now)).collect()
    }

    /// Writes each partition in its own transaction, after one of them was found to have another
    /// owner.
    async fn write_separately(&self, batch: &[PartitionWrite]) {
        for write in batch {
            let txn = Txn {
                when: vec![write.condition.clone()],
                writes: write.writes.clone(),
            };
            let batch = std::slice::from_ref(write);
            match self.store.commit(txn).await {
                Ok(CommitOutcome::Committed(_)) => self.confirm(batch),
                Ok(CommitOutcome::Conflict) => self.drop_lost(batch[0].number),
                Err(error) => self.on_write_failed(batch, &error),
            }
        }
    }

    fn confirm(&self, batch: &[PartitionWrite]) {
        let mut partitions = self.lock();
        for write in batch {
            let partition = partitions.get_mut(&write.number);
            if let Some(partition) = partition.filter(|partition| partition.epoch == write.epoch) {
                partition.confirm(write);
            }
        }
    }

    fn on_write_failed(&self, batch: &[PartitionWrite], error: &StoreError) {
        warn!("requests: writing the journal: {error}; retrying.");
        let now = Millis(wall_ms());
        let mut partitions = self.lock();
        for write in batch {
            let partition = partitions.get_mut(&write.number);
            if let Some(partition) = partition.filter(|partition| partition.epoch == write.epoch) {
                partition.journal.write_failed(now);
            }
        }
    }

    fn drop_lost(&self, number: u16) {
        warn!("requests: journal partition {number} has another owner; dropping it.");
        self.lock().remove(&number);
    }

    /// Refuses new requests and writes the last entries, for a gate that shuts down.
    ///
    /// Gives up after `CLOSE_TIMEOUT`.
    pub async fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        for partition in self.lock().values_mut() {
            partition.closing = true;
        }
        while !self.lock().values().all(Partition::settled) && Instant::now() < deadline {
            self.write().await;
            sleep(WRITE_INTERVAL).await;
        }
        self.lock().clear();
    }
}
