//! Observation of the other gates' records, and the rule for their eviction.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{LeaseTiming, PromiseMembers};
use crate::ids::GateId;
use crate::time::Millis;

/// Record of another gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerRecord {
    /// Incarnation in the record.
    pub incarnation: u64,
    /// Address at which the gate listens for other gates.
    pub address: SocketAddr,
    /// Members that the record lists.
    pub members: PromiseMembers,
    /// Revision of the last change of the record.
    pub revision: i64,
}

/// Decision whether a gate may be evicted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may not be evicted yet.
    Wait,
    /// It may be evicted only once more of these members refuse to promise anything to it.
    Ask {
        /// Members to ask for a refusal.
        members: Vec<SocketAddr>,
        /// Revision of the record that lists them.
        revision: i64,
    },
    /// Its record may be removed if it still has this revision.
    Evict(i64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct KnownPeer {
    record: PeerRecord,
    /// Time at which this revision was first seen.
    since: Millis,
    /// Members that refuse a promise, with the times of their refusals.
    refusals: BTreeMap<SocketAddr, Millis>,
}

/// Records of the other gates, as this gate has observed them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Observer {
    timing: LeaseTiming,
    /// Address at which this gate listens for other gates.
    address: SocketAddr,
    /// Time since which every call to the store was answered; `None` after a failure.
    answering_since: Option<Millis>,
    peers: BTreeMap<GateId, KnownPeer>,
    /// Revision of a gate's record up to which this gate promises nothing to it.
    refused_revisions: BTreeMap<GateId, i64>,
}

impl Observer {
    /// Creates the observer of a gate that has seen no records yet.
    pub const fn new(timing: LeaseTiming, address: SocketAddr) -> Self {
        Self {
            timing,
            address,
            answering_since: None,
            peers: BTreeMap::new(),
            refused_revisions: BTreeMap::new(),
        }
    }

    /// Returns whether the store answered the last call.
    pub const fn store_answers(&self) -> bool {
        self.answering_since.is_some()
    }

    /// Records that the store answered a call.
    pub fn on_store_answer(&mut self, now: Millis) {
        self.answering_since.get_or_insert(now);
    }

    /// Records that a call to the store failed, or that this process was paused.
    pub const fn on_store_failure(&mut self) {
        self.answering_since = None;
    }

    /// Records another gate's record; a revision that is not newer than the known one is ignored.
    pub fn record_seen(&mut self, now: Millis, gate: GateId, record: PeerRecord) {
        let old = self.peers.get(&gate).map(|known| known.record.revision);
        if old.is_some_and(|old| old >= record.revision) {
            return;
        }
        let known = KnownPeer {
            record,
            since: now,
            refusals: BTreeMap::new(),
        };
        self.peers.insert(gate, known);
    }

    /// Records that another gate's record was removed.
    pub fn record_removed(&mut self, gate: &GateId) {
        self.peers.remove(gate);
    }

    /// Returns the other gates' records.
    pub fn records(&self) -> impl Iterator<Item = (&GateId, &PeerRecord)> {
        self.peers.iter().map(|(gate, known)| (gate, &known.record))
    }

    /// Returns a gate's record.
    pub fn record(&self, gate: &GateId) -> Option<&PeerRecord> {
        self.peers.get(gate).map(|known| &known.record)
    }

    /// Returns how long a gate's record has been unchanged.
    pub fn age(&self, gate: &GateId, now: Millis) -> Option<Millis> {
        self.peers.get(gate).map(|known| now.since(known.since))
    }

    /// Returns whether this gate promises not to take over from `owner` for now.
    ///
    /// It promises only while the store does not answer it, so that a whole lease of answered calls
    /// lies between its last promise and an eviction, and never after an eviction was sent.
    pub fn may_promise(&self, owner: &GateId) -> bool {
        let refused = self
            .refused_revisions
            .get(owner)
            .copied()
            .unwrap_or_default();
        let known = self.peers.get(owner);
        self.answering_since.is_none() && known.is_some_and(|known| known.record.revision > refused)
    }

    /// Refuses every promise to `owner` until the record of `owner` is newer than `revision`.
    ///
    /// Must be called before an eviction at that revision is sent, by this gate or by the gate that
    /// asks for the refusal, since such a write may take effect long after its sender has given up.
    pub fn refuse_promises(&mut self, owner: GateId, revision: i64) {
        let refused = self.refused_revisions.entry(owner).or_default();
        *refused = revision.max(*refused);
    }

    /// Records that the member `by` refuses every promise to `owner` for its record at `revision`.
    pub fn record_refusal(&mut self, owner: &GateId, revision: i64, by: SocketAddr, now: Millis) {
        let known = self.peers.get_mut(owner);
        if let Some(known) = known.filter(|known| known.record.revision == revision) {
            known.refusals.entry(by).or_insert(now);
        }
    }

    /// Returns whether `gate` may be evicted now.
    pub fn verdict(&self, now: Millis, gate: &GateId) -> Verdict {
        let (Some(known), Some(answers)) = (self.peers.get(gate), self.answering_since) else {
            return Verdict::Wait;
        };
        let record = &known.record;
        // An address belongs to one process at a time, so the previous gate at it has ended.
        if record.address == self.address {
            return Verdict::Evict(record.revision);
        }
        let unchanged = now.since(known.since.max(answers));
        // Refusals are requested early, since one counts only after the duration of a promise.
        if unchanged < self.timing.lease.since(self.timing.promise) {
            return Verdict::Wait;
        }
        let lapsed = unchanged >= self.timing.lease;
        let Some(members) = &record.members else {
            return if lapsed {
                Verdict::Evict(record.revision)
            } else {
                Verdict::Wait
            };
        };
        if unchanged >= self.timing.hold || self.is_released(known, members, now) {
            return if lapsed {
                Verdict::Evict(record.revision)
            } else {
                Verdict::Wait
            };
        }
        let others = members.iter().filter(|member| **member != self.address);
        Verdict::Ask {
            members: others.copied().collect(),
            revision: record.revision,
        }
    }

    /// Returns whether enough recorded members refuse a promise, this gate included.
    fn is_released(&self, known: &KnownPeer, members: &BTreeSet<SocketAddr>, now: Millis) -> bool {
        let ended = |since: &Millis| now.since(*since) >= self.timing.promise;
        let others = known.refusals.iter();
        let others = others.filter(|(by, since)| members.contains(*by) && ended(since));
        let own = usize::from(members.contains(&self.address));
        others.count() + own >= LeaseTiming::required_refusals(members.len())
    }
}
