//! Tests of the journal of requests with an idempotency key.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::Uuid;
use wigeongate_core::collections::HashMap;
use wigeongate_core::journal::{
    Entry, Fingerprint, Journal, Key, MAX_ANSWER_BYTES, MAX_CLOCK_SKEW, RECORD_RETENTION,
    STORE_OUTAGE_HOLD, State, StoredAnswer, Verdict, Watermark,
};
use wigeongate_core::time::Millis;

const START: Millis = Millis(1_700_000_000_000);

const ASKED: Fingerprint = Fingerprint([7; 32]);

fn key(text: &str) -> Key {
    Key {
        team: "aarhus".into(),
        text: text.to_owned(),
    }
}

fn issued(at: Millis, number: u32) -> Key {
    let version = 7_u128 << 76;
    let variant = 0b10_u128 << 62;
    let uuid = u128::from(at.0) << 80 | version | variant | u128::from(number);
    key(&Uuid::from_u128(uuid).to_string())
}

fn stored_answer(size: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        media: None,
        body: vec![1; size],
    }
}

#[test]
fn issue_time_is_read_from_version_7_keys() {
    assert_eq!(issued(START, 3).issued_at(), Some(START));
    assert_eq!(key("order-17").issued_at(), None);
    assert_eq!(
        key("00000000-0000-4000-8000-000000000000").issued_at(),
        None
    );
}

struct KnownKeyCase {
    name: &'static str,
    state: Option<State>,
    fingerprint: Fingerprint,
    verdict: Verdict,
}

