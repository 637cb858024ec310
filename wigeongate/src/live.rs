//! The configuration in force at this gate.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use derive_more::Display;
use tokio::sync::watch;
use tracing::info;
use wigeongate_config::change::{Change, InvalidChange};
use wigeongate_config::configuration::{Configuration, FORMAT};
use wigeongate_config::key::KeyHash;
use wigeongate_config::rules::Queue;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{QueueId, Revision, TeamId};
use wigeongate_core::policy::Policy;

use crate::store::{CommitOutcome, Condition, Entry, Store, StoreError, Txn, Write};

/// The key of the configuration in the store.
pub const CONFIGURATION_KEY: &str = "configuration";

/// The number of revisions kept to describe what changed since an operator read the configuration.
const MAX_RECENT_REVISIONS: usize = 8;

/// The number of attempts for a change that keeps losing the race with other changes.
const MAX_CHANGE_ATTEMPTS: usize = 20;

/// One revision of the configuration, indexed for use.
#[derive(Debug, Default)]
pub struct LiveConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// The policy that scheduling decisions are made by.
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
    /// Returns the team of an API key.
    ///
    /// The lookup uses the hash of the key, so its duration reveals nothing about the key.
    pub fn team(&self, key: &str) -> Option<&TeamId> {
        let hash = KeyHash::of(key);
        let (found, team) = self.keys.get_key_value(&hash)?;
        found.matches(&hash).then_some(team)
    }

    /// Returns whether the API key with this hash belongs to a team.
    pub fn is_team_key(&self, hash: &KeyHash, team: &TeamId) -> bool {
        self.keys.get(hash) == Some(team)
    }

    /// Returns the queue of this name.
    pub fn queue(&self, name: &QueueId) -> Option<&Queue> {
        self.queues.get(name)
    }
}

/// The reason why a change of the configuration was not accepted.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum ChangeError {
    /// The change is invalid.
    #[display("the change is refused: {_0}")]
    Refused(InvalidChange),
    /// The operator expected a different revision from the one in the store.
    #[display("revision {expected} was expected but {found} is in force; changed: {changes}")]
    #[from(skip)]
    Raced {
        /// The revision that the operator expected.
        expected: Revision,
        /// The revision in the store.
        found: Revision,
        /// The parts that differ, if this gate still keeps the expected revision.
        changes: String,
    },
    /// Each attempt lost the race with another change; nothing was changed.
    #[display("other changes came first again and again; nothing was changed")]
    Busy,
    /// A call of the store failed.
    #[display("{_0}")]
    Store(StoreError),
    /// The configuration cannot be decoded or encoded, or its format is newer than this program.
    #[display("the stored configuration cannot be read: {reason}")]
    #[from(skip)]
    Unreadable {
        /// The cause.
        reason: String,
    },
}

/// Holds the configuration in force and changes it through the store.
pub struct Configurations {
    store: Arc<dyn Store>,
    live: ArcSwap<LiveConfiguration>,
    loopback: AtomicBool,
    /// The last revisions that came into force; the newest is at the end.
    recent: Mutex<VecDeque<Arc<LiveConfiguration>>>,
    revision: watch::Sender<Revision>,
}

impl Configurations {
    /// Creates the state with an empty configuration of revision zero.
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

    /// Replaces the addresses in every configuration by loopback ones, for runs on one machine.
    pub fn use_loopback(&self) {
        self.loopback.store(true, Ordering::Relaxed);
    }

    /// Returns the configuration in force.
    pub fn live(&self) -> Arc<LiveConfiguration> {
        self.live.load_full()
    }

    /// Returns a receiver of each revision that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Reads the configuration from the store and puts it in force unless a newer one is.
    ///
    /// Returns the revision in force afterwards.
    pub async fn refresh(&self) -> Result<Revision, ChangeError> {
        let (_, configuration) = self.read().await?;
        Ok(self.apply_newer(configuration))
    }

    /// Puts a configuration in force if it is newer than the present one.
    ///
    /// Returns the revision in force afterwards.
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

    /// Makes a change and returns the revision that holds it.
    ///
    /// With `expected`, fails unless the store holds that revision.
    pub async fn change(
        &self,
        change: Change,
        expected: Option<Revision>,
    ) -> Result<Revision, ChangeError> {
        for _ in 0..MAX_CHANGE_ATTEMPTS {
            let (entry, current) = self.read().await?;
            let found = current.revision;
            if found < self.live.load().configuration.revision {
                // A replica of the store returned an older revision than the one in force.
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
            let next = current.with_change(change.clone())?;
            if self.write(&entry, &next).await? {
                return Ok(self.apply_newer(next));
            }
        }
        Err(ChangeError::Busy)
    }

    /// Lists the parts in which a configuration differs from an earlier revision.
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

/// Returns the names of the parts in which two configurations differ.
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

/// Decodes a stored configuration; an absent one is empty.
///
/// Fails if the value is malformed or has a newer format than this program.
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
