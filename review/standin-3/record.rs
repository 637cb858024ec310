//! The record of a play: one line for each thing that was sent, answered or run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct Record(Mutex<File>);

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}

impl Record {
    /// Opens the record; processes add lines to one file.
    pub fn open(path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path);
        Self(Mutex::new(file.expect("the record can be written")))
    }

    pub fn add(&self, what: &str) {
        let line = format!("{} {what}\n", unix_ms());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }
}
