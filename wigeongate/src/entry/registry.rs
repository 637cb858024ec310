//! Follows the executors' entries for the owner.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::HostId;
use wigeongate_core::workflow::HostEntry;
use wigeongate_platform::registry::{self, PREFIX};
use wigeongate_platform::store::{Change, StoreError};

use super::owner::OwnerEvent;
use super::shared::Shared;

/// How long a look waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 2_000;

/// The shortest time between looks, in milliseconds: notices of leaving count in seconds.
const MIN_INTERVAL_MS: u64 = 200;

type Entries = HashMap<HostId, (HostEntry, String)>;

/// Tells the owner of executors that come, change and go, until nobody listens.
pub async fn follow(shared: Arc<Shared>, events: mpsc::UnboundedSender<OwnerEvent>) {
    while !events.is_closed() {
        if let Err(error) = follow_once(&shared, &events).await {
            warn!(%error, "registry: the look failed.");
        }
        sleep(Duration::from_millis(MIN_INTERVAL_MS)).await;
    }
}

async fn follow_once(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
) -> Result<(), StoreError> {
    let (items, mut revision) = shared.store.range(PREFIX).await?;
    let mut entries = Entries::default();
    for item in items {
        update_entry(&mut entries, &item.key, &item.value);
    }
    send_hosts(&entries, events);
    while !events.is_closed() {
        let started = shared.now();
        let (changes, read_revision) = shared.store.watch(PREFIX, revision, WATCH_WAIT_MS).await?;
        revision = revision.max(read_revision);
        let is_changed = !changes.is_empty();
        for change in changes {
            match change {
                Change::Put(item) => update_entry(&mut entries, &item.key, &item.value),
                Change::Removed(key) => {
                    let id = key.strip_prefix(PREFIX).unwrap_or(&key);
                    info!(host = id, revision, "registry: host is gone.");
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
    match registry::entry(key, value) {
        Ok((entry, address)) => {
            entries.insert(entry.id.clone(), (entry, address));
        }
        Err(error) => {
            warn!(error, "registry: an entry names no host to use.");
            let id = key.strip_prefix(PREFIX).unwrap_or(key);
            entries.remove(&HostId::from(id));
        }
    }
}

fn send_hosts(entries: &Entries, events: &mpsc::UnboundedSender<OwnerEvent>) {
    let list = entries.values().cloned().collect();
    // The owner's loop has ended when nobody listens.
    let _ = events.send(OwnerEvent::HostsListed(list));
}
