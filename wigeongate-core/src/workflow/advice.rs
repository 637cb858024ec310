//! Asks the advice service which hosts may run a step, for queues whose policy requires it.

use std::sync::Arc;

use super::advice_gates::MAX_WAIT_MS;
use super::gang_advice::{Candidate, GangCall, GangDemand, plan_gang_call};
use super::host::{Host, HostReservation};
use super::host_choice::Need;
use super::message::{Action, Advice};
use super::rules::{AdviceCost, QueueRules};
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use super::urgent_work::spread_hosts;
use crate::ids::HostId;
use crate::resources::Resources;
use crate::time::Millis;

/// The most hosts that one advice call names; job objectives allow time for a call with this many.
const MAX_CALL_HOSTS: usize = 30;

/// The fewest hosts that a call names when it asks about new hosts, if there are that many.
const MIN_CALL_HOSTS: usize = 6;

/// How long before its expiry a ticket is no longer used, in milliseconds: a start order takes that
/// long.
pub const TICKET_MARGIN_MS: u64 = 120;

/// The delay before the next call after a failed one, in milliseconds.
const RETRY_MS: u64 = 150;

/// How long a call may be overdue beyond its expected duration, in milliseconds.
const OVERDUE_MS: u64 = 3_000;

/// How long a reservation lasts beyond the expected duration of a call, in milliseconds.
const RESERVE_MARGIN_MS: u64 = 300;

/// At most one in this many hosts has a reservation for a gang, since reserved capacity is idle
/// until enough of it is free.
const RESERVED_DIVISOR: usize = 8;

/// The longest time for which a ticket must still be valid when a gang starts without another call,
/// in milliseconds.
const MAX_REFRESH_MS: u64 = 100;

/// The most hosts that one advice call for a gang names: its objective is longer, and one wide call
/// takes less of the gates' time than two.
const MAX_GANG_CALL_HOSTS: usize = 60;

/// How long a gang waits for room on the hosts that may run it before it asks about others that have
/// room, in milliseconds.
const PATIENCE_MS: u64 = 2_000;

/// A step may have one concurrent call for each this many gates, since other steps need the gates
/// too.
const GATES_PER_CALL: usize = 8;

impl WorkflowScheduler {
    /// Calls the advice service for a step whose tasks did not fit on the hosts with a valid
    /// ticket.
    pub(super) fn ask_advice(
        &mut self,
        at: StepId,
        rules: &QueueRules,
        cost: AdviceCost,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(need) = self.need(at, rules, now) else {
            return;
        };
        let (hosts, per_call, for_tickets) = if need.gang {
            let Some(call) = self.gang_call(&need, cost, now) else {
                return;
            };
            match call {
                GangCall::NewHosts(hosts) => (hosts, MAX_GANG_CALL_HOSTS, false),
                GangCall::Tickets(hosts) => (hosts, MAX_GANG_CALL_HOSTS, true),
            }
        } else {
            let Some(hosts) = self.hosts_to_ask(&need, cost, now) else {
                return;
            };
            (hosts, MAX_CALL_HOSTS, false)
        };
        let calls = hosts.len().div_ceil(per_call);
        let hosts_per_call = hosts.len().div_ceil(calls);
        let cost_ms = call_cost_ms(cost, hosts_per_call);
        if !self.advice_gates.can_begin(cost_ms, now) {
            self.pass.waiting_for_gate += 1;
            return;
        }
        let mut answer_ms = 0;
        for hosts in hosts.chunks(hosts_per_call) {
            let Some(gate) = self.advice_gates.assign(cost_ms, now) else {
                break;
            };
            answer_ms = answer_ms.max(gate.answer_ms);
            if let Some(step) = self.step(at) {
                step.advice.pending.extend(hosts.iter().cloned());
            }
            out.push(Action::Advise {
                step: at,
                hosts: hosts.to_vec(),
                cost_ms,
                gate,
            });
        }
        if let Some(step) = self.step(at) {
            step.advice.not_before = now + Millis(answer_ms + OVERDUE_MS);
        }
        if for_tickets {
            let until = now + Millis(answer_ms + RESERVE_MARGIN_MS);
            self.reserve_free(at, rules, until, now);
        }
    }

