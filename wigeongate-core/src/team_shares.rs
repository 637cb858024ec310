//! Tracks the capacity that each team uses and compares it with the team's fair share.
//!
//! Load pattern: one to three teams submit several times their usual work, or a team submits wide
//! gangs. While work waits for room, the work of teams that use more than their fair share is
//! ordered after that of the other teams. See `docs/design/team-shares.md`.

use crate::collections::HashMap;
use crate::fair::{self, Demand};
use crate::ids::TeamId;
use crate::resources::Resources;
use crate::time::Millis;

/// The time after which a past use counts half, in milliseconds. Bursts last 4 to 6 s and the
/// shortest tasks less than one.
const HALF_LIFE_MS: f64 = 2_000.0;

/// The time between two updates, in milliseconds: usage averaged over seconds changes little
/// meanwhile, and an update visits every waiting step.
const UPDATE_MS: u64 = 50;

/// How far a team must exceed its fair share to count as over it, as a part of that share. It counts
/// as over until it has fallen to the share itself.
const MARGIN: f64 = 0.15;

/// How far a team must exceed its fair share in addition, as a fraction of the fleet, since usage
/// changes by whole gangs.
const SLACK: f64 = 0.01;

/// The difference from which on a demand counts as larger than a fair share, as a fraction of the fleet;
/// the search for fair shares is as exact.
const EPSILON: f64 = 1e-9;

/// A team without load is forgotten once its decayed usage is below this fraction of the fleet.
const FORGOTTEN: f64 = 1e-4;

/// What a team uses, and what its waiting work would use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamLoad {
    /// Capacity that its runs use.
    pub used: Resources,
    /// Capacity that its waiting work needs, within the team's maximum.
    pub waiting: Resources,
}

/// Usage of a team against its fair share; both are dominant shares, as fractions of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamShare {
    /// Decayed usage.
    pub share: f64,
    /// The team's fair share of what all teams use and wait for, at most its own demand.
    pub fair: f64,
    /// Whether its work is ordered after that of other teams.
    pub is_over: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Team {
    /// Decayed usage of each resource, as fractions of the fleet.
    usage: [f64; 3],
    shown: TeamShare,
}

impl Team {
    fn new(used: [f64; 3]) -> Self {
        Self {
            usage: used,
            shown: TeamShare::default(),
        }
    }

    /// Averages in the current usage; `kept` is the weight of the past.
    fn decay(&mut self, used: [f64; 3], kept: f64) {
        for (usage, used) in self.usage.iter_mut().zip(used) {
            *usage = used + (*usage - used) * kept;
        }
    }

    /// Compares the usage with the fair share on a fleet on which work waits for room.
    fn compare(&mut self, fair: f64) {
        let share = self.usage.iter().copied().fold(0.0, f64::max);
        let bound = if self.shown.is_over {
            fair
        } else {
            fair * (1.0 + MARGIN) + SLACK
        };
        self.shown = TeamShare {
            share,
            fair,
            is_over: share > bound,
        };
    }
}

/// The shares of all teams with recent work.
#[derive(Debug, Default)]
pub struct TeamShares {
    teams: HashMap<TeamId, Team>,
    /// When the shares were last updated; `None` before the first update.
    updated: Option<Millis>,
    /// Whether any team is over its fair share.
    any_over: bool,
}

impl TeamShares {
    /// Returns whether an update is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.updated
            .is_none_or(|updated| now.since(updated).0 >= UPDATE_MS)
    }

    /// Updates the shares to the load of all teams that use or wait for capacity. A team without a
    /// positive weight counts with the smallest weight of the others.
    ///
    /// The usage of a team that was not known starts from its current value, so that a new owner
    /// starts from what runs.
    pub fn update(
        &mut self,
        loads: &HashMap<TeamId, TeamLoad>,
        weight: impl Fn(&TeamId) -> f64,
        capacity: &Resources,
        now: Millis,
    ) {
        self.decay(loads, capacity, now);
        let mut known: Vec<&TeamId> = loads.keys().collect();
        // The order of the sums of the fair shares must not depend on the hash map.
        known.sort_unstable();
        let weights: Vec<f64> = known.iter().map(|team| weight(team)).collect();
        let wanted = known.iter().map(|team| {
            let load = loads[*team];
            fair::fractions(&load.used.saturating_add(&load.waiting), capacity)
        });
        let demands: Vec<Demand> = wanted
            .zip(relative_weights(&weights))
            .map(|(fractions, weight)| Demand { fractions, weight })
            .collect();
        let is_full = fair::exceed_whole(&demands);
        let fair_shares = fair::fair_shares(&demands);
        // A team that gets all that it asks for is not over, however much it used before.
        let is_short = |(demand, fair): (&Demand, &f64)| demand.dominant_share() > fair + EPSILON;
        let short: Vec<bool> = demands.iter().zip(&fair_shares).map(is_short).collect();
        let fair_shares = fair_shares.into_iter().zip(short);
        let fair_shares: HashMap<&TeamId, (f64, bool)> =
            known.into_iter().zip(fair_shares).collect();
        self.any_over = false;
        for (team, state) in &mut self.teams {
            let (fair, is_short) = fair_shares.get(team).copied().unwrap_or_default();
            state.compare(fair);
            // On a fleet with room for all work, teams may use more than their shares; a team that
            // has no work is not over.
            state.shown.is_over &= is_full && is_short;
            self.any_over |= state.shown.is_over;
        }
    }

    fn decay(&mut self, loads: &HashMap<TeamId, TeamLoad>, capacity: &Resources, now: Millis) {
        let elapsed = now.since(self.updated.unwrap_or(now)).0;
        self.updated = Some(now);
        #[expect(clippy::cast_precision_loss, reason = "times of a day are exact")]
        let kept = (-(elapsed as f64) / HALF_LIFE_MS).exp2();
        for (team, load) in loads {
            let used = fair::fractions(&load.used, capacity);
            if let Some(state) = self.teams.get_mut(team) {
                state.decay(used, kept);
            } else {
                self.teams.insert(team.clone(), Team::new(used));
            }
        }
        self.teams.retain(|team, state| {
            let has_load = loads.contains_key(team);
            if !has_load {
                state.decay([0.0; 3], kept);
            }
            has_load || state.usage.iter().any(|usage| *usage >= FORGOTTEN)
        });
    }

    /// Returns whether a team uses more than its fair share while work waits for room.
    pub fn is_over(&self, team: &TeamId) -> bool {
        self.any_over && self.teams.get(team).is_some_and(|it| it.shown.is_over)
    }

    /// Returns the teams with recent work and their shares, in no order.
    pub fn shares(&self) -> impl Iterator<Item = (&TeamId, TeamShare)> {
        self.teams.iter().map(|(team, state)| (team, state.shown))
    }
}

/// Returns the weights as multiples of the smallest positive one, which also stands for those that
/// are not positive; the search for fair shares needs weights of at least 1.
fn relative_weights(weights: &[f64]) -> impl Iterator<Item = f64> {
    let positive = weights.iter().copied().filter(|weight| *weight > 0.0);
    let smallest = positive.fold(f64::INFINITY, f64::min);
    weights.iter().map(move |weight| {
        let relative = weight / smallest;
        if relative.is_finite() && relative > 1.0 {
            relative
        } else {
            1.0
        }
    })
}
