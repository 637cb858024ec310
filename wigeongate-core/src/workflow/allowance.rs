//! Limits how many jobs each team may submit before its jobs rank behind those of other teams.

use super::rules::TeamRules;
use super::spec::Workflow;
use crate::collections::HashMap;
use crate::ids::TeamId;

/// The burst that a team may submit at once, in seconds of its share: callers submit unevenly
/// within a second.
const BURST_S: f64 = 1.0;

/// The unused part of a team's allowance.
#[derive(Debug)]
struct Remaining {
    jobs: f64,
    /// When `jobs` was last updated, in milliseconds since 1970.
    at: u64,
}

/// The allowances of all teams, each a token bucket.
#[derive(Debug, Default)]
pub(super) struct Allowances(HashMap<TeamId, Remaining>);

impl Allowances {
    /// Forgets the other teams.
    pub fn retain(&mut self, is_known: impl Fn(&TeamId) -> bool) {
        self.0.retain(|team, _| is_known(team));
    }

    /// Returns the number of teams.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Counts a submitted job and returns whether its team is over its share, which is as many jobs
    /// a second as its weight. Jobs without a team, and teams without a weight, are never over.
    pub fn exceeds_share(&mut self, flow: &Workflow, teams: &HashMap<TeamId, TeamRules>) -> bool {
        let Some(team) = &flow.team else { return false };
        let Some(weight) = teams.get(team).map(|rules| rules.weight) else {
            return false;
        };
        if weight <= 0.0 {
            return false;
        }
        let left = self.0.entry(team.clone()).or_insert(Remaining {
            jobs: weight * BURST_S,
            at: flow.accepted,
        });
        #[expect(clippy::cast_precision_loss, reason = "times between jobs are short")]
        let elapsed_s = flow.accepted.saturating_sub(left.at) as f64 / 1_000.0;
        left.jobs = (left.jobs + weight * elapsed_s).min(weight * BURST_S);
        left.at = left.at.max(flow.accepted);
        if left.jobs < 1.0 {
            return true;
        }
        left.jobs -= 1.0;
        false
    }
}
