//! The parts of the record of non-idempotent requests that this gate is home for.
//!
//! Entries are written in groups: one transaction for all parts, compared against their unit
//! records, so that a gate that is home no longer cannot write.

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
use crate::clock::wall;
use crate::cluster::{Cluster, View};
use crate::store::{Committed, Store, StoreError, Txn};

/// How far apart two group writes are at least.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);

/// How often the mark is written without other entries.
const MARK_INTERVAL: Millis = Millis(2_500);

/// How long the next write waits after the store has failed.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// How often the ownership is looked at without being told of a change.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long the last write of a stopping home may take.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a home says to a request.
pub enum BeginResult {
    /// This gate is not home for the key, or not yet.
    NotOwner,
    /// The verdict stands as it is.
    Decided(Verdict),
    /// Run it.
    Run(RunPermit),
    /// Wait for the end of the same request.
    Join(watch::Receiver<Option<Outcome>>),
}

/// The leave to run a request.
pub struct RunPermit {
    /// The part of its key.
    pub number: u16,
    /// The epoch of the home that gave it.
    pub epoch: Epoch,
    /// What has to be told first that the intent is in the store; `None` to run at once.
    pub recorded: Option<oneshot::Receiver<()>>,
}

/// The parts of the record that this gate is home for.
pub struct Journals {
    store: Arc<dyn Store>,
    cluster: Arc<dyn Cluster>,
    partitions: Mutex<HashMap<u16, Partition>>,
    changed: Notify,
    /// Whether this gate is stopping and takes no part any more.
    closed: AtomicBool,
}

const fn journal_number(unit: &Unit) -> Option<u16> {
    match unit {
        Unit::Journal(number) => Some(*number),
        _ => None,
    }
}

impl Journals {
    /// Starts without parts.
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

    /// Decides about a request.
    pub fn begin(&self, number: u16, key: &Key, fingerprint: Fingerprint) -> BeginResult {
        let now = Millis(wall());
        let mut partitions = self.lock();
        let Some(partition) = partitions.get_mut(&number) else {
            return BeginResult::NotOwner;
        };
        // The ownership is asked after the clock was read: a key that is new by that reading
        // was issued before any later home began.
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

    /// Records how a request ended and tells those that wait for it.
    ///
    /// A home of another epoch takes nothing: it may know more of the key.
    pub fn finish(&self, number: u16, epoch: Epoch, key: &Key, outcome: &Outcome, state: State) {
        let mut partitions = self.lock();
        let partition = partitions.get_mut(&number);
        if let Some(partition) = partition.filter(|partition| partition.epoch == epoch) {
            partition.finish(key, outcome, state);
            self.changed.notify_one();
        }
    }

    /// Loads the parts that this gate becomes home for and writes entries, until it is dropped.
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
            let numbers = view.held.keys().filter_map(journal_number);
            numbers.filter(|n| !partitions.contains_key(n)).collect()
        };
        for number in missing {
            let Some(epoch) = self.epoch(number) else {
                continue;
            };
            match self.load(number, epoch).await {
                Ok(partition) => drop(self.lock().insert(number, partition)),
                Err(error) => warn!("requests: part {number} of the record: {error:#}."),
            }
        }
    }

    /// Drops parts that have another home, and hands over those that this gate is to give up.
    ///
    /// A pause in which this gate may not act changes nothing: the epoch is still the same.
    fn hand_over(&self, view: &View) {
        let mut partitions = self.lock();
        partitions.retain(|number, partition| {
            let unit = Unit::Journal(*number);
            if view.held.get(&unit).map(|held| held.epoch) == Some(partition.epoch) {
                return true;
            }
            if self.cluster.may_act(&unit) != Some(partition.epoch) {
                return false;
            }
            partition.closing = true;
            if !partition.settled() {
                return true;
            }
            info!("requests: {unit} is handed over.");
            self.cluster.stopped(&unit);
            false
        });
    }

    /// Lets go of parts that this gate is to give up and has not loaded.
    fn release_unloaded(&self, view: &View) {
        let partitions = self.lock();
        for unit in view.holders.keys().filter(|u| !view.held.contains_key(*u)) {
            let absent = journal_number(unit).is_some_and(|n| !partitions.contains_key(&n));
            if absent && self.cluster.may_act(unit).is_some() {
                self.cluster.stopped(unit);
            }
        }
    }

    /// Reads a part after its ownership was taken, so that an earlier home cannot write any more.
    async fn load(&self, number: u16, epoch: Epoch) -> Result<Partition> {
        let unit = self.store.get(&partition::unit_key(number)).await?;
        let revision = u64::try_from(unit.revision)?;
        if revision != 0 && revision != epoch.0 {
            return Err(eyre!(
                "its unit record is of {revision}, not of epoch {epoch}"
            ));
        }
        let stored = self.store.range(&partition::prefix(number)).await?;
        let partition = Partition::restore(number, epoch, unit.revision, Millis(wall()), &stored)?;
        let count = partition.journal.len();
        info!("requests: home for part {number} of the record, {count} entries.");
        Ok(partition)
    }

    fn is_write_due(&self) -> bool {
        let now = Millis(wall());
        let partitions = self.lock();
        partitions
            .values()
            .any(|partition| partition.is_write_due(now, MARK_INTERVAL))
    }

    /// Writes what is new in all parts, in one transaction.
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
            Ok(Committed::Yes(_)) => self.confirm(&batch),
            Ok(Committed::No) => self.write_separately(&batch).await,
            Err(error) => {
                self.on_write_failed(&batch, &error);
                return false;
            }
        }
        true
    }

    fn collect(&self) -> Vec<PartitionWrite> {
        let now = Millis(wall());
        let mut partitions = self.lock();
        let partitions = partitions.values_mut();
        let due = partitions.filter(|partition| partition.is_write_due(now, MARK_INTERVAL));
        due.map(|partition| partition.collect(now)).collect()
    }

    /// Writes each part by itself after one of them turned out to have another home.
    async fn write_separately(&self, batch: &[PartitionWrite]) {
        for write in batch {
            let txn = Txn {
                when: vec![write.condition.clone()],
                writes: write.writes.clone(),
            };
            let batch = std::slice::from_ref(write);
            match self.store.commit(txn).await {
                Ok(Committed::Yes(_)) => self.confirm(batch),
                Ok(Committed::No) => self.drop_lost(batch[0].number),
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
        warn!("requests: writing the record: {error}.");
        let now = Millis(wall());
        let mut partitions = self.lock();
        for write in batch {
            let partition = partitions.get_mut(&write.number);
            if let Some(partition) = partition.filter(|partition| partition.epoch == write.epoch) {
                partition.journal.failed(now);
            }
        }
    }

    fn drop_lost(&self, number: u16) {
        warn!("requests: part {number} of the record has another home.");
        self.lock().remove(&number);
    }

    /// Writes the last entries of a gate that stops.
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
