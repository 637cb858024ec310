//! A progress line for long waits, shown only on a terminal.

use std::io::{IsTerminal, Write, stderr};
use std::time::Instant;

/// The escape sequence that clears the line.
const CLEAR_LINE: &str = "\r\x1b[2K";

/// The progress line of one wait, on standard error; it is cleared on drop.
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
    /// Shows a text and the seconds since the wait began.
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
