//! Keeps the configuration in force the newest.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::collections::HashSet;
use wigeongate_core::ids::ZoneId;
use wigeongate_platform::manifest::{self, Manifest};
use wigeongate_platform::store::{Change, Item, StoreError};

use super::shared::Shared;

/// How long a look waits for a change, in milliseconds: each answer proves that keys are current,
/// which has to be proved every few seconds.
const WATCH_WAIT_MS: u64 = 1_000;

/// The pause after a failed look, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

#[derive(Debug, Default)]
struct View {
    manifest: Option<Manifest>,
    evacuated: HashSet<ZoneId>,
}

impl View {
    /// Takes in a written key; an older configuration never replaces a newer one.
    fn put(&mut self, item: &Item) {
        if item.key == manifest::CONFIG {
            match manifest::manifest(&item.value) {
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
                    error, "configuration: unreadable."
                ),
            }
        } else if let Some(zone) = manifest::evacuated(&item.key) {
            info!(%zone, revision = item.revision, "configuration: zone is out.");
            self.evacuated.insert(zone);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(zone) = manifest::evacuated(key) {
            info!(%zone, "configuration: zone is back.");
            self.evacuated.remove(&zone);
        }
    }

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
            info!(version = manifest.version, "configuration: in force.");
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
            warn!(%error, age_ms = shared.configuration_age().0, "configuration: the look failed.");
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

async fn follow_once(shared: &Shared, view: &mut View) -> Result<(), StoreError> {
    let sent = shared.now();
    let (items, mut revision) = shared.store.range(manifest::PREFIX).await?;
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
            .watch(manifest::PREFIX, revision, WATCH_WAIT_MS)
            .await
        {
            // Where the history is gone everything is read again, at once.
            Err(StoreError::Compacted(_)) => return Box::pin(follow_once(shared, view)).await,
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
