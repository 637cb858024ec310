//! What happened, in one order, for checks after a run.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use wigeongate_api::worker::TaskState;
use wigeongate_core::ids::{Attempt, Epoch, HostId, JobId, TaskId, TeamId, ZoneId};
use wigeongate_core::job::Outcome;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryEvent {
    /// A worker started a task.
    Started(TaskStart),
    /// A task ended on its worker.
    Ended {
        /// The worker.
        host: HostId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        state: TaskState,
    },
    /// A caller was told that a job is accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// Its team.
        team: TeamId,
        /// How many tasks it has.
        tasks: u32,
    },
    /// A caller was told how a job ended.
    EndReported {
        /// The job.
        job: JobId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Operators were told that a zone is out.
    ZoneOut(ZoneId),
    /// Operators asked for a zone back.
    ZoneIn(ZoneId),
}

/// The start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// The worker.
    pub host: HostId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The reserved size.
    pub size: Resources,
    /// The epoch of the order.
    pub epoch: Epoch,
}

/// Something that happened, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvent {
    /// The time since the history began.
    pub at: Millis,
    /// What happened.
    pub event: HistoryEvent,
}

/// What happened, in one order.
#[derive(Debug)]
pub struct History {
    began: Instant,
    events: Mutex<Vec<TimedEvent>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            events: Mutex::default(),
        }
    }
}

impl History {
    /// Adds what happened now.
    pub fn add(&self, event: HistoryEvent) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.began.elapsed().into();
        events.push(TimedEvent { at, event });
    }

    /// Returns everything so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
