//! Usage, limits and weighted shares of the teams.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::fair;
use crate::ids::TeamId;
use crate::policy::Policy;
use crate::resources::Resources;

/// The index of a team in [`Teams::all`].
pub(super) type TeamIx = usize;

/// One team.
#[derive(Debug, Default)]
pub(super) struct Team {
    /// Its name.
    pub(super) id: TeamId,
    /// Its weight in fair sharing, which matters while the fleet is full.
    pub(super) weight: u32,
    /// Limit of its usage across the fleet; `None` when the inventory does not list the team.
    pub(super) limit: Option<Resources>,
    /// Limit of its usage in this pool; `None` before slices are set, when `limit` applies.
    slice: Option<Resources>,
    /// Invariant: the sum of the sizes of its leases in this pool.
    pub(super) usage: Resources,
    /// Its usage in other pools.
    pub(super) other_usage: Resources,
    /// Capacity that is claimed for its jobs.
    pub(super) claimed: Resources,
    /// What its tasks that were ordered to stop to make room still reserve.
    pub(super) preempted: Resources,
    /// Its dominant share, in this and other pools, divided by its weight.
    pub(super) weighted_share: f64,
}

/// Every team.
#[derive(Debug, Default)]
pub(super) struct Teams {
    /// The teams; none is ever removed, so that indices stay valid.
    pub(super) all: Vec<Team>,
    by_id: HashMap<TeamId, TeamIx>,
    /// Capacity of the whole fleet.
    pub(super) fleet_capacity: Resources,
    slices: Option<Arc<HashMap<TeamId, Resources>>>,
    other_usage: Arc<HashMap<TeamId, Resources>>,
}

impl Teams {
    /// Returns the index of a team; adds the team if it is not known.
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

    /// Applies the weights and limits of a policy, and the fleet's capacity.
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

    /// Sets this pool's slices of the teams' limits; a team without a slice may start nothing.
    pub(super) fn set_slices(&mut self, slices: Arc<HashMap<TeamId, Resources>>) {
        for team in &mut self.all {
            team.slice = Some(slices.get(&team.id).copied().unwrap_or_default());
        }
        self.slices = Some(slices);
    }

    /// Sets the teams' usage in other pools.
    pub(super) fn set_other_usage(&mut self, other_usage: Arc<HashMap<TeamId, Resources>>) {
        for team in &mut self.all {
            team.other_usage = other_usage.get(&team.id).copied().unwrap_or_default();
        }
        self.other_usage = other_usage;
        self.update_weighted_shares();
    }

    /// Returns the limit of a team's usage in this pool; `None` when the team may start nothing.
    pub(super) fn limit(&self, team: TeamIx) -> Option<Resources> {
        let team = &self.all[team];
        match team.slice {
            Some(slice) => Some(slice),
            None => team.limit,
        }
    }

    /// Adds a reservation to a team's usage.
    pub(super) fn add(&mut self, team: TeamIx, size: &Resources) {
        self.all[team].usage += *size;
        self.update_weighted_share(team);
    }

    /// Subtracts a reservation from a team's usage.
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
            fair::dominant_share(&usage, &self.fleet_capacity) / f64::from(team.weight.max(1));
    }
}
