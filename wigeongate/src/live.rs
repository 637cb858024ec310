//! The configuration in force in this process.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use derive_more::Display;
use tokio::sync::watch;
use tracing::info;
use wigeongate_config::change::{Change, Refusal};
use wigeongate_config::configuration::{Configuration, FORMAT};
use wigeongate_config::key::KeyHash;
use wigeongate_config::rules::Queue;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{QueueId, Revision, TeamId};
use wigeongate_core::policy::Policy;

use crate::store::{CommitOutcome, Condition, Entry, Store, StoreError, Txn, Write};

/// The store's key of the configuration.
pub const CONFIGURATION_KEY: &str = "configuration";

/// How many revisions are kept to tell an operator what another one changed.
const MAX_RECENT_REVISIONS: usize = 8;

/// How often a change is tried that another one keeps coming before.
const MAX_CHANGE_ATTEMPTS: usize = 20;

/// One revision of the configuration, prepared for use.
#[derive(Debug, Default)]
pub struct LiveConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// What the decisions read of it.
    pub policy: Arc<Policy>,
    keys: HashMap<KeyHash, TeamId>,
    queues: HashMap<QueueId, Queue>,
}

impl From<Configuration> for LiveConfiguration {
    fn from(configuration: Configuration) -> Self {
        let keys = configuration.inventory.keys.iter();
        let queues = configuration.rules.queues.iter();
        Self {
            policy: Arc::new(configuration.policy()),
            keys: keys
                .map(|key| (key.hash.clone(), key.team.clone()))
                .collect(),
            queues: queues
                .map(|queue| (queue.name.clone(), queue.clone()))
                .collect(),
            configuration,
        }
    }
}

impl LiveConfiguration {
    /// Returns the team that a key stands for.
    ///
    /// The table is searched by the key's hash, so the time taken says nothing of the key.
    pub fn team(&self, key: &str) -> Option<&TeamId> {
        let hash = KeyHash::of(key);
        let (found, team) = self.keys.get_key_value(&hash)?;
        found.matches(&hash).then_some(team)
    }

    /// Returns whether the key with this hash stands for a team.
    pub fn is_team_key(&self, hash: &KeyHash, team: &TeamId) -> bool {
        self.keys.get(hash) == Some(team)
    }

    /// Returns a queue.
    pub fn queue(&self, name: &QueueId) -> Option<&Queue> {
        self.queues.get(name)
    }
}

/// Why a change of the configuration was not accepted.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum ChangeError {
    /// It is wrong.
    #[display("the change is refused: {_0}")]
    Refused(Refusal),
    /// The operator expected another revision than the one in the store.
    #[display("revision {expected} was expected but {found} is in force; changed: {changes}")]
    #[from(skip)]
    Raced {
        /// The revision that the operator had seen.
        expected: Revision,
        /// The revision in the store.
        found: Revision,
        /// The parts that differ, as far as this gate still knows the expected revision.
        changes: String,
    },
    /// Other changes came first again and again.
    #[display("other changes came first again and again; nothing was changed")]
    Busy,
    /// The store did not answer.
    #[display("{_0}")]
    Store(StoreError),
    /// What the store holds cannot be read by this program.
    #[display("the stored configuration cannot be read: {reason}")]
    #[from(skip)]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// Holds the configuration in force and changes it through the store.
pub struct Configurations {
    store: Arc<dyn Store>,
    live: ArcSwap<LiveConfiguration>,
    loopback: AtomicBool,
    /// Revisions that came into force last, the newest at the end.
    recent: Mutex<VecDeque<Arc<LiveConfiguration>>>,
    revision: watch::Sender<Revision>,
}

impl Configurations {
    /// Starts with an empty configuration.
    pub fn new(store: Arc<dyn Store>) -> Arc<Self> {
        let revision = watch::Sender::new(Revision::default());
        Arc::new(Self {
            store,
            live: ArcSwap::default(),
            loopback: AtomicBool::default(),
            recent: Mutex::default(),
            revision,
        })
    }

    /// Moves the addresses of every configuration to loopback, for trials on one machine.
    pub fn use_loopback(&self) {
        self.loopback.store(true, Ordering::Relaxed);
    }

    /// Returns the configuration in force.
    pub fn live(&self) -> Arc<LiveConfiguration> {
        self.live.load_full()
    }

