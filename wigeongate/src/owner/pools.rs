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

use super::{
    ConfigurationChanged, GetDigest, OtherPoolUsage, OwnerSettings, PoolOwner, Stop, limits,
};
use crate::cluster::{Cluster, Held, View};
use crate::jobs::RecordReader;
use crate::live::{Configurations, Live};
use crate::message::jobs::PoolDigest;
use crate::metrics::Metrics;
use crate::slices::Slices;

/// How often pools are measured and told what runs elsewhere.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

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
struct RunningOwner {
    epoch: Epoch,
    /// When everything that the former owner may have started has been seen or has ended.
    settled: Instant,
    address: Address<PoolOwner>,
}

/// The owners that run in this process.
pub struct PoolOwners {
    cluster: Arc<dyn Cluster>,
    configurations: Arc<Configurations>,
    records: RecordReader,
    slices: Arc<Slices>,
    task_lease: Duration,
    metrics: Metrics,
    running: Mutex<HashMap<PoolId, RunningOwner>>,
    digests: watch::Sender<Vec<PoolDigest>>,
}

impl PoolOwners {
    /// Starts no owner yet.
    pub fn new(
        cluster: Arc<dyn Cluster>,
        configurations: Arc<Configurations>,
        records: RecordReader,
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
    pub fn get(&self, pool: &PoolId) -> Option<Address<PoolOwner>> {
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
        let mut slices = self.slices.subscribe();
        let mut ticks = interval(DIGEST_INTERVAL);
        let first = view.borrow_and_update().clone();
        self.reconcile(&first).await;
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                changed = view.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let view = view.borrow_and_update().clone();
                    self.reconcile(&view).await;
                }
                changed = revision.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    revision.mark_unchanged();
                    self.configure().await;
                }
                changed = slices.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    slices.mark_unchanged();
                    self.send_all_slices().await;
                }
                _ = ticks.tick() => self.refresh_digests().await,
            }
        }
        self.reconcile(&View::default()).await;
    }

    async fn reconcile(&self, view: &View) {
        let mut held: HashMap<PoolId, Held> = HashMap::default();
        for (unit, one) in &view.held {
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

    async fn start(&self, pool: PoolId, held: Held, live: &Arc<Live>) {
        info!("owner: pool {pool} is owned under epoch {}.", held.epoch);
        let settings = OwnerSettings {
            pool: pool.clone(),
            held,
            task_lease: self.task_lease,
            metrics: self.metrics.clone(),
        };
        let address = PoolOwner::start(
            settings,
            live.clone(),
            self.cluster.clone(),
            self.records.clone(),
        );
        let settle_time = Duration::from(held.quiet) + self.task_lease + SETTLE_MARGIN;
        let running = RunningOwner {
            epoch: held.epoch,
            settled: Instant::now() + settle_time,
            address,
        };
        self.lock().insert(pool.clone(), running.clone());
        self.send_slices(&pool, &running).await;
        // A read that fails is made again with the next round of gifts.
        let slices = self.slices.clone();
        tokio::spawn(async move { slices.refresh().await });
    }

    /// Stops an owner; with `handover`, another gate may take the pool once it has ended.
    async fn stop(&self, pool: &PoolId, running: RunningOwner, handover: bool) {
        self.lock().remove(pool);
        // An owner that has ended already needs no word.
        let _ = running.address.send(Stop).await;
        running.address.join().await;
        info!("owner: pool {pool} is let go.");
        if handover {
            self.cluster.stopped(&Unit::Pool(pool.clone()));
        }
    }

    async fn configure(&self) {
        let live = self.configurations.live();
        for (pool, running) in self.snapshot() {
            let _ = running
                .address
                .send(ConfigurationChanged(live.clone()))
                .await;
            self.send_slices(&pool, &running).await;
        }
    }

    async fn send_all_slices(&self) {
        for (pool, running) in self.snapshot() {
            self.send_slices(&pool, &running).await;
        }
    }

    async fn send_slices(&self, pool: &PoolId, running: &RunningOwner) {
        let policy = self.configurations.live().policy.clone();
        let slices = self.slices.usable(&policy, pool, running.epoch);
        let _ = running
            .address
            .send(super::TeamSlices(Arc::new(slices)))
            .await;
    }

    /// Returns the pools that run here, with their epochs and whether they have settled.
    pub(super) fn held(&self) -> Vec<HeldPool> {
        let now = Instant::now();
        let held = |(pool, running): (PoolId, RunningOwner)| HeldPool {
            pool,
            epoch: running.epoch,
            settled: running.settled <= now,
        };
        self.snapshot().into_iter().map(held).collect()
    }

    /// Tells a pool its slices anew and returns how it stands after that.
    pub(super) async fn resend_slices(&self, pool: &PoolId) -> Option<PoolDigest> {
        let running = self.lock().get(pool).cloned()?;
        self.send_slices(pool, &running).await;
        running.address.send(GetDigest).await.ok()
    }

    async fn refresh_digests(&self) {
        let mut digests = Vec::new();
        for (pool, running) in self.snapshot() {
            let usage = limits::other_pool_usage(&self.cluster.digests(), &pool);
            let _ = running.address.send(OtherPoolUsage(Arc::new(usage))).await;
            digests.extend(running.address.send(GetDigest).await);
        }
        self.digests.send_replace(digests);
    }

    fn snapshot(&self) -> HashMap<PoolId, RunningOwner> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<PoolId, RunningOwner>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
