//! The pools' slices of the teams' limits, which are kept in the store and moved between pools.

mod cache;
mod need;

use std::sync::Arc;

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tracing::{info, warn};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, PoolId, TeamId, Unit};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::{self, Parts, Transfer};

pub use self::cache::SliceCache;
pub use self::need::{needs, parts_for};
use crate::members::unit_key;
use crate::store::{
    CommitOutcome, Condition, Entry, Feed, FeedUpdate, Store, StoreError, Txn, Write,
};

/// The prefix of the slices' keys in the store.
pub const PREFIX: &str = "slices/";

/// The record format that this version writes; newer formats are rejected.
const FORMAT: u32 = 1;

/// The stored record of a team's parts.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    format: u32,
    parts: Parts,
}

/// A transfer of parts of a team's limit from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceTransfer {
    /// The team.
    pub team: TeamId,
    /// The giving pool.
    pub from: PoolId,
    /// The epoch under which the giving pool is owned.
    pub epoch: Epoch,
    /// The receiving pool and the number of parts.
    pub transfer: Transfer,
}

/// The slices of the teams' limits, cached from the store.
pub struct Slices {
    store: Arc<dyn Store>,
    cache: watch::Sender<SliceCache>,
}

impl Slices {
    /// Starts to follow the slices in the store, until the returned value is dropped.
    pub fn start(store: Arc<dyn Store>, feed: &Feed) -> Arc<Self> {
        let slices = Arc::new(Self {
            store,
            cache: watch::Sender::default(),
        });
        let mut changes = feed.subscribe(PREFIX);
        let weak = Arc::downgrade(&slices);
        tokio::spawn(async move {
            while let Some(fed) = changes.recv().await {
                let Some(slices) = weak.upgrade() else { return };
                slices.apply(fed);
            }
        });
        slices
    }

    /// Returns a receiver of the changes of the slices.
    pub fn subscribe(&self) -> watch::Receiver<SliceCache> {
        self.cache.subscribe()
    }

    /// Returns the resources that each team may use in a pool that was taken under `epoch`; empty
    /// until the store was read after that.
    pub fn usable(
        &self,
        policy: &Policy,
        pool: &PoolId,
        epoch: Epoch,
    ) -> HashMap<TeamId, Resources> {
        self.cache.borrow().usable(policy, pool, epoch)
    }

    /// Returns a team's slice in a pool of any owner, as last read from the store.
    pub fn stored(&self, policy: &Policy, team: &TeamId, pool: &PoolId) -> Resources {
        self.cache.borrow().stored(policy, team, pool)
    }

    /// Returns the parts of a team's limit in each pool, as last read from the store.
    pub fn parts(&self, team: &TeamId) -> Option<Parts> {
        self.cache.borrow().parts(team).cloned()
    }

    /// Returns whether the store was read after a unit was taken under `epoch`.
    pub fn is_read_since(&self, epoch: Epoch) -> bool {
        self.cache.borrow().is_read_since(epoch)
    }

    /// Reads every slice from the store. Fails when the store does not answer.
    pub async fn refresh(&self) -> Result<(), StoreError> {
        let snapshot = self.store.range(PREFIX).await?;
        self.apply(FeedUpdate::Snapshot(snapshot));
        Ok(())
    }

    /// Splits each limit that is not split yet evenly among the pools.
    pub async fn split(&self, policy: &Policy) -> Result<()> {
        let unsplit = self.cache.borrow().unsplit(policy);
        let pools = policy.workers.values().map(|worker| &worker.pool);
        let parts = slices::split_evenly(pools);
        for team in unsplit {
            info!(
                "slices: splitting the limit of team {team} evenly among {} pools.",
                parts.len()
            );
            self.write(&team, 0, &parts, None).await?;
        }
        Ok(())
    }

    /// Lowers the giving pool's slice before a transfer is written. Returns false when the slice is
    /// too small or another transfer from it is pending.
    pub fn begin_transfer(&self, planned: &SliceTransfer) -> bool {
        let mut begun = false;
        self.cache
            .send_modify(|cache| begun = cache.begin_transfer(planned));
        begun
    }

