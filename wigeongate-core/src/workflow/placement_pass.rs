//! One pass over the steps that may start, in the order of their value.

use std::sync::Arc;

use super::host::{Claim, Host, Stage, Trial};
use super::host_choice::Need;
use super::isolation::Caution;
use super::job::{Phase, Rank, Task};
use super::message::{Action, StartOrder};
use super::planned_starts::PlannedStart;
use super::restore::Record;
use super::room_claims::{RoomDemand, UnclaimedRoom};
use super::rules::QueueRules;
use super::scheduler::WorkflowScheduler;
use super::spec::{StepId, TaskName};
use crate::collections::HashMap;
use crate::ids::{HostId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;
use crate::urgent_room::ServiceLoad;

/// How long a reservation for a waiting gang lasts, in milliseconds; each pass renews it.
const RESERVE_MS: u64 = 400;

/// A step that waits at its team's limit holds at most one part in this many of it, since the
/// team's other work is blocked meanwhile.
const HELD_DIVISOR: u64 = 8;

/// The most steps that one pass tries; when more are ready, the fleet is full for seconds.
pub(super) const MAX_STEPS: usize = 256;

/// The most late urgent steps among them: those that wait for advice must not use up a pass that other
/// work in time needs.
const MAX_URGENT_LATE_STEPS: usize = MAX_STEPS / 4;

/// How long work waits until it counts as delayed, in milliseconds: advice takes less.
const DELAYED_MS: u64 = 1_000;

/// The most hosts of a service that one pass puts into isolation for steps that it does not try.
const MAX_DRAFTS: usize = 8;

/// Totals that one pass keeps.
#[derive(Debug, Default)]
pub(super) struct Pass {
    /// Free capacity on the hosts of each service.
    capacities: HashMap<String, FreeCapacity>,
    /// Capacity within each team's limit that earlier steps of the pass wait for.
    held: HashMap<TeamId, Resources>,
    /// Capacity within each team's limit for which earlier steps of the pass may ask for advice.
    claimed: HashMap<TeamId, Resources>,
    /// Steps that need an advice call and found no gate that could begin it.
    pub(super) waiting_for_gate: u64,
}

/// Free capacity on the hosts of one service.
#[derive(Debug, Clone, Default)]
struct FreeCapacity {
    /// The largest free amount of each resource on any one host.
    largest: Resources,
    /// Free capacity on all hosts that are not in isolation, less what earlier steps of the pass
    /// claim.
    unclaimed: UnclaimedRoom,
    /// Hosts in isolation that are not on trial, less those that earlier steps of the pass use or
    /// ask for; those on which nothing but lasting tasks runs come last.
    isolated: Vec<HostId>,
    /// The number of steps that need a host in isolation and found none.
    unplaced: usize,
    /// The most valuable work among that which is not suspected and has waited for a while.
    delayed: Option<Rank>,
    /// Capacity of all hosts.
    total: Resources,
    /// Capacity that runs use.
    used: Resources,
}

/// Standing of a step among the work of a rank; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// The most urgent work.
    Urgent,
    /// The most urgent work, late on a service with room.
    UrgentLate,
    /// Other work.
    Usual,
    /// Work of a team that is over its fair share.
    OverShare,
}

/// The rank by which a step is ordered, and its standing in it.
pub(super) type Turn = (Rank, Standing);

/// Position of a step in a pass (turn, priority, objective and step), the smallest first, and the
/// rank of its job.
type SortKey = (Turn, u32, Millis, StepId, Rank);

impl WorkflowScheduler {
    /// Plans the start of all tasks that fit, if anything has changed since the last pass.
    pub fn place(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.is_dirty() {
            return;
        }
        self.dirty = false;
        self.open_backlog(now);
        self.refresh_forecasts(now);
        self.pass = Pass {
            capacities: self.capacities(now),
            ..Pass::default()
        };
        self.update_shares(now);
        self.update_urgent(now);
        let mut steps: Vec<SortKey> = self
            .ready
            .iter()
            .filter_map(|step| self.sort_key(*step, now))
            .collect();
        steps.sort_unstable();
        // Only steps of suspected jobs are placed by what else is delayed, and the search may look at
        // every host for each late step.
        if self.has_suspects() {
            self.find_delayed(&steps, now);
        }
        let planned = self.planned.len();
        let (mut tried, mut tried_late) = (0, 0);
        for (turn, _, _, step, rank) in steps {
            if tried >= MAX_STEPS {
                break;
            }
            let is_urgent_late = turn.1 == Standing::UrgentLate;
            if is_urgent_late && tried_late >= MAX_URGENT_LATE_STEPS {
                continue;
            }
            if self.lacks_isolated(step, rank, now) {
                continue;
            }
            let is_tried = usize::from(self.place_step(step, rank, now, out));
            tried += is_tried;
            tried_late += if is_urgent_late { is_tried } else { 0 };
        }
        // What has started makes room for occurrences that are due.
        self.dirty |= planned < self.planned.len() && !self.backlog.is_empty();
    }

