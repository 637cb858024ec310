//! Several gates' memberships in one process, over a stand-in of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use wigeongate::cluster::{Cluster, MemberStatus, Serve};
use wigeongate::etcd::Etcd;
use wigeongate::live::Configurations;
use wigeongate::members::{Membership, MembershipSettings};
use wigeongate::message::{Call, Reply};
use wigeongate::store::{Feed, Store};
use wigeongate_config::change::Change;
use wigeongate_config::rules::{Placement, Rules};
use wigeongate_config::settings::StoreSettings;
use wigeongate_core::ids::{GateId, Unit};
use wigeongate_core::ownership::Terms;
use wigeongate_core::time::Millis;
use wigeongate_standin::serve::Running;
use wigeongate_standin::store::{Fault, Store as StandIn};

/// How long a condition may take to come true; a guard against hanging tests.
const HANG: Duration = Duration::from_mins(1);

/// Refuses every call by naming the caller.
struct Echo;

impl Serve for Echo {
    fn serve(&self, from: GateId, _: Call) -> BoxFuture<'_, Reply> {
        async move { Reply::NotDone(from.to_string()) }.boxed()
    }
}

/// One gate's membership.
pub struct Gate {
    pub members: Arc<Membership>,
    pub configurations: Arc<Configurations>,
    _feed: Arc<Feed>,
}

/// Several gates' memberships.
pub struct Fleet {
    store: Arc<StandIn>,
    _running: Running,
    endpoint: String,
    pub gates: BTreeMap<GateId, Gate>,
    pub terms: Terms,
}

impl Fleet {
    /// Starts `count` gates with `lanes` lanes to own.
    pub async fn start(count: usize, lanes: u16) -> Self {
        let store = StandIn::new();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = store.spawn(any).await.expect("the store starts");
        let terms = Terms {
            lease: Millis(1_500),
            margin: Millis(250),
            promise: Millis(700),
            hold: Millis::from_secs(120),
        };
        let mut fleet = Self {
            store,
            endpoint: format!("http://{}", running.address),
            _running: running,
            gates: BTreeMap::new(),
            terms,
        };
        for place in 0..count {
            fleet.join(&format!("gate-{place}"));
        }
        let placement = Placement {
            lanes,
            journals: 1,
            ..Placement::default()
        };
        let rules = Rules {
            placement,
            ..Rules::default()
        };
        let change = Change::Apply {
            inventory: None,
            rules: Some(rules),
        };
        let first = fleet.gates.values().next().expect("there is a gate");
        let changed = first.configurations.change(change, None).await;
        changed.expect("the change is accepted");
        fleet
    }

    /// Starts one more gate.
    pub fn join(&mut self, name: &str) {
        let settings = StoreSettings {
            endpoints: vec![self.endpoint.clone()],
            timeout_ms: 500,
            ..StoreSettings::default()
        };
        let store: Arc<dyn Store> = Arc::new(Etcd::new(&settings));
        let feed = Feed::start(store.clone());
        let configurations = Configurations::new(store.clone());
        let settings = MembershipSettings {
            gate: name.into(),
            terms: self.terms,
            renewal_interval: Duration::from_millis(400),
            heartbeat_interval: Duration::from_millis(150),
            ..MembershipSettings::default()
        };
        let members = Membership::start(
            settings,
            store,
            &feed,
            configurations.clone(),
            Arc::new(Echo),
        );
        let members = members.expect("the gate joins");
        tokio::spawn(stop_parts(members.clone()));
        let gate = Gate {
            members,
            configurations,
            _feed: feed,
        };
        self.gates.insert(name.into(), gate);
    }

    /// Sets what goes wrong with the store.
    pub fn fault(&self, fault: Fault) {
        self.store.set_fault(fault);
    }

    /// Returns the gates that may act on a unit at this moment.
    pub fn actors(&self, unit: &Unit) -> Vec<GateId> {
        let acts = |(_, gate): &(&GateId, &Gate)| gate.members.may_act(unit).is_some();
        let acting = self.gates.iter().filter(acts);
        acting.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether every gate finds every gate present and may act beyond its lease.
    pub fn is_complete(&self) -> bool {
        self.gates.values().all(|gate| {
            let view = gate.members.view();
            let present = view
                .members
                .iter()
                .filter(|m| m.status == MemberStatus::Present);
            present.count() == self.gates.len() && gate.members.lists_all_members()
        })
    }

    /// Returns whether each lane has exactly one gate that may act on it.
    pub fn is_owned(&self, lanes: u16) -> bool {
        (0..lanes).all(|lane| self.actors(&Unit::Lane(lane)).len() == 1)
    }

    /// Returns how many lanes each gate may act on.
    pub fn loads(&self, lanes: u16) -> Vec<usize> {
        let count = |gate: &Gate| {
            let lanes = (0..lanes).map(Unit::Lane);
            lanes
                .filter(|lane| gate.members.may_act(lane).is_some())
                .count()
        };
        self.gates.values().map(count).collect()
    }
}

/// Stands for the parts that act on units: they stop as soon as a unit is to be handed over.
async fn stop_parts(members: Arc<Membership>) {
    let mut views = members.subscribe();
    let mut held: Vec<Unit> = Vec::new();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        let lost = held.iter().filter(|unit| !view.owned.contains_key(*unit));
        for unit in lost {
            members.confirm_stopped(unit);
        }
        held = view.owned.keys().cloned().collect();
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(HANG, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(waited.await.is_ok(), "it never came true that {what}");
}
