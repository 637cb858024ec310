//! Membership of the cluster, ownership of units and distribution of the configuration.

mod heartbeat;
mod record;
mod registry;
mod state;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use arc_swap::ArcSwap;
use eyre::Result;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use rand::RngExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};
use wigeongate_config::settings::Settings;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, GateId, Revision, Unit, ZoneId};
use wigeongate_core::ownership::{Lease, LeaseTiming, Observer};
use wigeongate_core::time::Millis;

pub use self::record::unit_key;
use self::record::{GATES_PREFIX, UNITS_PREFIX};
use self::state::State;
use crate::clock::Clock;
use crate::cluster::{Cluster, MemberStatus, PeerError, Serve, View};
use crate::live::Configurations;
use crate::message::members::{Announcement, GateReport, PeerReply, PeerRequest};
use crate::message::{Call, Digest, Reply};
use crate::peers::{Identity, Peers};
use crate::store::{Circuit, Condition, Feed, FeedUpdate, Store};

/// The interval of checks for deadlines and process pauses.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum interval between two urgent writes of the gate's record.
const RENEWAL_RETRY: Duration = Duration::from_millis(300);

/// A longer time between two ticks means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// How long a change of the configuration waits for a quorum of gates that reach the store.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a stopping gate waits for its units to be handed over, and then for its record to be
/// removed.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The membership settings of a gate.
#[derive(Debug)]
pub struct MembershipSettings {
    /// The name of the gate.
    pub gate: GateId,
    /// The availability zone of the gate.
    pub zone: ZoneId,
    /// The UDP address at which the gate listens for other gates.
    pub listen: SocketAddr,
    /// The certificate and key; if absent, a self-signed certificate is published in the gate's
    /// record.
    pub identity: Option<Identity>,
    /// The durations of leases and promises.
    pub timing: LeaseTiming,
    /// The interval between two renewals of the gate's record.
    pub renewal_interval: Duration,
    /// The interval between two heartbeats to each other gate.
    pub heartbeat_interval: Duration,
    /// The time after which the gate stops admitting work if it has had contact neither with the
    /// store nor with a gate that may admit work; promises of the members can extend it.
    pub isolation_limit: Millis,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            gate: GateId::from("gate-1"),
            zone: ZoneId::default(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            identity: None,
            timing: LeaseTiming::default(),
            renewal_interval: Duration::from_secs(2),
            heartbeat_interval: Duration::from_millis(700),
            isolation_limit: Millis::from_secs(3),
        }
    }
}

impl MembershipSettings {
    /// Derives the membership settings from the gate's settings.
    ///
    /// Fails if the files of the certificate or key cannot be read.
    pub fn from_settings(settings: &Settings) -> Result<Self> {
        let identity = settings.tls.as_ref().map(Identity::load).transpose()?;
        let lease = Millis(settings.leases.owner_ms);
        let timing = LeaseTiming {
            lease,
            margin: Millis(lease.0 / 6),
            promise: Millis(lease.0 / 2),
            ..LeaseTiming::default()
        };
        Ok(Self {
            gate: settings.gate.clone(),
            zone: settings.zone.clone(),
            listen: settings.peer,
            identity,
            timing,
            renewal_interval: Duration::from_millis(lease.0 / 3),
            ..Self::default()
        })
    }
}

/// The membership of this gate in the cluster.
///
/// Renews the gate's record in the store, exchanges heartbeats with the other gates, evicts gates
/// whose leases have expired, and takes, hands over and releases units.
pub struct Membership {
    weak: Weak<Self>,
    clock: Clock,
    renewal_interval: Duration,
    isolation_limit: Millis,
    store: Arc<dyn Store>,
    configurations: Arc<Configurations>,
    serve: Arc<dyn Serve>,
    peers: Arc<Peers>,
    state: Mutex<State>,
    view: watch::Sender<Arc<View>>,
    digests: ArcSwap<HashMap<GateId, Arc<Digest>>>,
    wake: Notify,
    heartbeat_now: Notify,
    stop: CancellationToken,
}

