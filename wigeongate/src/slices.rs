//! The slices of the teams' limits: kept in the store, moved to the pools that need them.

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
use crate::store::{Committed, Entry, Fed, Feed, Store, StoreError, Txn, Unchanged, Write};

/// What the keys of slices start with.
pub const PREFIX: &str = "slices/";

/// The format that this program writes; a newer one is refused.
const FORMAT: u32 = 1;

/// A team's parts as the store keeps them.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    format: u32,
    parts: Parts,
}

/// A transfer between two pools of what a team may have running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceTransfer {
    /// The team.
    pub team: TeamId,
    /// The giving pool.
    pub from: PoolId,
    /// The epoch under which its owner gives.
    pub epoch: Epoch,
    /// Where it goes, and how many parts.
    pub transfer: Transfer,
}

/// The slices of the teams' limits.
pub struct Slices {
    store: Arc<dyn Store>,
    cache: watch::Sender<SliceCache>,
}

impl Slices {
    /// Follows the slices in the store.
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

    /// Returns a receiver that learns of each change of the slices.
    pub fn subscribe(&self) -> watch::Receiver<SliceCache> {
        self.cache.subscribe()
    }

    /// Returns what the teams may have running in a pool that was taken under `epoch`.
    pub fn usable(
        &self,
        policy: &Policy,
        pool: &PoolId,
        epoch: Epoch,
    ) -> HashMap<TeamId, Resources> {
        self.cache.borrow().usable(policy, pool, epoch)
    }

    /// Returns a team's slice in a pool of any owner, as last seen.
    pub fn stored(&self, policy: &Policy, team: &TeamId, pool: &PoolId) -> Resources {
        self.cache.borrow().stored(policy, team, pool)
    }

    /// Returns the parts of a team, as last seen.
    pub fn parts(&self, team: &TeamId) -> Option<Parts> {
        self.cache.borrow().parts(team).cloned()
    }

    /// Returns whether the store was read after a unit was taken under `epoch`.
    pub fn is_read_since(&self, epoch: Epoch) -> bool {
        self.cache.borrow().is_read_since(epoch)
    }

    /// Reads every slice from the store.
    pub async fn refresh(&self) -> Result<(), StoreError> {
        let snapshot = self.store.range(PREFIX).await?;
        self.apply(Fed::Snapshot(snapshot));
        Ok(())
    }

    /// Splits the limits that are not split yet evenly among the pools.
    pub async fn split(&self, policy: &Policy) -> Result<()> {
        let unsplit = self.cache.borrow().unsplit(policy);
        let pools = policy.workers.values().map(|worker| &worker.pool);
        let parts = slices::even(pools);
        for team in unsplit {
            info!(
                "slices: the limit of {team} is split among {} pools.",
                parts.len()
            );
            self.write(&team, 0, &parts, None).await?;
        }
        Ok(())
    }

    /// Takes off what a gift gives, before it is sent; returns whether there is as much.
    pub fn begin_transfer(&self, planned: &SliceTransfer) -> bool {
        let mut begun = false;
        self.cache
            .send_modify(|cache| begun = cache.begin_transfer(planned));
        begun
    }

    /// Puts back what was taken off for a gift that was never sent.
    pub fn cancel_transfer(&self, planned: &SliceTransfer) {
        self.cache
            .send_modify(|cache| cache.cancel_transfer(planned));
    }

    /// Writes a gift that was taken off.
    ///
    /// The write compares the giving pool's ownership, so a former owner gives nothing.
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
            .wrap_err_with(|| format!("giving a slice of {team}'s limit"))?;
        let owner = Unchanged {
            key: unit_key(&Unit::Pool(from.clone())),
            revision: i64::try_from(epoch.0).unwrap_or(i64::MAX),
        };
        self.write(team, revision, &next, Some(owner)).await
    }

    /// Writes the values again of which a gift's outcome is not known, which settles it.
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

    async fn write(
        &self,
        team: &TeamId,
        revision: i64,
        parts: &Parts,
        owner: Option<Unchanged>,
    ) -> Result<()> {
        let key = format!("{PREFIX}{team}");
        let record = Record {
            format: FORMAT,
            parts: parts.clone(),
        };
        let value = serde_json::to_vec(&record)?;
        let same = Unchanged {
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
        let step = || format!("writing the slices of {team}'s limit");
        match self.store.commit(txn).await.wrap_err_with(step)? {
            Committed::Yes(revision) => {
                let parts = parts.clone();
                self.cache
                    .send_modify(|cache| cache.update(team, revision, parts));
            }
            Committed::No => {
                self.refresh().await.wrap_err_with(step)?;
                self.cache
                    .send_modify(|cache| cache.write_rejected(team, revision));
            }
        }
        Ok(())
    }

    fn apply(&self, fed: Fed) {
        self.cache.send_modify(|cache| match fed {
            Fed::Snapshot(snapshot) => {
                for entry in &snapshot.entries {
                    apply_entry(cache, entry);
                }
                cache.set_read_revision(snapshot.revision);
            }
            Fed::Changes(changes) => {
                for change in changes.iter().filter(|change| !change.removed) {
                    apply_entry(cache, &change.entry);
                }
            }
        });
    }
}

fn apply_entry(cache: &mut SliceCache, entry: &Entry) {
    let Some(team) = entry.key.strip_prefix(PREFIX) else {
        return;
    };
    match decode(&entry.value) {
        Ok(parts) => cache.update(&TeamId::from(team), entry.revision, parts),
        Err(error) => warn!("slices: {team}: {error:#}."),
    }
}

fn decode(value: &[u8]) -> Result<Parts> {
    let record: Record = serde_json::from_slice(value).wrap_err("reading the slices")?;
    eyre::ensure!(
        record.format <= FORMAT,
        "reading the slices: their format is {}, newer than {FORMAT}",
        record.format
    );
    slices::check(&record.parts)?;
    Ok(record.parts)
}