#[test]
fn known_keys_are_answered_from_the_record() {
    let cases = [
        KnownKeyCase {
            name: "unseen",
            state: None,
            fingerprint: ASKED,
            verdict: Verdict::Record,
        },
        KnownKeyCase {
            name: "the request is in flight",
            state: Some(State::Intended),
            fingerprint: ASKED,
            verdict: Verdict::Join,
        },
        KnownKeyCase {
            name: "answered",
            state: Some(State::Answered(stored_answer(3))),
            fingerprint: ASKED,
            verdict: Verdict::Replay(stored_answer(3)),
        },
        KnownKeyCase {
            name: "answered with a body too large to store",
            state: Some(State::Answered(stored_answer(MAX_ANSWER_BYTES + 1))),
            fingerprint: ASKED,
            verdict: Verdict::Ran,
        },
        KnownKeyCase {
            name: "unknown",
            state: Some(State::Unknown),
            fingerprint: ASKED,
            verdict: Verdict::Unknown,
        },
        KnownKeyCase {
            name: "the request did not run",
            state: Some(State::NotRun),
            fingerprint: ASKED,
            verdict: Verdict::Record,
        },
        KnownKeyCase {
            name: "the key was used with another body",
            state: Some(State::Answered(stored_answer(3))),
            fingerprint: Fingerprint([8; 32]),
            verdict: Verdict::Mismatch,
        },
    ];
    for case in cases {
        let mut journal = Journal::restore(START, None, []);
        let key = key("order-17");
        if let Some(state) = case.state {
            assert_eq!(journal.begin(START, &key, ASKED), Verdict::Record);
            if state != State::Intended {
                journal.finish(&key, state);
            }
        }
        let verdict = journal.begin(START, &key, case.fingerprint);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

#[test]
fn requests_intended_before_a_takeover_are_unknown() {
    let mut first = Journal::restore(START, None, []);
    let key = key("order-17");
    assert_eq!(first.begin(START, &key, ASKED), Verdict::Record);
    let entry = first.entry(&key).cloned().expect("the entry exists");
    let mut second = Journal::restore(START, None, [entry]);
    assert_eq!(second.begin(START, &key, ASKED), Verdict::Unknown);
}

#[test]
fn new_keys_run_during_a_store_outage_after_the_hold() {
    let mut journal = Journal::restore(START, None, []);
    let wall = START + Millis(10_000);
    journal.next_watermark(wall);
    journal.write_succeeded();
    journal.next_watermark(wall);
    journal.write_failed(wall);
    let soon = wall + STORE_OUTAGE_HOLD;
    let late = soon + Millis(1);
    let ahead = late + MAX_CLOCK_SKEW + Millis(1);
    assert_eq!(
        journal.begin(soon, &issued(soon, 1), ASKED),
        Verdict::Unavailable
    );
    assert_eq!(journal.begin(late, &issued(late, 2), ASKED), Verdict::Run);
    assert_eq!(
        journal.begin(late, &issued(ahead, 3), ASKED),
        Verdict::Unavailable
    );
    assert_eq!(
        journal.begin(late, &key("order-17"), ASKED),
        Verdict::Unavailable
    );
    journal.write_succeeded();
    assert_eq!(
        journal.begin(late, &key("order-17"), ASKED),
        Verdict::Record
    );
}

#[test]
fn takeover_blocks_only_keys_that_may_have_run() {
    let watermark = Watermark {
        at: START,
        gaps: Vec::new(),
    };
    let began = START + STORE_OUTAGE_HOLD + Millis(60_000);
    let mut journal = Journal::restore(began, Some(watermark), []);
    let before = START + STORE_OUTAGE_HOLD;
    let within = before + Millis(1);
    let after = began + MAX_CLOCK_SKEW + MAX_CLOCK_SKEW + Millis(1);
    assert_eq!(
        journal.begin(after, &issued(before, 1), ASKED),
        Verdict::Record
    );
    assert_eq!(
        journal.begin(after, &issued(within, 2), ASKED),
        Verdict::Unknown
    );
    assert_eq!(
        journal.begin(after, &issued(after, 3), ASKED),
        Verdict::Record
    );
    assert_eq!(
        journal.begin(after, &key("order-17"), ASKED),
        Verdict::Record
    );
    // A crash without a store outage leaves no gap, since the watermark is recent.
    let watermark = Watermark {
        at: began - Millis(10_000),
        gaps: Vec::new(),
    };
    let mut journal = Journal::restore(began, Some(watermark), []);
    assert_eq!(
        journal.begin(began, &issued(began, 4), ASKED),
        Verdict::Record
    );
}

#[test]
fn expired_keys_do_not_run_and_expired_records_are_removed() {
    let mut journal = Journal::restore(START, None, []);
    let young = issued(START, 1);
    assert_eq!(journal.begin(START, &young, ASKED), Verdict::Record);
    journal.finish(&young, State::Answered(stored_answer(3)));
    let later = START + RECORD_RETENTION + Millis(1);
    journal.expire(later);
    assert!(journal.is_empty());
    let verdict = journal.begin(later + MAX_CLOCK_SKEW, &young, ASKED);
    assert_eq!(verdict, Verdict::Expired);
}

/// Step of a simulation of successive owners, the store and callers.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Ask { key: usize, ahead: u64 },
    Write(Written),
    End { key: usize, ran: bool },
    TakeOver { ahead: u64 },
    SendLate(usize),
}

#[derive(Debug, Clone, Copy)]
enum Written {
    Answered,
    Lost,
    Failed,
}

fn step() -> impl Strategy<Value = Step> {
    let written = prop_oneof![
        3 => Just(Written::Answered),
        2 => Just(Written::Lost),
        3 => Just(Written::Failed),
    ];
    prop_oneof![
        3 => (0..9_000_u64).prop_map(Step::Wait),
        6 => (0..12_usize, 0..=MAX_CLOCK_SKEW.0).prop_map(|(key, ahead)| Step::Ask { key, ahead }),
        4 => written.prop_map(Step::Write),
        3 => (0..12_usize, any::<bool>()).prop_map(|(key, ran)| Step::End { key, ran }),
        1 => (0..=MAX_CLOCK_SKEW.0).prop_map(|ahead| Step::TakeOver { ahead }),
        1 => (0..12_usize).prop_map(Step::SendLate),
    ]
}

/// Simulation of successive owners, with the true time.
struct World {
    time: Millis,
    /// How far the owner's clock is ahead of the true time.
    ahead: Millis,
    owner: Journal,
    /// Entries whose write the owner has not seen confirmed.
    pending: Vec<Entry>,
    /// Requests that wait for the confirmation of their intent.
    waiting: Vec<Key>,
    /// Requests of earlier owners whose intent was confirmed and that are sent late.
    late: Vec<Key>,
    stored: Vec<Entry>,
    watermark: Option<Watermark>,
    keys: Vec<Key>,
    runs: HashMap<Key, u32>,
}

impl World {
    fn new() -> Self {
        Self {
            time: START,
            ahead: Millis::ZERO,
            owner: Journal::restore(START, None, []),
            pending: Vec::new(),
            waiting: Vec::new(),
            late: Vec::new(),
            stored: Vec::new(),
            watermark: None,
            keys: Vec::new(),
            runs: HashMap::default(),
        }
    }

    fn run(&mut self, key: &Key) {
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        assert!(*runs <= 1, "{} ran twice", key.text);
    }

    fn queue_write(&mut self, key: &Key) {
        self.pending.extend(self.owner.entry(key).cloned());
    }

    fn step(&mut self, step: &Step) {
        let wall = self.time + self.ahead;
        match step {
            Step::Wait(span) => self.time += Millis(*span),
            Step::Ask { key, ahead } => {
                if *key >= self.keys.len() {
                    let number =
                        u32::try_from(self.keys.len()).expect("the number of keys fits into u32");
                    self.keys.push(issued(self.time + Millis(*ahead), number));
                }
                let key = self.keys[(*key).min(self.keys.len() - 1)].clone();
                match self.owner.begin(wall, &key, ASKED) {
                    Verdict::Run => {
                        self.queue_write(&key);
                        self.run(&key);
                    }
                    Verdict::Record => {
                        self.queue_write(&key);
                        self.waiting.push(key);
                    }
                    _ => {}
                }
            }
            Step::Write(written) => self.write(*written, wall),
            Step::End { key, ran } => {
                let Some(key) = self.keys.get(*key).cloned() else {
                    return;
                };
                self.end(&key, *ran);
            }
            Step::TakeOver { ahead } => {
                self.late.append(&mut self.waiting);
                let stored = &self.stored;
                // An owner sends a request only once the intent of this attempt is in the store.
                let confirmed = |key: &Key| {
                    let last = stored.iter().rev().find(|entry| entry.key == *key);
                    last.is_some_and(|entry| entry.state == State::Intended)
                };
                self.late.retain(confirmed);
                self.pending.clear();
                self.ahead = Millis(*ahead);
                let began = self.time + self.ahead;
                let stored = self.stored.iter().cloned();
                self.owner = Journal::restore(began, self.watermark.clone(), stored);
            }
            Step::SendLate(index) => {
                if *index < self.late.len() {
                    let key = self.late.remove(*index);
                    self.run(&key);
                }
            }
        }
    }

    fn write(&mut self, written: Written, wall: Millis) {
        let watermark = self.owner.next_watermark(wall);
        if matches!(written, Written::Answered | Written::Lost) {
            self.stored.extend(self.pending.iter().cloned());
            self.watermark = Some(watermark);
        }
        if matches!(written, Written::Lost | Written::Failed) {
            self.owner.write_failed(wall);
            return;
        }
        self.owner.write_succeeded();
        self.pending.clear();
        for key in std::mem::take(&mut self.waiting) {
            self.run(&key);
        }
    }

    /// Ends a request that was sent, or abandons one that was not.
    fn end(&mut self, key: &Key, ran: bool) {
        let in_flight = self.owner.entry(key).map(|entry| entry.state.clone());
        if in_flight != Some(State::Intended) {
            return;
        }
        let state = if self.runs.contains_key(key) {
            if ran {
                State::Answered(stored_answer(3))
            } else {
                State::Unknown
            }
        } else {
            self.waiting.retain(|waiting| waiting != key);
            State::NotRun
        };
        self.owner.finish(key, state);
        self.queue_write(key);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
    }
}
