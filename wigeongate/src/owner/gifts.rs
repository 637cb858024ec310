//! Moves slices of the teams' limits from pools that have more than they need.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::time::sleep;
use tracing::debug;
use wigeongate_core::ids::{TeamId, Unit};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::plan_transfer;

use super::pools::{HeldPool, Pools};
use crate::cluster::Cluster;
use crate::live::Configurations;
use crate::message::jobs::PoolDigest;
use crate::slices::{Gift, Slices, needs, parts_for};

/// The time between two rounds; each round writes one gift at most.
const ROUND: Duration = Duration::from_secs(1);

/// The smallest gift, in parts of the whole limit.
const LEAST: u32 = 1_000;

/// Moves slices between pools.
pub struct Gifts {
    /// The pools of this gate.
    pub pools: Arc<Pools>,
    /// The slices.
    pub slices: Arc<Slices>,
    /// The other gates.
    pub cluster: Arc<dyn Cluster>,
    /// The configuration in force.
    pub configurations: Arc<Configurations>,
}

impl Gifts {
    /// Makes one round after the other.
    pub async fn run(self) {
        loop {
            sleep(ROUND).await;
            if let Err(error) = self.round().await {
                debug!("slices: {error:#}.");
            }
        }
    }

    async fn round(&self) -> Result<()> {
        let held = self.pools.held();
        if held.is_empty() {
            return Ok(());
        }
        if held.iter().any(|pool| !self.slices.reaches(pool.epoch)) {
            self.slices.refresh().await?;
        }
        let policy = self.configurations.live().policy.clone();
        self.slices.split(&policy).await?;
        self.slices.settle().await?;
        match self.due(&policy, &held) {
            Some(gift) => self.give(&policy, &gift).await,
            None => Ok(()),
        }
    }

    /// Returns a gift that a pool of this gate should make.
    fn due(&self, policy: &Policy, held: &[HeldPool]) -> Option<Gift> {
        let settled = held.iter().filter(|pool| pool.settled);
        let mut found = settled.flat_map(|pool| {
            let teams = policy.teams.iter();
            teams.filter_map(|(team, one)| self.wanted(team, &one.limit, pool))
        });
        found.next()
    }

    fn wanted(&self, team: &TeamId, limit: &Resources, from: &HeldPool) -> Option<Gift> {
        let parts = self.slices.parts(team)?;
        let digests = self.cluster.digests();
        let needs = needs(digests.values().cloned(), team, limit);
        let transfer = plan_transfer(&parts, &needs, &from.pool, LEAST)?;
        Some(Gift {
            team: team.clone(),
            from: from.pool.clone(),
            epoch: from.epoch,
            transfer,
        })
    }

    /// Lowers the giver, checks that it keeps within what is left, and only then gives.
    async fn give(&self, policy: &Policy, gift: &Gift) -> Result<()> {
        if !self.slices.lower(gift) {
            return Ok(());
        }
        let digest = self.pools.reslice(&gift.from).await;
        let unit = Unit::Pool(gift.from.clone());
        let owned = self.cluster.may_act(&unit) == Some(gift.epoch);
        if owned && digest.is_some_and(|digest| self.keeps_within(policy, gift, &digest)) {
            return self.slices.give(gift).await;
        }
        self.slices.raise(gift);
        self.pools.reslice(&gift.from).await;
        Ok(())
    }

    fn keeps_within(&self, policy: &Policy, gift: &Gift, digest: &PoolDigest) -> bool {
        let Some(team) = policy.teams.get(&gift.team) else {
            return false;
        };
        let usage = digest.teams.iter().find(|usage| usage.team == gift.team);
        let used = usage.map_or(0, |usage| parts_for(&team.limit, &usage.running));
        let parts = self.slices.parts(&gift.team).unwrap_or_default();
        let part = parts.get(&gift.from).copied().unwrap_or_default();
        used <= part.saturating_sub(gift.transfer.amount)
    }
}
