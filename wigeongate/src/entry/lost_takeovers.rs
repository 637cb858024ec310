//! Knows whether takeovers of late were lost before the state was restored. Then no gate can say when a job
//! would start, and further jobs only make the next restore longer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::info;
use wigeongate_platform::store::{StoreError, Txn, TxnOutcome};

use super::owner_event::OwnerEvent;
use super::records::{OWNER_KEY, OwnerRecord, RESTORED_KEY, decode, encode};
use super::restore_progress::{RestoreProgress, RestoreStep};
use super::shared::Shared;

/// The number of takeovers in a row that were lost before their restore, from which on jobs are refused
/// until an owner has restored the state. A killed owner or a short outage of the store costs one or two.
const MAX_LOST: u32 = 3;

/// The delay before a failed read or write is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// How often the newest restored epoch is read before that fails.
const READ_ATTEMPTS: u32 = 3;

#[derive(Debug, Default)]
struct State {
    /// The epoch of the newest owner that this gate has seen.
    epoch: u64,
    /// The takeovers in a row before it that were lost.
    lost: u32,
    /// The newest epoch whose owner is known to have restored the state.
    restored: u64,
}

/// The takeovers that were lost, as far as one gate has seen.
#[derive(Debug, Default)]
pub struct LostTakeovers(Mutex<State>);

impl LostTakeovers {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an owner; it counts until a newer one is seen, also while there is none.
    pub fn record_owner(&self, owner: &OwnerRecord) {
        let mut state = self.state();
        if owner.epoch > state.epoch {
            state.epoch = owner.epoch;
            state.lost = owner.lost;
        }
    }

    /// Records that the owner of an epoch has restored the state: it has answered a call, or wrote so.
    /// Returns whether takeovers were lost before.
    pub fn record_restored(&self, epoch: u64) -> bool {
        let before = self.count();
        let mut state = self.state();
        state.restored = state.restored.max(epoch);
        before > 0 && state.restored >= state.epoch
    }

    /// Returns how many takeovers in a row before the newest owner were lost; zero once it has restored
    /// the state.
    pub fn count(&self) -> u32 {
        let state = self.state();
        if state.restored >= state.epoch {
            0
        } else {
            state.lost
        }
    }

    /// Returns whether jobs are refused.
    pub fn refuse_jobs(&self) -> bool {
        self.count() >= MAX_LOST
    }
}

/// Writes that the owner of an epoch has restored the state, with retries until another gate is the owner;
/// `revision` is that of its owner key. A lease may have ended during the restore without the owner's
/// knowledge, so that the takeover counts as restored once the store has confirmed this.
pub async fn write_restored(
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    progress: Arc<RestoreProgress>,
    epoch: u64,
    revision: u64,
) {
    let txn = Txn {
        expected: vec![(OWNER_KEY.to_owned(), revision)],
        puts: vec![(RESTORED_KEY.to_owned(), encode(&epoch), 0)],
        removes: Vec::new(),
    };
    progress.begin(RestoreStep::Confirm, shared.now());
    while !events.is_closed() {
        match shared.store.commit(&txn).await {
            Ok(TxnOutcome::Done(_)) => {
                progress.end(RestoreStep::Confirm, shared.now());
                shared.metrics.count("takeovers", "restored");
                shared.record_restored(epoch);
                return;
            }
            Ok(_) => return,
            Err(error) => {
                info!(%error, epoch,
                    "owner: writing that the state is restored failed; trying again.");
            }
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

/// Reads the newest epoch whose owner has restored the state; `None` if earlier versions have not written
/// it, or if it cannot be decoded. One call that fails is no reason to give up a takeover.
pub async fn read_restored(shared: &Shared) -> Result<Option<u64>, StoreError> {
    let mut attempt = 1;
    loop {
        match shared.store.get(RESTORED_KEY).await {
            Ok(item) => {
                return Ok(item.and_then(|item| decode(RESTORED_KEY, &item.value).ok()));
            }
            Err(error) if attempt == READ_ATTEMPTS => return Err(error),
            Err(_) => attempt += 1,
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}
