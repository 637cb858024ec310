//! Forwarding of short requests to backend servers.
//!
//! docs/design/routing.md, overload.md and at-most-once.md give the reasons.

pub mod dispatch;
pub mod hosts;
pub mod idempotency;
pub mod journal;
pub mod lanes;
pub mod memory;
mod peers;
pub mod request;
mod servers;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tracing::info;
use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::{BackendId, GateId, QueueId, ZoneId};
use wigeongate_core::routing::Routing;
use wigeongate_core::time::Millis;

use self::hosts::{HostHistory, HostSource};
use self::journal::Journals;
use self::lanes::Lanes;
use self::memory::BodyMemory;
pub use self::request::{Outcome, QueueRequest};
use crate::backend::{BackendClient, HttpSettings};
use crate::cluster::Cluster;
use crate::live::Configurations;
use crate::message::requests::{ErrorKind, Keyed, LaneDigest, RequestCall, RequestReply};
use crate::metrics::Metrics;
use crate::store::Store;

/// How often a draining gate looks whether anything is in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the request path needs of the gate.
pub struct RequestSettings {
    /// This gate.
    pub gate: GateId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Bounds on the use of one backend server.
    pub backend: HttpSettings,
    /// The other gates, and what each owns.
    pub cluster: Arc<dyn Cluster>,
    /// The configuration in force.
    pub configurations: Arc<Configurations>,
    /// The store, for the record of non-idempotent requests.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts, if it is read.
    pub hosts: Option<Arc<dyn HostSource>>,
    /// Where metrics go.
    pub metrics: Metrics,
}

/// Chooses backend servers and sends requests to them.
pub struct Requests {
    settings: RequestSettings,
    lanes: Arc<Lanes>,
    clients: ArcSwap<HashMap<BackendId, Arc<dyn BackendClient>>>,
    journals: Arc<Journals>,
    hosts: HostHistory,
    memory: Arc<BodyMemory>,
    sent_counts: peers::SentCounts,
    /// Where each backend server listens, and how many connections it takes.
    addresses: Mutex<HashMap<BackendId, (SocketAddr, u32)>>,
    /// The queues that each lane serves.
    lane_queues: ArcSwap<HashMap<u16, ServedQueues>>,
    /// Wakes what asks the backend servers how they stand.
    poll_status: Notify,
    draining: AtomicBool,
    in_flight: AtomicUsize,
}

/// The queues that the backend servers of a lane serve.
#[derive(Debug, Default)]
struct ServedQueues {
    /// Whether some server serves every queue.
    all: bool,
    named: HashSet<QueueId>,
}

impl ServedQueues {
    fn includes(&self, queue: &QueueId) -> bool {
        self.all || self.named.contains(queue)
    }

    fn add(&mut self, queues: &[QueueId]) {
        self.all |= queues.is_empty();
        self.named.extend(queues.iter().cloned());
    }
}

/// Counts a request while it is handled.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The tasks of the request path; they end when it is dropped.
#[derive(Debug)]
pub struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

impl Requests {
    /// Makes the request path; it does nothing before `start`.
    pub fn new(settings: RequestSettings) -> Arc<Self> {
        let journals = Journals::new(settings.store.clone(), settings.cluster.clone());
        Arc::new(Self {
            lanes: Lanes::new(Routing::new(settings.zone.clone())),
            clients: ArcSwap::default(),
            journals,
            hosts: HostHistory::default(),
            memory: Arc::default(),
            sent_counts: peers::SentCounts::default(),
            addresses: Mutex::default(),
            lane_queues: ArcSwap::default(),
            poll_status: Notify::new(),
            draining: AtomicBool::default(),
            in_flight: AtomicUsize::default(),
            settings,
        })
    }

    /// Follows the configuration and the ownership until the result is dropped.
    pub fn start(self: &Arc<Self>) -> Tasks {
        let follow = tokio::spawn(servers::follow(self.clone()));
        let status = tokio::spawn(servers::poll_status(self.clone()));
        let journals = tokio::spawn(self.journals.clone().run());
        let hosts = tokio::spawn(servers::read_hosts(self.clone()));
        Tasks(vec![follow, status, journals, hosts])
    }

    /// Reads the clock that deadlines are counted on.
    pub fn now(&self) -> Millis {
        self.lanes.now()
    }

    /// Returns where metrics go.
    pub const fn metrics(&self) -> &Metrics {
        &self.settings.metrics
    }

    /// Returns the memory that bodies of callers may take.
    pub const fn memory(&self) -> &Arc<BodyMemory> {
        &self.memory
    }

    /// Returns what the lanes have to tell the other gates.
    pub fn digest(&self) -> Vec<LaneDigest> {
        self.lanes.digest()
    }

    /// Runs a request of a caller; with an idempotency key at most once for it.
    pub async fn handle(
        self: &Arc<Self>,
        request: QueueRequest,
        idempotency: Option<String>,
    ) -> Outcome {
        let _guard = InFlightGuard::new(&self.in_flight);
        match idempotency {
            Some(key) if !request.idempotent => self.run_keyed(request, key).await,
            _ => self.dispatch(&request).await,
        }
    }

    /// Carries out the call of another gate.
    pub async fn serve(self: &Arc<Self>, call: RequestCall) -> RequestReply {
        if self.draining.load(Ordering::SeqCst) {
            let error = ErrorKind::Elsewhere.with_detail("the gate is stopping");
            return request::to_reply(Err(error));
        }
        let _guard = InFlightGuard::new(&self.in_flight);
        let outcome = match call {
            RequestCall::Run(forwarded) => self.run_forwarded(forwarded).await,
            RequestCall::Once(Keyed {
                request,
                idempotency,
            }) => match self.admit_forwarded(request) {
                Ok(request) => self.run_at_most_once(request, idempotency).await,
                Err(error) => Err(error),
            },
        };
        request::to_reply(outcome)
    }

    /// Refuses the calls of other gates, waits for what is in flight and writes the record.
    ///
    /// Lanes and parts of the record go to other gates as soon as the cluster asks for them.
    pub async fn drain(&self, within: Duration) {
        self.draining.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + within;
        while self.in_flight.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let left = self.in_flight.load(Ordering::SeqCst);
        info!("requests: drained, {left} left in flight.");
        self.journals.close().await;
    }
}
