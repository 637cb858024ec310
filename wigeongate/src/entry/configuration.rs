//! Follows the configuration in the store and puts the newest version in force.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::collections::HashSet;
use wigeongate_core::ids::ZoneId;
use wigeongate_platform::manifest::{self, Manifest};
use wigeongate_platform::store::{Change, Item, StoreError};

use super::shared::Shared;

/// How long a watch waits for a change, in milliseconds. Each answer confirms that the API keys are
/// current, and keys are trusted for only a few seconds without a confirmation.
const WATCH_WAIT_MS: u64 = 1_000;

/// The delay after a failed read or watch, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// The configuration as read from the store.
#[derive(Debug, Default)]
struct View {
    /// The newest manifest that could be read; its version never decreases.
    manifest: Option<Manifest>,
    evacuated: HashSet<ZoneId>,
}

impl View {
    /// Applies a written key; an older configuration never replaces a newer one.
    fn put(&mut self, item: &Item) {
        if item.key == manifest::CONFIG_KEY {
            match manifest::parse_manifest(&item.value) {
                Ok(new) => {
                    let newer = self
                        .manifest
                        .as_ref()
                        .is_none_or(|old| new.version >= old.version);
                    if newer {
                        self.manifest = Some(new);
                    }
                }
                Err(error) => warn!(
                    revision = item.revision,
                    error,
                    "configuration: the stored version is invalid; the previous one stays in force."
                ),
            }
        } else if let Some(zone) = manifest::parse_evacuated_zone(&item.key) {
            info!(%zone, revision = item.revision, "configuration: the zone is evacuated.");
            self.evacuated.insert(zone);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(zone) = manifest::parse_evacuated_zone(key) {
            info!(%zone, "configuration: the zone is no longer evacuated.");
            self.evacuated.remove(&zone);
        }
    }

    /// Puts the configuration in force in this gate and notifies a local owner.
    fn publish(&self, shared: &Shared) {
        let Some(manifest) = &self.manifest else {
            return;
        };
        let mut rules = (*manifest.rules).clone();
        rules.evacuated.clone_from(&self.evacuated);
        let manifest = Manifest {
            rules: Arc::new(rules),
            ..manifest.clone()
        };
        let old = shared.manifest.load();
        let changed = old
            .as_ref()
            .as_ref()
            .is_none_or(|old| old.version != manifest.version);
        if changed {
            info!(
                version = manifest.version,
                "configuration: a new version is in force."
            );
        }
        shared.manifest.store(Arc::new(Some(Arc::new(manifest))));
        if let Some(owner) = shared.local_owner() {
            owner.configure();
        }
    }
}

/// Follows the configuration until the process ends.
pub async fn follow(shared: Arc<Shared>) {
    let mut view = View::default();
    loop {
        if let Err(error) = follow_once(&shared, &mut view).await {
            warn!(%error, age_ms = shared.configuration_age().0,
                "configuration: the store cannot be read; trying again.");
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

/// Reads the configuration and follows its changes, until the store no longer has all of them.
async fn follow_once(shared: &Shared, view: &mut View) -> Result<(), StoreError> {
    let sent = shared.now();
    let (items, mut revision) = shared.store.range(manifest::OPERATOR_PREFIX).await?;
    view.evacuated.clear();
    for item in &items {
        view.put(item);
    }
    view.publish(shared);
    shared.confirm_configuration(sent);
    loop {
        let sent = shared.now();
        let (changes, read_revision) = match shared
            .store
            .watch(manifest::OPERATOR_PREFIX, revision, WATCH_WAIT_MS)
            .await
        {
            // Without the history since the last read, everything is read again at once.
            Err(StoreError::Compacted(_)) => return Ok(()),
            other => other?,
        };
        revision = revision.max(read_revision);
        for change in &changes {
            match change {
                Change::Put(item) => view.put(item),
                Change::Removed(key) => view.remove(key),
            }
        }
        if !changes.is_empty() {
            view.publish(shared);
        }
        shared.confirm_configuration(sent);
    }
}
