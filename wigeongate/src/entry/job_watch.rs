//! Finds accepted jobs in the store that no gate has submitted to the owner.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::warn;
use wigeongate_core::workflow::Workflow;
use wigeongate_platform::store::{Change, StoreError};

use super::owner::OwnerEvent;
use super::records::{JOBS_PREFIX, decode};
use super::shared::Shared;

/// The time between polls of the store for accepted jobs, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Sends the owner the jobs that were stored after a revision, until the owner has ended.
pub async fn follow(
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    mut after: u64,
) {
    while !events.is_closed() {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let found = match shared.store.watch(JOBS_PREFIX, after, 0).await {
            Ok((changes, read_revision)) => {
                after = after.max(read_revision);
                let items = changes.into_iter().filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                });
                items.collect()
            }
            Err(StoreError::Compacted(_)) => match shared.store.range(JOBS_PREFIX).await {
                Ok((items, read_revision)) => {
                    after = after.max(read_revision);
                    items
                }
                Err(error) => {
                    warn!(%error, "owner: the accepted jobs cannot be read; trying again.");
                    continue;
                }
            },
            Err(error) => {
                warn!(%error, "owner: polling for accepted jobs failed; trying again.");
                continue;
            }
        };
        let flows: Vec<Workflow> = found
            .iter()
            .filter_map(|item| decode(&item.key, &item.value).ok())
            .collect();
        if !flows.is_empty() && events.send(OwnerEvent::JobsFound(flows)).is_err() {
            return;
        }
    }
}
