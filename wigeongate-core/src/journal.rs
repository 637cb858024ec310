//! The record of requests with an idempotency key: each runs at most once.
//!
//! One gate is home for a part of the record. A request is run only after its intent is in the
//! store, or, while the store does not answer, when its key shows that no earlier home can have
//! known it. docs/design/at-most-once.md gives the argument.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::collections::HashMap;
use crate::ids::TeamId;
use crate::time::Millis;

/// How long the store must have failed before requests run on the record in memory alone.
pub const STORE_OUTAGE_HOLD: Millis = Millis(15_000);

/// How far apart the clocks of gates and callers may be.
pub const MAX_CLOCK_SKEW: Millis = Millis(1_000);

/// How long a record is kept.
pub const RECORD_RETENTION: Millis = Millis(3_600_000);

/// The largest body of an answer that is kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;

/// The most that the records of one part may take, in bytes.
pub const MAX_PARTITION_BYTES: usize = 16 << 20;

/// What a record takes besides its key and its answer, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;

/// A caller's key, which names a request of its team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The team.
    pub team: TeamId,
    /// The text of the idempotency key.
    pub text: String,
}

impl Key {
    /// Returns the part of the record that the key belongs to.
    pub fn partition(&self, partitions: u16) -> u16 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.team.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.text.as_bytes());
        let hash = hasher.finalize();
        let number = u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]);
        number % partitions.max(1)
    }

    /// Returns when the key was issued, if it is a UUID of version 7 (RFC 9562).
    pub fn issued_at(&self) -> Option<Millis> {
        let uuid: Uuid = self.text.parse().ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = uuid.get_timestamp()?.to_unix();
        Some(Millis(secs * 1_000 + u64::from(nanos) / 1_000_000))
    }
}

/// The hash of what was asked: the queue, the path and the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 32]);

/// An answer as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The media type.
    pub media: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may be sent; once sent it may run.
    Intended,
    /// Its answer is kept.
    Answered(StoredAnswer),
    /// It ran, but its answer was too large to be kept.
    Ran,
    /// It may have run.
    Unknown,
    /// It did not run; it may be asked for again.
    NotRun,
}

/// One entry of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// When it was first asked, by the home's wall clock.
    pub at: Millis,
    /// How far it has come.
    pub state: State,
}

impl Entry {
    /// Returns about how much the entry takes, in bytes.
    pub fn bytes(&self) -> usize {
        let answer = match &self.state {
            State::Answered(answer) => answer.body.len(),
            _ => 0,
        };
        RECORD_OVERHEAD_BYTES + self.key.text.len() + answer
    }
}

/// What to do about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Run it once its intent is recorded.
    Record,
    /// Run it; no earlier home can have known its key, and the store does not answer.
    Run,
    /// Wait for the end of the same request, which is in flight.
    Join,
    /// Give the first answer again.
    Replay(StoredAnswer),
    /// It ran; its answer is not known any more.
    Ran,
    /// It may have run, now or under an earlier home.
    Unknown,
    /// The key came with another request before.
    Mismatch,
    /// It did not run: there is no room for its record, or the store does not answer.
    Unavailable,
    /// The key is older than any record; it may have run.
    Expired,
}

/// A span of issue times: keys issued after `from`, up to `to`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnrecordedSpan {
    /// The start, not included.
    pub from: Millis,
    /// The end, included.
    pub to: Millis,
}

/// What a home writes beside the entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Every request with a key issued up to `HOLD` after this time is recorded.
    pub at: Millis,
    /// Issue times of keys that an earlier home may have served without a record.
    pub gaps: Vec<UnrecordedSpan>,
}

/// A part of the record, as its home holds it.
#[derive(Debug, Default)]
pub struct Journal {
    records: HashMap<Key, Entry>,
    /// Keys in the order in which they were first asked.
    order: VecDeque<(Millis, Key)>,
    /// Invariant: the sum of the sizes of the records.
    bytes: usize,
    /// When this home's ownership began, by its wall clock.
    owned_since: Millis,
    /// Issue times of keys that an earlier home may have served without a record.
    gaps: Vec<UnrecordedSpan>,
    /// Whether a mark of this home is in the store.
    has_watermark: bool,
    /// The newest mark that a write tried to set; it may be in the store.
    sent_watermark: Millis,
    /// Since when the store fails, by the wall clock.
    failing_since: Option<Millis>,
}

impl Journal {
    /// Starts from the entries in the store, oldest first, and the mark there.
    ///
    /// What was intended and has no end is unknown from now on.
    pub fn restore(
        began: Millis,
        watermark: Option<Watermark>,
        entries: impl IntoIterator<Item = Entry>,
    ) -> Self {
        let mut journal = Self {
            owned_since: began,
            gaps: watermark.map_or_else(Vec::new, |watermark| inherited_gaps(began, watermark)),
            sent_watermark: began,
            ..Self::default()
        };
        for entry in entries {
            journal.insert(entry);
        }
        for entry in journal.records.values_mut() {
            if entry.state == State::Intended {
                entry.state = State::Unknown;
            }
        }
        journal
    }