impl Membership {
    /// Joins the cluster and runs until [`Self::leave`] or [`Self::abort`].
    ///
    /// Fails if the certificate cannot be created or the listener cannot be bound.
    pub fn start(
        settings: MembershipSettings,
        store: Arc<dyn Store>,
        feed: &Feed,
        configurations: Arc<Configurations>,
        serve: Arc<dyn Serve>,
    ) -> Result<Arc<Self>> {
        let identity = match settings.identity {
            Some(identity) => identity,
            None => Identity::self_signed(&settings.gate)?,
        };
        let peers = Peers::bind(settings.gate.clone(), identity, settings.listen)?;
        let peer_address = peers.address()?;
        let state = State {
            peer_address,
            lease: Lease::new(settings.timing, rand::rng().random()),
            observer: Observer::new(settings.timing, peer_address),
            ..State::new(settings.gate, settings.zone, settings.timing)
        };
        let members = Arc::new_cyclic(|weak| Self {
            weak: weak.clone(),
            clock: Clock::default(),
            renewal_interval: settings.renewal_interval,
            isolation_limit: settings.isolation_limit,
            store,
            configurations,
            serve,
            peers,
            state: Mutex::new(state),
            view: watch::Sender::default(),
            digests: ArcSwap::default(),
            wake: Notify::new(),
            heartbeat_now: Notify::new(),
            stop: CancellationToken::new(),
        });
        members.run(feed, settings.heartbeat_interval);
        Ok(members)
    }

