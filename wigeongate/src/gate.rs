//! One gate: builds the parts that run in the daemon's process and runs them.

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
use crate::members::{Membership, MembershipSettings};
use crate::message::{Call, Digest, Reply};
use crate::metrics::Metrics;
use crate::owner::{PoolOwners, SliceBalancer};
use crate::requests::hosts::{HostSource, HttpHostSource};
use crate::requests::{RequestSettings, Requests};
use crate::serve::Server;
use crate::slices::Slices;
use crate::store::{Entry, Feed, FeedUpdate, Store};
use crate::tls::{self, Certificates};

/// The longest time between two digests of this gate's free request slots.
const LANE_PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// A gate whose sockets are bound and that does not serve callers yet.
pub struct Gate {
    shared: Arc<Shared>,
    server: Server,
    pools: Arc<PoolOwners>,
    slices: Arc<Slices>,
    feed: Arc<Feed>,
    certificates: Option<Arc<Certificates>>,
}

impl Gate {
    /// Binds the sockets and joins the other gates; callers are served once [`Gate::run`] starts.
    ///
    /// Fails if a certificate cannot be loaded, a socket cannot be opened or the gate cannot start
    /// its membership.
    pub async fn bind(settings: Settings) -> Result<Self> {
        let certificates = settings.tls.as_ref().map(Certificates::load).transpose()?;
        Self::bind_with_certificates(settings, certificates).await
    }

    /// Prepares a gate like [`Gate::bind`], with these certificates for callers; without any it
    /// serves them plain HTTP.
    pub async fn bind_with_certificates(
        settings: Settings,
        certificates: Option<Arc<Certificates>>,
    ) -> Result<Self> {
        let metrics = match &settings.metrics {
            Some(sink) => Metrics::new(sink, settings.gate.as_str())?,
            None => Metrics::default(),
        };
        let store: Arc<dyn Store> = Arc::new(Etcd::new(&settings.store));
        let server = Server::bind(settings.listen, settings.bounds.clone())
            .await?
            .with_tls(certificates.as_deref())?
            .with_metrics(metrics.clone());
        let feed = Feed::start(store.clone());
        let configurations = Configurations::new(store.clone());
        if settings.loopback {
            configurations.use_loopback();
        }
        let call_handler = Arc::new(CallHandler::default());
        let members = Membership::start(
            MembershipSettings::from_settings(&settings)?,
            store.clone(),
            &feed,
            configurations.clone(),
            call_handler.clone(),
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
        call_handler.set_shared(shared.clone());
        Ok(Self {
            shared,
            server,
            pools,
            slices,
            feed,
            certificates,
        })
    }

    /// Returns the address on which callers and operators are served.
    ///
    /// Fails if the operating system does not report the socket's address.
    pub fn address(&self) -> Result<SocketAddr> {
        self.server.address()
    }

    /// Serves until `stop` is cancelled, then shuts down gracefully.
    ///
    /// The shutdown drains requests within the drain timeout, then hands the gate's units over to
    /// the other gates. Fails if the SIGHUP handler cannot be installed, the socket's address
    /// cannot be read or the task that runs the pools panics.
    pub async fn run(self, stop: CancellationToken) -> Result<()> {
        let Self {
            shared,
            server,
            pools,
            slices,
            feed,
            certificates,
        } = self;
        if let Some(certificates) = certificates {
            tls::reload_on_change(certificates, stop.clone())?;
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
        let tasks = [
            tokio::spawn(watch_configuration(
                shared.clone(),
                feed.subscribe(CONFIGURATION_KEY),
            )),
            tokio::spawn(mark_ready_when_configured(shared.clone())),
            tokio::spawn(publish_digests(shared.clone(), pools.clone())),
            tokio::spawn(move_jobs(shared.clone())),
            tokio::spawn(balancer.run()),
        ];
        let owners_stop = CancellationToken::new();
        let owner_task = tokio::spawn(pools.run(owners_stop.clone()));
        let withdraw = || {
            shared.stopping.store(true, Ordering::SeqCst);
            shared.jobs.stop_waits();
        };
        let requests = shared.requests.start();
        let drain = Duration::from_millis(shared.settings.bounds.drain_ms);
        server.run(routes(shared.clone()), stop, withdraw).await;
        shared.requests.drain(drain).await;
        // The drain has ended, so the units of this gate can go to the other gates.
        shared.members.leave().await;
        owners_stop.cancel();
        owner_task.await?;
        drop(requests);
        for task in tasks {
            task.abort();
        }
        info!("gate: stopped.");
        Ok(())
    }
}

fn host_list(endpoint: &str) -> Arc<dyn HostSource> {
    Arc::new(HttpHostSource::new(client(), endpoint))
}

/// Handles calls from other gates; refuses them until all parts of the gate exist.
#[derive(Default)]
struct CallHandler(OnceLock<Arc<Shared>>);

impl CallHandler {
    fn set_shared(&self, shared: Arc<Shared>) {
        // `set` fails only on a second call, and `bind_with_certificates` calls this once.
        let _ = self.0.set(shared);
    }
}

impl Serve for CallHandler {
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

/// Puts each configuration that is read from the store in force.
///
/// The first report of the store makes the gate ready, also if it holds no configuration.
async fn watch_configuration(shared: Arc<Shared>, mut feed: UnboundedReceiver<FeedUpdate>) {
    while let Some(fed) = feed.recv().await {
        match fed {
            FeedUpdate::Snapshot(snapshot) => offer_configurations(&shared, &snapshot.entries),
            FeedUpdate::Changes(changes) => {
                let entries: Vec<Entry> = changes.into_iter().map(|change| change.entry).collect();
                offer_configurations(&shared, &entries);
            }
        }
        mark_ready(&shared);
    }
}

fn offer_configurations(shared: &Shared, entries: &[Entry]) {
    let is_configuration = |entry: &&Entry| entry.key == CONFIGURATION_KEY;
    for entry in entries.iter().filter(is_configuration) {
        match decode(entry) {
            Ok(configuration) => drop(shared.configurations.apply_newer(configuration)),
            Err(error) => warn!("gate: {error}; the current configuration stays in force."),
        }
    }
}

fn mark_ready(shared: &Shared) {
    if !shared.ready.swap(true, Ordering::SeqCst) {
        info!("gate: ready.");
    }
}

/// Publishes the digests of this gate's pools and request lanes to the other gates.
async fn publish_digests(shared: Arc<Shared>, pools: Arc<PoolOwners>) {
    let mut digests = pools.digests();
    // Lanes send no notification of a change, so their digest is also read on each timeout.
    while !matches!(
        timeout(LANE_PUBLISH_INTERVAL, digests.changed()).await,
        Ok(Err(_))
    ) {
        let pools = digests.borrow_and_update().clone();
        shared.members.publish(Digest {
            pools,
            lanes: shared.requests.digest(),
        });
    }
}

/// Moves jobs that have waited too long in a pool of this gate.
async fn move_jobs(shared: Arc<Shared>) {
    shared.jobs.run_moves().await;
}

/// Marks the gate ready once a configuration from the store is in force.
async fn mark_ready_when_configured(shared: Arc<Shared>) {
    let mut revision = shared.configurations.subscribe();
    loop {
        let live = shared.configurations.live();
        if live.configuration.revision > Revision::default() {
            mark_ready(&shared);
        }
        if revision.changed().await.is_err() {
            return;
        }
    }
}