    /// Returns whether a step needs a host in isolation and none is left in this pass. Such steps
    /// may be many, and must not use up a pass.
    fn lacks_isolated(&mut self, at: StepId, rank: Rank, now: Millis) -> bool {
        let caution = self.caution(at);
        if caution < Caution::Isolated {
            return false;
        }
        let Some(job) = self.jobs.get(&at.job) else {
            return true;
        };
        let rules = Arc::clone(self.rules_of(&job.flow));
        if rank >= Rank::Worthless && !self.may_lose_hosts(&rules.service) {
            return true;
        }
        if self.take_isolated(at, &rules.service, caution, now) {
            return false;
        }
        if self.count_unplaced(&rules.service) <= MAX_DRAFTS {
            self.draft(at, &rules.service, caution, now);
        }
        true
    }

    /// Returns the free capacity on the hosts of each service.
    fn capacities(&self, now: Millis) -> HashMap<String, FreeCapacity> {
        let mut capacities: HashMap<String, FreeCapacity> = HashMap::default();
        for host in self.hosts.values().filter(|host| host.accepts_work(now)) {
            let free = host.entry.capacity.saturating_sub(&host.used);
            if !capacities.contains_key(&host.entry.service) {
                capacities.insert(host.entry.service.clone(), FreeCapacity::default());
            }
            if let Some(capacity) = capacities.get_mut(&host.entry.service) {
                capacity.largest = capacity.largest.max(&free);
                if host.isolated <= now {
                    capacity.unclaimed.add(free);
                } else if host.trial.is_none() {
                    capacity.isolated.push(host.entry.id.clone());
                }
                capacity.total += host.entry.capacity;
                capacity.used += host.used;
            }
        }
        for capacity in capacities.values_mut() {
            let is_vacant = |id: &HostId| self.hosts.get(id).is_some_and(Host::is_vacant);
            let isolated = &mut capacity.isolated;
            isolated.sort_by_cached_key(|id| (is_vacant(id), id.clone()));
        }
        capacities
    }

    /// Returns the capacity and the use of each service, without waiting work.
    pub(super) fn service_usage(&self) -> HashMap<String, ServiceLoad> {
        let load = |capacity: &FreeCapacity| ServiceLoad {
            capacity: capacity.total,
            used: capacity.used,
            ..ServiceLoad::default()
        };
        let services = self.pass.capacities.iter();
        services
            .map(|(service, capacity)| (service.clone(), load(capacity)))
            .collect()
    }

    /// Notes the services on which work that is not suspected has waited for a while: work that can
    /// still meet its objective, and late work for which the hosts have room.
    fn find_delayed(&mut self, steps: &[SortKey], now: Millis) {
        for (_, _, _, at, rank) in steps {
            let Some(job) = self.jobs.get(&at.job) else {
                continue;
            };
            let queued = job.step(*at).map(|step| step.queued);
            let waits = queued.is_some_and(|queued| now.since(queued).0 >= DELAYED_MS);
            if !waits || self.caution(*at) >= Caution::Isolated {
                continue;
            }
            let service = self.rules_of(&job.flow).service.clone();
            let capacity = self.pass.capacities.get(&service);
            // The order of the pass is not always that of the ranks.
            let is_noted = |capacity: &FreeCapacity| capacity.delayed.is_some_and(|it| it <= *rank);
            if capacity.is_none_or(is_noted) || (*rank > Rank::InTime && !self.has_room(*at, now)) {
                continue;
            }
            if let Some(capacity) = self.pass.capacities.get_mut(&service) {
                capacity.delayed = Some(*rank);
            }
        }
    }

    /// Returns whether less than half of the processor capacity of a service is used, and no work
    /// that is not suspected waits for it.
    pub(super) fn is_idle(&self, service: &str) -> bool {
        let capacity = self.pass.capacities.get(service);
        capacity.is_some_and(|capacity| {
            capacity.used.cpu * 2 < capacity.total.cpu && capacity.delayed.is_none()
        })
    }

    /// Returns the rank of the most valuable work that is not suspected and waits for a service.
    pub(super) fn delayed_rank(&self, service: &str) -> Option<Rank> {
        self.pass.capacities.get(service)?.delayed
    }

