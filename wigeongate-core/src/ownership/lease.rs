//! What a gate knows of its own record.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::LeaseTiming;
use crate::time::Millis;

/// A write of the gate's record that is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordWrite {
    /// The number to write, by which a read tells whether the write took effect.
    pub sequence: u64,
    /// The revision that the record must still have.
    pub revision: i64,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Written(i64),
    /// The record had another revision.
    Conflict,
    /// It certainly had no effect.
    NoEffect,
    /// Nobody knows.
    Unknown,
}

/// The gate's record as a read or a watch found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The incarnation in it.
    pub incarnation: u64,
    /// The number in it.
    pub sequence: u64,
    /// The revision of its last change.
    pub revision: i64,
}

/// What a read of the gate's record means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadBack {
    /// The record is this incarnation's.
    Ours,
    /// Another gate removed it: this incarnation owns nothing any more.
    Evicted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentWrite {
    sequence: u64,
    at: Millis,
    members: PromiseMembers,
}

/// The places of the members whose promises let the gate act beyond its lease; none while it is
/// new, since others may evict it then as soon as its lease has run out.
pub type PromiseMembers = Option<BTreeSet<SocketAddr>>;

/// How many writes of unknown outcome are remembered.
const MAX_SENT_WRITES: usize = 64;

/// What a gate knows of its own record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    timing: LeaseTiming,
    /// The process that runs under it; drawn anew after an eviction.
    incarnation: u64,
    revision: i64,
    sequence: u64,
    /// Writes of unknown outcome. Invariant: at most one can still take effect.
    sent: Vec<SentWrite>,
    /// When the newest write that is known to have taken effect was sent.
    renewed: Option<Millis>,
    /// The members that this write listed.
    members: PromiseMembers,
    /// What writes of unknown outcome list.
    uncertain_members: Vec<PromiseMembers>,
    promises: BTreeMap<SocketAddr, Millis>,
}

impl Lease {
    /// Makes the state of a gate that has written nothing.
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

    /// Sets the revision that the first write replaces.
    pub const fn set_revision(&mut self, revision: i64) {
        self.revision = revision;
    }

    /// Returns whether some write's outcome is unknown, so that the record must be read.
    pub const fn has_unknown_write(&self) -> bool {
        !self.sent.is_empty()
    }

    /// Returns what the newest write that is known to have taken effect listed.
    pub const fn members(&self) -> &PromiseMembers {
        &self.members
    }

    /// Prepares a write that lists `members`.
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

    /// Takes in what became of a write.
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

    /// Takes in the record as a read or a watch found it; `None` when it is absent.
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
        // Every other write compares with an older revision and cannot take effect any more.
        self.sent.clear();
        self.uncertain_members.clear();
    }

    /// Takes in a member's promise not to take over, counted from when it was asked.
    pub fn record_promise(&mut self, by: SocketAddr, asked: Millis) {
        let held = self.promises.entry(by).or_insert(asked);
        *held = asked.max(*held);
    }

    /// Returns whether the gate may act on its units at this moment.
    pub fn may_act(&self, now: Millis) -> bool {
        let Some(renewed) = self.renewed else {
            return false;
        };
        let age = now.since(renewed);
        let timing = &self.timing;
        age < timing.shortened(timing.lease)
            || (age < timing.shortened(timing.hold) && self.has_promises(now))
    }

    /// Returns whether the gate acts on promises because its renewal is too old.
    pub fn acts_on_promises(&self, now: Millis) -> bool {
        let fresh = |renewed| now.since(renewed) < self.timing.shortened(self.timing.lease);
        self.may_act(now) && !self.renewed.is_some_and(fresh)
    }

    /// Returns whether the recorded members promise not to take over, because the store does not
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
