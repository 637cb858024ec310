//! Follows the registry of executors in the store and sends the owner every change.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::HostId;
use wigeongate_core::workflow::HostEntry;
use wigeongate_platform::registry::{self, HOST_PREFIX};
use wigeongate_platform::store::{Change, StoreError};

use super::owner::OwnerEvent;
use super::shared::Shared;

/// How long a watch waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 2_000;

/// The minimum time between watches, in milliseconds. Hosts announce seconds ahead that they leave.
const MIN_INTERVAL_MS: u64 = 200;

/// The valid entries, by host.
type Entries = HashMap<HostId, HostEntry>;

/// Sends the owner the list of executors whenever it changes, until the owner has ended.
pub async fn follow(shared: Arc<Shared>, events: mpsc::UnboundedSender<OwnerEvent>) {
    while !events.is_closed() {
        if let Err(error) = follow_once(&shared, &events).await {
            warn!(%error, "registry: the registry cannot be read; trying again.");
        }
        sleep(Duration::from_millis(MIN_INTERVAL_MS)).await;
    }
}

async fn follow_once(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
) -> Result<(), StoreError> {
    let (items, mut revision) = shared.store.range(HOST_PREFIX).await?;
    let mut entries = Entries::default();
    for item in items {
        update_entry(&mut entries, &item.key, &item.value);
    }
    send_hosts(&entries, events);
    while !events.is_closed() {
        let started = shared.now();
        let (changes, read_revision) = shared
            .store
            .watch(HOST_PREFIX, revision, WATCH_WAIT_MS)
            .await?;
        revision = revision.max(read_revision);
        let is_changed = !changes.is_empty();
        for change in changes {
            match change {
                Change::Put(item) => {
                    let known = entries.len();
                    update_entry(&mut entries, &item.key, &item.value);
                    if entries.len() > known {
                        let id = item.key.strip_prefix(HOST_PREFIX).unwrap_or(&item.key);
                        info!(
                            host = id,
                            revision, "registry: the host was added to the registry."
                        );
                    }
                }
                Change::Removed(key) => {
                    let id = key.strip_prefix(HOST_PREFIX).unwrap_or(&key);
                    info!(
                        host = id,
                        revision, "registry: the host was removed from the registry."
                    );
                    entries.remove(&HostId::from(id));
                }
            }
        }
        if is_changed {
            send_hosts(&entries, events);
        }
        let pause_ms = MIN_INTERVAL_MS.saturating_sub(shared.now().since(started).0);
        sleep(Duration::from_millis(pause_ms)).await;
    }
    Ok(())
}

fn update_entry(entries: &mut Entries, key: &str, value: &[u8]) {
    match registry::parse_entry(key, value) {
        Ok(entry) => {
            entries.insert(entry.id.clone(), entry);
        }
        Err(error) => {
            warn!(
                error,
                "registry: an entry is invalid; its host is not used."
            );
            let id = key.strip_prefix(HOST_PREFIX).unwrap_or(key);
            entries.remove(&HostId::from(id));
        }
    }
}

fn send_hosts(entries: &Entries, events: &mpsc::UnboundedSender<OwnerEvent>) {
    let list = entries.values().cloned().collect();
    // Fails only after the owner's loop has ended.
    let _ = events.send(OwnerEvent::HostsListed(list));
}
