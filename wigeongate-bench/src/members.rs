//! The memberships of several gates in one process, over a stand-in of the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use wigeongate::cluster::{Cluster, Serve};
use wigeongate::etcd::Etcd;
use wigeongate::live::Configurations;
use wigeongate::members::{Membership, MembershipSettings};
use wigeongate::message::{Call, Reply};
use wigeongate::store::{Feed, FeedUpdate, Store};
use wigeongate_config::change::Change;
use wigeongate_config::rules::Rules;
use wigeongate_config::settings::{Leases, Settings, StoreSettings};
use wigeongate_core::ids::{GateId, Unit};
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::Store as StandIn;

use crate::site::ANY;

/// How long the gates may take until a condition holds.
const WAIT: Duration = Duration::from_mins(2);

/// How often a condition is looked at.
pub const POLL: Duration = Duration::from_millis(5);

struct Nothing;

impl Serve for Nothing {
    fn serve(&self, _: GateId, _: Call) -> BoxFuture<'_, Reply> {
        async { Reply::NotDone("there are no parts".to_owned()) }.boxed()
    }
}

/// One gate's membership.
pub struct Member {
    /// The membership.
    pub members: Arc<Membership>,
    /// Its configurations.
    pub configurations: Arc<Configurations>,
    _feed: Arc<Feed>,
}

/// The memberships of several gates.
pub struct Fleet {
    /// The store.
    pub store: Arc<StandIn>,
    /// The gates; one that has crashed is none.
    pub gates: Vec<Option<Member>>,
    /// The units of the configuration.
    pub units: Vec<Unit>,
    endpoint: String,
    lease_ms: u64,
    joined: usize,
    _running: ServerHandle,
}

impl Fleet {
    /// Starts so many gates and waits until they share the units.
    pub async fn start(count: usize, lease_ms: u64) -> Result<Self> {
        let store = StandIn::new();
        let running = store.spawn(ANY).await?;
        let rules = Rules::default();
        let lanes = (0..rules.placement.lanes).map(Unit::Lane);
        let journals = (0..rules.placement.journals).map(Unit::Journal);
        let mut fleet = Self {
            endpoint: format!("http://{}", running.address),
            _running: running,
            units: lanes.chain(journals).collect(),
            gates: Vec::new(),
            joined: 0,
            store,
            lease_ms,
        };
        for _ in 0..count {
            let member = fleet.join()?;
            fleet.gates.push(Some(member));
        }
        let change = Change::Apply {
            inventory: None,
            rules: Some(rules),
        };
        if let Some(first) = fleet.present().next() {
            first.configurations.change(change, None).await?;
        }
        fleet.wait_until(Self::is_settled).await?;
        Ok(fleet)
    }

    /// Starts one more gate, under a new name.
    pub fn join(&mut self) -> Result<Member> {
        let settings = Settings {
            gate: format!("gate-{}", self.joined).into(),
            peer: ANY,
            store: StoreSettings {
                endpoints: vec![self.endpoint.clone()],
                ..StoreSettings::default()
            },
            leases: Leases {
                owner_ms: self.lease_ms,
                ..Leases::default()
            },
            ..Settings::default()
        };
        self.joined += 1;
        let store: Arc<dyn Store> = Arc::new(Etcd::new(&settings.store));
        let shared = Feed::start(store.clone());
        let configurations = Configurations::new(store.clone());
        let mut changes = shared.subscribe("configuration");
        let following = configurations.clone();
        tokio::spawn(async move {
            while let Some(fed) = changes.recv().await {
                let entries = match fed {
                    FeedUpdate::Snapshot(snapshot) => snapshot.entries,
                    FeedUpdate::Changes(changes) => changes.into_iter().map(|c| c.entry).collect(),
                };
                for entry in &entries {
                    if let Ok(configuration) = wigeongate::live::decode(entry) {
                        following.apply_newer(configuration);
                    }
                }
            }
        });
        let settings = MembershipSettings::from_settings(&settings)?;
        let serve = Arc::new(Nothing);
        let members = Membership::start(settings, store, &shared, configurations.clone(), serve)?;
        tokio::spawn(stop_parts(members.clone()));
        Ok(Member {
            members,
            configurations,
            _feed: shared,
        })
    }

    /// Returns the gates that have not crashed.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.gates.iter().flatten()
    }

    /// Returns how many gates may act on a unit at this moment.
    pub fn actors(&self, unit: &Unit) -> usize {
        let acting = |gate: &&Member| gate.members.may_act(unit).is_some();
        self.present().filter(acting).count()
    }

    /// Returns whether each unit has one owner and each gate can last an outage.
    pub fn is_settled(&self) -> bool {
        self.units.iter().all(|unit| self.actors(unit) == 1)
            && self.present().all(|gate| gate.members.lists_all_members())
    }

    /// Waits until a condition holds and returns how long that took.
    pub async fn wait_until(&self, holds: impl Fn(&Self) -> bool) -> Result<Duration> {
        let begun = Instant::now();
        while !holds(self) {
            if begun.elapsed() > WAIT {
                bail!("the gates did not settle within {WAIT:?}");
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(begun.elapsed())
    }
}

/// Stands for the parts that act on units: they stop as soon as a unit is to be handed over.
async fn stop_parts(members: Arc<Membership>) {
    let mut views = members.subscribe();
    let mut owned: Vec<Unit> = Vec::new();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        for unit in owned.iter().filter(|unit| !view.owned.contains_key(*unit)) {
            members.confirm_stopped(unit);
        }
        owned = view.owned.keys().cloned().collect();
    }
}

/// Returns the value at a rank between 0 and 1.
pub fn at_rank(sorted: &[f64], rank: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let place = (rank * last as f64).ceil() as usize;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}
