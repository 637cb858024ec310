//! An executor with its own clock, fence and boots, and the runs that hold leases on it.

use std::collections::{BTreeMap, BTreeSet};

use wigeongate_core::workflow::TaskName;

/// A task and the number of its run.
pub type RunKey = (TaskName, u32);

/// The clock of an executor reads this when it starts, in milliseconds.
const FIRST_CLOCK_MS: u64 = 50;

/// How an executor answers an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The order was carried out.
    Accepted,
    /// A higher fence was seen.
    Fence,
    /// The run or a later one has ended here.
    Old,
    /// The deadline has passed.
    Late,
}

/// One executor, which may restart under its identifier.
#[derive(Debug)]
pub struct Executor {
    /// Number of the boot, from 1.
    pub boot: u64,
    /// Whether it checks fences.
    pub is_fencing: bool,
    started: u64,
    drift_per_mille: u64,
    hold_max: u64,
    fence: u64,
    lease: u64,
    running: BTreeSet<RunKey>,
    refused: BTreeMap<TaskName, u32>,
}

impl Executor {
    /// Creates an executor whose clock is slow by a share and that shortens leases to `hold_max`.
    pub fn new(drift_per_mille: u64, hold_max: u64) -> Self {
        Self {
            boot: 1,
            is_fencing: true,
            // Its clock is far ahead of that of any later boot.
            started: 0,
            drift_per_mille,
            hold_max,
            fence: 0,
            lease: 0,
            running: BTreeSet::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Ends the executor and starts it again at `up`; nothing of the earlier boot is left.
    pub fn restart(&mut self, up: u64) {
        self.boot += 1;
        self.started = up;
        self.fence = 0;
        self.lease = 0;
        self.running.clear();
        self.refused.clear();
    }

    /// Reads its clock.
    pub fn clock(&self, now: u64) -> u64 {
        let first = if self.boot == 1 {
            600_000
        } else {
            FIRST_CLOCK_MS
        };
        first + now.saturating_sub(self.started) * (1_000 - self.drift_per_mille) / 1_000
    }

    /// Returns the runs that exist.
    pub fn runs(&mut self, now: u64) -> impl Iterator<Item = RunKey> {
        if self.clock(now) >= self.lease {
            for (task, run) in std::mem::take(&mut self.running) {
                let refused = self.refused.entry(task).or_default();
                *refused = (*refused).max(run);
            }
        }
        self.running.iter().copied()
    }

    fn accepts(&mut self, fence: u64) -> bool {
        let accepts = fence >= self.fence || !self.is_fencing;
        self.fence = self.fence.max(fence);
        accepts
    }

    fn extend(&mut self, deadline: u64, now: u64) {
        let _ = self.runs(now).count();
        let longest = self.clock(now) + self.hold_max;
        self.lease = self.lease.max(deadline.min(longest));
    }

    /// Carries out a poll; returns whether its fence is high enough.
    pub fn poll(&mut self, fence: u64, deadline: Option<u64>, now: u64) -> bool {
        let accepts = self.accepts(fence);
        if accepts && let Some(deadline) = deadline {
            self.extend(deadline, now);
        }
        accepts
    }

    /// Carries out an order to start a run.
    pub fn start(&mut self, key: RunKey, fence: u64, deadline: u64, now: u64) -> Verdict {
        if !self.accepts(fence) {
            return Verdict::Fence;
        }
        if deadline <= self.clock(now) {
            return Verdict::Late;
        }
        self.extend(deadline, now);
        if self.refused.get(&key.0).is_some_and(|run| *run >= key.1) {
            return Verdict::Old;
        }
        self.running.insert(key);
        Verdict::Accepted
    }

    /// Carries out an order to stop a run; returns whether its fence is high enough.
    pub fn stop(&mut self, key: RunKey, fence: u64) -> bool {
        let accepts = self.accepts(fence);
        if accepts {
            self.running.remove(&key);
            let refused = self.refused.entry(key.0).or_default();
            *refused = (*refused).max(key.1);
        }
        accepts
    }
}
