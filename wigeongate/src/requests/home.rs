//! The parts of the record of non-idempotent requests that this gate is home for.
//!
//! Entries are written in groups: one transaction for all parts, compared against their unit
//! records, so that a gate that is home no longer cannot write.

mod part;

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

use self::part::{Part, Sent};
use super::Outcome;
use crate::clock::wall_ms;
use crate::cluster::{Cluster, View};
use crate::store::{Committed, Store, StoreError, Txn};

/// How far apart two group writes are at least.
const GROUP_EVERY: Duration = Duration::from_millis(40);

/// How often the mark is written without other entries.
const MARK_EVERY: Millis = Millis(2_500);

/// How long the next write waits after the store has failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// How often the ownership is looked at without being told of a change.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How long the last write of a stopping home may take.
const CLOSE_WAIT: Duration = Duration::from_secs(5);

/// What a home says to a request.
pub enum Begun {
    /// This gate is not home for the key, or not yet.
    NotHome,
    /// The verdict stands as it is.
    Decided(Verdict),
    /// Run it.
    Run(Turn),
    /// Wait for the end of the same request.
    Join(watch::Receiver<Option<Outcome>>),
}

/// The leave to run a request.
pub struct Turn {
    /// The part of its key.
    pub number: u16,
    /// The epoch of the home that gave it.
    pub epoch: Epoch,
    /// What has to be told first that the intent is in the store; `None` to run at once.
    pub recorded: Option<oneshot::Receiver<()>>,
}

