//! Follows the registry of executors in the store and sends the owner every change.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::HostEntry;
use wigeongate_platform::registry::{self, HOST_PREFIX};
use wigeongate_platform::store::{Change, StoreError};

use super::owner_event::OwnerEvent;
use super::shared::Shared;

/// How long a watch waits for a change, in milliseconds. Each answer confirms that the list is
/// current, and starts need a confirmation that is a few seconds old at most.
const WATCH_WAIT_MS: u64 = 1_000;

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
    let sent = shared.now();
    let (items, mut revision) = shared.store.range(HOST_PREFIX).await?;
    let mut entries = Entries::default();
    for item in items {
        update_entry(&mut entries, &item.key, &item.value);
    }
    send_hosts(&entries, sent, events);
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
                    let id = HostId::from(item.key.strip_prefix(HOST_PREFIX).unwrap_or(&item.key));
                    let before = entries.get(&id).map(|entry| entry.capacity);
                    update_entry(&mut entries, &item.key, &item.value);
                    let after = entries.get(&id).map(|entry| entry.capacity);
                    log_change(&id, before, after, revision);
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
            send_hosts(&entries, started, events);
        } else {
            // Fails only after the owner's loop has ended.
            let _ = events.send(OwnerEvent::RegistryRead(started));
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

/// Logs that a host was added to the registry, or that its capacity has changed.
fn log_change(id: &HostId, before: Option<Resources>, after: Option<Resources>, revision: u64) {
    match (before, after) {
        (None, Some(_)) => info!(
            host = %id,
            revision,
            "registry: the host was added to the registry."
        ),
        (Some(before), Some(after)) if before != after => info!(
            host = %id,
            revision,
            ?before,
            ?after,
            "registry: the capacity of the host changed."
        ),
        _ => {}
    }
}

/// Sends the owner the list of hosts, whose read was sent at `sent`.
fn send_hosts(entries: &Entries, sent: Millis, events: &mpsc::UnboundedSender<OwnerEvent>) {
    let list = entries.values().cloned().collect();
    // Both fail only after the owner's loop has ended.
    let _ = events.send(OwnerEvent::HostsListed(list));
    let _ = events.send(OwnerEvent::RegistryRead(sent));
}
