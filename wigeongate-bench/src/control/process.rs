//! What a process has used, as the kernel counts it.

use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time of its present threads.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl Usage {
    /// Reads what a process has used.
    pub fn of(process: u32) -> Result<Self> {
        let mut nanos = 0;
        let tasks = format!("/proc/{process}/task");
        for thread in std::fs::read_dir(&tasks).wrap_err_with(|| format!("reading {tasks}"))? {
            // A thread may end meanwhile; its time is then left out.
            if let Ok(text) = std::fs::read_to_string(thread?.path().join("schedstat")) {
                let first = text.split_whitespace().next();
                nanos += first.map_or(Ok(0), str::parse::<u64>)?;
            }
        }
        let path = format!("/proc/{process}/status");
        let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        let kib: u64 = kib.ok_or_else(|| eyre!("reading {path}"))?.parse()?;
        Ok(Self {
            cpu: Duration::from_nanos(nanos),
            resident: kib * 1_024,
        })
    }
}
