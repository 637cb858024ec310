//! Starts the owner of each pool that this gate owns, and stops it when the pool is lost.

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
use crate::cluster::{Cluster, OwnedUnit, View};
use crate::jobs::RecordReader;
use crate::live::{Configurations, LiveConfiguration};
use crate::message::jobs::PoolDigest;
use crate::metrics::Metrics;
use crate::slices::Slices;

/// The interval at which pools get the teams' usage in other pools and publish their digests.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// The time added before a pool counts as settled.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// A pool whose owner runs in this process.
pub(super) struct HeldPool {
    /// The pool.
    pub pool: PoolId,
    /// The epoch of the ownership.
    pub epoch: Epoch,
    /// Whether every task that the former owner may have started was reported or has ended.
    pub settled: bool,
}

/// The owner of one pool, running in this process.
#[derive(Clone)]
struct RunningOwner {
    epoch: Epoch,
    /// The time by which every task that the former owner may have started was reported or has
    /// ended.
    settled: Instant,
    address: Address<PoolOwner>,
}

/// The owners of pools that run in this process.
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
    /// Creates an empty set; [`Self::run`] starts the owners.
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

    /// Returns the owner of a pool, if it runs in this process.
    pub fn get(&self, pool: &PoolId) -> Option<Address<PoolOwner>> {
        self.lock().get(pool).map(|running| running.address.clone())
    }

    /// Returns a receiver of the pools' digests for the other gates.
    pub fn digests(&self) -> watch::Receiver<Vec<PoolDigest>> {
        self.digests.subscribe()
    }

    /// Follows the cluster's view, the configuration and the slices until `stop`, then stops every
    /// owner.
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

    /// Stops the owners of pools that this gate has lost and starts those of pools that it owns.
    async fn reconcile(&self, view: &View) {
        let mut owned_pools: HashMap<PoolId, OwnedUnit> = HashMap::default();
        for (unit, owned) in &view.owned {
            if let Unit::Pool(pool) = unit {
                owned_pools.insert(pool.clone(), *owned);
            }
        }
        for (pool, running) in self.snapshot() {
            if owned_pools.get(&pool).map(|unit| unit.epoch) != Some(running.epoch) {
                self.stop(&pool, running, !owned_pools.contains_key(&pool))
                    .await;
            }
        }
        let live = self.configurations.live();
        for (pool, owned) in owned_pools {
            if self.get(&pool).is_none() {
                self.start(pool, owned, &live).await;
            }
        }
    }

    async fn start(&self, pool: PoolId, owned: OwnedUnit, live: &Arc<LiveConfiguration>) {
        info!(
            "owner: this gate owns pool {pool} under epoch {}; its owner starts.",
            owned.epoch
        );
        let settings = OwnerSettings {
            pool: pool.clone(),
            owned,
            task_lease: self.task_lease,
            metrics: self.metrics.clone(),
        };
        let address = PoolOwner::start(
            settings,
            live.clone(),
            self.cluster.clone(),
            self.records.clone(),
        );
        let settle_time = Duration::from(owned.takeover_grace) + self.task_lease + SETTLE_MARGIN;
        let running = RunningOwner {
            epoch: owned.epoch,
            settled: Instant::now() + settle_time,
            address,
        };
        self.lock().insert(pool.clone(), running.clone());
        self.send_slices(&pool, &running).await;
        // The next balancing round repeats a read that fails.
        let slices = self.slices.clone();
        tokio::spawn(async move { slices.refresh().await });
    }

    /// Stops an owner. With `handover`, another gate may take over the pool afterwards.
    async fn stop(&self, pool: &PoolId, running: RunningOwner, handover: bool) {
        self.lock().remove(pool);
        // An owner that has already stopped can be ignored.
        let _ = running.address.send(Stop).await;
        running.address.join().await;
        info!("owner: the owner of pool {pool} has stopped.");
        if handover {
            self.cluster.confirm_stopped(&Unit::Pool(pool.clone()));
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

    /// Sends a pool's owner the slices that it may use.
    async fn send_slices(&self, pool: &PoolId, running: &RunningOwner) {
        let policy = self.configurations.live().policy.clone();
        let slices = self.slices.usable(&policy, pool, running.epoch);
        let _ = running
            .address
            .send(super::TeamSlices(Arc::new(slices)))
            .await;
    }

    /// Returns the pools whose owners run in this process.
    pub(super) fn held(&self) -> Vec<HeldPool> {
        let now = Instant::now();
        let held = |(pool, running): (PoolId, RunningOwner)| HeldPool {
            pool,
            epoch: running.epoch,
            settled: running.settled <= now,
        };
        self.snapshot().into_iter().map(held).collect()
    }

    /// Sends a pool's owner its slices again and returns the pool's digest after that.
    pub(super) async fn resend_slices(&self, pool: &PoolId) -> Option<PoolDigest> {
        let running = self.lock().get(pool).cloned()?;
        self.send_slices(pool, &running).await;
        running.address.send(GetDigest).await.ok()
    }

    /// Sends each owner the teams' usage in other pools, then collects and publishes its digest.
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