    /// Takes one of the hosts in isolation that a step may use; returns whether one was left. Only as
    /// many steps as there are such hosts ask for advice, since tickets expire unused otherwise.
    fn take_isolated(&mut self, at: StepId, service: &str, caution: Caution, now: Millis) -> bool {
        let suits = |id: &HostId| {
            let is_usable = |host: &Host| {
                (caution < Caution::Alone || host.is_vacant()) && self.may_try(host, at, now)
            };
            self.hosts.get(id).is_some_and(is_usable)
        };
        let left = self.pass.capacities.get(service);
        let taken = left.and_then(|left| left.isolated.iter().position(suits));
        let left = self.pass.capacities.get_mut(service);
        if let (Some(left), Some(taken)) = (left, taken) {
            left.isolated.remove(taken);
        }
        taken.is_some()
    }

    /// Counts a step that needs a host in isolation and found none; returns how many have in this
    /// pass.
    fn count_unplaced(&mut self, service: &str) -> usize {
        if let Some(capacity) = self.pass.capacities.get_mut(service) {
            capacity.unplaced += 1;
        }
        self.unplaced(service)
    }

    /// Returns how many steps need a host of a service in isolation and found none in this pass.
    pub(super) fn unplaced(&self, service: &str) -> usize {
        let capacity = self.pass.capacities.get(service);
        capacity.map_or(0, |capacity| capacity.unplaced)
    }

    /// Claims the capacity that the waiting tasks of a step could use now, for which later steps of the
    /// pass may not call the advice service; returns whether any was left before.
    fn claim_room(&mut self, at: StepId, rules: &QueueRules, now: Millis) -> bool {
        let Some(need) = self.need(at, rules, now) else {
            return false;
        };
        let count = self.claimable_tasks(&need);
        if count == 0 {
            return false;
        }
        let label = need.requires.map(str::to_owned);
        if let Some(label) = &label {
            self.read_label_room(&rules.service, label, now);
        }
        let team = self.team_limit(at).map(|(team, maximum, _)| {
            let used = |capacities: &HashMap<TeamId, Resources>| capacities.get(team).copied();
            let usage = used(&self.usage).unwrap_or_default();
            let held = used(&self.pass.held).unwrap_or_default();
            (team.clone(), maximum.saturating_sub(&(usage + held)))
        });
        let Some(step) = self.jobs.get(&at.job).and_then(|job| job.step(at)) else {
            return false;
        };
        let demand = RoomDemand {
            size: step.spec.demand(),
            count,
            label: label.as_deref(),
            team: team.as_ref().map(|(team, left)| (team, *left)),
        };
        let Pass {
            capacities,
            claimed,
            ..
        } = &mut self.pass;
        let capacity = capacities.get_mut(&rules.service);
        capacity.is_some_and(|capacity| capacity.unclaimed.claim(&demand, claimed))
    }

    /// Returns how many waiting tasks could start now if advice allowed each host that it has not
    /// denied. A gang waits for all of its tasks, unless they do not fit even on empty hosts.
    fn claimable_tasks(&self, need: &Need<'_>) -> u64 {
        let wanted = u64::from(need.count);
        let mut count = 0;
        for (id, host) in &self.hosts {
            let is_denied = need.advice.is_some_and(|it| it.denied.contains(id));
            if is_denied || !self.may_run(host, need, need.now) {
                continue;
            }
            count += if need.gang {
                Self::max_tasks(host, need)
            } else {
                self.fitting_tasks(host, need, need.now)
            };
            if count >= wanted {
                return wanted;
            }
        }
        if need.gang { 0 } else { count }
    }

    /// Reads the free capacity of the hosts with a label, once in a pass.
    fn read_label_room(&mut self, service: &str, label: &str, now: Millis) {
        let capacity = self.pass.capacities.get(service);
        if capacity.is_none_or(|capacity| capacity.unclaimed.knows_label(label)) {
            return;
        }
        let hosts = self.hosts.values().filter(|host| {
            host.entry.service == service
                && host.isolated <= now
                && host.accepts_work(now)
                && host.entry.has_label(label)
        });
        let free: Resources = hosts
            .map(|host| host.entry.capacity.saturating_sub(&host.used))
            .sum();
        if let Some(capacity) = self.pass.capacities.get_mut(service) {
            capacity.unclaimed.set_label(label, free);
        }
    }

