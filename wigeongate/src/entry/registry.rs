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

use super::owner::Input;
use super::shared::Shared;

/// How long a look waits for a change, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// The shortest time between looks, in milliseconds: notices of leaving count in seconds.
const EVERY_MS: u64 = 200;

type Entries = HashMap<HostId, (HostEntry, String)>;

/// Tells the owner of executors that come, change and go, until nobody listens.
pub async fn follow(shared: Arc<Shared>, inputs: mpsc::UnboundedSender<Input>) {
    while !inputs.is_closed() {
        if let Err(error) = follow_once(&shared, &inputs).await {
            warn!(%error, "registry: the look failed.");
        }
        sleep(Duration::from_millis(EVERY_MS)).await;
    }
}

async fn follow_once(
    shared: &Shared,
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<(), StoreError> {
    let (items, mut revision) = shared.store.range(PREFIX).await?;
    let mut entries = Entries::default();
    for item in items {
        take(&mut entries, &item.key, &item.value);
    }
    send(&entries, inputs);
    while !inputs.is_closed() {
        let begun = shared.now();
        let (changes, at) = shared.store.watch(PREFIX, revision, WAIT_MS).await?;
        revision = revision.max(at);
        let any = !changes.is_empty();
        for change in changes {
            match change {
                Change::Put(item) => take(&mut entries, &item.key, &item.value),
                Change::Removed(key) => {
                    let id = key.strip_prefix(PREFIX).unwrap_or(&key);
                    info!(host = id, revision, "registry: host is gone.");
                    entries.remove(&HostId::from(id));
                }
            }
        }
        if any {
            send(&entries, inputs);
        }
        let rest = EVERY_MS.saturating_sub(shared.now().since(begun).0);
        sleep(Duration::from_millis(rest)).await;
    }
    Ok(())
}

fn take(entries: &mut Entries, key: &str, value: &[u8]) {
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

fn send(entries: &Entries, inputs: &mpsc::UnboundedSender<Input>) {
    let list = entries.values().cloned().collect();
    // The owner's loop has ended when nobody listens.
    let _ = inputs.send(Input::Hosts(list));
}
