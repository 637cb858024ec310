//! Totally ordered record of a test run's events, for checks after the run.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use wigeongate_api::worker::TaskState;
use wigeongate_core::ids::{Attempt, Epoch, HostId, JobId, TaskId, TeamId, ZoneId};
use wigeongate_core::job::Outcome;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

/// Event in the history of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryEvent {
    /// A worker started a task.
    Started(TaskStart),
    /// A task ended on its worker.
    Ended {
        /// Worker that runs the task.
        host: HostId,
        /// Task identifier.
        task: TaskId,
        /// Attempt of the task.
        attempt: Attempt,
        /// State in which the task ended.
        state: TaskState,
    },
    /// A caller received the reply that its job is accepted.
    Accepted {
        /// Job identifier.
        job: JobId,
        /// Team that submitted the job.
        team: TeamId,
        /// Number of tasks in the job.
        tasks: u32,
    },
    /// A caller received the outcome of its job.
    EndReported {
        /// Job identifier.
        job: JobId,
        /// Outcome that the caller received.
        outcome: Outcome,
    },
    /// An operator request to take an availability zone out of use succeeded.
    ZoneOut(ZoneId),
    /// An operator requested that an availability zone be used again.
    ZoneIn(ZoneId),
}

/// Start of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// Worker that runs the task.
    pub host: HostId,
    /// Task identifier.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// Resources reserved for the task.
    pub size: Resources,
    /// Epoch of the order that started the task.
    pub epoch: Epoch,
}

/// Event and the time at which it was recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvent {
    /// Time since the history was created, in milliseconds.
    pub at: Millis,
    /// The event.
    pub event: HistoryEvent,
}

/// Events of a run, in the order in which they were recorded.
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
    /// Appends an event with the current time.
    pub fn add(&self, event: HistoryEvent) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.began.elapsed().into();
        events.push(TimedEvent { at, event });
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