/// The parts of the record that this gate is home for.
pub struct Home {
    store: Arc<dyn Store>,
    cluster: Arc<dyn Cluster>,
    parts: Mutex<HashMap<u16, Part>>,
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

impl Home {
    /// Starts without parts.
    pub fn new(store: Arc<dyn Store>, cluster: Arc<dyn Cluster>) -> Arc<Self> {
        Arc::new(Self {
            store,
            cluster,
            parts: Mutex::default(),
            changed: Notify::new(),
            closed: AtomicBool::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u16, Part>> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn epoch(&self, number: u16) -> Option<Epoch> {
        self.cluster.may_act(&Unit::Journal(number))
    }

    /// Decides about a request.
    pub fn begin(&self, number: u16, key: &Key, fingerprint: Fingerprint) -> Begun {
        let now = Millis(wall_ms());
        let mut parts = self.lock();
        let Some(part) = parts.get_mut(&number) else {
            return Begun::NotHome;
        };
        // The ownership is asked after the clock was read: a key that is new by that reading
        // was issued before any later home began.
        if part.closing || self.epoch(number) != Some(part.epoch) {
            return Begun::NotHome;
        }
        match part.journal.begin(now, key, fingerprint) {
            verdict @ (Verdict::Record | Verdict::Run) => {
                let recorded = part.record(key);
                self.changed.notify_one();
                Begun::Run(Turn {
                    number,
                    epoch: part.epoch,
                    recorded: (verdict == Verdict::Record).then_some(recorded),
                })
            }
            Verdict::Join => part
                .join(key)
                .map_or(Begun::Decided(Verdict::Unknown), Begun::Join),
            verdict => Begun::Decided(verdict),
        }
    }

    /// Records how a request ended and tells those that wait for it.
    ///
    /// A home of another epoch takes nothing: it may know more of the key.
    pub fn end(&self, number: u16, epoch: Epoch, key: &Key, outcome: &Outcome, state: State) {
        let mut parts = self.lock();
        let part = parts.get_mut(&number);
        if let Some(part) = part.filter(|part| part.epoch == epoch) {
            part.end(key, outcome, state);
            self.changed.notify_one();
        }
    }

    /// Loads the parts that this gate becomes home for and writes entries, until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut view = self.cluster.subscribe();
        let mut written = Instant::now();
        loop {
            self.take_ownership().await;
            let due = written + GROUP_EVERY;
            if self.wants_write() {
                tokio::time::sleep_until(due).await;
                let fine = self.write().await;
                let pause = if fine { Duration::ZERO } else { FAILED_PAUSE };
                written = Instant::now() + pause;
            }
            tokio::select! {
                () = self.changed.notified() => {}
                _ = view.changed() => {}
                () = sleep(LOOK_EVERY) => {}
            }
        }
    }

    async fn take_ownership(&self) {
        let view = self.cluster.view();
        self.release(&view);
        self.let_go(&view);
        if self.closed.load(Ordering::SeqCst) {
            return;
        }
        let missing: Vec<u16> = {
            let parts = self.lock();
            let numbers = view.held.keys().filter_map(journal_number);
            numbers.filter(|n| !parts.contains_key(n)).collect()
        };
        for number in missing {
            let Some(epoch) = self.epoch(number) else {
                continue;
            };
            match self.load(number, epoch).await {
                Ok(part) => drop(self.lock().insert(number, part)),
                Err(error) => warn!("requests: part {number} of the record: {error:#}."),
            }
        }
    }

    /// Drops parts that have another home, and hands over those that this gate is to give up.
    ///
    /// A pause in which this gate may not act changes nothing: the epoch is still the same.
    fn release(&self, view: &View) {
        let mut parts = self.lock();
        parts.retain(|number, part| {
            let unit = Unit::Journal(*number);
            if view.held.get(&unit).map(|held| held.epoch) == Some(part.epoch) {
                return true;
            }
            if self.cluster.may_act(&unit) != Some(part.epoch) {
                return false;
            }
            part.closing = true;
            if !part.settled() {
                return true;
            }
            info!("requests: {unit} is handed over.");
            self.cluster.stopped(&unit);
            false
        });
    }

    /// Lets go of parts that this gate is to give up and has not loaded.
    fn let_go(&self, view: &View) {
        let parts = self.lock();
        for unit in view.holders.keys().filter(|u| !view.held.contains_key(*u)) {
            let absent = journal_number(unit).is_some_and(|n| !parts.contains_key(&n));
            if absent && self.cluster.may_act(unit).is_some() {
                self.cluster.stopped(unit);
            }
        }
    }

    /// Reads a part after its ownership was taken, so that an earlier home cannot write any more.
    async fn load(&self, number: u16, epoch: Epoch) -> Result<Part> {
        let unit = self.store.get(&part::unit_key(number)).await?;
        let revision = u64::try_from(unit.revision)?;
        if revision != 0 && revision != epoch.0 {
            return Err(eyre!(
                "its unit record is of {revision}, not of epoch {epoch}"
            ));
        }
        let stored = self.store.range(&part::prefix(number)).await?;
        let part = Part::restore(number, epoch, unit.revision, Millis(wall_ms()), &stored)?;
        let count = part.journal.len();
        info!("requests: home for part {number} of the record, {count} entries.");
        Ok(part)
    }

    fn wants_write(&self) -> bool {
        let now = Millis(wall_ms());
        let parts = self.lock();
        parts.values().any(|part| part.wants_write(now, MARK_EVERY))
    }

    /// Writes what is new in all parts, in one transaction.
    ///
    /// Returns whether the store answered.
    async fn write(&self) -> bool {
        let sent = self.collect();
        if sent.is_empty() {
            return true;
        }
        let txn = Txn {
            when: sent.iter().map(|sent| sent.when.clone()).collect(),
            writes: sent.iter().flat_map(|sent| sent.writes.clone()).collect(),
        };
        match self.store.commit(txn).await {
            Ok(Committed::Yes(_)) => self.stored(&sent),
            Ok(Committed::No) => self.write_apart(&sent).await,
            Err(error) => {
                self.failed(&sent, &error);
                return false;
            }
        }
        true
    }

    fn collect(&self) -> Vec<Sent> {
        let now = Millis(wall_ms());
        let mut parts = self.lock();
        let parts = parts.values_mut();
        let due = parts.filter(|part| part.wants_write(now, MARK_EVERY));
        due.map(|part| part.collect(now)).collect()
    }

    /// Writes each part by itself after one of them turned out to have another home.
    async fn write_apart(&self, sent: &[Sent]) {
        for one in sent {
            let txn = Txn {
                when: vec![one.when.clone()],
                writes: one.writes.clone(),
            };
            let one = std::slice::from_ref(one);
            match self.store.commit(txn).await {
                Ok(Committed::Yes(_)) => self.stored(one),
                Ok(Committed::No) => self.lost(one[0].number),
                Err(error) => self.failed(one, &error),
            }
        }
    }

    fn stored(&self, sent: &[Sent]) {
        let mut parts = self.lock();
        for sent in sent {
            let part = parts.get_mut(&sent.number);
            if let Some(part) = part.filter(|part| part.epoch == sent.epoch) {
                part.stored(sent);
            }
        }
    }

    fn failed(&self, sent: &[Sent], error: &StoreError) {
        warn!("requests: writing the record: {error}.");
        let now = Millis(wall_ms());
        let mut parts = self.lock();
        for sent in sent {
            let part = parts.get_mut(&sent.number);
            if let Some(part) = part.filter(|part| part.epoch == sent.epoch) {
                part.journal.write_failed(now);
            }
        }
    }

    fn lost(&self, number: u16) {
        warn!("requests: part {number} of the record has another home.");
        self.lock().remove(&number);
    }

    /// Writes the last entries of a gate that stops.
    pub async fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let until = Instant::now() + CLOSE_WAIT;
        for part in self.lock().values_mut() {
            part.closing = true;
        }
        while !self.lock().values().all(Part::settled) && Instant::now() < until {
            self.write().await;
            sleep(GROUP_EVERY).await;
        }
        self.lock().clear();
    }
}
