//! The tasks of a step.
//!
//! Load pattern: many jobs wait, some with steps of thousands of tasks, while a fleet runs a bounded
//! number of tasks. A task that has not started and one that is done need no state of their own, so
//! that what a step takes in memory follows its tasks at work.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use rangemap::RangeInclusiveSet;

use super::job::{Phase, Task};

/// A task that has never been placed.
static WAITING: LazyLock<Task> = LazyLock::new(Task::default);

/// A task that succeeded and of which nothing else is known.
static DONE: LazyLock<Task> = LazyLock::new(|| Task {
    phase: Phase::Done,
    ..Task::default()
});

/// The states of a step's tasks, by their index.
#[derive(Debug)]
pub struct Tasks {
    /// The number of tasks.
    count: u32,
    /// The tasks with a state of their own.
    held: BTreeMap<u32, Task>,
    /// The tasks that succeeded; none of them is held.
    done: RangeInclusiveSet<u32>,
}

impl Tasks {
    /// Creates the states of tasks that all wait.
    pub fn new(count: u32) -> Self {
        Self {
            count,
            held: BTreeMap::new(),
            done: RangeInclusiveSet::new(),
        }
    }

    /// Returns the state of a task; `None` beyond the number of tasks.
    pub fn get(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let task = self.held.get(&index);
        Some(task.unwrap_or_else(|| {
            if self.done.contains(&index) {
                &DONE
            } else {
                &WAITING
            }
        }))
    }

    /// Returns the state of a task to change it, which is held from now on.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        let task = self.get(index)?;
        if !self.held.contains_key(&index) {
            let task = task.clone();
            self.done.remove(index..=index);
            self.held.insert(index, task);
        }
        self.held.get_mut(&index)
    }

    /// Returns the held tasks; all others wait and have never been placed, or are done and have no
    /// runs, failures or crashes.
    pub fn held(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.held.iter().map(|(index, task)| (*index, task))
    }

    /// Returns the held tasks to change them.
    pub fn held_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.held.values_mut()
    }

    /// Marks all tasks as done.
    pub fn finish_all(&mut self) {
        for task in self.held.values_mut() {
            task.phase = Phase::Done;
            task.drop_checkpoint();
        }
        if self.count > 0 {
            self.done.insert(0..=self.count - 1);
        }
        for index in self.held.keys() {
            self.done.remove(*index..=*index);
        }
        self.settle_all();
    }

    /// Drops the state of a done task of which nothing more has to be known.
    pub fn settle(&mut self, index: u32) {
        if self.held.get(&index).is_some_and(Task::is_settled) {
            self.held.remove(&index);
            self.done.insert(index..=index);
        }
    }

    /// Drops the states of all done tasks of which nothing more has to be known.
    pub fn settle_all(&mut self) {
        let settled = self.held.extract_if(.., |_, task| task.is_settled());
        let settled: Vec<u32> = settled.map(|(index, _)| index).collect();
        for index in settled {
            self.done.insert(index..=index);
        }
    }

    /// Returns the first waiting task from an index on.
    pub fn next_waiting(&self, from: u32) -> Option<u32> {
        let mut index = from;
        while index < self.count {
            if let Some(done) = self.done.get(&index) {
                index = done.end().checked_add(1)?;
                continue;
            }
            let is_waiting = |task: &Task| task.phase == Phase::Waiting;
            if self.held.get(&index).is_none_or(is_waiting) {
                return Some(index);
            }
            index += 1;
        }
        None
    }

    /// Returns whether a task is held for more than its place.
    pub fn has_history(&self) -> bool {
        self.held.values().any(Task::has_history)
    }
}