    /// Returns the hosts to name in calls for a gang, or `None` if a call would not help now.
    fn gang_call(&self, need: &Need<'_>, cost: AdviceCost, now: Millis) -> Option<GangCall> {
        let advice = need.advice?;
        if !advice.pending.is_empty() || advice.not_before > now {
            return None;
        }
        let usable = |(id, host): &(&HostId, &Host)| {
            !advice.denied.contains(*id) && self.may_run(host, need, now)
        };
        let candidates = self
            .hosts
            .iter()
            .filter(usable)
            .map(|(id, host)| Candidate {
                id: id.clone(),
                fits: self.fitting_tasks(host, need, now),
                most: Self::max_tasks(host, need),
                ticket: advice.allowed.get(id).map(|(_, until)| *until),
            });
        let count = u64::from(need.count);
        let refresh_ms = call_cost_ms(cost, usize::try_from(need.count).unwrap_or_default());
        let demand = GangDemand {
            tasks: count,
            allowed_share: self.allowed_share(need),
            max_hosts: self.max_hosts(MAX_GANG_CALL_HOSTS),
            valid_until: now + Millis(refresh_ms.min(MAX_REFRESH_MS) + TICKET_MARGIN_MS),
            answered_at: now + Millis(refresh_ms + MAX_WAIT_MS + TICKET_MARGIN_MS),
            is_impatient: now.since(advice.answered).0 >= PATIENCE_MS,
            salt: need.step.job.0,
        };
        plan_gang_call(candidates.collect(), &demand)
    }

    /// Returns the most hosts that the concurrent calls about one step may name in total.
    fn max_hosts(&self, per_call: usize) -> usize {
        per_call * (self.advice_gates.count() / GATES_PER_CALL).max(1)
    }

    /// Returns the hosts to name in a call for single tasks, or `None` if a call would not help now.
    fn hosts_to_ask(&self, need: &Need<'_>, cost: AdviceCost, now: Millis) -> Option<Vec<HostId>> {
        let advice = need.advice?;
        if !advice.pending.is_empty() || advice.not_before > now {
            return None;
        }
        let mut allowed_hosts: Vec<(u64, HostId)> = Vec::new();
        let mut new_hosts: Vec<(u64, HostId)> = Vec::new();
        let mut allowed_count = 0;
        for (id, host) in &self.hosts {
            if advice.denied.contains(id) || !self.may_run(host, need, now) {
                continue;
            }
            let count = self.fitting_tasks(host, need, now);
            if advice.allowed.contains_key(id) {
                allowed_count += count;
                if count > 0 {
                    allowed_hosts.push((count, id.clone()));
                }
            } else if count > 0 {
                new_hosts.push((count, id.clone()));
            }
        }
        allowed_hosts.sort_by(|one, other| other.cmp(one));
        if self.is_urgent(need.priority) {
            spread_hosts(&mut new_hosts, need.step);
        } else {
            // Tasks go to partly used hosts first, which leaves empty hosts to gangs.
            new_hosts.sort_by_cached_key(|(_, id)| {
                let host = self.hosts.get(id);
                let free = host.map(|host| host.free(need.step, need.priority, now).cpu);
                (free, id.clone())
            });
        }
        let wanted = u64::from(need.count);
        if allowed_count >= 1 {
            return self.expiring_hosts(need, cost, allowed_hosts);
        }
        if new_hosts.is_empty() {
            return None;
        }
        let missing = wanted.saturating_sub(allowed_count);
        // Names hosts for half as many tasks again, since the share of allowed hosts is only a mean.
        let counts = new_hosts.iter().map(|(count, _)| *count);
        let number = self.hosts_for(need, counts, missing + missing / 2);
        new_hosts.truncate(number);
        let most = self.max_hosts(MAX_CALL_HOSTS);
        let mut named: Vec<HostId> = allowed_hosts.into_iter().map(|(_, id)| id).collect();
        named.truncate(most / 2);
        named.extend(new_hosts.into_iter().map(|(_, id)| id));
        named.truncate(most);
        Some(named)
    }

