//! Moves slices of the teams' limits from pools that have spare parts to pools that need them.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::time::sleep;
use tracing::debug;
use wigeongate_core::ids::{TeamId, Unit};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::plan_transfer;

use super::pools::{HeldPool, PoolOwners};
use crate::cluster::Cluster;
use crate::live::Configurations;
use crate::message::jobs::PoolDigest;
use crate::slices::{SliceTransfer, Slices, needs, parts_for};

/// The interval between two rounds; each round writes at most one transfer.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The smallest transfer, in parts of the whole limit.
const MIN_TRANSFER_PARTS: u32 = 1_000;

/// Moves slices from the pools of this gate to other pools.
pub struct SliceBalancer {
    /// The pools that this gate owns.
    pub pools: Arc<PoolOwners>,
    /// The slices.
    pub slices: Arc<Slices>,
    /// The cluster, with the digests of all gates.
    pub cluster: Arc<dyn Cluster>,
    /// The configuration in force.
    pub configurations: Arc<Configurations>,
}

impl SliceBalancer {
    /// Runs one round after the other; a round that fails is repeated after the interval.
    pub async fn run(self) {
        loop {
            sleep(ROUND_INTERVAL).await;
            if let Err(error) = self.round().await {
                debug!("slices: a balancing round failed and is repeated: {error:#}.");
            }
        }
    }

    /// Refreshes the slices where needed, splits new limits, settles transfers with an unknown
    /// outcome, and makes at most one transfer.
    async fn round(&self) -> Result<()> {
        let held = self.pools.held();
        if held.is_empty() {
            return Ok(());
        }
        if held
            .iter()
            .any(|pool| !self.slices.is_read_since(pool.epoch))
        {
            self.slices.refresh().await?;
        }
        let policy = self.configurations.live().policy.clone();
        self.slices.split(&policy).await?;
        self.slices.settle().await?;
        match self.next_transfer(&policy, &held) {
            Some(planned) => self.transfer(&policy, &planned).await,
            None => Ok(()),
        }
    }

    /// Returns a transfer that a settled pool of this gate should make.
    fn next_transfer(&self, policy: &Policy, held: &[HeldPool]) -> Option<SliceTransfer> {
        let settled = held.iter().filter(|pool| pool.settled);
        let mut found = settled.flat_map(|pool| {
            let teams = policy.teams.iter();
            teams.filter_map(|(team, one)| self.plan(team, &one.limit, pool))
        });
        found.next()
    }

    /// Returns the transfer of a team's parts that the pool `from` should make, if any.
    fn plan(&self, team: &TeamId, limit: &Resources, from: &HeldPool) -> Option<SliceTransfer> {
        let parts = self.slices.parts(team)?;
        let digests = self.cluster.digests();
        let needs = needs(digests.values().cloned(), team, limit);
        let transfer = plan_transfer(&parts, &needs, &from.pool, MIN_TRANSFER_PARTS)?;
        Some(SliceTransfer {
            team: team.clone(),
            from: from.pool.clone(),
            epoch: from.epoch,
            transfer,
        })
    }

    /// Lowers the giving pool's slice, checks that its usage fits into the rest, and only then
    /// writes the transfer. Otherwise the slice is raised again.
    async fn transfer(&self, policy: &Policy, planned: &SliceTransfer) -> Result<()> {
        if !self.slices.begin_transfer(planned) {
            return Ok(());
        }
        let digest = self.pools.resend_slices(&planned.from).await;
        let unit = Unit::Pool(planned.from.clone());
        let owned = self.cluster.may_act(&unit) == Some(planned.epoch);
        if owned && digest.is_some_and(|digest| self.fits_after(policy, planned, &digest)) {
            return self.slices.commit_transfer(planned).await;
        }
        self.slices.cancel_transfer(planned);
        self.pools.resend_slices(&planned.from).await;
        Ok(())
    }

    /// Returns whether the team's running tasks fit into the giving pool's slice after a transfer.
    fn fits_after(&self, policy: &Policy, planned: &SliceTransfer, digest: &PoolDigest) -> bool {
        let Some(team) = policy.teams.get(&planned.team) else {
            return false;
        };
        let usage = digest.teams.iter().find(|usage| usage.team == planned.team);
        let used = usage.map_or(0, |usage| parts_for(&team.limit, &usage.running));
        let parts = self.slices.parts(&planned.team).unwrap_or_default();
        let part = parts.get(&planned.from).copied().unwrap_or_default();
        used <= part.saturating_sub(planned.transfer.amount)
    }
}
