//! The request path: forwards requests of callers to backend servers.
//!
//! The reasons for its design are in docs/design: routing.md, overload.md and at-most-once.md.

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
use crate::message::requests::{
    ErrorKind, IdempotentRequest, LaneDigest, RequestCall, RequestReply,
};
use crate::metrics::Metrics;
use crate::store::Store;

/// How often a draining gate checks whether any request is in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The settings and dependencies of the request path.
pub struct RequestSettings {
    /// The name of this gate.
    pub gate: GateId,
    /// The availability zone of this gate.
    pub zone: ZoneId,
    /// Limits of the client of one backend server.
    pub backend: HttpSettings,
    /// The membership of the cluster and the units that each gate owns.
    pub cluster: Arc<dyn Cluster>,
    /// The configuration in force.
    pub configurations: Arc<Configurations>,
    /// The store of the journal of non-idempotent requests.
    pub store: Arc<dyn Store>,
    /// The source of the platform's list of hosts; `None` if the list is not used.
    pub hosts: Option<Arc<dyn HostSource>>,
    /// The metrics of this gate.
    pub metrics: Metrics,
}

/// Chooses backend servers and sends requests to them, directly or through other gates.
pub struct Requests {
    settings: RequestSettings,
    lanes: Arc<Lanes>,
    clients: ArcSwap<HashMap<BackendId, Arc<dyn BackendClient>>>,
    journals: Arc<Journals>,
    hosts: HostHistory,
    memory: Arc<BodyMemory>,
    sent_counts: peers::SentCounts,
    /// The address and the number of allowed connections of each backend server.
    addresses: Mutex<HashMap<BackendId, (SocketAddr, u32)>>,
    /// The queues that the backend servers of each lane serve.
    lane_queues: ArcSwap<HashMap<u16, ServedQueues>>,
    /// Wakes the task that polls the status of the backend servers.
    poll_status: Notify,
    draining: AtomicBool,
    in_flight: AtomicUsize,
}

/// The queues that the backend servers of a lane serve.
#[derive(Debug, Default)]
struct ServedQueues {
    /// Whether some server of the lane serves every queue.
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

/// Counts a request as in flight until it is dropped.
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

/// The background tasks of the request path, aborted on drop.
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
    /// Creates the request path; its background tasks run only after `start`.
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

    /// Starts the background tasks, which run until the result is dropped.
    ///
    /// They follow the configuration and the ownership, poll backend servers, write the journal
    /// and read the list of hosts.
    pub fn start(self: &Arc<Self>) -> Tasks {
        let follow = tokio::spawn(servers::follow(self.clone()));
        let status = tokio::spawn(servers::poll_status(self.clone()));
        let journals = tokio::spawn(self.journals.clone().run());
        let hosts = tokio::spawn(servers::read_hosts(self.clone()));
        Tasks(vec![follow, status, journals, hosts])
    }

    /// Returns the time of the monotonic clock that deadlines refer to, in milliseconds.
    pub fn now(&self) -> Millis {
        self.lanes.now()
    }

    /// Returns the metrics of this gate.
    pub const fn metrics(&self) -> &Metrics {
        &self.settings.metrics
    }

    /// Returns the account of the memory used by request bodies.
    pub const fn memory(&self) -> &Arc<BodyMemory> {
        &self.memory
    }

    /// Returns the capacity and load of each owned lane, as published to the other gates.
    pub fn digest(&self) -> Vec<LaneDigest> {
        self.lanes.digest()
    }

    /// Runs a request of a caller.
    ///
    /// A non-idempotent request with an idempotency key runs at most once for that key. The error
    /// says whether the request may have run.
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

    /// Serves a call of another gate; refuses it while this gate drains.
    pub async fn serve(self: &Arc<Self>, call: RequestCall) -> RequestReply {
        if self.draining.load(Ordering::SeqCst) {
            let error = ErrorKind::Elsewhere.with_detail("the gate is shutting down");
            return request::to_reply(Err(error));
        }
        let _guard = InFlightGuard::new(&self.in_flight);
        let outcome = match call {
            RequestCall::Run(forwarded) => self.run_forwarded(forwarded).await,
            RequestCall::Once(IdempotentRequest {
                request,
                idempotency,
            }) => match self.admit_forwarded(request) {
                Ok(request) => self.run_at_most_once(request, idempotency).await,
                Err(error) => Err(error),
            },
        };
        request::to_reply(outcome)
    }

    /// Refuses calls of other gates, waits up to `within` for requests in flight and writes the
    /// journal.
    ///
    /// Lanes and journal partitions move to other gates as soon as the cluster requests it.
    pub async fn drain(&self, within: Duration) {
        self.draining.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + within;
        while self.in_flight.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let left = self.in_flight.load(Ordering::SeqCst);
        info!("requests: drained with {left} requests still in flight; writing the journal.");
        self.journals.close().await;
    }
}