    /// Raises the giving pool's slice again after a transfer that was never written.
    pub fn cancel_transfer(&self, planned: &SliceTransfer) {
        self.cache
            .send_modify(|cache| cache.cancel_transfer(planned));
    }

    /// Writes a transfer that was begun. After an error its outcome is unknown until
    /// [`Self::settle`].
    ///
    /// The write is conditional on the giving pool's ownership, so that a former owner cannot
    /// transfer anything.
    pub async fn commit_transfer(&self, planned: &SliceTransfer) -> Result<()> {
        let SliceTransfer {
            team,
            from,
            epoch,
            transfer,
        } = planned;
        let Some((revision, parts)) = self.cache.borrow().current(team) else {
            return Ok(());
        };
        let next = slices::transferred(&parts, from, &transfer.to, transfer.amount)
            .wrap_err_with(|| format!("transferring a slice of team {team}'s limit"))?;
        let owner = Condition {
            key: unit_key(&Unit::Pool(from.clone())),
            revision: i64::try_from(epoch.0).unwrap_or(i64::MAX),
        };
        self.write(team, revision, &next, Some(owner)).await
    }

    /// Settles the transfers with an unknown outcome by writing their teams' known parts again.
    pub async fn settle(&self) -> Result<()> {
        let unsettled = self.cache.borrow().unsettled();
        for team in unsettled {
            let current = self.cache.borrow().current(&team);
            let Some((revision, parts)) = current else {
                continue;
            };
            self.write(&team, revision, &parts, None).await?;
        }
        Ok(())
    }

    /// Writes a team's parts on the condition that they are still at `revision`, and that `owner`
    /// holds. Otherwise reads the slices again.
    async fn write(
        &self,
        team: &TeamId,
        revision: i64,
        parts: &Parts,
        owner: Option<Condition>,
    ) -> Result<()> {
        let key = format!("{PREFIX}{team}");
        let record = Record {
            format: FORMAT,
            parts: parts.clone(),
        };
        let value = serde_json::to_vec(&record)?;
        let same = Condition {
            key: key.clone(),
            revision,
        };
        let put = Write::Put {
            key: key.clone(),
            value,
        };
        let txn = Txn {
            when: std::iter::once(same).chain(owner).collect(),
            writes: vec![put],
        };
        let step = || format!("writing the slices of team {team}'s limit");
        match self.store.commit(txn).await.wrap_err_with(step)? {
            CommitOutcome::Committed(revision) => {
                let parts = parts.clone();
                self.cache
                    .send_modify(|cache| cache.update(team, revision, parts));
            }
            CommitOutcome::Conflict => {
                self.refresh().await.wrap_err_with(step)?;
                self.cache
                    .send_modify(|cache| cache.write_rejected(team, revision));
            }
        }
        Ok(())
    }

    /// Applies a snapshot or changes from the store to the cache.
    fn apply(&self, fed: FeedUpdate) {
        self.cache.send_modify(|cache| match fed {
            FeedUpdate::Snapshot(snapshot) => {
                for entry in &snapshot.entries {
                    apply_entry(cache, entry);
                }
                cache.set_read_revision(snapshot.revision);
            }
            FeedUpdate::Changes(changes) => {
                for change in changes.iter().filter(|change| !change.removed) {
                    apply_entry(cache, &change.entry);
                }
            }
        });
    }
}

/// Applies one entry of the store to the cache; an entry that cannot be decoded is skipped.
fn apply_entry(cache: &mut SliceCache, entry: &Entry) {
    let Some(team) = entry.key.strip_prefix(PREFIX) else {
        return;
    };
    match decode(&entry.value) {
        Ok(parts) => cache.update(&TeamId::from(team), entry.revision, parts),
        Err(error) => warn!("slices: ignoring the stored slices of team {team}: {error:#}."),
    }
}

/// Decodes the record of a team's parts, and checks its format and its sum.
fn decode(value: &[u8]) -> Result<Parts> {
    let record: Record = serde_json::from_slice(value).wrap_err("reading the slices")?;
    eyre::ensure!(
        record.format <= FORMAT,
        "reading the slices: their format {} is newer than {FORMAT}, the newest supported",
        record.format
    );
    slices::check_sum(&record.parts)?;
    Ok(record.parts)
}
