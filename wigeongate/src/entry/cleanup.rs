//! Removes the keys of expired jobs from the store.

use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::{debug, warn};
use wigeongate_core::workflow::Removal;
use wigeongate_platform::store::{MAX_TXN_KEYS, Txn, TxnOutcome};

use super::owner_event::OwnerEvent;
use super::records::{OWNER_KEY, job_key};
use super::shared::Shared;

/// The most keys that one transaction removes; its condition takes one more entry.
pub const MAX_REMOVED_KEYS: usize = MAX_TXN_KEYS - 1;

/// Removes keys if the owner key is still at `revision`, and sends the owner the outcome.
pub fn remove(
    shared: &Arc<Shared>,
    events: &mpsc::UnboundedSender<OwnerEvent>,
    removal: &Removal,
    revision: u64,
) {
    let txn = Txn {
        expected: vec![(OWNER_KEY.to_owned(), revision)],
        removes: removal.jobs.iter().map(|job| job_key(*job)).collect(),
        ..Txn::default()
    };
    let shared = Arc::clone(shared);
    let events = events.clone();
    tokio::spawn(async move {
        let keys = txn.removes.len();
        let result = shared.store.commit(&txn).await;
        match &result {
            Ok(TxnOutcome::Done(_)) => debug!(keys, "cleanup: expired keys removed."),
            // The next owner reads all jobs and removes the expired ones.
            Ok(_) => debug!(keys, "cleanup: nothing removed, another gate is the owner."),
            Err(error) => {
                warn!(%error, keys, "cleanup: removing expired keys failed; trying again.");
            }
        }
        let is_confirmed = matches!(result, Ok(TxnOutcome::Done(_)));
        // Fails only after the owner's loop has ended.
        let _ = events.send(OwnerEvent::RemovalAnswered(is_confirmed));
    });
}