    /// Returns a receiver that learns of each revision that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Reads the store and puts what it holds in force.
    pub async fn refresh(&self) -> Result<Revision, ChangeError> {
        let (_, configuration) = self.read().await?;
        Ok(self.apply_newer(configuration))
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn apply_newer(&self, mut configuration: Configuration) -> Revision {
        if self.loopback.load(Ordering::Relaxed) {
            configuration.inventory = configuration.inventory.on_loopback();
        }
        let revision = configuration.revision;
        let next = Arc::new(LiveConfiguration::from(configuration));
        let newer = |current: &Arc<LiveConfiguration>| current.configuration.revision < revision;
        let before = self
            .live
            .rcu(|current| if newer(current) { &next } else { current }.clone());
        if newer(&before) {
            info!("configuration: revision {revision} is in force.");
            self.add_recent(&next);
            self.revision.send_replace(revision);
        }
        self.live.load().configuration.revision
    }

    fn add_recent(&self, live: &Arc<LiveConfiguration>) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_RECENT_REVISIONS {
            recent.pop_front();
        }
        recent.push_back(live.clone());
    }

    /// Makes a change; with `expected`, only on that revision.
    pub async fn change(
        &self,
        change: Change,
        expected: Option<Revision>,
    ) -> Result<Revision, ChangeError> {
        for _ in 0..MAX_CHANGE_ATTEMPTS {
            let (entry, current) = self.read().await?;
            let found = current.revision;
            if found < self.live.load().configuration.revision {
                // A replica of the store answered with something older than is in force.
                continue;
            }
            if let Some(expected) = expected.filter(|expected| *expected != found) {
                let changes = self.describe_changes(expected, &current);
                return Err(ChangeError::Raced {
                    expected,
                    found,
                    changes,
                });
            }
            let next = current.changed(change.clone())?;
            if self.write(&entry, &next).await? {
                return Ok(self.apply_newer(next));
            }
        }
        Err(ChangeError::Busy)
    }

    /// Names the parts in which a configuration differs from an earlier one.
    fn describe_changes(&self, earlier: Revision, current: &Configuration) -> String {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let mut recent = recent.iter();
        let earlier = recent.find(|live| live.configuration.revision == earlier);
        earlier.map_or_else(
            || "unknown to this gate".to_owned(),
            |earlier| differences(&earlier.configuration, current).join(", "),
        )
    }

    async fn read(&self) -> Result<(Entry, Configuration), ChangeError> {
        let entry = self.store.get(CONFIGURATION_KEY).await?;
        let configuration = decode(&entry)?;
        Ok((entry, configuration))
    }

    async fn write(&self, old: &Entry, next: &Configuration) -> Result<bool, ChangeError> {
        let value = serde_json::to_vec(next).map_err(|error| ChangeError::Unreadable {
            reason: error.to_string(),
        })?;
        let key = CONFIGURATION_KEY.to_owned();
        let when = vec![Condition {
            key: key.clone(),
            revision: old.revision,
        }];
        let txn = Txn {
            when,
            writes: vec![Write::Put { key, value }],
        };
        Ok(matches!(
            self.store.commit(txn).await?,
            CommitOutcome::Committed(_)
        ))
    }
}

/// Names the parts in which two configurations differ.
pub fn differences(one: &Configuration, other: &Configuration) -> Vec<&'static str> {
    let (a, b) = (&one.inventory, &other.inventory);
    let parts = [
        ("regions", a.regions != b.regions),
        ("hosts", a.hosts != b.hosts),
        ("backend servers", a.backends != b.backends),
        ("teams", a.teams != b.teams),
        ("keys", a.keys != b.keys),
        ("queues", one.rules.queues != other.rules.queues),
        ("placement", one.rules.placement != other.rules.placement),
        ("zones out", one.zones_out != other.zones_out),
        ("pause", one.paused != other.paused),
    ];
    let changed = parts.into_iter().filter(|(_, differs)| *differs);
    changed.map(|(part, _)| part).collect()
}

/// Reads a stored configuration; an absent one is empty.
pub fn decode(entry: &Entry) -> Result<Configuration, ChangeError> {
    if entry.revision == 0 {
        return Ok(Configuration::default());
    }
    let configuration: Configuration =
        serde_json::from_slice(&entry.value).map_err(|error| ChangeError::Unreadable {
            reason: error.to_string(),
        })?;
    if configuration.format > FORMAT {
        let reason = format!(
            "its format is {}, newer than {FORMAT}",
            configuration.format
        );
        return Err(ChangeError::Unreadable { reason });
    }
    Ok(configuration)
}