    /// Returns the allowed hosts needed for the step whose tickets expire before an answer could
    /// arrive; `None` if there are none.
    fn expiring_hosts(
        &self,
        need: &Need<'_>,
        cost: AdviceCost,
        allowed: Vec<(u64, HostId)>,
    ) -> Option<Vec<HostId>> {
        let wanted = u64::from(need.count);
        let mut covered = 0;
        let covers = allowed.into_iter().take_while(|(count, _)| {
            let goes_on = covered < wanted;
            covered += count;
            goes_on
        });
        let mut named: Vec<HostId> = covers
            .map(|(_, id)| id)
            .take(self.max_hosts(MAX_CALL_HOSTS))
            .collect();
        let until = need.now + Millis(call_cost_ms(cost, named.len()) + TICKET_MARGIN_MS);
        named.retain(|id| {
            let ticket = need.advice.and_then(|advice| advice.allowed.get(id));
            ticket.is_none_or(|(_, end)| *end <= until)
        });
        (!named.is_empty()).then_some(named)
    }

    /// Returns how many tasks of the step fit on the host when it is empty.
    pub(super) fn max_tasks(host: &Host, need: &Need<'_>) -> u64 {
        let tasks = host.entry.capacity.count(&need.size);
        if need.per_host > 0 {
            tasks.min(u64::from(need.per_host))
        } else {
            tasks
        }
    }

    /// Returns how many hosts to name so that the allowed ones among them are expected to fit
    /// `wanted` tasks.
    fn hosts_for(&self, need: &Need<'_>, counts: impl Iterator<Item = u64>, wanted: u64) -> usize {
        let share = self.allowed_share(need);
        let most = self.max_hosts(MAX_CALL_HOSTS);
        let mut expected = 0.0;
        for (at, count) in counts.enumerate().take(most) {
            #[expect(clippy::cast_precision_loss, reason = "counts of tasks are small")]
            let (count, wanted) = (count as f64, wanted as f64);
            expected += count * share;
            if expected >= wanted {
                return (at + 1).max(MIN_CALL_HOSTS);
            }
        }
        most
    }

    fn allowed_share(&self, need: &Need<'_>) -> f64 {
        let (allowed, named) = self
            .advice_totals
            .get(need.queue)
            .copied()
            .unwrap_or_default();
        // Starts from an estimate of one allowed host in two before any answer has arrived.
        f64::from(allowed + 1) / f64::from(named + 2)
    }

    /// Reserves capacity for a gang until the given time, on as many of the hosts that may run it as
    /// its tasks need.
    pub(super) fn reserve(&mut self, at: StepId, rules: &QueueRules, until: Millis, now: Millis) {
        if let Some(need) = self.need(at, rules, now) {
            let amounts = self.reservations(&need);
            self.set_reservations(at, rules.priority, until, amounts, now);
        }
    }

