//! Starts that are ordered only after their records have been written.
//!
//! A new owner reads every record and therefore knows every start that was ever ordered.

use super::host::{Host, Stage};
use super::message::{Action, Proof, StartOrder};
use super::scheduler::WorkflowScheduler;
use super::spec::StepId;
use crate::ids::HostId;
use crate::time::Millis;

/// The longest delay between the decision on a start and its order, in milliseconds. Meanwhile the
/// host may drain or its zone may be evacuated, and the limits for both are a few seconds.
const DECISION_TIMEOUT_MS: u64 = 1_000;

/// How long an order may wait to be sent, in milliseconds; after that another host may start the task
/// sooner.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// How long before its expiry a ticket is no longer sent, in milliseconds: the time that the order
/// takes to reach the host.
const TICKET_SEND_MS: u64 = 20;

/// A start whose record is not written yet.
#[derive(Debug)]
pub struct PlannedStart {
    /// Number of the record.
    pub record: u64,
    /// When the start was decided.
    pub decided: Millis,
    /// The order to send.
    pub order: StartOrder,
}

impl WorkflowScheduler {
    /// Orders the starts whose records are written, and ends those that are no longer valid.
    pub(super) fn order_written(&mut self, now: Millis, out: &mut Vec<Action>) {
        let written = self.last_written;
        while let Some(mut plan) = self.planned.pop_front_if(|plan| plan.record <= written) {
            let key = (plan.order.task, plan.order.run);
            plan.order.send_until = now + Millis(SEND_TIMEOUT_MS);
            let is_current = self.is_current(&plan, now) && self.renew_ticket(&mut plan, now);
            let Some(claim) = self.claim(&plan.order.host, key) else {
                // The claim is gone: the host has ended or restarted since the decision.
                continue;
            };
            if claim.stage == Stage::Planned && is_current {
                claim.stage = Stage::Ordered;
                claim.ordered = now;
                claim.since = now;
                self.begin_trial(&plan.order.host, key.0.step, now);
                out.push(Action::Start(plan.order));
            } else {
                self.release(&plan.order.host, key, Proof::NotOrdered, now, out);
            }
        }
    }

    /// Lets the trial of a job on a host count from the order of its start.
    fn begin_trial(&mut self, id: &HostId, at: StepId, now: Millis) {
        let until = now + self.trial(at);
        let host = self.hosts.get_mut(id);
        if let Some(trial) = host.and_then(|host| host.trial.as_mut())
            && trial.job == at.job
        {
            trial.until = until;
        }
    }

    /// Returns whether a planned start may still be ordered.
    fn is_current(&self, plan: &PlannedStart, now: Millis) -> bool {
        let in_time = now.since(plan.decided).0 <= DECISION_TIMEOUT_MS;
        let key = (plan.order.task, plan.order.run);
        let is_open = |host: &&Host| self.accepts_starts(host, now);
        let host = self.hosts.get(&plan.order.host).filter(is_open);
        in_time && !self.is_stale && host.is_some_and(|host| host.has_room_for(key))
    }

    /// Puts the newest ticket into an order that needs one; returns whether it is still valid.
    fn renew_ticket(&self, plan: &mut PlannedStart, now: Millis) -> bool {
        if plan.order.ticket.is_none() {
            return true;
        }
        let at = plan.order.task.step;
        let step = self.jobs.get(&at.job).and_then(|job| job.step(at));
        let Some((ticket, until)) = step.and_then(|step| step.advice.allowed.get(&plan.order.host))
        else {
            return false;
        };
        plan.order.ticket = Some(ticket.clone());
        let send_until = Millis(until.0.saturating_sub(TICKET_SEND_MS));
        plan.order.send_until = plan.order.send_until.min(send_until);
        send_until > now
    }

    /// Takes back the starts that wait to be sent to hosts which may get no work any more.
    pub(super) fn withdraw_starts(&self, now: Millis, out: &mut Vec<Action>) {
        for (id, host) in &self.hosts {
            let is_shrunk = !host.used.fits_in(&host.entry.capacity);
            let may_start = !self.is_stale && !is_shrunk && self.accepts_starts(host, now);
            let mut claims = host.claims.values();
            if !may_start && claims.any(|claim| claim.stage == Stage::Ordered) {
                out.push(Action::Withdraw { host: id.clone() });
            }
        }
    }
}
