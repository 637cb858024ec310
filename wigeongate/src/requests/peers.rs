//! The choice between this gate's lanes and those of other gates.

use std::sync::{Arc, Mutex, PoisonError};

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{GateId, QueueId, TeamId, Unit};
use wigeongate_core::time::Millis;

use super::Requests;
use super::work::{self, Outcome, Work};
use crate::cluster::{MemberStatus, PeerError, View};
use crate::message::requests::{ErrorKind, LaneDigest, RequestCall};
use crate::message::{Call, Digest, Reply};

/// One, in the unit of the load of a gate.
const PER_MILLE: u64 = 1_000;

/// Another gate to send a request to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The gate.
    pub gate: GateId,
    /// Whether the request may wait for a slot there.
    pub waits: bool,
}

/// What was sent to other gates since each published its digest.
#[derive(Debug, Default)]
pub struct Peers {
    sent: Mutex<HashMap<GateId, Sent>>,
}

#[derive(Debug)]
struct Sent {
    digest: Arc<Digest>,
    count: u32,
}

/// What a gate's lanes have to offer to one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Offer {
    free: u32,
    slots: u32,
    waiting: u32,
}

impl Offer {
    /// Returns how many requests wait for each slot, per mille.
    fn load(self) -> u64 {
        u64::from(self.waiting) * PER_MILLE / u64::from(self.slots.max(1))
    }
}

impl Peers {
    /// Counts a request that was sent to a gate.
    pub fn sent(&self, gate: &GateId) {
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
                sent.insert(gate.clone(), Sent { digest, count: 0 });
                0
            }
        }
    }
}

impl Requests {
    /// Returns where to send a request; `None` for this gate.
    ///
    /// Other gates are asked for free slots only. Requests wait here, in the fair order, unless
    /// this gate has no slot for them.
    pub(super) fn target(&self, work: &Work, avoid: &[GateId]) -> Option<Target> {
        if self.lanes.fits(&work.team, &work.queue) {
            return None;
        }
        let own = self.own_offer(work);
        if own.slots > 0 && !avoid.is_empty() {
            return None;
        }
        let offers = self.offers(work, avoid);
        let free = offers.iter().filter(|(_, offer)| offer.free > 0);
        let total: u32 = free.clone().map(|(_, offer)| offer.free).sum();
        let waits = own.slots == 0;
        if total > 0 {
            let gate = draw(free, rand::random_range(0..total))?;
            return Some(Target { gate, waits });
        }
        if !waits {
            return None;
        }
        let least = offers.into_iter().min_by_key(|(_, offer)| offer.load());
        least.map(|(gate, _)| Target { gate, waits })
    }

    fn own_offer(&self, work: &Work) -> Offer {
        self.sum(&self.digest(), &work.team, &work.queue)
    }

    /// Returns what each other gate has to offer.
    fn offers(&self, work: &Work, avoid: &[GateId]) -> Vec<(GateId, Offer)> {
        let view = self.settings.cluster.view();
        let digests = self.settings.cluster.digests();
        let others = digests.iter().filter(|(gate, _)| {
            **gate != self.settings.gate && !avoid.contains(gate) && present(&view, gate)
        });
        let mut offers: Vec<(GateId, Offer)> = others
            .map(|(gate, digest)| {
                let mut offer = self.sum(&digest.lanes, &work.team, &work.queue);
                let since = self.peers.since(gate, digest);
                offer.waiting += since.saturating_sub(offer.free);
                offer.free = offer.free.saturating_sub(since);
                (gate.clone(), offer)
            })
            .filter(|(_, offer)| offer.slots > 0)
            .collect();
        offers.sort_by(|a, b| a.0.cmp(&b.0));
        offers
    }

    fn sum(&self, lanes: &[LaneDigest], team: &TeamId, queue: &QueueId) -> Offer {
        let serving = self.serving.load();
        let serves = |lane: &&LaneDigest| {
            !lane.full_teams.contains(team)
                && serving
                    .get(&lane.lane)
                    .is_some_and(|queues| queues.serve(queue))
        };
        lanes
            .iter()
            .filter(serves)
            .fold(Offer::default(), |offer, lane| Offer {
                free: offer.free + lane.free,
                slots: offer.slots + lane.slots,
                waiting: offer.waiting + lane.waiting,
            })
    }

    /// Calls another gate about a request.
    pub(super) async fn call(&self, gate: &GateId, call: RequestCall, within: Millis) -> Outcome {
        let called = self
            .settings
            .cluster
            .call(gate, Call::Request(call), within)
            .await;
        match called {
            Ok(Reply::Request(reply)) => work::outcome(reply),
            Ok(Reply::NotDone(reason)) => {
                Err(ErrorKind::Elsewhere.because(format!("gate {gate}: {reason}")))
            }
            Ok(Reply::Job(_)) => {
                Err(ErrorKind::Unknown.because(format!("gate {gate} answered something else")))
            }
            Err(error @ PeerError::NotDone { .. }) => {
                Err(ErrorKind::Elsewhere.because(error.to_string()))
            }
            Err(error @ PeerError::Unknown { .. }) => {
                Err(ErrorKind::Unknown.because(error.to_string()))
            }
        }
    }

    /// Returns the gate that is home for a part of the record.
    pub(super) fn home_of(&self, part: u16) -> Option<GateId> {
        let view = self.settings.cluster.view();
        let owner = view.owners.get(&Unit::Journal(part))?;
        Some(owner.gate.clone())
    }
}

fn present(view: &View, gate: &GateId) -> bool {
    let member = view.members.iter().find(|member| member.gate == *gate);
    member.is_some_and(|member| {
        matches!(
            member.status,
            MemberStatus::Present | MemberStatus::WithoutStore
        )
    })
}

/// Draws a gate by the number of its free slots.
fn draw<'a>(offers: impl Iterator<Item = &'a (GateId, Offer)>, mut number: u32) -> Option<GateId> {
    for (gate, offer) in offers {
        if number < offer.free {
            return Some(gate.clone());
        }
        number -= offer.free;
    }
    None
}
