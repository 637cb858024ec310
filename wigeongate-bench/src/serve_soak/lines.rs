//! The lines that executors write about their runs, for the checks at the end of a play.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::Result;
use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A run started.
    Start,
    /// A run ended.
    End,
    /// An owner took note of the end of a run.
    Noted,
    /// A call with a higher fence than before arrived.
    Fence,
    /// A poll extended the leases.
    Poll,
    /// The process ends or was killed.
    Exit,
}

/// One line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// The steady clock of the machine, in milliseconds.
    pub at: u64,
    /// The time of day, in milliseconds since 1970.
    pub unix: u64,
    /// What happened.
    pub what: What,
    /// The executor.
    pub host: String,
    /// The process of the executor.
    pub process: u32,
    /// The task, empty if the line is about no run.
    #[serde(default)]
    pub task: String,
    /// The number of the run.
    #[serde(default)]
    pub run: u64,
    /// How the run ended, or more about the line.
    #[serde(default)]
    pub how: String,
    /// Whether the lease had lapsed between the end of a run and the call that took note of it.
    #[serde(default)]
    pub lapsed: bool,
    /// The executor's clock, in milliseconds.
    #[serde(default)]
    pub clock: u64,
    /// The end of the leases on the executor's clock, in milliseconds.
    #[serde(default)]
    pub deadline: u64,
    /// The fence of the call.
    #[serde(default)]
    pub fence: u64,
}

/// Returns the steady clock of the machine, in milliseconds.
pub fn steady_ms() -> u64 {
    let read = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    read.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0))
}

/// Returns the time of day, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0))
}

/// A file of lines.
#[derive(Debug)]
pub struct Lines(Mutex<File>);

impl Lines {
    /// Opens a file, which is continued if it exists.
    pub fn open(path: &Path) -> Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self(Mutex::new(file)))
    }

    /// Adds a line.
    pub fn add(&self, line: &Line) {
        let mut text = serde_json::to_string(line).unwrap_or_default();
        text.push('\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(text.as_bytes());
    }
}

/// Reads the lines of a file; a line that is cut off is skipped.
pub fn read(path: &Path) -> Vec<Line> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str);
    lines.filter_map(Result::ok).collect()
}
