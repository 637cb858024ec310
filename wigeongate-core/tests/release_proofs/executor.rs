//! A process of an executor: its clock, its runs and its lease.

use std::collections::BTreeMap;

use wigeongate_core::ids::HostId;
use wigeongate_core::workflow::{Ended, Refusal, RunOutcome, Running, TaskName};

/// A task and the number of its run.
pub type RunKey = (TaskName, u32);

/// The longest lease that an executor accepts, in milliseconds.
const LONGEST_LEASE_MS: u64 = 6_000;

/// The end of a run as done, until it is acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct DoneEnd {
    pub number: u64,
    pub run: RunKey,
    pub at: u64,
    /// The number of lapses before the end.
    pub lapses: u32,
}

/// A planned shutdown of a process.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    /// How long the process serves after the store has accepted that it drains.
    pub serves_ms: u64,
    /// Whether the store has accepted that it drains.
    pub announced: bool,
}

/// A process of an executor.
#[derive(Debug)]
pub struct Process {
    pub id: HostId,
    pub machine: usize,
    /// Its start in milliseconds since 1970.
    pub boot_ms: u64,
    pub up: bool,
    pub listening: bool,
    pub shutdown: Option<Shutdown>,
    /// Until when it stands still.
    pub frozen_until: u64,
    /// Calls that wait for the end of a run.
    pub waiting: Vec<usize>,
    born: u64,
    /// The speed of its clock, in parts per thousand.
    rate: u64,
    /// The runs, and when and how each ends.
    running: BTreeMap<RunKey, (u64, RunOutcome)>,
    refused: BTreeMap<TaskName, u32>,
    ended: Vec<Ended>,
    pub done: Vec<DoneEnd>,
    next_end: u64,
    deadline: u64,
    has_lapsed: bool,
    pub lapses: u32,
}

impl Process {
    pub fn new(id: HostId, machine: usize, now: u64, rate: u64) -> Self {
        Self {
            id,
            machine,
            boot_ms: 1_000_000 + now,
            up: true,
            listening: true,
            shutdown: None,
            frozen_until: 0,
            waiting: Vec::new(),
            born: now,
            rate,
            running: BTreeMap::new(),
            refused: BTreeMap::new(),
            ended: Vec::new(),
            done: Vec::new(),
            next_end: 1,
            deadline: 0,
            has_lapsed: true,
            lapses: 0,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        1 + (now - self.born) * self.rate / 1_000
    }

    /// Returns when the lease ends.
    pub fn lapse(&self) -> u64 {
        let clock_ms = self.deadline.saturating_sub(1) * 1_000;
        self.born + clock_ms.div_ceil(self.rate) + 1
    }

    /// Extends the lease, which never shortens.
    pub fn extend(&mut self, deadline: u64, now: u64) {
        let deadline = deadline.min(self.clock(now) + LONGEST_LEASE_MS);
        if deadline > self.deadline {
            self.deadline = deadline;
            self.has_lapsed = self.lapse() <= now;
        }
    }

    /// Ends what has ended by itself or with the lease; returns whether a run did.
    pub fn settle(&mut self, now: u64) -> bool {
        let before = self.next_end;
        loop {
            let ends = self.running.iter();
            let first = ends
                .map(|(key, end)| (end.0, *key, end.1))
                .min_by_key(|end| end.0);
            let next = first.filter(|(until, ..)| *until <= now);
            let lapse = self.lapse();
            let lapses = !self.has_lapsed && lapse <= now;
            match next {
                Some((until, key, outcome)) if !lapses || until < lapse => {
                    self.end(key, outcome, until);
                }
                _ if lapses => {
                    self.has_lapsed = true;
                    self.lapses += 1;
                    let keys: Vec<RunKey> = self.running.keys().copied().collect();
                    for key in keys {
                        self.end(key, RunOutcome::Lapsed, lapse);
                    }
                }
                _ => return self.next_end > before,
            }
        }
    }

    fn end(&mut self, key: RunKey, outcome: RunOutcome, at: u64) {
        let (task, run) = key;
        self.running.remove(&key);
        let refused = self.refused.entry(task).or_default();
        *refused = (*refused).max(run);
        let number = self.next_end;
        self.next_end += 1;
        if outcome == RunOutcome::Done {
            self.done.push(DoneEnd {
                number,
                run: key,
                at,
                lapses: self.lapses,
            });
        }
        self.ended.push(Ended {
            number,
            task,
            run,
            outcome,
            checkpoint: String::new(),
        });
    }

    /// Returns whether the start is refused, and why.
    pub fn refusal(&self, key: RunKey, deadline: u64, now: u64) -> Option<Refusal> {
        if self.refused.get(&key.0).is_some_and(|run| *run >= key.1) {
            Some(Refusal::Old)
        } else if deadline <= self.clock(now) {
            Some(Refusal::Late)
        } else {
            None
        }
    }

    pub fn start(&mut self, key: RunKey, until: u64) {
        self.running.insert(key, (until, RunOutcome::Done));
    }

    /// Lets a run end by a time, and refuses a run that is not there.
    pub fn stop(&mut self, key: RunKey, until: u64) {
        if let Some(end) = self.running.get_mut(&key) {
            if until < end.0 {
                *end = (until, RunOutcome::Stopped);
            }
        } else {
            let refused = self.refused.entry(key.0).or_default();
            *refused = (*refused).max(key.1);
        }
    }

    /// Returns the live run of a task.
    pub fn run_of(&self, task: TaskName) -> Option<RunKey> {
        self.running.keys().find(|key| key.0 == task).copied()
    }

    /// Forgets ends up to a number; returns those as done after which no lease has lapsed.
    pub fn forget(&mut self, number: u64) -> Vec<DoneEnd> {
        self.ended.retain(|end| end.number > number);
        let (noted, rest) = self.done.iter().partition(|end| end.number <= number);
        self.done = rest;
        let mut noted: Vec<DoneEnd> = noted;
        noted.retain(|end| end.lapses == self.lapses);
        noted
    }

    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    pub fn lists(&self) -> (Vec<Running>, Vec<Ended>) {
        let running = self.running.keys().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
        });
        (running.collect(), self.ended.clone())
    }
}
