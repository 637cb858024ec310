//! Places the most urgent work by how full its service is, and chooses the hosts that its advice
//! calls name.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;

use super::job::Rank;
use super::placement_pass::{Standing, Turn};
use super::rules::QueueRules;
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use crate::ids::HostId;
use crate::resources::Resources;
use crate::time::Millis;

/// The priority of the most urgent work.
const URGENT_PRIORITY: u32 = 0;

/// Hosts with room for this many tasks are named first: by the time of the answer another task may
/// have taken the room of one.
const ROOMY_TASKS: u64 = 2;

/// Orders hosts for an advice call of urgent work: those with room for several tasks first, in
/// another order for each step. Steps that name the same nearly full hosts take the room from each
/// other before their tickets arrive.
pub(super) fn spread_hosts(hosts: &mut [(u64, HostId)], at: StepId) {
    let hasher = FixedState::with_seed(at.job.0);
    hosts.sort_by_cached_key(|(count, id)| (*count < ROOMY_TASKS, hasher.hash_one(id)));
}

impl WorkflowScheduler {
    /// Returns whether work of a priority is placed as the most urgent work.
    pub(super) const fn is_urgent(&self, priority: u32) -> bool {
        self.settings.policies.urgent && priority == URGENT_PRIORITY
    }

    /// Returns the services and whether each has room for all waiting work that can meet its
    /// objective, in no order; none without the policy.
    pub fn services_with_room(&self) -> impl Iterator<Item = (&str, bool)> {
        self.urgent.services()
    }

    /// Returns the turn of a step, given the one by its rank and its team's share alone.
    ///
    /// The most urgent work is small and loses most of its value within a second, so it does not wait
    /// for its team's share. If it is late it does not take the room of work that is in time, but
    /// starts after urgent work in time where there is room for all.
    pub(super) fn urgent_turn(&self, turn: Turn, rules: &QueueRules) -> Turn {
        if !self.is_urgent(rules.priority) {
            return turn;
        }
        match turn.0 {
            Rank::InTime => (Rank::InTime, Standing::Urgent),
            Rank::Late if self.urgent.has_room(&rules.service) => {
                (Rank::InTime, Standing::UrgentLate)
            }
            Rank::Late => (Rank::Late, Standing::Urgent),
            _ => turn,
        }
    }

    /// Updates the loads of the services if that is due.
    pub(super) fn update_urgent(&mut self, now: Millis) {
        if !self.settings.policies.urgent || !self.urgent.is_due(now) {
            return;
        }
        let mut loads = self.service_usage();
        for at in &self.ready {
            let Some((service, wanted)) = self.in_time_demand(*at, now) else {
                continue;
            };
            if let Some(load) = loads.get_mut(service) {
                load.waiting = load.waiting.saturating_add(&wanted);
            }
        }
        self.urgent.update(loads, now);
    }

    /// Returns the service of a step with waiting tasks and what they need, if the step can start
    /// and its job can meet its objective.
    fn in_time_demand(&self, at: StepId, now: Millis) -> Option<(&str, Resources)> {
        let job = self.jobs.get(&at.job)?;
        let step = job.step(at)?;
        let may_start = job.end.is_none() && step.not_before <= now && !step.gang_stopping;
        let is_in_time = job.rank(now, job.remaining(at, &step.spec)) == Rank::InTime;
        let demand = step.spec.demand().times(u64::from(step.waiting));
        (may_start && is_in_time).then(|| (self.rules_of(&job.flow).service.as_str(), demand))
    }
}
