//! Which hosts a step may run on, where a queue's policy knows and has to be asked.

use std::sync::Arc;

use super::director::Director;
use super::host::Reserved;
use super::message::{Action, Advice};
use super::places::Need;
use super::rules::AdviceCost;
use super::spec::StepId;
use crate::ids::HostId;
use crate::time::Millis;

/// The most hosts that one question names; the objective of a job counts a call on so many.
const MOST_HOSTS: usize = 30;

/// The fewest hosts that a first question names.
const LEAST_HOSTS: usize = 6;

/// How long before its end a ticket is no longer used, in milliseconds: an order takes that long.
pub const TICKET_MARGIN_MS: u64 = 120;

/// How long after a failed question the next is asked, in milliseconds.
const RETRY_MS: u64 = 150;

/// How long a question may be under way beyond the time that it takes, in milliseconds.
const OVERDUE_MS: u64 = 3_000;

/// How long room is kept beyond the time that a question takes, in milliseconds.
const KEPT_MS: u64 = 300;

impl Director {
    /// Asks about hosts for a step whose tasks found no place among those with a ticket.
    pub(super) fn ask(
        &mut self,
        need: &Need<'_>,
        cost: AdviceCost,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(hosts) = self.question(need, now) else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "at most 100 hosts are named")]
        let taken = cost.host_ms.mul_add(hosts.len() as f64, cost.call_ms);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a call takes milliseconds to seconds"
        )]
        let cost_ms = taken.max(0.0) as u64;
        if need.gang {
            self.keep_known(need, now + Millis(cost_ms + KEPT_MS));
        }
        let Some(step) = self.step(need.step) else {
            return;
        };
        step.known.asked = Some(now);
        step.known.pause = now + Millis(cost_ms + OVERDUE_MS);
        out.push(Action::Advise {
            step: need.step,
            hosts,
            cost_ms,
        });
    }

    /// Returns the hosts to ask about, or `None` when a question would not help now.
    fn question(&self, need: &Need<'_>, now: Millis) -> Option<Vec<HostId>> {
        let known = need.known?;
        if known.asked.is_some() || known.pause > now {
            return None;
        }
        let mut again: Vec<(u64, HostId)> = Vec::new();
        let mut fresh: Vec<(u64, HostId)> = Vec::new();
        let mut good_room = 0;
        for (id, host) in &self.hosts {
            if known.bad.contains(id) || !self.may_run(host, need, now) {
                continue;
            }
            let count = self.room(host, need, now);
            if known.good.contains_key(id) {
                good_room += count;
                if count > 0 {
                    again.push((count, id.clone()));
                }
            } else if count > 0 || need.gang {
                fresh.push((count, id.clone()));
            }
        }
        let wanted = u64::from(need.count);
        again.sort_by(|one, other| other.cmp(one));
        let enough = if need.gang { wanted } else { 1 };
        if good_room >= enough {
            let mut covered = 0;
            let named = again.into_iter().take_while(|(count, _)| {
                let goes_on = covered < wanted;
                covered += count;
                goes_on
            });
            return Some(named.map(|(_, id)| id).take(MOST_HOSTS).collect());
        }
        let first = known.good.is_empty() && known.bad.is_empty();
        let fresh_room: u64 = fresh.iter().map(|(count, _)| *count).sum();
        if fresh.is_empty() || (fresh_room == 0 && !(first && need.gang)) {
            return None;
        }
        fresh.sort_by(|one, other| other.cmp(one));
        let number = self.enough_hosts(need, &fresh, wanted.saturating_sub(good_room));
        fresh.truncate(number);
        let mut named: Vec<HostId> = again.into_iter().map(|(_, id)| id).collect();
        named.truncate(MOST_HOSTS / 2);
        named.extend(fresh.into_iter().map(|(_, id)| id));
        named.truncate(MOST_HOSTS);
        Some(named)
    }

    /// Returns how many of the hosts have to be named so that the good ones have room.
    fn enough_hosts(&self, need: &Need<'_>, fresh: &[(u64, HostId)], wanted: u64) -> usize {
        let share = self.good_share(need);
        let mut expected = 0.0;
        for (at, (count, _)) in fresh.iter().enumerate() {
            #[expect(clippy::cast_precision_loss, reason = "counts of tasks are small")]
            let (count, wanted) = (*count as f64, wanted as f64);
            expected += count * share;
            // Half as much again, since the share is a mean.
            if expected >= 1.5 * wanted {
                return (at + 1).max(LEAST_HOSTS);
            }
        }
        MOST_HOSTS
    }

    fn good_share(&self, need: &Need<'_>) -> f64 {
        let (good, named) = self
            .good_shares
            .get(need.queue)
            .copied()
            .unwrap_or_default();
        // One good host of two before anything was learnt.
        f64::from(good + 1) / f64::from(named + 2)
    }

    /// Keeps the room of good hosts for a gang while their tickets are renewed.
    fn keep_known(&mut self, need: &Need<'_>, until: Millis) {
        let Some(known) = need.known else { return };
        let good: Vec<HostId> = known.good.keys().cloned().collect();
        self.keep(need, good, until);
    }

    /// Keeps room on as many of the hosts as the waiting tasks need.
    pub(super) fn keep(&mut self, need: &Need<'_>, hosts: Vec<HostId>, until: Millis) {
        let now = need.now;
        let mut left = u64::from(need.count);
        let mut ranked: Vec<(u64, HostId)> = hosts
            .into_iter()
            .filter_map(|id| {
                let host = self.hosts.get(&id)?;
                let allowed = self.may_run(host, need, now);
                allowed.then(|| (self.room(host, need, now), id))
            })
            .collect();
        ranked.sort_by(|one, other| other.cmp(one));
        for (_, id) in ranked {
            if left == 0 {
                break;
            }
            let Some(host) = self.hosts.get_mut(&id) else {
                continue;
            };
            let theirs = host.reserved.is_some_and(|reserved| {
                reserved.until > now
                    && reserved.step != need.step
                    && reserved.priority <= need.priority
            });
            if theirs {
                continue;
            }
            let mut tasks = host.entry.capacity.count(&need.size).min(left);
            if need.per_host > 0 {
                tasks = tasks.min(u64::from(need.per_host));
            }
            left -= tasks;
            host.reserved = Some(Reserved {
                step: need.step,
                priority: need.priority,
                size: need.size.times(tasks),
                until,
            });
        }
    }

    /// Takes in an answer about the hosts that were named; `None` when there was none.
    pub fn advised(&mut self, at: StepId, named: &[HostId], advice: Option<&Advice>, now: Millis) {
        self.dirty = true;
        let queue = self.jobs.get(&at.job).map(|job| job.flow.queue.clone());
        let Some(step) = self.step(at) else { return };
        step.known.asked = None;
        let Some(advice) = advice else {
            step.known.pause = now + Millis(RETRY_MS);
            return;
        };
        step.known.pause = now;
        for id in named {
            let ticket = advice.good.iter().find(|(good, _)| good == id);
            if let Some((_, ticket)) = ticket {
                let ticket = (Arc::from(ticket.as_str()), advice.until);
                step.known.good.insert(id.clone(), ticket);
            } else {
                step.known.good.remove(id);
                step.known.bad.insert(id.clone());
            }
        }
        if let Some(queue) = queue {
            let counts = self.good_shares.entry(queue).or_default();
            counts.0 += u32::try_from(advice.good.len()).unwrap_or_default();
            counts.1 += u32::try_from(named.len()).unwrap_or_default();
        }
    }
}
