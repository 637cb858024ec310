//! Chooses between the lanes of this gate and those of other gates.

use std::sync::{Arc, Mutex, PoisonError};

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{GateId, QueueId, TeamId, Unit};
use wigeongate_core::time::Millis;

use super::Requests;
use super::request::{self, Outcome, QueueRequest};
use crate::cluster::{MemberStatus, PeerError, View};
use crate::message::requests::{ErrorKind, LaneDigest, RequestCall};
use crate::message::{Call, Digest, Reply};

/// A load of one waiting request for each slot, in per mille.
const PER_MILLE: u64 = 1_000;

/// Another gate to send a request to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The gate.
    pub gate: GateId,
    /// Whether the request may wait for a slot on that gate.
    pub may_wait: bool,
}

/// The requests sent to each other gate since it published its digest.
#[derive(Debug, Default)]
pub struct SentCounts {
    sent: Mutex<HashMap<GateId, SentCount>>,
}

#[derive(Debug)]
struct SentCount {
    digest: Arc<Digest>,
    count: u32,
}

/// The capacity that the lanes of a gate have for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LaneCapacity {
    free: u32,
    slots: u32,
    waiting: u32,
}

impl LaneCapacity {
    /// Returns the number of waiting requests for each slot, in per mille.
    fn load(self) -> u64 {
        u64::from(self.waiting) * PER_MILLE / u64::from(self.slots.max(1))
    }
}

impl SentCounts {
    /// Counts a request sent to a gate.
    pub fn add(&self, gate: &GateId) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sent) = sent.get_mut(gate) {
            sent.count += 1;
        }
    }

    /// Returns how many requests were sent to a gate since it published this digest.
    fn since(&self, gate: &GateId, digest: &Arc<Digest>) -> u32 {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        match sent.get(gate) {
            Some(sent) if Arc::ptr_eq(&sent.digest, digest) => sent.count,
            _ => {
                let digest = digest.clone();
                sent.insert(gate.clone(), SentCount { digest, count: 0 });
                0
            }
        }
    }
}

impl Requests {
    /// Returns the gate to forward a request to; `None` to run it on this gate.
    ///
    /// Requests are forwarded to free slots only. They wait on this gate, in the fair order, unless
    /// none of its slots serves them; then they may wait on another gate.
    pub(super) fn choose_target(&self, request: &QueueRequest, avoid: &[GateId]) -> Option<Target> {
        if self.lanes.fits(&request.team, &request.queue) {
            return None;
        }
        let own = self.own_capacity(request);
        if own.slots > 0 && !avoid.is_empty() {
            return None;
        }
        let capacities = self.capacities(request, avoid);
        let free = capacities.iter().filter(|(_, capacity)| capacity.free > 0);
        let total: u32 = free.clone().map(|(_, capacity)| capacity.free).sum();
        let may_wait = own.slots == 0;
        if total > 0 {
            let gate = pick_gate(free, rand::random_range(0..total))?;
            return Some(Target { gate, may_wait });
        }
        if !may_wait {
            return None;
        }
        let least = capacities
            .into_iter()
            .min_by_key(|(_, capacity)| capacity.load());
        least.map(|(gate, _)| Target { gate, may_wait })
    }

    fn own_capacity(&self, request: &QueueRequest) -> LaneCapacity {
        self.total_capacity(&self.digest(), &request.team, &request.queue)
    }

    /// Returns the capacity that each other gate has for a request, less what was sent to it
    /// since its digest.
    fn capacities(&self, request: &QueueRequest, avoid: &[GateId]) -> Vec<(GateId, LaneCapacity)> {
        let view = self.settings.cluster.view();
        let digests = self.settings.cluster.digests();
        let others = digests.iter().filter(|(gate, _)| {
            **gate != self.settings.gate && !avoid.contains(gate) && is_present(&view, gate)
        });
        let mut capacities: Vec<(GateId, LaneCapacity)> = others
            .map(|(gate, digest)| {
                let mut capacity =
                    self.total_capacity(&digest.lanes, &request.team, &request.queue);
                let since = self.sent_counts.since(gate, digest);
                capacity.waiting += since.saturating_sub(capacity.free);
                capacity.free = capacity.free.saturating_sub(since);
                (gate.clone(), capacity)
            })
            .filter(|(_, capacity)| capacity.slots > 0)
            .collect();
        capacities.sort_by(|a, b| a.0.cmp(&b.0));
        capacities
    }

    fn total_capacity(&self, lanes: &[LaneDigest], team: &TeamId, queue: &QueueId) -> LaneCapacity {
        let lane_queues = self.lane_queues.load();
        let serves = |lane: &&LaneDigest| {
            !lane.full_teams.contains(team)
                && lane_queues
                    .get(&lane.lane)
                    .is_some_and(|queues| queues.includes(queue))
        };
        lanes
            .iter()
            .filter(serves)
            .fold(LaneCapacity::default(), |capacity, lane| LaneCapacity {
                free: capacity.free + lane.free,
                slots: capacity.slots + lane.slots,
                waiting: capacity.waiting + lane.waiting,
            })
    }

    /// Sends a call about a request to another gate and waits for the outcome.
    pub(super) async fn call(&self, gate: &GateId, call: RequestCall, within: Millis) -> Outcome {
        let called = self
            .settings
            .cluster
            .call(gate, Call::Request(call), within)
            .await;
        match called {
            Ok(Reply::Request(reply)) => request::from_reply(reply),
            Ok(Reply::NotDone(reason)) => {
                Err(ErrorKind::Elsewhere.with_detail(format!("gate {gate}: {reason}")))
            }
            Ok(Reply::Job(_)) => Err(ErrorKind::Unknown
                .with_detail(format!("gate {gate} replied to a different kind of call"))),
            Err(error @ PeerError::NotDone { .. }) => {
                Err(ErrorKind::Elsewhere.with_detail(error.to_string()))
            }
            Err(error @ PeerError::Unknown { .. }) => {
                Err(ErrorKind::Unknown.with_detail(error.to_string()))
            }
        }
    }

    /// Returns the gate that owns a journal partition, if any.
    pub(super) fn journal_owner(&self, partition: u16) -> Option<GateId> {
        let view = self.settings.cluster.view();
        let owner = view.owners.get(&Unit::Journal(partition))?;
        Some(owner.gate.clone())
    }
}

fn is_present(view: &View, gate: &GateId) -> bool {
    let member = view.members.iter().find(|member| member.gate == *gate);
    member.is_some_and(|member| {
        matches!(
            member.status,
            MemberStatus::Present | MemberStatus::WithoutStore
        )
    })
}

/// Returns the gate that holds the free slot with index `number`, counted over all gates.
///
/// A random `number` thus chooses each gate in proportion to its free slots.
fn pick_gate<'a>(
    capacities: impl Iterator<Item = &'a (GateId, LaneCapacity)>,
    mut number: u32,
) -> Option<GateId> {
    for (gate, capacity) in capacities {
        if number < capacity.free {
            return Some(gate.clone());
        }
        number -= capacity.free;
    }
    None
}
