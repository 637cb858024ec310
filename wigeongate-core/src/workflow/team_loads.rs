//! Collects what each team uses and waits for, and applies the fair shares to the placement order.

use super::host::Host;
use super::job::{Job, Rank};
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use crate::collections::HashMap;
use crate::ids::TeamId;
use crate::resources::Resources;
use crate::team_shares::{TeamLoad, TeamShare};
use crate::time::Millis;

impl WorkflowScheduler {
    /// Returns the teams with recent work and their shares of the fleet, in no order; none without
    /// the policy.
    pub fn team_shares(&self) -> impl Iterator<Item = (&TeamId, TeamShare)> {
        self.shares.shares()
    }

    /// Updates the shares of the teams if that is due.
    pub(super) fn update_shares(&mut self, now: Millis) {
        if !self.settings.policies.shares || !self.shares.is_due(now) {
            return;
        }
        let loads = self.team_loads(now);
        let capacity = self.usable_capacity();
        let teams = &self.rules.teams;
        let weight = |team: &TeamId| teams.get(team).map_or(0.0, |rules| rules.weight);
        self.shares.update(&loads, weight, &capacity, now);
    }

    /// Returns the capacity of the listed hosts outside evacuated zones. Hosts that do not answer for
    /// a while count, as their runs do.
    fn usable_capacity(&self) -> Resources {
        let is_usable =
            |host: &&Host| host.listed && !self.rules.evacuated.contains(&host.entry.zone);
        let usable = self.hosts.values().filter(is_usable);
        usable.map(|host| host.entry.capacity).sum()
    }

    /// Returns whether the job's team uses more than its fair share. Jobs without a team never do.
    pub(super) fn is_over_share(&self, job: &Job) -> bool {
        let team = job.flow.team.as_ref();
        self.settings.policies.shares && team.is_some_and(|team| self.shares.is_over(team))
    }

    fn team_loads(&self, now: Millis) -> HashMap<TeamId, TeamLoad> {
        let mut loads: HashMap<TeamId, TeamLoad> = HashMap::default();
        let in_use = self.usage.iter().filter(|(_, used)| !used.is_zero());
        for (team, used) in in_use {
            loads.entry(team.clone()).or_default().used = *used;
        }
        for at in &self.ready {
            if let Some((team, wanted)) = self.waiting_demand(*at, now) {
                if !loads.contains_key(team) {
                    loads.insert(team.clone(), TeamLoad::default());
                }
                if let Some(load) = loads.get_mut(team) {
                    load.waiting = load.waiting.saturating_add(&wanted);
                }
            }
        }
        for (team, load) in &mut loads {
            // What the team's own limit holds back does not wait for room.
            if let Some(rules) = self.rules.teams.get(team) {
                let left = rules.maximum.saturating_sub(&load.used);
                load.waiting = load.waiting.min(&left);
            }
        }
        loads
    }

    /// Returns the capacity that the waiting tasks of a step need, and their team. Work that would
    /// start after all other work has no claim on a fair share.
    fn waiting_demand(&self, at: StepId, now: Millis) -> Option<(&TeamId, Resources)> {
        let job = self.jobs.get(&at.job)?;
        let team = job.flow.team.as_ref()?;
        let step = job.step(at)?;
        let may_start = job.end.is_none() && step.not_before <= now && !step.gang_stopping;
        let is_owed = job.rank(now, job.remaining(at, &step.spec)) < Rank::OverShare;
        (may_start && is_owed && !self.is_sole_suspect(at.job))
            .then(|| (team, step.spec.demand().times(u64::from(step.waiting))))
    }
}
