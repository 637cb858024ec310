//! The occurrences of a job that are held in memory.
//!
//! Load pattern: a job that runs each minute for weeks, and thousands of occurrences that are due at
//! once while the fleet is full. An occurrence has a state only from its due time until it is done, and
//! only as many are opened as could start. What is left of those that are done is a few ranges.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use rangemap::RangeInclusiveSet;

use super::job::Step;
use super::spec::{Repeat, StepSpec, WorkflowSpec};

/// One run of all steps of a job.
#[derive(Debug)]
pub struct Occurrence {
    /// The due time in milliseconds since 1970; zero for immediately.
    pub due: u64,
    /// The steps.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Returns whether every task succeeded.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_ready(&self, step: usize) -> bool {
        self.steps[step].spec.after.iter().all(|at| {
            self.steps
                .get(usize::from(*at))
                .is_none_or(|step| step.remaining == 0)
        })
    }

    /// Returns whether nothing more has to be known of it.
    fn is_settled(&self) -> bool {
        self.is_done() && !self.steps.iter().any(|step| step.tasks.has_history())
    }
}

/// The occurrences of a job, by their index.
#[derive(Debug)]
pub struct Occurrences {
    /// The steps of each occurrence.
    specs: Vec<Arc<StepSpec>>,
    /// `None` for one occurrence that is due immediately, which is always held.
    repeat: Option<Repeat>,
    held: BTreeMap<u32, Occurrence>,
    /// Occurrences that are done and not held.
    done: RangeInclusiveSet<u32>,
    /// Those among them of which the log has no [`Record::OccurrencesDone`](super::restore::Record).
    unrecorded: RangeInclusiveSet<u32>,
    /// The first occurrence that was not opened in the order of the due times. Later ones are held
    /// only if a run of theirs is known.
    next: u32,
}

impl Occurrences {
    /// Creates the occurrences of a job.
    pub fn new(spec: &WorkflowSpec) -> Self {
        let mut occurrences = Self {
            specs: spec.steps.iter().cloned().map(Arc::new).collect(),
            repeat: spec.repeat,
            held: BTreeMap::new(),
            done: RangeInclusiveSet::new(),
            unrecorded: RangeInclusiveSet::new(),
            next: 0,
        };
        if spec.repeat.is_none() {
            occurrences.open_next();
        }
        occurrences
    }

    fn count(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    fn due(&self, at: u32) -> u64 {
        self.repeat.map_or(0, |repeat| repeat.due(at))
    }

    /// Returns an occurrence that is held.
    pub fn get(&self, at: u32) -> Option<&Occurrence> {
        self.held.get(&at)
    }

    /// Returns an occurrence that is held to change it.
    pub fn get_mut(&mut self, at: u32) -> Option<&mut Occurrence> {
        self.held.get_mut(&at)
    }

    /// Returns the occurrences that are held.
    pub fn held(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.held.iter().map(|(at, occurrence)| (*at, occurrence))
    }

    /// Returns the occurrences that are held to change them.
    pub fn held_mut(&mut self) -> impl Iterator<Item = &mut Occurrence> {
        self.held.values_mut()
    }

    /// Returns an occurrence, which is held from now on; `None` if it is done or there is none.
    pub fn open(&mut self, at: u32) -> Option<&mut Occurrence> {
        if at >= self.count() || self.done.contains(&at) {
            return None;
        }
        let due = self.due(at);
        let specs = &self.specs;
        let occurrence = self.held.entry(at).or_insert_with(|| Occurrence {
            due,
            steps: specs.iter().map(Step::new).collect(),
        });
        Some(occurrence)
    }

    /// Returns the due time of the next occurrence to open; `None` after the last one.
    pub fn next_due(&self) -> Option<u64> {
        let next = self.next_open();
        (next < self.count()).then(|| self.due(next))
    }

    /// Opens the next occurrence; returns its index.
    pub fn open_next(&mut self) -> Option<u32> {
        let at = self.next_open();
        self.next = at;
        self.open(at)?;
        self.next += 1;
        Some(at)
    }

    /// Returns the first occurrence that is neither done nor was opened in the order of the due times.
    fn next_open(&self) -> u32 {
        // The number of occurrences fits, so that the index after the last one does.
        self.done
            .get(&self.next)
            .map_or(self.next, |done| done.end() + 1)
    }

    /// Returns how many occurrences were opened in the order of the due times.
    pub fn opened(&self) -> u32 {
        self.next_open()
    }

    /// Returns whether every task of every occurrence succeeded.
    pub fn is_done(&self) -> bool {
        self.next_open() == self.count() && self.held.values().all(Occurrence::is_done)
    }

    /// Drops the state of an occurrence of a repeated job that is done and of which nothing more has to
    /// be known; returns whether it was.
    pub fn settle(&mut self, at: u32) -> bool {
        let is_settled = self.repeat.is_some() && self.get(at).is_some_and(Occurrence::is_settled);
        if is_settled {
            self.held.remove(&at);
            self.done.insert(at..=at);
            self.unrecorded.insert(at..=at);
        }
        is_settled
    }

    /// Marks occurrences as done by a record of the log, and drops their states.
    pub fn replay_done(&mut self, range: RangeInclusive<u32>) {
        if range.is_empty() {
            return;
        }
        self.held.retain(|at, _| !range.contains(at));
        self.unrecorded.remove(range.clone());
        self.done.insert(range);
    }

    /// Takes the ranges of occurrences that were dropped since the last call without a record.
    pub fn take_unrecorded(&mut self) -> RangeInclusiveSet<u32> {
        std::mem::take(&mut self.unrecorded)
    }
}
