//! Starts an owner for each pool that this gate holds and stops it when the pool is lost.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, interval};
use tokio_util::sync::CancellationToken;
use tracing::info;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, PoolId, Unit};
use xtra::prelude::*;

use super::{Configured, Elsewhere, Measure, Pool, PoolSettings, Stop, limits};
use crate::cluster::{Cluster, OwnedUnit, View};
use crate::jobs::Records;
use crate::live::{Configurations, LiveConfiguration};
use crate::message::jobs::PoolDigest;
use crate::metrics::Metrics;
use crate::slices::Slices;

/// How often pools are measured and told what runs elsewhere.
const MEASURE: Duration = Duration::from_secs(1);

/// What is added to the time after which a pool has settled.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// A pool that runs in this process.
pub(super) struct HeldPool {
    /// The pool.
    pub pool: PoolId,
    /// The epoch of the ownership.
    pub epoch: Epoch,
    /// Whether everything that the former owner may have started was seen or has ended.
    pub settled: bool,
}

/// The owner of a pool that runs in this process.
#[derive(Clone)]
struct Running {
    epoch: Epoch,
    /// When everything that the former owner may have started has been seen or has ended.
    settled: Instant,
    address: Address<Pool>,
}

/// The owners that run in this process.
pub struct Pools {
    cluster: Arc<dyn Cluster>,
    configurations: Arc<Configurations>,
    records: Records,
    slices: Arc<Slices>,
    task_lease: Duration,
    metrics: Metrics,
    running: Mutex<HashMap<PoolId, Running>>,
    digests: watch::Sender<Vec<PoolDigest>>,
}

impl Pools {
    /// Starts no owner yet.
    pub fn new(
        cluster: Arc<dyn Cluster>,
        configurations: Arc<Configurations>,
        records: Records,
        slices: Arc<Slices>,
        task_lease: Duration,
        metrics: Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            cluster,
            configurations,
            records,
            slices,
            task_lease,
            metrics,
            running: Mutex::default(),
            digests: watch::Sender::default(),
        })
    }

    /// Returns the owner of a pool, when it runs here.
    pub fn get(&self, pool: &PoolId) -> Option<Address<Pool>> {
        self.lock().get(pool).map(|running| running.address.clone())
    }

    /// Returns a receiver of what the pools have to tell the other gates.
    pub fn digests(&self) -> watch::Receiver<Vec<PoolDigest>> {
        self.digests.subscribe()
    }

    /// Follows the view and the configuration until `stop`.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut view = self.cluster.subscribe();
        let mut revision = self.configurations.subscribe();
        let mut book = self.slices.subscribe();
        let mut measure = interval(MEASURE);
        let first = view.borrow_and_update().clone();
        self.follow(&first).await;
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                changed = view.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let view = view.borrow_and_update().clone();
                    self.follow(&view).await;
                }
                changed = revision.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    revision.mark_unchanged();
                    self.configure().await;
                }
                changed = book.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    book.mark_unchanged();
                    self.slice_all().await;
                }
                _ = measure.tick() => self.measure().await,
            }
        }
        self.follow(&View::default()).await;
    }

    async fn follow(&self, view: &View) {
        let mut held: HashMap<PoolId, OwnedUnit> = HashMap::default();
        for (unit, one) in &view.owned {
            if let Unit::Pool(pool) = unit {
                held.insert(pool.clone(), *one);
            }
        }
        for (pool, running) in self.snapshot() {
            if held.get(&pool).map(|held| held.epoch) != Some(running.epoch) {
                self.stop(&pool, running, !held.contains_key(&pool)).await;
            }
        }
        let live = self.configurations.live();
        for (pool, held) in held {
            if self.get(&pool).is_none() {
                self.start(pool, held, &live).await;
            }
        }
    }

    async fn start(&self, pool: PoolId, held: OwnedUnit, live: &Arc<LiveConfiguration>) {
        info!("owner: pool {pool} is owned under epoch {}.", held.epoch);
        let settings = PoolSettings {
            pool: pool.clone(),
            held,
            task_lease: self.task_lease,
            metrics: self.metrics.clone(),
        };
        let address = Pool::start(
            settings,
            live.clone(),
            self.cluster.clone(),
            self.records.clone(),
        );
        let quiet = Duration::from(held.takeover_grace) + self.task_lease + SETTLE_MARGIN;
        let running = Running {
            epoch: held.epoch,
            settled: Instant::now() + quiet,
            address,
        };
        self.lock().insert(pool.clone(), running.clone());
        self.slice(&pool, &running).await;
        // A read that fails is made again with the next round of gifts.
        let slices = self.slices.clone();
        tokio::spawn(async move { slices.refresh().await });
    }

    /// Stops an owner; with `handover`, another gate may take the pool once it has ended.
    async fn stop(&self, pool: &PoolId, running: Running, handover: bool) {
        self.lock().remove(pool);
        // An owner that has ended already needs no word.
        let _ = running.address.send(Stop).await;
        running.address.join().await;
        info!("owner: pool {pool} is let go.");
        if handover {
            self.cluster.confirm_stopped(&Unit::Pool(pool.clone()));
        }
    }

    async fn configure(&self) {
        let live = self.configurations.live();
        for (pool, running) in self.snapshot() {
            let _ = running.address.send(Configured(live.clone())).await;
            self.slice(&pool, &running).await;
        }
    }

    async fn slice_all(&self) {
        for (pool, running) in self.snapshot() {
            self.slice(&pool, &running).await;
        }
    }

    async fn slice(&self, pool: &PoolId, running: &Running) {
        let policy = self.configurations.live().policy.clone();
        let slices = self.slices.usable(&policy, pool, running.epoch);
        let _ = running.address.send(super::Slices(Arc::new(slices))).await;
    }

    /// Returns the pools that run here, with their epochs and whether they have settled.
    pub(super) fn held(&self) -> Vec<HeldPool> {
        let now = Instant::now();
        let held = |(pool, running): (PoolId, Running)| HeldPool {
            pool,
            epoch: running.epoch,
            settled: running.settled <= now,
        };
        self.snapshot().into_iter().map(held).collect()
    }

    /// Tells a pool its slices anew and returns how it stands after that.
    pub(super) async fn reslice(&self, pool: &PoolId) -> Option<PoolDigest> {
        let running = self.lock().get(pool).cloned()?;
        self.slice(pool, &running).await;
        running.address.send(Measure).await.ok()
    }

    async fn measure(&self) {
        let mut digests = Vec::new();
        for (pool, running) in self.snapshot() {
            let elsewhere = limits::elsewhere(&self.cluster.digests(), &pool);
            let _ = running.address.send(Elsewhere(Arc::new(elsewhere))).await;
            digests.extend(running.address.send(Measure).await);
        }
        self.digests.send_replace(digests);
    }

    fn snapshot(&self) -> HashMap<PoolId, Running> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<PoolId, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
