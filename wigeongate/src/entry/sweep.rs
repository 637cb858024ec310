//! Removes what earlier owners have left behind: batches that a checkpoint covers, and parts that no
//! head names.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, info, warn};
use wigeongate_platform::store::{MAX_TXN_KEYS, TxnOutcome};

use super::checkpoint::removal;
use super::owner_event::OwnerEvent;
use super::records::{CHECKPOINTS_PREFIX, CheckpointHead, LOG_PREFIX, part_key, parts_prefix};
use super::shared::Shared;

/// The time from the takeover to the first page, in milliseconds. Callers and hosts come first, and an
/// owner that is replaced at once sweeps nothing.
const DELAY_MS: u64 = 5_000;

/// The time between pages, in milliseconds; a page may take up a narrow link for a second.
const PAGE_PAUSE_MS: u64 = 2_000;

/// The time between transactions, in milliseconds.
const REMOVAL_PAUSE_MS: u64 = 100;

/// The removal of what earlier owners have left behind.
#[derive(Debug)]
pub struct Sweep {
    /// The state that the parts of the gate share.
    pub shared: Arc<Shared>,
    /// The epoch of this owner, whose own parts stay.
    pub epoch: u64,
    /// The revision of the owner key.
    pub revision: u64,
    /// The channel of the owner, which closes with it.
    pub events: mpsc::UnboundedSender<OwnerEvent>,
    /// The checkpoint that this owner has read.
    pub head: Option<CheckpointHead>,
}

impl Sweep {
    /// Removes everything that is left behind, unless the owner ends before.
    pub async fn run(self) {
        pause(DELAY_MS).await;
        let mut removed = 0;
        if let Some(head) = &self.head {
            removed += self.sweep(LOG_PREFIX, &head.covered, |_| true).await;
        }
        let named = (self.head.as_ref()).map(|head| parts_prefix(head.epoch, head.number));
        let is_left = |key: &str| !named.as_ref().is_some_and(|named| key.starts_with(named));
        let own = part_key(self.epoch, 0, 0);
        removed += self.sweep(CHECKPOINTS_PREFIX, &own, is_left).await;
        if removed > 0 {
            info!(removed, "checkpoint: keys of earlier owners removed.");
        }
    }

    /// Removes the keys with a prefix up to `last` for which `is_left` holds; returns their number.
    async fn sweep(&self, prefix: &str, last: &str, is_left: impl Fn(&str) -> bool) -> usize {
        let (mut after, mut removed) = (String::new(), 0);
        while !self.events.is_closed() {
            let page = match self.shared.store.range_page(prefix, &after).await {
                Ok(page) => page,
                Err(error) => {
                    warn!(%error, prefix, "checkpoint: a page cannot be read; trying again.");
                    pause(PAGE_PAUSE_MS).await;
                    continue;
                }
            };
            let end = page.items.last().map(|item| item.key.clone());
            let keys = page.items.into_iter().map(|item| item.key);
            let left: Vec<String> = keys
                .filter(|key| key.as_str() <= last && is_left(key))
                .collect();
            for keys in left.chunks(MAX_TXN_KEYS - 1) {
                if !self.remove(keys).await {
                    return removed;
                }
                removed += keys.len();
                pause(REMOVAL_PAUSE_MS).await;
            }
            match end {
                Some(end) if page.has_more && end.as_str() < last => after = end,
                _ => break,
            }
            pause(PAGE_PAUSE_MS).await;
        }
        removed
    }

    /// Removes keys, with retries; returns false if another gate is the owner.
    async fn remove(&self, keys: &[String]) -> bool {
        let txn = removal(keys.to_vec(), self.revision);
        while !self.events.is_closed() {
            match self.shared.store.commit(&txn).await {
                Ok(TxnOutcome::Done(_)) => {
                    debug!(
                        keys = keys.len(),
                        "checkpoint: keys of earlier owners removed."
                    );
                    return true;
                }
                Ok(_) => return false,
                Err(error) => {
                    warn!(%error, "checkpoint: removing keys of earlier owners failed.");
                    pause(PAGE_PAUSE_MS).await;
                }
            }
        }
        false
    }
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