    fn sort_key(&self, at: StepId, now: Millis) -> Option<SortKey> {
        let job = self.jobs.get(&at.job)?;
        if job.end.is_some() {
            return None;
        }
        let rules = self.rules_of(&job.flow);
        let step = job.step(at)?;
        if step.waiting == 0 || step.not_before > now || step.gang_stopping {
            return None;
        }
        let unknown = step.spec.gang && rules.advice.is_some();
        if !unknown
            && !step.spec.fills
            && !step
                .spec
                .demand()
                .fits_in(&self.pass.capacities.get(&rules.service)?.largest)
        {
            return None;
        }
        let mut rank = job.rank(now, job.remaining(at, &step.spec));
        if self.is_sole_suspect(at.job) {
            rank = rank.max(Rank::Suspected);
        }
        let standing = if self.is_over_share(job) {
            Standing::OverShare
        } else {
            Standing::Usual
        };
        let turn = self.urgent_turn((rank, standing), rules);
        Some((turn, rules.priority, job.objective, at, rank))
    }

    /// Starts what fits of a step; returns whether its team's limit let it try. Steps that a limit
    /// holds back may be many, and must not use up a pass.
    fn place_step(&mut self, at: StepId, rank: Rank, now: Millis, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&at.job) else {
            return false;
        };
        let rules = Arc::clone(self.rules_of(&job.flow));
        let Some(step) = self.step(at) else {
            return false;
        };
        if step.spec.gang && step.waiting < step.remaining {
            self.break_gang(at, now, out);
            return true;
        }
        let is_gang = step.spec.gang;
        let fewest = if is_gang { step.waiting } else { 1 };
        if !self.within_limit(at, fewest) {
            self.hold_team_limit(at, rank);
            return false;
        }
        if is_gang {
            self.place_gang(at, &rules, rank, now, out);
        } else {
            self.place_tasks(at, &rules, rank, now, out);
        }
        true
    }

    fn place_tasks(
        &mut self,
        at: StepId,
        rules: &QueueRules,
        rank: Rank,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let caution = self.caution(at);
        // A suspect that was the only one is tried before the other tasks of its step.
        let suspects_only = self.step(at).is_some_and(|step| {
            let mut held = step.tasks.held();
            held.any(|(_, task)| task.is_sole_suspect())
        });
        let mut from = 0;
        while let Some((index, last_failed_host)) = self.next_waiting(at, from, suspects_only) {
            from = index + 1;
            let host = self
                .need(at, rules, now)
                .and_then(|need| self.best_host(&need, last_failed_host.as_ref()));
            let Some(host) = host else { break };
            self.plan_start(TaskName { step: at, index }, &host, now, out);
            self.put_on_trial(&host, at, caution, now);
            if !self.within_limit(at, 1) {
                self.hold_team_limit(at, rank);
                return;
            }
        }
        let left = self.step(at).map_or(0, |step| step.waiting);
        if left > 0 && caution >= Caution::Isolated {
            self.count_unplaced(&rules.service);
            self.draft(at, &rules.service, caution, now);
        }
        if left > 0
            && let Some(cost) = rules.advice
            && (caution >= Caution::Isolated || self.claim_room(at, rules, now))
        {
            self.ask_advice(at, rules, cost, now, out);
        }
    }

    /// Returns the next waiting task of a step from an index on, with the host of its last failed run.
    fn next_waiting(
        &self,
        at: StepId,
        from: u32,
        suspects_only: bool,
    ) -> Option<(u32, Option<HostId>)> {
        let step = self.jobs.get(&at.job)?.step(at)?;
        let index = if suspects_only {
            let is_next = |(index, task): &(u32, &Task)| {
                *index >= from && task.phase == Phase::Waiting && task.is_suspect()
            };
            step.tasks.held().find(is_next)?.0
        } else {
            step.tasks.next_waiting(from)?
        };
        let last_failed_host = step.tasks.get(index)?.last_failed_host.clone();
        Some((index, last_failed_host))
    }

    /// Keeps other jobs off a host until the tasks of a suspected job have passed there.
    fn put_on_trial(&mut self, id: &HostId, at: StepId, caution: Caution, now: Millis) {
        if caution == Caution::None {
            return;
        }
        let until = now + self.trial(at);
        if let Some(host) = self.hosts.get_mut(id) {
            host.trial = Some(Trial { job: at.job, until });
        }
    }

    fn place_gang(
        &mut self,
        at: StepId,
        rules: &QueueRules,
        rank: Rank,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let hosts = self
            .need(at, rules, now)
            .and_then(|need| self.gang_hosts(&need));
        if let Some(hosts) = hosts {
            if let Some(step) = self.step(at) {
                step.align_runs();
            }
            let caution = self.caution(at);
            for (index, host) in (0..).zip(hosts) {
                self.plan_start(TaskName { step: at, index }, &host, now, out);
                self.put_on_trial(&host, at, caution, now);
            }
            self.unreserve(at);
            return;
        }
        self.claim_room(at, rules, now);
        if let Some(cost) = rules.advice {
            self.ask_advice(at, rules, cost, now, out);
        }
        // A gang that cannot meet its objective gets no reservation; it starts on capacity that
        // other steps leave free.
        if rank == Rank::InTime {
            self.reserve(at, rules, now + Millis(RESERVE_MS), now);
        }
    }

    fn unreserve(&mut self, at: StepId) {
        for host in self.hosts.values_mut() {
            host.reservation = host
                .reservation
                .filter(|reservation| reservation.step != at);
        }
    }

    /// Returns whether the team's limit allows this many more tasks of a step.
    pub(super) fn within_limit(&self, at: StepId, count: u32) -> bool {
        let Some((team, maximum, size)) = self.team_limit(at) else {
            return true;
        };
        let used = |capacities: &HashMap<TeamId, Resources>| capacities.get(team).copied();
        let usage = used(&self.usage).unwrap_or_default();
        let held = used(&self.pass.held).unwrap_or_default();
        (usage + held + size.times(u64::from(count))).fits_in(&maximum)
    }

    /// Holds the part of the team's limit that a step waits for, so that later steps of the pass do
    /// not take it as it becomes free. Late steps, and steps that need a large part of the limit,
    /// hold nothing.
    fn hold_team_limit(&mut self, at: StepId, rank: Rank) {
        let waiting = self.step(at).map_or(0, |step| step.waiting);
        let Some((team, maximum, size)) = self.team_limit(at) else {
            return;
        };
        let wanted = size.times(u64::from(waiting));
        if rank != Rank::InTime || !wanted.times(HELD_DIVISOR).fits_in(&maximum) {
            return;
        }
        let team = team.clone();
        *self.pass.held.entry(team).or_default() += wanted;
    }

    /// Returns the team of a step, the team's limit and the size of one task; `None` without a
    /// limit.
    fn team_limit(&self, at: StepId) -> Option<(&TeamId, Resources, Resources)> {
        let job = self.jobs.get(&at.job)?;
        let team = job.flow.team.as_ref()?;
        let maximum = self.rules.teams.get(team)?.maximum;
        let step = job.step(at)?;
        Some((team, maximum, step.spec.requested))
    }

    fn plan_start(&mut self, name: TaskName, id: &HostId, now: Millis, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&name.step.job) else {
            return;
        };
        let first = self.first_start(job);
        let team = job.flow.team.clone();
        let command: Arc<str> = Arc::from(job.flow.spec.command.as_str());
        let forecast = job
            .step(name.step)
            .map(|step| self.forecast(&job.flow, &step.spec))
            .unwrap_or_default();
        let Some(step) = self.step(name.step) else {
            return;
        };
        let size = step.spec.demand();
        let lasting = step.spec.long_running;
        let ticket = step
            .advice
            .allowed
            .get(id)
            .map(|(ticket, _)| ticket.clone());
        let Some(task) = step.task(name.index) else {
            return;
        };
        task.run = task.run.max(first) + 1;
        let run = task.run;
        task.phase = Phase::Placed;
        task.placements.push((id.clone(), run));
        let checkpoint = task.checkpoint.clone();
        let resumed = !checkpoint.is_empty();
        step.waiting -= 1;
        if step.waiting == 0 {
            self.ready.remove(&name.step);
        }
        if let Some(team) = team {
            *self.usage.entry(team).or_default() += size;
        }
        let boot_ms = self.hosts.get(id).map_or(0, |host| host.boot_ms);
        if let Some(host) = self.hosts.get_mut(id) {
            host.claim(
                (name, run),
                Claim {
                    size,
                    stage: Stage::Planned,
                    ordered: now,
                    stop_answered: None,
                    since: now,
                    confirmed: false,
                    answered: None,
                    lasting,
                    boot_ms,
                    batch: 0,
                    forecast,
                    resumed,
                    straggles: false,
                },
            );
        }
        let record = self.record(Record::StartedOn(name, run, id.clone(), boot_ms), out);
        let order = StartOrder {
            host: id.clone(),
            task: name,
            run,
            command,
            checkpoint,
            ticket,
            send_until: Millis::ZERO,
        };
        self.planned.push_back(PlannedStart {
            record,
            decided: now,
            order,
        });
    }
}
