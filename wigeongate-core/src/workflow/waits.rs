//! Tells why steps wait: how many hosts are left after each condition that a start has to meet.

use std::cmp::Reverse;

use super::host::{Host, Stage};
use super::isolation::Caution;
use super::job::{Job, Step};
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use crate::ids::HostId;
use crate::time::Millis;

/// How many hosts of a service are left after each condition, in the order of the fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostCounts {
    /// Hosts that the registry lists.
    pub listed: usize,
    /// Those that accept work.
    pub sound: usize,
    /// Those that suspicion of the job, or of others, keeps free for it.
    pub admitted: usize,
    /// Those that have its label and that advice has not denied.
    pub suitable: usize,
    /// Those on which one of its tasks fits.
    pub roomy: usize,
    /// Those for which it has a valid ticket, or needs none.
    pub ticketed: usize,
}

/// A step with tasks that have not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wait {
    /// The step.
    pub step: StepId,
    /// How long ago the step could first start.
    pub waited: Millis,
    /// Number of tasks that wait for a host.
    pub tasks: u32,
    /// Number of earlier runs that may still exist on hosts.
    pub unsettled: usize,
    /// How carefully it has to start.
    pub caution: Caution,
    /// Whether the team's limit leaves no room for one more task.
    pub is_limited: bool,
    /// Number of hosts named in calls for advice that have no answer yet.
    pub asked: usize,
    /// The hosts that may run it.
    pub hosts: HostCounts,
}

impl WorkflowScheduler {
    /// Returns the number of steps that may start, and of jobs whose next occurrence is not due.
    pub fn waiting_steps(&self) -> (usize, usize) {
        (self.ready.len(), self.due.len())
    }

    /// Returns the oldest `most` of the steps that could start at least `least` ago and of which no
    /// task is known to run.
    pub fn waits(&self, least: Millis, most: usize, now: Millis) -> Vec<Wait> {
        let jobs = self.jobs.values().filter(|job| job.end.is_none());
        let steps = jobs.flat_map(Job::steps);
        let mut waits: Vec<(Millis, StepId)> = steps
            .filter_map(|(at, step)| {
                let waited = now.since(step.ready.filter(|_| step.remaining > 0)?);
                (waited >= least && !self.is_at_work(step, at)).then_some((waited, at))
            })
            .collect();
        waits.sort_unstable_by_key(|(waited, at)| (Reverse(*waited), *at));
        waits.truncate(most);
        let waits = waits.into_iter();
        waits
            .filter_map(|(waited, at)| self.wait(at, waited, now))
            .collect()
    }

    /// Returns whether a task of a step is known to run.
    fn is_at_work(&self, step: &Step, at: StepId) -> bool {
        step.runs(at).iter().any(|(host, run)| {
            let host = self.hosts.get(host);
            let claim = host.and_then(|host| host.claims.get(run));
            claim.is_some_and(|claim| claim.stage == Stage::Running && claim.confirmed)
        })
    }

    fn wait(&self, at: StepId, waited: Millis, now: Millis) -> Option<Wait> {
        let step = self.jobs.get(&at.job)?.step(at)?;
        Some(Wait {
            step: at,
            waited,
            tasks: step.waiting,
            unsettled: step.runs(at).len(),
            caution: self.caution(at),
            is_limited: !self.within_limit(at, 1),
            asked: step.advice.pending.len(),
            hosts: self.count_hosts(at, now)?,
        })
    }

    fn count_hosts(&self, at: StepId, now: Millis) -> Option<HostCounts> {
        let job = self.jobs.get(&at.job)?;
        let need = self.need(at, self.rules_of(&job.flow), now)?;
        let mut counts = HostCounts::default();
        let in_service = |(_, host): &(&HostId, &Host)| host.entry.service == need.service;
        for (id, host) in self.hosts.iter().filter(in_service) {
            let is_denied = need.advice.is_some_and(|it| it.denied.contains(id));
            let has_label = need
                .requires
                .is_none_or(|label| host.entry.has_label(label));
            let conditions = [
                host.listed,
                self.accepts_starts(host, now),
                self.admits(host, &need, now),
                has_label && !is_denied,
                host.free(at, need.priority, now).count(&need.size) > 0,
                Self::has_ticket(id, &need),
            ];
            let met = conditions.iter().take_while(|met| **met).count();
            let fields = [
                &mut counts.listed,
                &mut counts.sound,
                &mut counts.admitted,
                &mut counts.suitable,
                &mut counts.roomy,
                &mut counts.ticketed,
            ];
            for field in fields.into_iter().take(met) {
                *field += 1;
            }
        }
        Some(counts)
    }
}
