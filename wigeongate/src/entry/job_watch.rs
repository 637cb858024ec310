//! Finds accepted jobs in the store that no gate has submitted to the owner.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};
use wigeongate_core::workflow::StoredJob;
use wigeongate_platform::store::{Change, Item, StoreError};

use super::owner_event::OwnerEvent;
use super::records::{JOBS_PREFIX, decode_job, is_cancelled};
use super::shared::Shared;

/// The time between polls of the store for accepted jobs, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Sends the owner the jobs that were stored after a revision, until the owner has ended. Jobs that
/// the owner does not add are read and sent again.
pub async fn follow(
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    mut after: u64,
) {
    while !events.is_closed() {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let (items, revision) = match read_changes(&shared, after).await {
            Ok(found) => found,
            Err(error) => {
                warn!(%error, "owner: polling for accepted jobs failed; trying again.");
                continue;
            }
        };
        if revision <= after {
            continue;
        }
        let jobs = decode_jobs(&items);
        let found = jobs.len();
        let (answer, added) = oneshot::channel();
        if events
            .send(OwnerEvent::JobsFound(jobs, revision, answer))
            .is_err()
        {
            return;
        }
        if added.await == Ok(true) {
            after = revision;
        } else {
            info!(
                found,
                revision, "owner: the lease is not renewed yet; the jobs found are sent again."
            );
        }
    }
}

/// Returns the jobs that were stored after a revision, or all if the store no longer has the
/// changes, with the revision up to which they are complete.
async fn read_changes(shared: &Shared, after: u64) -> Result<(Vec<Item>, u64), StoreError> {
    match shared.store.watch(JOBS_PREFIX, after, 0).await {
        Ok((changes, revision)) => {
            let items = changes.into_iter().filter_map(|change| match change {
                Change::Put(item) => Some(item),
                Change::Removed(_) => None,
            });
            Ok((items.collect(), revision))
        }
        Err(StoreError::Compacted(_)) => shared.store.range(JOBS_PREFIX).await,
        Err(error) => Err(error),
    }
}

/// Decodes jobs; one that cannot be decoded is skipped.
pub fn decode_jobs(items: &[Item]) -> Vec<StoredJob> {
    let jobs = items.iter().filter(|item| !is_cancelled(item));
    let decoded = jobs.filter_map(|item| {
        decode_job(item)
            .inspect_err(|error| {
                warn!(
                    error = format!("{error:#}"),
                    "owner: a stored job cannot be decoded; it is skipped."
                );
            })
            .ok()
    });
    decoded.collect()
}
