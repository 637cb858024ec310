//! What each team uses, may use, and is due.

use std::sync::Arc;

use super::fair;
use crate::collections::HashMap;
use crate::ids::TeamId;
use crate::policy::Policy;
use crate::resources::Resources;

/// The place of a team in the table.
pub(super) type TeamIx = usize;

/// One team.
#[derive(Debug, Default)]
pub(super) struct Team {
    /// Its name.
    pub(super) id: TeamId,
    /// Its weight when the fleet is full.
    pub(super) weight: u32,
    /// What it may have running across the fleet; `None` when the inventory does not list it.
    pub(super) limit: Option<Resources>,
    /// What it may have running in this pool.
    slice: Option<Resources>,
    /// Invariant: the sum of the sizes of its leases in this pool.
    pub(super) usage: Resources,
    /// What it has running in other pools.
    pub(super) other_usage: Resources,
    /// Capacity that is kept for its jobs.
    pub(super) claimed: Resources,
    /// What its tasks that were told to make room still reserve.
    pub(super) preempted: Resources,
    /// Its dominant share divided by its weight.
    pub(super) weighted_share: f64,
}

/// Every team.
#[derive(Debug, Default)]
pub(super) struct Teams {
    /// The teams; none is ever taken out.
    pub(super) all: Vec<Team>,
    by_id: HashMap<TeamId, TeamIx>,
    /// What the whole fleet can carry.
    pub(super) fleet_capacity: Resources,
    slices: Option<Arc<HashMap<TeamId, Resources>>>,
    other_usage: Arc<HashMap<TeamId, Resources>>,
}

impl Teams {
    /// Returns the place of a team, adding it if need be.
    pub(super) fn get_or_add(&mut self, id: &TeamId) -> TeamIx {
        if let Some(at) = self.by_id.get(id) {
            return *at;
        }
        let at = self.all.len();
        let slice = self
            .slices
            .as_ref()
            .map(|slices| slices.get(id).copied().unwrap_or_default());
        self.all.push(Team {
            id: id.clone(),
            weight: 1,
            slice,
            other_usage: self.other_usage.get(id).copied().unwrap_or_default(),
            ..Team::default()
        });
        self.by_id.insert(id.clone(), at);
        at
    }

    /// Returns a team by name.
    pub(super) fn find(&self, id: &TeamId) -> Option<&Team> {
        self.by_id.get(id).map(|at| &self.all[*at])
    }

    /// Takes over the teams of a policy.
    pub(super) fn configure(&mut self, policy: &Policy) {
        self.fleet_capacity = policy
            .workers
            .values()
            .fold(Resources::ZERO, |sum, worker| {
                sum.saturating_add(&worker.capacity)
            });
        for team in &mut self.all {
            team.limit = None;
        }
        let mut listed: Vec<_> = policy.teams.iter().collect();
        listed.sort_by_key(|(id, _)| *id);
        for (id, team) in listed {
            let at = self.get_or_add(id);
            self.all[at].weight = team.share.max(1);
            self.all[at].limit = Some(team.limit);
        }
        self.update_weighted_shares();
    }

    /// Takes over this pool's slices of the limits.
    pub(super) fn set_slices(&mut self, slices: Arc<HashMap<TeamId, Resources>>) {
        for team in &mut self.all {
            team.slice = Some(slices.get(&team.id).copied().unwrap_or_default());
        }
        self.slices = Some(slices);
    }

    /// Takes over what the teams have running in other pools.
    pub(super) fn set_other_usage(&mut self, other_usage: Arc<HashMap<TeamId, Resources>>) {
        for team in &mut self.all {
            team.other_usage = other_usage.get(&team.id).copied().unwrap_or_default();
        }
        self.other_usage = other_usage;
        self.update_weighted_shares();
    }

    /// Returns what a team may have running in this pool; `None` when it may start nothing.
    pub(super) fn limit(&self, team: TeamIx) -> Option<Resources> {
        let team = &self.all[team];
        match team.slice {
            Some(slice) => Some(slice),
            None => team.limit,
        }
    }

    /// Counts a reservation in.
    pub(super) fn add(&mut self, team: TeamIx, size: &Resources) {
        self.all[team].usage += *size;
        self.update_weighted_share(team);
    }

    /// Counts a reservation out.
    pub(super) fn sub(&mut self, team: TeamIx, size: &Resources) {
        self.all[team].usage = self.all[team].usage.saturating_sub(size);
        self.update_weighted_share(team);
    }

    fn update_weighted_shares(&mut self) {
        for team in 0..self.all.len() {
            self.update_weighted_share(team);
        }
    }

    fn update_weighted_share(&mut self, at: TeamIx) {
        let team = &mut self.all[at];
        let usage = team.usage.saturating_add(&team.other_usage);
        team.weighted_share =
            fair::dominant(&usage, &self.fleet_capacity) / f64::from(team.weight.max(1));
    }
}