    /// Returns how many records there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, entry: Entry) {
        self.bytes += entry.bytes();
        let at = entry.at;
        let key = entry.key.clone();
        match self.records.insert(key.clone(), entry) {
            Some(old) => self.bytes -= old.bytes(),
            None => self.order.push_back((at, key)),
        }
    }

    /// Decides about a request; with `Record` and `Run` it is intended from now on.
    pub fn begin(&mut self, wall: Millis, key: &Key, fingerprint: Fingerprint) -> Verdict {
        let known = self.records.get(key);
        if known.is_some_and(|entry| entry.fingerprint != fingerprint) {
            return Verdict::Mismatch;
        }
        match known.map(|entry| &entry.state) {
            Some(State::Intended) => return Verdict::Join,
            Some(State::Answered(answer)) => return Verdict::Replay(answer.clone()),
            Some(State::Ran) => return Verdict::Ran,
            Some(State::Unknown) => return Verdict::Unknown,
            Some(State::NotRun) | None => {}
        }
        let verdict = self.decide_unseen(wall, key);
        if matches!(verdict, Verdict::Record | Verdict::Run) {
            self.insert(Entry {
                key: key.clone(),
                fingerprint,
                at: wall,
                state: State::Intended,
            });
        }
        verdict
    }

    fn decide_unseen(&self, wall: Millis, key: &Key) -> Verdict {
        let issued = key.issued_at();
        if issued.is_some_and(|at| at + RECORD_RETENTION < wall + MAX_CLOCK_SKEW) {
            return Verdict::Expired;
        }
        if issued.is_some_and(|at| self.maybe_served(at)) {
            return Verdict::Unknown;
        }
        if self.bytes >= MAX_PARTITION_BYTES {
            return Verdict::Unavailable;
        }
        match (self.failing_since, issued) {
            (None, _) => Verdict::Record,
            (Some(_), Some(at)) if self.is_exclusive(wall, at) => Verdict::Run,
            (Some(_), _) => Verdict::Unavailable,
        }
    }

    /// Returns whether an earlier home may have served a key without recording it.
    fn maybe_served(&self, issued: Millis) -> bool {
        self.gaps
            .iter()
            .any(|gap| issued > gap.from && issued <= gap.to)
    }

    /// Returns whether no other home can have known the key, and a later one will know that
    /// this one may have.
    fn is_exclusive(&self, wall: Millis, issued: Millis) -> bool {
        let own = issued > self.owned_since + MAX_CLOCK_SKEW + MAX_CLOCK_SKEW
            && issued <= wall + MAX_CLOCK_SKEW;
        own && self.has_watermark && issued > self.sent_watermark + STORE_OUTAGE_HOLD
    }

    /// Records how a request ended and returns the entry to write.
    pub fn finish(&mut self, key: &Key, state: State) -> Option<Entry> {
        let entry = self.records.get_mut(key)?;
        let before = entry.bytes();
        entry.state = bound_answer(state);
        self.bytes = self.bytes + entry.bytes() - before;
        Some(entry.clone())
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &Key) -> Option<&Entry> {
        self.records.get(key)
    }

    /// Returns the mark that the next write sets; while the store fails it stays the same.
    pub fn next_watermark(&mut self, wall: Millis) -> Watermark {
        if self.failing_since.is_none() {
            self.sent_watermark = self.sent_watermark.max(wall);
        }
        self.gaps
            .retain(|gap| gap.to + RECORD_RETENTION + MAX_CLOCK_SKEW >= wall);
        Watermark {
            at: self.sent_watermark,
            gaps: self.gaps.clone(),
        }
    }

    /// Learns that a write with every entry so far has taken effect.
    pub fn write_succeeded(&mut self) {
        self.failing_since = None;
        self.has_watermark = true;
    }

    /// Learns that a write failed or has an unknown outcome.
    pub fn write_failed(&mut self, wall: Millis) {
        self.failing_since.get_or_insert(wall);
    }

    /// Drops the records that are older than they are kept.
    pub fn expire(&mut self, wall: Millis) {
        while let Some((at, _)) = self.order.front() {
            if *at + RECORD_RETENTION >= wall {
                return;
            }
            let Some((at, key)) = self.order.pop_front() else {
                return;
            };
            match self.records.get(&key) {
                Some(entry) if entry.state == State::Intended => {
                    self.order.push_back((wall, key));
                }
                Some(entry) if entry.at > at => self.order.push_back((entry.at, key)),
                _ => {
                    let old = self.records.remove(&key);
                    self.bytes -= old.map_or(0, |entry| entry.bytes());
                }
            }
        }
    }
}

/// Returns the gaps that a home whose ownership began at `began` inherits.
fn inherited_gaps(began: Millis, watermark: Watermark) -> Vec<UnrecordedSpan> {
    let mut gaps = watermark.gaps;
    let from = watermark.at + STORE_OUTAGE_HOLD;
    let to = began + MAX_CLOCK_SKEW + MAX_CLOCK_SKEW;
    if from < to {
        gaps.push(UnrecordedSpan { from, to });
    }
    gaps
}

fn bound_answer(state: State) -> State {
    match state {
        State::Answered(answer) if answer.body.len() > MAX_ANSWER_BYTES => State::Ran,
        state => state,
    }
}
