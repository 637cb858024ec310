//! Chooses the hosts for the waiting tasks of a step.

use super::advice::TICKET_MARGIN_MS;
use super::host::Host;
use super::isolation::Caution;
use super::job::{Step, StepAdvice};
use super::rules::QueueRules;
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use crate::host_speeds::Speed;
use crate::ids::{HostId, QueueId};
use crate::resources::Resources;
use crate::time::Millis;

/// Requirements of the waiting tasks of a step.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// The step.
    pub step: StepId,
    /// Queue of the job.
    pub queue: &'a QueueId,
    /// The service whose hosts may run the step.
    pub service: &'a str,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Number of waiting tasks.
    pub count: u32,
    /// Capacity that each task needs.
    pub size: Resources,
    /// Whether the tasks have to start together.
    pub gang: bool,
    /// Whether the tasks should share one rack.
    pub same_rack: bool,
    /// The most tasks on one host; zero for no limit.
    pub per_host: u32,
    /// A label that the host must have.
    pub requires: Option<&'a str>,
    /// The preferred rack.
    pub affinity: Option<&'a str>,
    /// Advice on the hosts; `None` if the queue requires none.
    pub advice: Option<&'a StepAdvice>,
    /// How carefully the step has to start.
    pub caution: Caution,
    /// When a task that starts now is expected to have ended even if it is one of the slowest tenth;
    /// `None` if forecasts are not in use.
    pub end: Option<Millis>,
    /// The current time.
    pub now: Millis,
}

impl<'a> Need<'a> {
    /// Returns the requirements of a step's waiting tasks.
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
            caution: Caution::None,
            end: None,
            now,
        }
    }
}

