//! The memberships of several gates in one process, on a stand-in for the store.

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
use wigeongate_core::ownership::LeaseTiming;
use wigeongate_core::time::Millis;
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::{Fault, Store as StandIn};

/// How long a test waits for a condition before it fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Refuses every call with the name of the caller as the reason.
struct NameCaller;

impl Serve for NameCaller {
    fn serve(&self, from: GateId, _: Call) -> BoxFuture<'_, Reply> {
        async move { Reply::NotDone(from.to_string()) }.boxed()
    }
}

/// The membership of one gate.
pub struct Gate {
    pub members: Arc<Membership>,
    pub configurations: Arc<Configurations>,
    _feed: Arc<Feed>,
}

/// The memberships of several gates.
pub struct Fleet {
    store: Arc<StandIn>,
    _running: ServerHandle,
    endpoint: String,
    pub gates: BTreeMap<GateId, Gate>,
    pub timing: LeaseTiming,
}

impl Fleet {
    /// Starts `count` gates that share the ownership of `lanes` lanes.
    pub async fn start(count: usize, lanes: u16) -> Self {
        let store = StandIn::new();
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = store.spawn(loopback).await.expect("the store starts");
        let timing = LeaseTiming {
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
            timing,
        };
        for number in 0..count {
            fleet.start_gate(&format!("gate-{number}"));
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

    /// Starts another gate.
    pub fn start_gate(&mut self, name: &str) {
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
            timing: self.timing,
            renewal_interval: Duration::from_millis(400),
            heartbeat_interval: Duration::from_millis(150),
            ..MembershipSettings::default()
        };
        let members = Membership::start(
            settings,
            store,
            &feed,
            configurations.clone(),
            Arc::new(NameCaller),
        );
        let members = members.expect("the gate joins");
        tokio::spawn(release_units(members.clone()));
        let gate = Gate {
            members,
            configurations,
            _feed: feed,
        };
        self.gates.insert(name.into(), gate);
    }

    /// Sets the fault of the store.
    pub fn set_store_fault(&self, fault: Fault) {
        self.store.set_fault(fault);
    }

    /// Returns the gates that may currently act on a unit.
    pub fn acting_gates(&self, unit: &Unit) -> Vec<GateId> {
        let acts = |(_, gate): &(&GateId, &Gate)| gate.members.may_act(unit).is_some();
        let acting = self.gates.iter().filter(acts);
        acting.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether every gate sees all gates as present and may act beyond its lease.
    pub fn all_present(&self) -> bool {
        self.gates.values().all(|gate| {
            let view = gate.members.view();
            let present = view
                .members
                .iter()
                .filter(|m| m.status == MemberStatus::Present);
            present.count() == self.gates.len() && gate.members.lists_all_members()
        })
    }

    /// Returns whether exactly one gate may act on each lane.
    pub fn all_lanes_owned(&self, lanes: u16) -> bool {
        (0..lanes).all(|lane| self.acting_gates(&Unit::Lane(lane)).len() == 1)
    }

    /// Returns the number of lanes that each gate may act on.
    pub fn lane_counts(&self, lanes: u16) -> Vec<usize> {
        let count = |gate: &Gate| {
            let lanes = (0..lanes).map(Unit::Lane);
            lanes
                .filter(|lane| gate.members.may_act(lane).is_some())
                .count()
        };
        self.gates.values().map(count).collect()
    }
}

/// Stands in for the parts that act on units, which stop as soon as a unit is to be handed over.
async fn release_units(members: Arc<Membership>) {
    let mut views = members.subscribe();
    let mut owned: Vec<Unit> = Vec::new();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        let lost = owned.iter().filter(|unit| !view.owned.contains_key(*unit));
        for unit in lost {
            members.confirm_stopped(unit);
        }
        owned = view.owned.keys().cloned().collect();
    }
}

/// Waits until a condition holds; `what` describes it in the failure message.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(TEST_TIMEOUT, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out before {what}");
}
