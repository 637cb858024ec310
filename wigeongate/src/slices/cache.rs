//! The cache of the slices in this process.

use std::collections::BTreeMap;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, PoolId, TeamId};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::{Parts, Slice, limit_share};

use super::SliceTransfer;

/// The parts and slices of one team.
#[derive(Debug, Clone, Default)]
struct TeamEntry {
    /// The store revision of `parts`.
    revision: i64,
    /// The stored parts of each pool.
    parts: Parts,
    /// The usable slice of each pool's part.
    slices: BTreeMap<PoolId, Slice>,
}

/// The slices as this process knows them: the stored parts, less transfers that have begun.
#[derive(Debug, Clone, Default)]
pub struct SliceCache {
    /// The store revision up to which `teams` has every change; `None` before the first read.
    read_revision: Option<i64>,
    teams: HashMap<TeamId, TeamEntry>,
}

impl SliceCache {
    /// Updates a team's stored parts; parts of an older revision than known are ignored.
    pub fn update(&mut self, team: &TeamId, revision: i64, parts: Parts) {
        let known = self.teams.entry(team.clone()).or_default();
        if revision <= known.revision {
            return;
        }
        for pool in known.parts.keys().chain(parts.keys()) {
            let part = parts.get(pool).copied().unwrap_or_default();
            let slice = known.slices.entry(pool.clone()).or_default();
            slice.update(revision, part);
        }
        known.revision = revision;
        known.parts = parts;
    }

    /// Returns whether the store was read after a unit was taken under `epoch`.
    pub fn is_read_since(&self, epoch: Epoch) -> bool {
        let read = self.read_revision.and_then(|read| u64::try_from(read).ok());
        read.is_some_and(|read| read >= epoch.0)
    }

    /// Sets the store revision up to which every change was read, unless it is already later.
    pub fn set_read_revision(&mut self, revision: i64) {
        self.read_revision = self.read_revision.max(Some(revision));
    }

    /// Cancels a team's pending transfers after a write conditional on `revision` was rejected, so
    /// that it can no longer take effect.
    pub fn write_rejected(&mut self, team: &TeamId, revision: i64) {
        let Some(known) = self.teams.get_mut(team) else {
            return;
        };
        if known.revision == revision {
            for slice in known.slices.values_mut() {
                slice.cancel_transfer();
            }
        }
    }

    /// Lowers the giving pool's slice. Returns false when it is too small or another transfer from
    /// it is pending.
    pub fn begin_transfer(&mut self, planned: &SliceTransfer) -> bool {
        let slice = self.slice(planned);
        slice.is_some_and(|slice| slice.begin_transfer(planned.transfer.amount))
    }

    /// Raises the giving pool's slice again after a transfer that was never written.
    pub fn cancel_transfer(&mut self, planned: &SliceTransfer) {
        if let Some(slice) = self.slice(planned) {
            slice.cancel_transfer();
        }
    }

    /// Returns the slice that a transfer is made from.
    fn slice(&mut self, planned: &SliceTransfer) -> Option<&mut Slice> {
        self.teams
            .get_mut(&planned.team)?
            .slices
            .get_mut(&planned.from)
    }

    /// Returns a team's stored parts.
    pub fn parts(&self, team: &TeamId) -> Option<&Parts> {
        self.teams.get(team).map(|known| &known.parts)
    }

    /// Returns a team's stored parts with their store revision.
    pub fn current(&self, team: &TeamId) -> Option<(i64, Parts)> {
        let known = self.teams.get(team)?;
        Some((known.revision, known.parts.clone()))
    }

    /// Returns the teams with a transfer that has begun and whose outcome is not known.
    pub fn unsettled(&self) -> Vec<TeamId> {
        let in_doubt = |known: &TeamEntry| {
            let mut slices = known.slices.iter();
            let part = |pool| known.parts.get(pool).copied().unwrap_or_default();
            slices.any(|(pool, slice)| part(pool) != slice.usable())
        };
        let teams = self.teams.iter().filter(|(_, known)| in_doubt(known));
        teams.map(|(team, _)| team.clone()).collect()
    }

    /// Returns the teams with a limit that is not split yet; empty before the store was read.
    pub fn unsplit(&self, policy: &Policy) -> Vec<TeamId> {
        if self.read_revision.is_none() {
            return Vec::new();
        }
        let bounded = policy
            .teams
            .iter()
            .filter(|(_, team)| team.limit != Resources::UNBOUNDED);
        let unsplit = bounded.filter(|(name, _)| !self.teams.contains_key(*name));
        unsplit.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the resources that each team may use in a pool that was taken under `epoch`.
    ///
    /// It is empty until the store was read after the pool was taken, since a transfer of the
    /// former owner may be unknown before.
    pub fn usable(
        &self,
        policy: &Policy,
        pool: &PoolId,
        epoch: Epoch,
    ) -> HashMap<TeamId, Resources> {
        if !self.is_read_since(epoch) {
            return HashMap::default();
        }
        let slice = |team: &TeamId, limit: &Resources| {
            let known = self.teams.get(team);
            let slice = known.and_then(|known| known.slices.get(pool));
            scaled(limit, slice.map_or(0, Slice::usable))
        };
        let teams = policy.teams.iter();
        teams
            .map(|(name, team)| (name.clone(), slice(name, &team.limit)))
            .collect()
    }

    /// Returns a team's slice in a pool of any owner.
    pub fn stored(&self, policy: &Policy, team: &TeamId, pool: &PoolId) -> Resources {
        let limit = policy.teams.get(team).map(|team| team.limit);
        let part = self.parts(team).and_then(|parts| parts.get(pool));
        scaled(
            &limit.unwrap_or_default(),
            part.copied().unwrap_or_default(),
        )
    }
}

/// Returns a part of a limit; unbounded amounts stay unbounded.
fn scaled(limit: &Resources, parts: u32) -> Resources {
    let scale = |amount: u64| match amount {
        u64::MAX => u64::MAX,
        amount => limit_share(amount, parts),
    };
    Resources {
        cpu: scale(limit.cpu),
        memory: scale(limit.memory),
        accelerators: scale(limit.accelerators),
    }
}