    /// Reserves the free capacity on which a gang will start once its tickets arrive. It idles for
    /// one call only, so that no bound applies.
    fn reserve_free(&mut self, at: StepId, rules: &QueueRules, until: Millis, now: Millis) {
        let Some(need) = self.need(at, rules, now) else {
            return;
        };
        let mut free: Vec<(u64, HostId)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                need.advice
                    .is_some_and(|advice| advice.allowed.contains_key(*id))
                    && self.may_run(host, &need, now)
            })
            .map(|(id, host)| (self.fitting_tasks(host, &need, now), id.clone()))
            .collect();
        free.sort_by(|one, other| (other.0, &one.1).cmp(&(one.0, &other.1)));
        let mut left = u64::from(need.count);
        let mut amounts = Vec::new();
        for (fits, id) in free {
            let tasks = fits.min(left);
            if tasks == 0 {
                break;
            }
            left -= tasks;
            amounts.push((id, need.size.times(tasks)));
        }
        self.set_reservations(at, rules.priority, until, amounts, now);
    }

    fn set_reservations(
        &mut self,
        step: StepId,
        priority: u32,
        until: Millis,
        amounts: Vec<(HostId, Resources)>,
        now: Millis,
    ) {
        for (id, size) in amounts {
            let uses_forecasts = self.settings.policies.run_times;
            if let Some(host) = self.hosts.get_mut(&id) {
                let ready = if uses_forecasts {
                    host.ready_for(size, now)
                } else {
                    Millis::ZERO
                };
                host.reservation = Some(HostReservation {
                    step,
                    priority,
                    size,
                    until,
                    ready,
                });
            }
        }
    }

    /// Returns the hosts to reserve capacity on, with the amount for each.
    fn reservations(&self, need: &Need<'_>) -> Vec<(HostId, Resources)> {
        let now = need.now;
        let reserved_by_other = |host: &Host| {
            host.blocking_reservation(need.step, need.priority, now)
                .is_some()
        };
        let reserved_by_step =
            |host: &Host| host.reservation.is_some_and(|it| it.step == need.step);
        let mut ranked: Vec<(u64, &HostId, &Host)> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                need.advice
                    .is_none_or(|advice| advice.allowed.contains_key(*id))
                    && self.may_run(host, need, now)
                    && !reserved_by_other(host)
            })
            .map(|(id, host)| (self.tasks_soon(host, need), id, host))
            .collect();
        ranked.sort_by_key(|(count, id, host)| {
            (
                !reserved_by_step(host),
                std::cmp::Reverse(*count),
                (*id).clone(),
            )
        });
        let others = self
            .hosts
            .values()
            .filter(|host| reserved_by_other(host))
            .count();
        let most = (self.hosts.len() / RESERVED_DIVISOR).saturating_sub(others);
        let mut left = u64::from(need.count);
        let mut reservations = Vec::new();
        for (_, id, host) in ranked.into_iter().take(most) {
            if left == 0 {
                break;
            }
            let tasks = Self::max_tasks(host, need).min(left);
            left -= tasks;
            reservations.push((id.clone(), need.size.times(tasks)));
        }
        reservations
    }

    /// Applies the answer of a call that named these hosts; `advice` is `None` if the call failed.
    pub fn apply_advice(
        &mut self,
        at: StepId,
        named: &[HostId],
        advice: Option<&Advice>,
        now: Millis,
    ) {
        self.dirty = true;
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        if let Some(advice) = advice {
            let counts = self
                .advice_totals
                .entry(job.flow.queue.clone())
                .or_default();
            counts.0 += u32::try_from(advice.allowed.len()).unwrap_or_default();
            counts.1 += u32::try_from(named.len()).unwrap_or_default();
        }
        let is_open = job.end.is_none();
        let step = self.step(at);
        let Some(step) = step.filter(|step| is_open && step.remaining > 0) else {
            return;
        };
        for id in named {
            step.advice.pending.remove(id);
        }
        let Some(advice) = advice else {
            step.advice.not_before = now + Millis(RETRY_MS);
            return;
        };
        step.advice.not_before = now;
        step.advice.answered = now;
        for id in named {
            let ticket = advice.allowed.iter().find(|(allowed, _)| allowed == id);
            if let Some((_, ticket)) = ticket {
                let ticket = (Arc::from(ticket.as_str()), advice.until);
                step.advice.allowed.insert(id.clone(), ticket);
            } else {
                step.advice.allowed.remove(id);
                step.advice.denied.insert(id.clone());
            }
        }
    }
}

/// Returns the expected duration of a call that names this many hosts, in milliseconds.
fn call_cost_ms(cost: AdviceCost, hosts: usize) -> u64 {
    #[expect(clippy::cast_precision_loss, reason = "a call names at most 100 hosts")]
    let duration_ms = cost.host_ms.mul_add(hosts as f64, cost.call_ms);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a call takes milliseconds to seconds"
    )]
    let cost_ms = duration_ms.max(0.0) as u64;
    cost_ms
}
