//! What must hold of a history of requests.

use std::sync::{Mutex, PoisonError};

use serde::Serialize;
use wigeongate_core::collections::HashMap;
use wigeongate_standin::backend::Run;

/// What a caller was told by one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// A success; `own` says that it is the whole answer to this request.
    Answer {
        /// Whether it is the whole answer to this request.
        own: bool,
    },
    /// The request did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The connection ended before a whole answer.
    Cut,
    /// No connection could be opened.
    NotSent,
    /// No answer came in time.
    Nothing,
}

/// A request with all its tries.
#[derive(Debug, Clone)]
pub struct Asked {
    /// What the body starts with.
    pub tag: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What the tries were told, in their order.
    pub told: Vec<Told>,
}

/// What callers asked and were told.
#[derive(Debug, Default)]
pub struct History(Mutex<Vec<Asked>>);

/// What a history shows.
#[derive(Debug, Default, Serialize)]
pub struct Verdict {
    requests: usize,
    tries: usize,
    runs: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    cut: usize,
    not_sent: usize,
    /// The promises that were broken.
    pub broken: Vec<String>,
}

impl History {
    /// Adds a request.
    pub fn note(&self, asked: Asked) {
        let mut history = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        history.push(asked);
    }

    /// Checks every request against the runs of all backend servers.
    pub fn check(&self, runs: Vec<Run>) -> Verdict {
        let history = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut counts: HashMap<String, u32> = HashMap::default();
        let total = runs.len();
        for run in runs {
            *counts.entry(tag_of(&run.tag)).or_default() += 1;
        }
        let mut verdict = Verdict {
            requests: history.len(),
            runs: total,
            ..Verdict::default()
        };
        for asked in history.iter() {
            let runs = counts.get(&asked.tag).copied().unwrap_or_default();
            verdict.count(asked);
            verdict.broken.extend(broken(asked, runs));
        }
        verdict
    }
}

/// Returns the first three words, which a longer body starts with.
fn tag_of(text: &str) -> String {
    let words: Vec<&str> = text.split(' ').take(3).collect();
    words.join(" ")
}

impl Verdict {
    fn count(&mut self, asked: &Asked) {
        self.tries += asked.told.len();
        for told in &asked.told {
            match told {
                Told::Answer { .. } => self.answered += 1,
                Told::NotRun => self.not_run += 1,
                Told::Unknown => self.unknown += 1,
                Told::Cut | Told::Nothing => self.cut += 1,
                Told::NotSent => self.not_sent += 1,
            }
        }
    }
}

/// Returns the promises that a request shows broken.
fn broken(asked: &Asked, runs: u32) -> Vec<String> {
    let mut broken = Vec::new();
    let mut note = |what: &str| {
        let Asked { tag, told, .. } = asked;
        broken.push(format!("{what}: {tag}, {runs} runs, told {told:?}"));
    };
    if !asked.idempotent && runs > 1 {
        note("ran more than once");
    }
    if asked.told.contains(&Told::Answer { own: false }) {
        note("got what is not its whole answer");
    }
    if asked.told.contains(&Told::Answer { own: true }) && runs == 0 {
        note("answered without a run");
    }
    if asked.told.contains(&Told::Nothing) {
        note("was not answered");
    }
    // A retry with the same key speaks of the earlier ones as well; a request without a key was
    // sent once. An idempotent request may have run by an earlier try of its own.
    if asked.told.last() == Some(&Told::NotRun) && runs > 0 {
        note("was told that it did not run");
    }
    broken
}