impl WorkflowScheduler {
    /// Returns the requirements of a step's waiting tasks; `None` for an unknown step.
    pub(super) fn need<'a>(
        &'a self,
        at: StepId,
        rules: &'a QueueRules,
        now: Millis,
    ) -> Option<Need<'a>> {
        let job = self.jobs.get(&at.job)?;
        let caution = self.caution(at);
        let step = job.step(at)?;
        Some(Need {
            caution,
            end: self.expected_end(&job.flow, &step.spec, now),
            ..Need::of(at, step, &job.flow.queue, rules, now)
        })
    }

    /// Returns whether a host may get new work of any kind.
    pub(super) fn accepts_starts(&self, host: &Host, now: Millis) -> bool {
        host.accepts_work(now) && !self.rules.evacuated.contains(&host.entry.zone)
    }

    /// Returns whether a host may run a step, regardless of its free capacity.
    pub(super) fn may_run(&self, host: &Host, need: &Need<'_>, now: Millis) -> bool {
        self.accepts_starts(host, now)
            && self.admits(host, need, now)
            && host.entry.service == need.service
            && need
                .requires
                .is_none_or(|label| host.entry.has_label(label))
    }

    /// Returns how many of the waiting tasks fit on a host.
    pub(super) fn fitting_tasks(&self, host: &Host, need: &Need<'_>, now: Millis) -> u64 {
        self.tasks_in(Self::usable(host, need, now), host, need)
    }

    /// Returns how many of the waiting tasks fit on a host that has this much free.
    #[expect(
        clippy::unused_self,
        reason = "belongs with the other methods that check hosts"
    )]
    pub(super) fn tasks_in(&self, free: Resources, host: &Host, need: &Need<'_>) -> u64 {
        let mut count = free.count(&need.size);
        if need.per_host > 0 {
            let here = host.count(need.step);
            count = count.min(u64::from(need.per_host.saturating_sub(here)));
        }
        count.min(u64::from(need.count))
    }

    /// Returns whether the host has a ticket that is valid long enough for a start, or needs none.
    pub(super) fn has_ticket(id: &HostId, need: &Need<'_>) -> bool {
        need.advice.is_none_or(|advice| {
            advice
                .allowed
                .get(id)
                .is_some_and(|(_, until)| *until > need.now + Millis(TICKET_MARGIN_MS))
        })
    }

    /// Returns the best host for one task: first by not being the host of its last failure or a machine
    /// that was lost under its job, which may be lost again, then by not being slow, by being on the preferred rack, by leaving faster hosts to urgent tasks, then by the
    /// least free processor capacity. A suspect goes first
    /// to where its job is on trial, then to where the least would be lost with it.
    pub(super) fn best_host(
        &self,
        need: &Need<'_>,
        last_failed_host: Option<&HostId>,
    ) -> Option<HostId> {
        let one = Need { count: 1, ..*need };
        let job = self.jobs.get(&need.step.job);
        let lost: &[String] = job.map_or(&[], |job| &job.machines);
        let rank = |(id, host): &(&HostId, &Host)| {
            let far = need
                .affinity
                .is_some_and(|rack| !host.entry.has_label(rack));
            let failed = last_failed_host == Some(*id) || lost.contains(&host.entry.address);
            let left = Self::usable(host, need, need.now);
            let at_risk = if need.caution == Caution::None {
                0
            } else if host.trial.is_some_and(|it| it.job == need.step.job) {
                1
            } else {
                2 + host.used.cpu
            };
            let (avoided, spared) = self.speed_rank(host, need);
            let id = (*id).clone();
            (at_risk, failed, avoided, far, spared, left.cpu, id)
        };
        self.hosts
            .iter()
            .filter(|(id, host)| {
                self.may_run(host, need, need.now)
                    && Self::has_ticket(id, need)
                    && self.fitting_tasks(host, &one, need.now) > 0
            })
            .min_by_key(rank)
            .map(|(id, _)| id.clone())
    }

    /// Returns a host for each task of a gang, or `None` if not all of them fit.
    pub(super) fn gang_hosts(&self, need: &Need<'_>) -> Option<Vec<HostId>> {
        let mut counts: Vec<Room<'_>> = self
            .hosts
            .iter()
            .filter(|(id, host)| self.may_run(host, need, need.now) && Self::has_ticket(id, need))
            .map(|(id, host)| (self.fitting_tasks(host, need, need.now), id, host))
            .filter(|(count, _, _)| *count > 0)
            .collect();
        counts.sort_by(|one, other| (other.0, other.1).cmp(&(one.0, one.1)));
        let all: Vec<&Room<'_>> = counts.iter().collect();
        let equal: Vec<Vec<&Room<'_>>> = self
            .gang_speeds()
            .iter()
            .map(|speeds| of_speeds(&all, speeds))
            .collect();
        let mut on_rack = equal.iter().filter_map(|hosts| fill_rack(hosts, need));
        let mut anywhere = equal.iter().filter_map(|hosts| fill(hosts, need.count));
        on_rack
            .next()
            .or_else(|| anywhere.next())
            .or_else(|| fill_rack(&all, need))
            .or_else(|| fill(&all, need.count))
    }
}

/// How many tasks fit on a host.
type Room<'a> = (u64, &'a HostId, &'a Host);

fn of_speeds<'a, 'b>(rooms: &[&'b Room<'a>], speeds: &[Speed]) -> Vec<&'b Room<'a>> {
    let is_of = |room: &&&Room<'_>| speeds.contains(&room.2.speed);
    rooms.iter().filter(is_of).copied().collect()
}

/// Returns a host for each task of a gang that is to share one rack, all on the same one.
fn fill_rack(rooms: &[&Room<'_>], need: &Need<'_>) -> Option<Vec<HostId>> {
    if !need.same_rack && need.affinity.is_none() {
        return None;
    }
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
    racks.into_iter().find_map(|rack| {
        let on_rack = rooms.iter().filter(|room| room.2.entry.has_label(rack));
        let on_rack: Vec<&Room<'_>> = on_rack.copied().collect();
        fill(&on_rack, need.count)
    })
}

fn fill(rooms: &[&Room<'_>], count: u32) -> Option<Vec<HostId>> {
    let wanted = usize::try_from(count).ok()?;
    let mut placements = Vec::with_capacity(wanted);
    for (count, id, _) in rooms {
        let here = usize::try_from(*count).ok()?.min(wanted - placements.len());
        placements.extend(std::iter::repeat_n((*id).clone(), here));
        if placements.len() == wanted {
            return Some(placements);
        }
    }
    None
}
