//! One line that tells how a long wait goes, on a terminal only.

use std::io::{IsTerminal, Write, stderr};
use std::time::Instant;

/// Clears the line on a terminal.
const CLEAR_LINE: &str = "\r\x1b[2K";

/// The line of one wait; it is cleared when it is dropped.
#[derive(Debug)]
pub struct Progress {
    enabled: bool,
    started: Instant,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            enabled: stderr().is_terminal(),
            started: Instant::now(),
        }
    }
}

impl Progress {
    /// Shows how the wait goes.
    pub fn show(&self, text: &str) {
        if self.enabled {
            let seconds = self.started.elapsed().as_secs();
            eprint!("{CLEAR_LINE}{text} ({seconds} s)");
            let _ = stderr().flush();
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.enabled {
            eprint!("{CLEAR_LINE}");
            let _ = stderr().flush();
        }
    }
}
