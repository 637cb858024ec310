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
use super::turns::{MAX_ITEMS, Turns};

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
        let sent = match send_changes(&shared, &events, after).await {
            Err(StoreError::Compacted(_)) => send_all(&shared, &events, after).await,
            sent => sent,
        };
        match sent {
            Ok(Some(revision)) => after = revision.max(after),
            Ok(None) => info!(
                after,
                "owner: the lease is not renewed yet; the jobs found are sent again."
            ),
            Err(error) => {
                warn!(%error, "owner: polling for accepted jobs failed; trying again.");
            }
        }
    }
}

/// Sends the jobs that were stored after a revision; returns the revision up to which they are complete,
/// `None` if the owner has not added them.
async fn send_changes(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
    after: u64,
) -> Result<Option<u64>, StoreError> {
    let (changes, revision) = shared.store.watch(JOBS_PREFIX, after, 0).await?;
    if revision <= after {
        return Ok(Some(after));
    }
    let items = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Removed(_) => None,
    });
    let jobs = decode_jobs(&items.collect::<Vec<_>>()).await;
    let is_added = send_jobs(events, jobs, after, revision).await;
    Ok(is_added.then_some(revision))
}

/// Does the same with all stored jobs, since the store no longer has the changes. They may be more than
/// the gate can hold, so that each page is sent before the next one is read.
async fn send_all(
    shared: &Shared,
    events: &mpsc::UnboundedSender<OwnerEvent>,
    after: u64,
) -> Result<Option<u64>, StoreError> {
    let (mut key, mut first) = (String::new(), None);
    loop {
        let page = shared.store.range_page(JOBS_PREFIX, &key).await?;
        let revision = *first.get_or_insert(page.revision);
        let last = page.items.last().filter(|_| page.has_more);
        let next = last.map(|last| last.key.clone());
        let jobs = decode_jobs(&page.items).await;
        let complete = if next.is_some() { after } else { revision };
        if !send_jobs(events, jobs, after, complete).await {
            return Ok(None);
        }
        match next {
            Some(next) => key = next,
            None => return Ok(Some(revision)),
        }
    }
}

/// Sends the owner jobs that are complete after one revision up to another, in bounded portions; returns
/// whether it has added all.
async fn send_jobs(
    events: &mpsc::UnboundedSender<OwnerEvent>,
    mut jobs: Vec<StoredJob>,
    after: u64,
    revision: u64,
) -> bool {
    loop {
        let later = jobs.split_off(jobs.len().min(MAX_ITEMS));
        // The jobs are complete only with the last portion.
        let complete = if later.is_empty() { revision } else { after };
        let (answer, added) = oneshot::channel();
        let event = OwnerEvent::JobsFound(jobs, complete, answer);
        if events.send(event).is_err() || added.await != Ok(true) {
            return false;
        }
        if later.is_empty() {
            return true;
        }
        jobs = later;
    }
}

/// Decodes jobs; one that cannot be decoded is skipped.
pub async fn decode_jobs(items: &[Item]) -> Vec<StoredJob> {
    let mut turns = Turns::default();
    let mut jobs = Vec::with_capacity(items.len());
    for item in items {
        turns.count(1).await;
        if is_cancelled(item) {
            continue;
        }
        match decode_job(item) {
            Ok(job) => jobs.push(job),
            Err(error) => {
                warn!(
                    error = format!("{error:#}"),
                    "owner: a stored job cannot be decoded; it is skipped."
                );
            }
        }
    }
    jobs
}
