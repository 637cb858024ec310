//! What this process knows of the slices.

use std::collections::BTreeMap;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, PoolId, TeamId};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::{Parts, Slice, limit_share};

use super::Gift;

/// One team's slices.
#[derive(Debug, Clone, Default)]
struct Team {
    revision: i64,
    parts: Parts,
    /// What may be used of each pool's part.
    slices: BTreeMap<PoolId, Slice>,
}

/// What this process knows of the slices.
#[derive(Debug, Clone, Default)]
pub struct Book {
    /// Every change up to this revision of the store is in `teams`; `None` before the first read.
    reached: Option<i64>,
    teams: HashMap<TeamId, Team>,
}

impl Book {
    /// Takes in a team's stored parts; older ones than known are left aside.
    pub fn saw(&mut self, team: &TeamId, revision: i64, parts: Parts) {
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
    pub fn reaches(&self, epoch: Epoch) -> bool {
        let reached = self.reached.and_then(|reached| u64::try_from(reached).ok());
        reached.is_some_and(|reached| reached >= epoch.0)
    }

    /// Takes in that every change up to a revision of the store was seen.
    pub fn reached(&mut self, revision: i64) {
        self.reached = self.reached.max(Some(revision));
    }

    /// Takes in that a write which compared with `revision` had no effect and will not have any.
    pub fn kept(&mut self, team: &TeamId, revision: i64) {
        let Some(known) = self.teams.get_mut(team) else {
            return;
        };
        if known.revision == revision {
            for slice in known.slices.values_mut() {
                slice.cancel_transfer();
            }
        }
    }

    /// Takes off what a gift gives; returns whether there is as much.
    pub fn lower(&mut self, gift: &Gift) -> bool {
        let slice = self.slice(gift);
        slice.is_some_and(|slice| slice.begin_transfer(gift.transfer.amount))
    }

    /// Puts back what was taken off for a gift that was never sent.
    pub fn raise(&mut self, gift: &Gift) {
        if let Some(slice) = self.slice(gift) {
            slice.cancel_transfer();
        }
    }

    fn slice(&mut self, gift: &Gift) -> Option<&mut Slice> {
        self.teams.get_mut(&gift.team)?.slices.get_mut(&gift.from)
    }

    /// Returns a team's stored parts.
    pub fn parts(&self, team: &TeamId) -> Option<&Parts> {
        self.teams.get(team).map(|known| &known.parts)
    }

    /// Returns a team's stored parts with their revision.
    pub fn current(&self, team: &TeamId) -> Option<(i64, Parts)> {
        let known = self.teams.get(team)?;
        Some((known.revision, known.parts.clone()))
    }

    /// Returns the teams of which a gift's outcome is not known.
    pub fn unsettled(&self) -> Vec<TeamId> {
        let given = |known: &Team| {
            let mut slices = known.slices.iter();
            let part = |pool| known.parts.get(pool).copied().unwrap_or_default();
            slices.any(|(pool, slice)| part(pool) != slice.usable())
        };
        let teams = self.teams.iter().filter(|(_, known)| given(known));
        teams.map(|(team, _)| team.clone()).collect()
    }

    /// Returns the teams with a limit that is not split yet; none before the store was read.
    pub fn missing(&self, policy: &Policy) -> Vec<TeamId> {
        if self.reached.is_none() {
            return Vec::new();
        }
        let bounded = policy
            .teams
            .iter()
            .filter(|(_, team)| team.limit != Resources::UNBOUNDED);
        let missing = bounded.filter(|(name, _)| !self.teams.contains_key(*name));
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Returns what the teams may have running in a pool that was taken under `epoch`.
    ///
    /// It is nothing until the store was read after the pool was taken: a gift of the former
    /// owner may not have been seen before.
    pub fn usable(
        &self,
        policy: &Policy,
        pool: &PoolId,
        epoch: Epoch,
    ) -> HashMap<TeamId, Resources> {
        if !self.reaches(epoch) {
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

/// Returns a part of a limit; what is unbounded stays so.
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
