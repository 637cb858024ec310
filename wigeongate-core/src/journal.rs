//! Journal of requests with an idempotency key, each of which runs at most once.
//!
//! One gate at a time owns a partition of the journal. It runs a request only after the intent is
//! in the store or, while the store does not answer, if the issue time of the key shows that no
//! earlier owner can have seen it. docs/design/at-most-once.md explains why this is safe.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::collections::HashMap;
use crate::ids::TeamId;
use crate::time::Millis;

/// How long the store must have failed before requests run with a record in memory only.
pub const STORE_OUTAGE_HOLD: Millis = Millis(15_000);

/// Maximum difference between the clocks of gates and callers.
pub const MAX_CLOCK_SKEW: Millis = Millis(1_000);

/// How long a record is kept.
pub const RECORD_RETENTION: Millis = Millis(3_600_000);

/// Maximum size of an answer body that is stored, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;

/// Maximum total size of the records of one partition, in bytes.
pub const MAX_PARTITION_BYTES: usize = 16 << 20;

/// Size of a record without its key and its answer, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;

/// Idempotency key of a caller, unique within its team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Team of the caller.
    pub team: TeamId,
    /// Text of the idempotency key.
    pub text: String,
}

impl Key {
    /// Returns the journal partition that the key belongs to, out of `partitions`.
    pub fn partition(&self, partitions: u16) -> u16 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.team.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.text.as_bytes());
        let hash = hasher.finalize();
        let number = u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]);
        number % partitions.max(1)
    }

    /// Returns the wall-clock time at which the key was issued, if it is a UUID of version 7 (RFC
    /// 9562).
    pub fn issued_at(&self) -> Option<Millis> {
        let uuid: Uuid = self.text.parse().ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = uuid.get_timestamp()?.to_unix();
        Some(Millis(secs * 1_000 + u64::from(nanos) / 1_000_000))
    }
}

/// Hash of the queue, the path and the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 32]);

/// Stored answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The media type.
    pub media: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// State of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may be sent; once sent it may run.
    Intended,
    /// It ran and its answer is stored.
    Answered(StoredAnswer),
    /// It ran, but its answer was too large to be stored.
    Ran,
    /// It may have run.
    Unknown,
    /// It did not run; the caller may send it again.
    NotRun,
}

/// Entry of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Idempotency key of the request.
    pub key: Key,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time of the first request with the key, by the owner's wall clock.
    pub at: Millis,
    /// State of the request.
    pub state: State,
}

impl Entry {
    /// Returns the approximate size of the entry, in bytes.
    pub fn bytes(&self) -> usize {
        let answer = match &self.state {
            State::Answered(answer) => answer.body.len(),
            _ => 0,
        };
        RECORD_OVERHEAD_BYTES + self.key.text.len() + answer
    }
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Run it once its intent is in the store.
    Record,
    /// Run it now: the store does not answer, and no earlier owner can have seen its key.
    Run,
    /// Wait for the same request, which is already in flight.
    Join,
    /// Return the stored answer again.
    Replay(StoredAnswer),
    /// It ran, but its answer is no longer known.
    Ran,
    /// It may have run, under this owner or an earlier one.
    Unknown,
    /// The key was used with a different request before.
    Mismatch,
    /// It did not run: the partition has no space for its record, or the store does not answer.
    Unavailable,
    /// The key is older than any record that is kept, so the request may have run.
    Expired,
}

/// Span of issue times, after `from` and up to `to`, for which requests may have run without a
/// record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnrecordedSpan {
    /// Start of the span, exclusive.
    pub from: Millis,
    /// End of the span, inclusive.
    pub to: Millis,
}

/// Watermark that the owner writes with the entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Every request with a key issued up to [`STORE_OUTAGE_HOLD`] after this time is recorded.
    pub at: Millis,
    /// Issue times of keys that an earlier owner may have served without a record.
    pub gaps: Vec<UnrecordedSpan>,
}

/// Partition of the journal, as its owner holds it in memory.
#[derive(Debug, Default)]
pub struct Journal {
    records: HashMap<Key, Entry>,
    /// Keys in the order of their first requests, with the times of these.
    order: VecDeque<(Millis, Key)>,
    /// Invariant: the sum of the sizes of the records, in bytes.
    bytes: usize,
    /// Time at which this gate's ownership began, by its wall clock.
    owned_since: Millis,
    /// Issue times of keys that an earlier owner may have served without a record.
    gaps: Vec<UnrecordedSpan>,
    /// Whether a watermark of this owner is in the store.
    has_watermark: bool,
    /// Newest watermark that was sent in a write; it may be in the store.
    sent_watermark: Millis,
    /// Wall-clock time at which the store began to fail; `None` while writes succeed.
    failing_since: Option<Millis>,
}

impl Journal {
    /// Restores a partition from the entries in the store, oldest first, and the stored watermark.
    ///
    /// An intended request without a recorded end becomes [`State::Unknown`].
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

    /// Returns the number of records.
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

    /// Decides about a request; with [`Verdict::Record`] and [`Verdict::Run`] it becomes
    /// [`State::Intended`].
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

    /// Returns whether an earlier owner may have served a key without a record.
    fn maybe_served(&self, issued: Millis) -> bool {
        self.gaps
            .iter()
            .any(|gap| issued > gap.from && issued <= gap.to)
    }

    /// Returns whether no other owner can have seen the key, and a later owner will know that this
    /// one may have run its request.
    fn is_exclusive(&self, wall: Millis, issued: Millis) -> bool {
        let own = issued > self.owned_since + MAX_CLOCK_SKEW + MAX_CLOCK_SKEW
            && issued <= wall + MAX_CLOCK_SKEW;
        own && self.has_watermark && issued > self.sent_watermark + STORE_OUTAGE_HOLD
    }

    /// Records how a request ended and returns the entry to write; `None` if the key is unknown.
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

    /// Returns the watermark for the next write; it does not advance while the store fails.
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

    /// Records that a write with all entries so far has taken effect.
    pub fn write_succeeded(&mut self) {
        self.failing_since = None;
        self.has_watermark = true;
    }

    /// Records that a write failed or has an unknown outcome.
    pub fn write_failed(&mut self, wall: Millis) {
        self.failing_since.get_or_insert(wall);
    }

    /// Removes the records that are older than [`RECORD_RETENTION`], except those still in flight.
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

/// Returns the gaps that an owner inherits whose ownership began at `began`.
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
