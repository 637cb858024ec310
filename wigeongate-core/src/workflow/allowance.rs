//! What each team may hand in before its jobs go behind the others'.

use super::rules::TeamRules;
use super::spec::Workflow;
use crate::collections::HashMap;
use crate::ids::TeamId;

/// How many seconds of its share a team may use at once: callers press unevenly within a second.
const BURST_S: f64 = 1.0;

/// What is left of a team's allowance.
#[derive(Debug)]
struct Remaining {
    jobs: f64,
    /// When it was counted, in milliseconds since 1970.
    at: u64,
}

/// The allowances of all teams.
#[derive(Debug, Default)]
pub(super) struct Allowances(HashMap<TeamId, Remaining>);

impl Allowances {
    /// Counts a job; returns whether it is beyond what its team may hand in, which is as many jobs
    /// a second as its weight.
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
