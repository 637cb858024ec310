//! What a gate knows of the others' records, and when it may evict one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{LeaseTiming, PromiseMembers};
use crate::ids::GateId;
use crate::time::Millis;

/// Another gate's record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerRecord {
    /// The incarnation in it.
    pub incarnation: u64,
    /// Where the gate listens for the others.
    pub address: SocketAddr,
    /// The members that it listed.
    pub members: PromiseMembers,
    /// The revision of its last change.
    pub revision: i64,
}

/// Whether a gate may be evicted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Not yet.
    Wait,
    /// Not before more of these members refuse to promise anything to it.
    Ask {
        /// The members.
        members: Vec<SocketAddr>,
        /// The revision of the record that lists them.
        revision: i64,
    },
    /// Its record may be removed if its revision is still this one.
    Evict(i64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct KnownPeer {
    record: PeerRecord,
    /// When this revision was first seen.
    since: Millis,
    /// Members that refuse, with when they said so.
    refusals: BTreeMap<SocketAddr, Millis>,
}

/// What a gate knows of the others' records.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Observer {
    timing: LeaseTiming,
    /// Where this gate listens for the others.
    address: SocketAddr,
    /// Since when every call of the store was answered.
    answering_since: Option<Millis>,
    peers: BTreeMap<GateId, KnownPeer>,
    /// Up to which revision of a gate's record this gate promises nothing to it.
    refused_revisions: BTreeMap<GateId, i64>,
}

impl Observer {
    /// Makes the state of a gate that has seen nothing.
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

    /// Takes in that a call of the store was answered.
    pub fn on_store_answer(&mut self, now: Millis) {
        self.answering_since.get_or_insert(now);
    }

    /// Takes in that a call of the store failed, or that this process was paused.
    pub const fn on_store_failure(&mut self) {
        self.answering_since = None;
    }

    /// Takes in another gate's record.
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

    /// Takes in that another gate's record is gone.
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

    /// Returns how long a gate's record has been the same.
    pub fn age(&self, gate: &GateId, now: Millis) -> Option<Millis> {
        self.peers.get(gate).map(|known| now.since(known.since))
    }

    /// Returns whether this gate promises not to take over from `owner` for now.
    ///
    /// It does so only while the store does not answer it, so that a whole lease of answers lies
    /// between its last promise and an eviction, and never once an eviction was sent.
    pub fn may_promise(&self, owner: &GateId) -> bool {
        let refused = self
            .refused_revisions
            .get(owner)
            .copied()
            .unwrap_or_default();
        let known = self.peers.get(owner);
        self.answering_since.is_none() && known.is_some_and(|known| known.record.revision > refused)
    }

    /// Refuses to promise anything to `owner` until its record is newer than `revision`.
    ///
    /// It is called before an eviction at that revision is sent, here or by the gate that asks,
    /// since such a write may take effect long after its sender has given up.
    pub fn refuse_promises(&mut self, owner: GateId, revision: i64) {
        let refused = self.refused_revisions.entry(owner).or_default();
        *refused = revision.max(*refused);
    }

    /// Takes in that a member refuses to promise anything to `owner` on the record of `revision`.
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
        // An address belongs to one process at a time, so the gate that had it has ended.
        if record.address == self.address {
            return Verdict::Evict(record.revision);
        }
        let unchanged = now.since(known.since.max(answers));
        // Refusals are asked for early, since they count only after the time of a promise.
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

    /// Returns whether enough recorded members refuse, this one included.
    fn is_released(&self, known: &KnownPeer, members: &BTreeSet<SocketAddr>, now: Millis) -> bool {
        let ended = |since: &Millis| now.since(*since) >= self.timing.promise;
        let others = known.refusals.iter();
        let others = others.filter(|(by, since)| members.contains(*by) && ended(since));
        let own = usize::from(members.contains(&self.address));
        others.count() + own >= LeaseTiming::required_refusals(members.len())
    }
}
