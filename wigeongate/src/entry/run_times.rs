//! Keeps in the store what the finished runs have shown, for the next owner.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::{Result, eyre};
use tracing::{debug, info, warn};
use wigeongate_core::run_times::{RunTimes, StoredRunTimes};
use wigeongate_core::time::Millis;
use wigeongate_platform::store::{Txn, TxnOutcome};

use super::records::{OWNER_KEY, RUN_TIMES_KEY, decode, encode};
use super::shared::Shared;

/// The minimum time between writes, in milliseconds. Every write is charged for, and what a new owner
/// lacks is seconds of history.
const WRITE_INTERVAL_MS: u64 = 2_000;

/// Reads what the runs have shown to earlier owners; empty if that is missing or cannot be used.
pub async fn read(shared: Arc<Shared>) -> RunTimes {
    match read_stored(&shared).await {
        Ok(Some(run_times)) => {
            let (queues, groups) = run_times.sizes();
            info!(queues, groups, "owner: run times restored from the store.");
            run_times
        }
        Ok(None) => {
            info!("owner: the store holds no run times; forecasts begin with the estimates.");
            RunTimes::default()
        }
        Err(error) => {
            warn!(
                error = format!("{error:#}"),
                "owner: the stored run times cannot be used; forecasts begin with the estimates."
            );
            RunTimes::default()
        }
    }
}

async fn read_stored(shared: &Shared) -> Result<Option<RunTimes>> {
    let Some(item) = shared.store.get(RUN_TIMES_KEY).await? else {
        return Ok(None);
    };
    let stored: StoredRunTimes = decode(&item.key, &item.value)?;
    let run_times =
        RunTimes::try_from(stored).map_err(|rejection| eyre!("{RUN_TIMES_KEY}: {rejection}"))?;
    Ok(Some(run_times))
}

/// Writes what the runs have shown to the store, at a bounded rate.
#[derive(Debug)]
pub struct RunTimesWriter {
    shared: Arc<Shared>,
    /// The revision of the owner key, which is the condition of each write.
    revision: u64,
    /// When the last write began.
    last_write: Millis,
    /// The number of samples in the last write.
    samples: u64,
    /// Whether a write is in progress; there is never more than one.
    writing: Arc<AtomicBool>,
}

impl RunTimesWriter {
    /// Creates the writer of an epoch; `revision` is that of the owner key.
    pub fn new(shared: Arc<Shared>, revision: u64) -> Self {
        Self {
            last_write: shared.now(),
            shared,
            revision,
            samples: 0,
            writing: Arc::default(),
        }
    }

    /// Begins a write if the forecasts are in use, runs have ended since the last write and that is
    /// long enough ago. A failed write is made up for by the next one.
    pub fn write(&mut self, run_times: &RunTimes) {
        let now = self.shared.now();
        if !self.shared.settings.policies().run_times
            || run_times.samples() == self.samples
            || now.since(self.last_write).0 < WRITE_INTERVAL_MS
            || self.writing.swap(true, Ordering::Relaxed)
        {
            return;
        }
        self.last_write = now;
        self.samples = run_times.samples();
        let value = encode(&StoredRunTimes::from(run_times));
        let bytes = value.len();
        let txn = Txn {
            expected: vec![(OWNER_KEY.to_owned(), self.revision)],
            puts: vec![(RUN_TIMES_KEY.to_owned(), value, 0)],
            removes: Vec::new(),
        };
        let (shared, writing) = (Arc::clone(&self.shared), Arc::clone(&self.writing));
        tokio::spawn(async move {
            match shared.store.commit(&txn).await {
                Ok(TxnOutcome::Done(_)) => debug!(bytes, "owner: run times written."),
                Ok(_) => debug!("owner: run times not written, another gate is the owner."),
                Err(error) => warn!(%error, "owner: writing the run times failed."),
            }
            writing.store(false, Ordering::Relaxed);
        });
    }
}
