//! Lease of a gate, based on its own record in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::LeaseTiming;
use crate::time::Millis;

/// Write of the gate's record, ready to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordWrite {
    /// Sequence number to write, by which a read tells whether the write took effect.
    pub sequence: u64,
    /// Revision that the record must still have.
    pub revision: i64,
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Written(i64),
    /// The record had another revision.
    Conflict,
    /// It certainly had no effect.
    NoEffect,
    /// It is unknown whether it took or will take effect.
    Unknown,
}

/// The gate's record as returned by a read or a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// Incarnation in the record.
    pub incarnation: u64,
    /// Sequence number in the record.
    pub sequence: u64,
    /// Revision of the last change of the record.
    pub revision: i64,
}

/// Meaning of a read of the gate's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadBack {
    /// The record belongs to this incarnation.
    Ours,
    /// Another gate removed the record: this incarnation no longer owns anything.
    Evicted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentWrite {
    sequence: u64,
    at: Millis,
    members: PromiseMembers,
}

/// Addresses of the members whose promises let the gate act beyond its lease; `None` while the gate
/// is new, since others may then evict it as soon as its lease has expired.
pub type PromiseMembers = Option<BTreeSet<SocketAddr>>;

/// Maximum number of writes of unknown outcome that are remembered.
const MAX_SENT_WRITES: usize = 64;

/// Lease of a gate: the state of its own record and the promises of other gates.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    timing: LeaseTiming,
    /// Random identifier of the process that holds the lease; a new one is drawn after an eviction.
    incarnation: u64,
    revision: i64,
    sequence: u64,
    /// Writes of unknown outcome. Invariant: at most one can still take effect.
    sent: Vec<SentWrite>,
    /// Time at which the newest write known to have taken effect was sent.
    renewed: Option<Millis>,
    /// Members listed by the write that `renewed` refers to.
    members: PromiseMembers,
    /// Members listed by writes of unknown outcome.
    uncertain_members: Vec<PromiseMembers>,
    promises: BTreeMap<SocketAddr, Millis>,
}

impl Lease {
    /// Creates the lease of a gate that has not written its record yet.
    pub const fn new(timing: LeaseTiming, incarnation: u64) -> Self {
        Self {
            timing,
            incarnation,
            revision: 0,
            sequence: 0,
            sent: Vec::new(),
            renewed: None,
            members: None,
            uncertain_members: Vec::new(),
            promises: BTreeMap::new(),
        }
    }

    /// Returns the incarnation.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the revision of the record as last seen; zero before the first write.
    pub const fn revision(&self) -> i64 {
        self.revision
    }

    /// Sets the revision of the record that the first write replaces.
    pub const fn set_revision(&mut self, revision: i64) {
        self.revision = revision;
    }

    /// Returns whether the outcome of a write is unknown, so that the record must be read.
    pub const fn has_unknown_write(&self) -> bool {
        !self.sent.is_empty()
    }

    /// Returns the members listed by the newest write known to have taken effect.
    pub const fn members(&self) -> &PromiseMembers {
        &self.members
    }

    /// Prepares a write of the record that lists `members`.
    pub fn begin_write(&mut self, now: Millis, members: PromiseMembers) -> RecordWrite {
        self.sequence += 1;
        if !self.uncertain_members.contains(&members) {
            self.uncertain_members.push(members.clone());
        }
        if self.sent.len() == MAX_SENT_WRITES {
            self.sent.remove(0);
        }
        self.sent.push(SentWrite {
            sequence: self.sequence,
            at: now,
            members,
        });
        RecordWrite {
            sequence: self.sequence,
            revision: self.revision,
        }
    }

    /// Applies the outcome of a write.
    pub fn finish_write(&mut self, sequence: u64, answer: WriteOutcome) {
        match answer {
            WriteOutcome::Written(revision) => self.written(sequence, revision),
            WriteOutcome::NoEffect => self.sent.retain(|sent| sent.sequence != sequence),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {}
        }
        if self.sent.is_empty() {
            self.uncertain_members.clear();
        }
    }

    /// Compares the lease with the record that a read or a watch returned; `None` when it is
    /// absent.
    pub fn read_back(&mut self, seen: Option<StoredRecord>) -> ReadBack {
        let Some(seen) = seen.filter(|seen| seen.incarnation == self.incarnation) else {
            self.renewed = None;
            return ReadBack::Evicted;
        };
        if seen.revision > self.revision {
            self.written(seen.sequence, seen.revision);
        }
        ReadBack::Ours
    }

    fn written(&mut self, sequence: u64, revision: i64) {
        self.revision = revision;
        let found = self.sent.iter().position(|sent| sent.sequence == sequence);
        if let Some(found) = found {
            let sent = self.sent.swap_remove(found);
            self.renewed = Some(sent.at);
            self.members = sent.members;
        }
        // Every other write requires an older revision and can no longer take effect.
        self.sent.clear();
        self.uncertain_members.clear();
    }

    /// Records a member's promise not to take over, valid from the time at which it was requested.
    pub fn record_promise(&mut self, by: SocketAddr, asked: Millis) {
        let held = self.promises.entry(by).or_insert(asked);
        *held = asked.max(*held);
    }

    /// Returns whether the gate may act on its units at `now`.
    pub fn may_act(&self, now: Millis) -> bool {
        let Some(renewed) = self.renewed else {
            return false;
        };
        let age = now.since(renewed);
        let timing = &self.timing;
        age < timing.shortened(timing.lease)
            || (age < timing.shortened(timing.hold) && self.has_promises(now))
    }

    /// Returns whether the gate may act only on promises because its last renewal is too old.
    pub fn acts_on_promises(&self, now: Millis) -> bool {
        let fresh = |renewed| now.since(renewed) < self.timing.shortened(self.timing.lease);
        self.may_act(now) && !self.renewed.is_some_and(fresh)
    }

    /// Returns whether enough recorded members promise not to take over, because the store does not
    /// answer them either.
    pub fn has_promises(&self, now: Millis) -> bool {
        let sets = std::iter::once(&self.members).chain(&self.uncertain_members);
        sets.into_iter().all(|set| {
            let set = set.as_ref();
            set.is_some_and(|set| self.has_promises_of(set, now))
        })
    }

    fn has_promises_of(&self, set: &BTreeSet<SocketAddr>, now: Millis) -> bool {
        let fresh = |member: &&SocketAddr| {
            let asked = self.promises.get(*member).copied();
            asked.is_some_and(|asked| now.since(asked) < self.timing.promise)
        };
        set.iter().filter(fresh).count() + LeaseTiming::required_refusals(set.len()) > set.len()
    }
}
