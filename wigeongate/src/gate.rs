//! One gate: everything that runs in the daemon's process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use eyre::Result;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};
use wigeongate_config::settings::Settings;
use wigeongate_core::ids::{GateId, Revision};

use crate::backend::HttpSettings;
use crate::client::client;
use crate::cluster::{Cluster, Serve};
use crate::etcd::Etcd;
use crate::http::{Shared, routes};
use crate::jobs::{JobDispatcher, RecordReader};
use crate::live::{CONFIGURATION_KEY, Configurations, decode};
use crate::members::{Members, MembersSettings};
use crate::message::{Call, Digest, Reply};
use crate::metrics::Metrics;
use crate::owner::{PoolOwners, SliceBalancer};
use crate::requests::hosts::{Hosts, HttpHosts};
use crate::requests::{RequestSettings, Requests};
use crate::serve::Server;
use crate::slices::Slices;
use crate::store::{Entry, Fed, Feed, Store};
use crate::tls::{self, Certificates};

/// How often the other gates are told of free slots.
const LANES_EVERY: Duration = Duration::from_millis(200);

/// A gate that is about to run.
pub struct Gate {
    shared: Arc<Shared>,
    server: Server,
    pools: Arc<PoolOwners>,
    slices: Arc<Slices>,
    feed: Arc<Feed>,
    tls: Option<Arc<Certificates>>,
}

impl Gate {
    /// Prepares a gate: its sockets listen and it joins the others; callers are not served yet.
    pub async fn bind(settings: Settings) -> Result<Self> {
        let tls = settings.tls.as_ref().map(Certificates::load).transpose()?;
        Self::bind_with(settings, tls).await
    }

    /// Prepares a gate with certificates that were made in this process.
    pub async fn bind_with(settings: Settings, tls: Option<Arc<Certificates>>) -> Result<Self> {
        let metrics = match &settings.metrics {
            Some(sink) => Metrics::new(sink, settings.gate.as_str())?,
            None => Metrics::default(),
        };
        let store: Arc<dyn Store> = Arc::new(Etcd::new(&settings.store));
        let server = Server::bind(settings.listen, settings.bounds.clone())
            .await?
            .with_tls(tls.as_deref())?
            .with_metrics(metrics.clone());
        let feed = Feed::start(store.clone());
        let configurations = Configurations::new(store.clone());
        if settings.loopback {
            configurations.use_loopback();
        }
        let calls = Arc::new(Calls::default());
        let members = Members::start(
            MembersSettings::of(&settings)?,
            store.clone(),
            &feed,
            configurations.clone(),
            calls.clone(),
        )?;
        let requests = Requests::new(RequestSettings {
            gate: settings.gate.clone(),
            zone: settings.zone.clone(),
            backend: HttpSettings::default(),
            cluster: members.clone(),
            configurations: configurations.clone(),
            store: store.clone(),
            hosts: settings.hosts.as_deref().map(host_list),
            metrics: metrics.clone(),
        });
        let slices = Slices::start(store.clone(), &feed);
        let records = RecordReader::new(store);
        let pools = PoolOwners::new(
            members.clone(),
            configurations.clone(),
            records.clone(),
            slices.clone(),
            Duration::from_millis(settings.leases.task_ms),
            metrics.clone(),
        );
        let jobs = JobDispatcher::new(
            settings.gate.clone(),
            members.clone(),
            configurations.clone(),
            pools.clone(),
            records,
            slices.clone(),
        );
        let shared = Arc::new(Shared {
            settings,
            configurations,
            members,
            jobs,
            requests,
            metrics,
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        });
        calls.open(shared.clone());
        Ok(Self {
            shared,
            server,
            pools,
            slices,
            feed,
            tls,
        })
    }

    /// Returns where it listens for callers and operators.
    pub fn address(&self) -> Result<SocketAddr> {
        self.server.address()
    }

