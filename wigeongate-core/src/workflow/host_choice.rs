//! Which host a task goes to.

use super::advice::TICKET_MARGIN_MS;
use super::host::Host;
use super::job::{Step, StepAdvice};
use super::rules::QueueRules;
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use crate::ids::{HostId, QueueId};
use crate::resources::Resources;
use crate::time::Millis;

/// What the waiting tasks of a step need.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// The step.
    pub step: StepId,
    /// The queue.
    pub queue: &'a QueueId,
    /// The service whose hosts may run it.
    pub service: &'a str,
    /// How urgent it is; zero goes first.
    pub priority: u32,
    /// How many tasks wait.
    pub count: u32,
    /// What each takes.
    pub size: Resources,
    /// Whether they start all together.
    pub gang: bool,
    /// Whether they should be on one rack.
    pub same_rack: bool,
    /// The most on one host; zero for no bound.
    pub per_host: u32,
    /// A label that the host must have.
    pub requires: Option<&'a str>,
    /// The rack that is preferred.
    pub affinity: Option<&'a str>,
    /// What advice said, where it is needed.
    pub advice: Option<&'a StepAdvice>,
    /// The time.
    pub now: Millis,
}

impl<'a> Need<'a> {
    /// Describes the waiting tasks of a step.
    pub fn of(
        at: StepId,
        step: &'a Step,
        queue: &'a QueueId,
        rules: &'a QueueRules,
        now: Millis,
    ) -> Self {
        let spec = &step.spec;
        Self {
            step: at,
            queue,
            service: &rules.service,
            priority: rules.priority,
            count: step.waiting,
            size: spec.demand(),
            gang: spec.gang,
            same_rack: spec.same_rack,
            per_host: spec.per_host,
            requires: spec.requires.as_deref(),
            affinity: spec.affinity.as_deref(),
            advice: rules.advice.map(|_| &step.advice),
            now,
        }
    }
}

impl WorkflowScheduler {
    /// Describes what the waiting tasks of a step need.
    pub(super) fn need<'a>(
        &'a self,
        at: StepId,
        rules: &'a QueueRules,
        now: Millis,
    ) -> Option<Need<'a>> {
        let job = self.jobs.get(&at.job)?;
        Some(Need::of(at, job.step(at)?, &job.flow.queue, rules, now))
    }

    /// Returns whether a host may get new work of any kind.
    pub(super) fn accepts_starts(&self, host: &Host, now: Millis) -> bool {
        host.accepts_work(now) && !self.rules.evacuated.contains(&host.entry.zone)
    }

    /// Returns whether a host may run a step at all, with room or without.
    pub(super) fn may_run(&self, host: &Host, need: &Need<'_>, now: Millis) -> bool {
        self.accepts_starts(host, now)
            && host.entry.service == need.service
            && need
                .requires
                .is_none_or(|label| host.entry.has_label(label))
    }

    /// Returns how many tasks of a step a host has room for.
    #[expect(
        clippy::unused_self,
        reason = "it belongs to the other questions about hosts"
    )]
    pub(super) fn room(&self, host: &Host, need: &Need<'_>, now: Millis) -> u64 {
        let free = host.free(need.step, need.priority, now);
        let mut count = free.count(&need.size);
        if need.per_host > 0 {
            let here = host.count(need.step);
            count = count.min(u64::from(need.per_host.saturating_sub(here)));
        }
        count.min(u64::from(need.count))
    }

    /// Returns whether a ticket for the host is good long enough to use it.
    pub(super) fn has_ticket(id: &HostId, need: &Need<'_>) -> bool {
        need.advice.is_none_or(|advice| {
            advice
                .allowed
                .get(id)
                .is_some_and(|(_, until)| *until > need.now + Millis(TICKET_MARGIN_MS))
        })
    }

    /// Returns the best host for one task: near its data, not where it failed, least room left.
    pub(super) fn best_host(
        &self,
        need: &Need<'_>,
        last_failed_host: Option<&HostId>,
    ) -> Option<HostId> {
        let one = Need { count: 1, ..*need };
        let rank = |(id, host): &(&HostId, &Host)| {
            let far = need
                .affinity
                .is_some_and(|rack| !host.entry.has_label(rack));
            let failed = last_failed_host == Some(*id);
            let left = host.free(need.step, need.priority, need.now);
            (failed, far, left.cpu, (*id).clone())
        };
        self.hosts
            .iter()
            .filter(|(id, host)| {
                self.may_run(host, need, need.now)
                    && Self::has_ticket(id, need)
                    && self.room(host, &one, need.now) > 0
            })
            .min_by_key(rank)
            .map(|(id, _)| id.clone())
    }

    /// Returns a host for each task of a gang, or `None` when there is no room for all.
    pub(super) fn gang_hosts(&self, need: &Need<'_>) -> Option<Vec<HostId>> {
        let mut rooms: Vec<(u64, &HostId, &Host)> = self
            .hosts
            .iter()
            .filter(|(id, host)| self.may_run(host, need, need.now) && Self::has_ticket(id, need))
            .map(|(id, host)| (self.room(host, need, need.now), id, host))
            .filter(|(count, _, _)| *count > 0)
            .collect();
        rooms.sort_by(|one, other| (other.0, other.1).cmp(&(one.0, one.1)));
        if need.same_rack || need.affinity.is_some() {
            let mut racks: Vec<&str> = rooms
                .iter()
                .flat_map(|(_, _, host)| &host.entry.labels)
                .map(String::as_str)
                .collect();
            racks.sort_unstable();
            racks.dedup();
            if let Some(affinity) = need.affinity {
                racks.sort_by_key(|rack| *rack != affinity);
            }
            for rack in racks {
                let on_rack = rooms
                    .iter()
                    .filter(|(_, _, host)| host.entry.has_label(rack));
                if let Some(placements) = fill(on_rack, need.count) {
                    return Some(placements);
                }
            }
        }
        fill(rooms.iter(), need.count)
    }
}

fn fill<'a>(
    rooms: impl Iterator<Item = &'a (u64, &'a HostId, &'a Host)>,
    count: u32,
) -> Option<Vec<HostId>> {
    let wanted = usize::try_from(count).ok()?;
    let mut placements = Vec::with_capacity(wanted);
    for (room, id, _) in rooms {
        let here = usize::try_from(*room).ok()?.min(wanted - placements.len());
        placements.extend(std::iter::repeat_n((*id).clone(), here));
        if placements.len() == wanted {
            return Some(placements);
        }
    }
    None
}