    /// Starts the background tasks, which end when the membership is stopped.
    fn run(self: &Arc<Self>, feed: &Feed, heartbeat_interval: Duration) {
        let gates = feed.subscribe(GATES_PREFIX);
        let units = feed.subscribe(UNITS_PREFIX);
        self.spawn(|members| members.run_updates(GATES_PREFIX, gates));
        self.spawn(|members| members.run_updates(UNITS_PREFIX, units));
        self.spawn(Self::run_registration);
        self.spawn(move |members| members.run_heartbeats(heartbeat_interval));
        self.spawn(Self::run_configuration);
        self.spawn(Self::run_ticks);
        let handler: Arc<dyn crate::peers::RequestHandler> = self.clone();
        self.spawn(move |members| members.peers.clone().serve(handler));
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(
        self: &Arc<Self>,
        task: impl FnOnce(Arc<Self>) -> F,
    ) {
        let stop = self.stop.clone();
        let task = task(self.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = task => {},
                () = stop.cancelled() => {},
            }
        });
    }

    /// Hands over all units and leaves the cluster. Units that are not handed over within ten
    /// seconds are left for the other gates to take over.
    pub async fn leave(&self) {
        self.lock().leaving = true;
        self.heartbeat_now.notify_one();
        self.wake.notify_one();
        let handed_over = async {
            loop {
                let left = self.lock().owned_units().count();
                let others = self.lock().eligible_gates(self.clock.now()).len();
                if left == 0 || others == 0 {
                    return;
                }
                sleep(TICK_INTERVAL / 2).await;
            }
        };
        if timeout(LEAVE_TIMEOUT, handed_over).await.is_err() {
            warn!(
                "members: some units were not handed over in time; other gates will take them over."
            );
        }
        let resigned = timeout(LEAVE_TIMEOUT, self.resign()).await;
        if resigned.is_err() {
            warn!("members: removing this gate's record timed out; its lease will expire.");
        }
        self.abort();
    }

    /// Stops immediately without handing over units, like a crash.
    pub fn abort(&self) {
        self.stop.cancel();
        self.peers.close();
    }

    /// Returns whether this gate's record lists every other member, so that their promises can let
    /// it act while the store is down.
    pub fn lists_all_members(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let members = state.lease.members();
        members.is_some() && *members == state.promisers(now)
    }

    /// Closes all connections to other gates and accepts no new ones.
    pub fn disconnect(&self) {
        self.peers.close();
    }

    /// Returns whether a revision of the configuration is in force at every gate that admits work.
    ///
    /// A gate that no other gate has received a message from for long enough is known to have
    /// stopped admitting work.
    pub fn in_force(&self, revision: Revision) -> bool {
        let now = self.clock.now();
        self.lock().in_force(revision, now, self.isolation_limit)
    }

    /// Returns the newest revision of the configuration that is in force at every gate that admits
    /// work.
    pub fn newest_in_force(&self) -> Revision {
        let now = self.clock.now();
        let state = self.lock();
        let mut revisions: Vec<Revision> = state.revisions().collect();
        revisions.sort_unstable();
        let in_force = |revision: &&Revision| state.in_force(**revision, now, self.isolation_limit);
        let newest = revisions.iter().rev().find(in_force);
        newest.copied().unwrap_or_default()
    }

    /// Returns whether the store answered the last call of the membership.
    pub fn store_answers(&self) -> bool {
        self.lock().observer.store_answers()
    }

    /// Returns the state of the circuit breaker for calls of the store.
    pub fn circuit(&self) -> Circuit {
        self.store.circuit()
    }

    /// Returns whether a change of the configuration may be made through this gate; waits up to
    /// three seconds for that.
    ///
    /// It requires a quorum of gates that reach the store. A gate without the store admits work on
    /// the promises of all members, or all but one. With the quorum, every such gate either learns
    /// of the change from a member or lacks a promise.
    pub async fn may_change(&self) -> bool {
        let quorate = async {
            while !self.lock().has_quorum(self.clock.now()) {
                sleep(TICK_INTERVAL / 2).await;
            }
        };
        timeout(QUORUM_TIMEOUT, quorate).await.is_ok()
    }

    /// Returns whether this gate may admit callers' work: it would learn of a changed configuration
    /// within seconds, or no gate can accept a change.
    pub fn admits(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let informed = |contact: &state::GateContact| {
            let GateReport {
                admits, revision, ..
            } = contact.report;
            admits
                && revision <= state.revision
                && now.since(contact.last_heard) < self.isolation_limit
        };
        self.admits_directly(&state, now) || state.contacts.values().any(informed)
    }

    /// Returns whether this gate may admit work by its own contact with the store, the contact of a
    /// gate that reaches the store, or promises; a gate that only relies on others does not count.
    fn admits_directly(&self, state: &State, now: Millis) -> bool {
        let is_recent = |at: Millis| now.since(at) < self.isolation_limit;
        let informed = |contact: &state::GateContact| {
            contact.report.store_answers && is_recent(contact.last_heard)
        };
        state.store_answered.is_some_and(is_recent)
            || state.contacts.values().any(informed)
            || state.lease.has_promises(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the units that should exist under the configuration in force.
    fn wanted_units(&self) -> BTreeSet<Unit> {
        let live = self.configurations.live();
        if live.configuration.revision.0 == 0 {
            return BTreeSet::new();
        }
        let placement = &live.configuration.rules.placement;
        let workers = live.policy.workers.values();
        let pools = workers.map(|worker| Unit::Pool(worker.pool.clone()));
        pools
            .chain((0..placement.lanes).map(Unit::Lane))
            .chain((0..placement.journals).map(Unit::Journal))
            .collect()
    }

    async fn run_updates(
        self: Arc<Self>,
        prefix: &'static str,
        mut from: UnboundedReceiver<FeedUpdate>,
    ) {
        while let Some(update) = from.recv().await {
            let now = self.clock.now();
            let wake = self.lock().apply_update(now, prefix, &update);
            self.publish_view();
            if wake {
                self.wake.notify_one();
            }
        }
    }

    async fn run_registration(self: Arc<Self>) {
        let mut renewed: Option<Instant> = None;
        loop {
            // An early wake-up shortens takeovers and handovers.
            let _ = timeout(TICK_INTERVAL, self.wake.notified()).await;
            let since = renewed.map_or(Duration::MAX, |at| at.elapsed());
            let renew = since >= self.renewal_interval
                || (since >= RENEWAL_RETRY && self.is_renewal_urgent());
            if renew {
                renewed = Some(Instant::now());
            }
            self.sync_with_store(renew).await;
            self.publish_view();
        }
    }

    /// Returns whether this gate's record should be renewed early: the lease is not known to be
    /// valid, or the record lists a different set of members from the present one.
    fn is_renewal_urgent(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.lease.has_unknown_write()
            || !state.lease.may_act(now)
            || *state.lease.members() != state.promisers(now)
    }

    async fn run_heartbeats(self: Arc<Self>, every: Duration) {
        loop {
            let started = Instant::now();
            self.send_heartbeats();
            let left = every.saturating_sub(started.elapsed());
            let _ = timeout(left, self.heartbeat_now.notified()).await;
        }
    }

    /// Sends heartbeats at once when a new revision of the configuration comes into force here.
    async fn run_configuration(self: Arc<Self>) {
        let mut revision = self.configurations.subscribe();
        loop {
            let current = *revision.borrow_and_update();
            self.lock().revision = current;
            self.heartbeat_now.notify_one();
            self.wake.notify_one();
            if revision.changed().await.is_err() {
                return;
            }
        }
    }

    /// Detects pauses of this process and updates the view as time passes.
    async fn run_ticks(self: Arc<Self>) {
        let mut every = interval(TICK_INTERVAL);
        let mut last = Instant::now();
        loop {
            every.tick().await;
            if last.elapsed() > PAUSE_THRESHOLD {
                info!(
                    "members: this process was paused for {:?}; waiting for a new answer from the store.",
                    last.elapsed()
                );
                self.lock().observer.on_store_failure();
            }
            last = Instant::now();
            // A write that is retried for long reports the outage of the store only at its end.
            if matches!(self.store.circuit(), Circuit::Open { .. }) {
                self.lock().observer.on_store_failure();
            }
            self.publish_view();
        }
    }

    fn publish_view(&self) {
        let now = self.clock.now();
        let (view, digests) = {
            let mut state = self.lock();
            state.announce_owned();
            let view = state.view(now);
            let present = |view: &View| -> Vec<GateId> {
                let members = view.members.iter();
                let present = members.filter(|m| m.status == MemberStatus::Present);
                present.map(|member| member.gate.clone()).collect()
            };
            if present(&view) != present(&self.view.borrow()) {
                state.presence_changed = now;
            }
            (view, state.digests(now))
        };
        self.view.send_if_modified(|old| {
            let changed = **old != view;
            if changed {
                *old = Arc::new(view);
            }
            changed
        });
        if **self.digests.load() != digests {
            self.digests.store(Arc::new(digests));
        }
    }
}

impl Cluster for Membership {
    fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    fn may_act(&self, unit: &Unit) -> Option<Epoch> {
        registry::may_act(&self.lock(), unit, self.clock.now())
    }

    fn guard(&self, unit: &Unit) -> Option<Condition> {
        let epoch = self.may_act(unit)?;
        Some(Condition {
            key: record::unit_key(unit),
            revision: i64::try_from(epoch.0).ok()?,
        })
    }

    fn confirm_stopped(&self, unit: &Unit) {
        if let Some(handover) = self.lock().handovers.get_mut(unit) {
            handover.stopped = true;
        }
        self.wake.notify_one();
    }

    fn renew_epoch(&self, unit: &Unit) {
        self.lock().epoch_requests.insert(unit.clone());
        self.wake.notify_one();
    }

    fn publish(&self, digest: Digest) {
        let mut state = self.lock();
        if *state.announcement.digest != digest {
            state.announcement = Arc::new(Announcement {
                version: state.announcement.version + 1,
                digest: Arc::new(digest),
                ..state.announcement.as_ref().clone()
            });
        }
    }

    fn digests(&self) -> Arc<HashMap<GateId, Arc<Digest>>> {
        self.digests.load_full()
    }

    fn call<'a>(
        &'a self,
        gate: &'a GateId,
        call: Call,
        within: Millis,
    ) -> BoxFuture<'a, Result<Reply, PeerError>> {
        async move {
            let own = self.lock().gate.clone();
            if *gate == own {
                return Ok(self.serve.serve(own, call).await);
            }
            let step = "call";
            match self
                .peers
                .request(step, gate, PeerRequest::Call(call), within.into())
                .await?
            {
                PeerReply::Reply(reply) => Ok(reply),
                _ => Err(PeerError::Unknown {
                    step,
                    peer: gate.clone(),
                    reason: "the reply does not match the request".to_owned(),
                }),
            }
        }
        .boxed()
    }
}