    /// Runs until `stop`, then shuts down gracefully.
    pub async fn run(self, stop: CancellationToken) -> Result<()> {
        let Self {
            shared,
            server,
            pools,
            slices,
            feed,
            tls,
        } = self;
        if let Some(certificates) = tls {
            tls::follow(certificates, stop.clone())?;
        }
        info!(
            "gate: {} listens on {}.",
            shared.settings.gate,
            server.address()?
        );
        let balancer = SliceBalancer {
            pools: pools.clone(),
            slices,
            cluster: shared.members.clone(),
            configurations: shared.configurations.clone(),
        };
        let parts = [
            tokio::spawn(follow(shared.clone(), feed.subscribe(CONFIGURATION_KEY))),
            tokio::spawn(apply(shared.clone())),
            tokio::spawn(publish(shared.clone(), pools.clone())),
            tokio::spawn(move_jobs(shared.clone())),
            tokio::spawn(balancer.run()),
        ];
        let ended = CancellationToken::new();
        let owners = tokio::spawn(pools.run(ended.clone()));
        let withdraw = || {
            shared.stopping.store(true, Ordering::SeqCst);
            shared.jobs.stop_waits();
        };
        let requests = shared.requests.start();
        let drain = Duration::from_millis(shared.settings.bounds.drain_ms);
        server.run(routes(shared.clone()), stop, withdraw).await;
        shared.requests.drain(drain).await;
        // Nothing is in flight any longer: what this gate owns goes to the others.
        shared.members.leave().await;
        ended.cancel();
        owners.await?;
        drop(requests);
        for part in parts {
            part.abort();
        }
        info!("gate: stopped.");
        Ok(())
    }
}

fn host_list(endpoint: &str) -> Arc<dyn Hosts> {
    Arc::new(HttpHosts::new(client(), endpoint))
}

/// Answers the calls of other gates once every part is there.
#[derive(Default)]
struct Calls(OnceLock<Arc<Shared>>);

impl Calls {
    fn open(&self, shared: Arc<Shared>) {
        // It is opened once, right after it was made.
        let _ = self.0.set(shared);
    }
}

impl Serve for Calls {
    fn serve(&self, _: GateId, call: Call) -> BoxFuture<'_, Reply> {
        async move {
            let Some(shared) = self.0.get() else {
                return Reply::NotDone("the gate is starting".to_owned());
            };
            match call {
                Call::Job(call) => Reply::Job(shared.jobs.serve(call).await),
                Call::Request(call) => Reply::Request(shared.requests.serve(call).await),
            }
        }
        .boxed()
    }
}

/// Puts each configuration of the store in force.
async fn follow(shared: Arc<Shared>, mut fed: UnboundedReceiver<Fed>) {
    while let Some(fed) = fed.recv().await {
        match fed {
            Fed::Snapshot(snapshot) => offer(&shared, &snapshot.entries),
            Fed::Changes(changes) => {
                let entries: Vec<Entry> = changes.into_iter().map(|change| change.entry).collect();
                offer(&shared, &entries);
            }
        }
        known(&shared);
    }
}

fn offer(shared: &Shared, entries: &[Entry]) {
    let ours = |entry: &&Entry| entry.key == CONFIGURATION_KEY;
    for entry in entries.iter().filter(ours) {
        match decode(entry) {
            Ok(configuration) => drop(shared.configurations.offer(configuration)),
            Err(error) => warn!("gate: {error}."),
        }
    }
}

fn known(shared: &Shared) {
    if !shared.ready.swap(true, Ordering::SeqCst) {
        info!("gate: ready.");
    }
}

/// Tells the other gates what this one's parts have to say.
async fn publish(shared: Arc<Shared>, pools: Arc<PoolOwners>) {
    let mut digests = pools.digests();
    // The lanes tell of no change by themselves, so they are looked at in between.
    while !matches!(timeout(LANES_EVERY, digests.changed()).await, Ok(Err(_))) {
        let pools = digests.borrow_and_update().clone();
        shared.members.publish(Digest {
            pools,
            lanes: shared.requests.digest(),
        });
    }
}

/// Moves jobs that wait too long.
async fn move_jobs(shared: Arc<Shared>) {
    shared.jobs.run_moves().await;
}

/// Hands each configuration that comes into force to the parts.
async fn apply(shared: Arc<Shared>) {
    let mut revision = shared.configurations.subscribe();
    loop {
        let live = shared.configurations.live();
        if live.configuration.revision > Revision::default() {
            known(&shared);
        }
        if revision.changed().await.is_err() {
            return;
        }
    }
}
