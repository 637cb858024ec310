//! How far a new owner has come with the restore of its state, for the log and the metrics.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::Display;
use wigeongate_core::time::Millis;

use super::metrics::EntryMetrics;

/// A step of the restore, in the order in which they begin; the reads may go on beside each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RestoreStep {
    /// The head of the checkpoint is read from the store.
    #[display("read head")]
    ReadHead,
    /// The accepted jobs are read from the store.
    #[display("read jobs")]
    ReadJobs,
    /// The parts of the checkpoint are read from the store.
    #[display("read checkpoint")]
    ReadCheckpoint,
    /// The log after the checkpoint is read from the store.
    #[display("read log")]
    ReadLog,
    /// What the finished runs have shown is read from the store.
    #[display("read run times")]
    ReadRunTimes,
    /// The jobs and the batches of the log are decoded.
    #[display("decode")]
    Decode,
    /// The jobs are added to the scheduler.
    #[display("restore jobs")]
    RestoreJobs,
    /// The records of the log are replayed.
    #[display("replay")]
    Replay,
    /// Inherited runs are adopted and the steps of the jobs made ready.
    #[display("finish")]
    Finish,
    /// The batches of the log are noted for their removal, and what was decided is carried out.
    #[display("note batches")]
    NoteBatches,
    /// The store is asked to confirm that the gate is still the owner, now that the state is restored.
    #[display("confirm")]
    Confirm,
}

impl RestoreStep {
    const ALL: [Self; 11] = [
        Self::ReadHead,
        Self::ReadJobs,
        Self::ReadCheckpoint,
        Self::ReadLog,
        Self::ReadRunTimes,
        Self::Decode,
        Self::RestoreJobs,
        Self::Replay,
        Self::Finish,
        Self::NoteBatches,
        Self::Confirm,
    ];
}

/// What a step has handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StepSize {
    /// The number of items, of what the step is about.
    pub items: usize,
    /// The bytes that were read, as they came over the network.
    pub bytes: usize,
    /// The answers of the store in which they came.
    pub pages: usize,
}

impl StepSize {
    /// Returns the size of a number of items that were not read from the store.
    pub const fn items(items: usize) -> Self {
        Self {
            items,
            bytes: 0,
            pages: 0,
        }
    }
}

/// The times and the size of a step.
#[derive(Debug, Clone, Copy, Default)]
struct StepProgress {
    began: Option<Millis>,
    ended: Option<Millis>,
    size: StepSize,
}

impl StepProgress {
    fn took(&self) -> Option<Millis> {
        Some(self.ended?.since(self.began?))
    }
}

#[derive(Debug, Default)]
struct Progress {
    steps: [StepProgress; RestoreStep::ALL.len()],
    failed: Option<RestoreStep>,
    restored: Option<Millis>,
}

/// The progress of one restore, shared by the owner and whoever may end it.
#[derive(Debug, Default)]
pub struct RestoreProgress(Mutex<Progress>);

impl RestoreProgress {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a step.
    pub fn begin(&self, step: RestoreStep, now: Millis) {
        self.progress().steps[step as usize].began = Some(now);
    }

    /// Adds to what a step has handled.
    pub fn add(&self, step: RestoreStep, more: StepSize) {
        let size = &mut self.progress().steps[step as usize].size;
        size.items += more.items;
        size.bytes += more.bytes;
        size.pages += more.pages;
    }

    /// Ends a step.
    pub fn end(&self, step: RestoreStep, now: Millis) {
        self.progress().steps[step as usize].ended = Some(now);
    }

    /// Ends the restore in a step that has failed.
    pub fn fail(&self, step: RestoreStep) {
        self.progress().failed.get_or_insert(step);
    }

    /// Ends the restore with the state restored.
    pub fn finish(&self, now: Millis) {
        self.progress().restored = Some(now);
    }

    /// Returns when the state was restored; `None` before.
    pub fn restored(&self) -> Option<Millis> {
        self.progress().restored
    }

    /// Returns whether the store has confirmed that the gate was still the owner then.
    pub fn is_confirmed(&self) -> bool {
        let steps = &self.progress().steps;
        steps[RestoreStep::Confirm as usize].ended.is_some()
    }

    /// Returns the step that has failed, or that the restore is in or has just ended, the first one if several go on beside each other.
    pub fn current(&self) -> RestoreStep {
        let (steps, failed) = {
            let progress = self.progress();
            (progress.steps, progress.failed)
        };
        let is_open = |step: &RestoreStep| {
            let step = &steps[*step as usize];
            step.began.is_some() && step.ended.is_none()
        };
        let has_begun = |step: &RestoreStep| steps[*step as usize].began.is_some();
        let open = RestoreStep::ALL.into_iter().find(is_open);
        let last = RestoreStep::ALL.into_iter().rfind(has_begun);
        failed.or(open).or(last).unwrap_or(RestoreStep::ReadHead)
    }

    /// Sets the gauges of the time and the size of each step that has ended.
    pub fn report(&self, metrics: &EntryMetrics) {
        let steps = self.progress().steps;
        let gauges = |value: fn(&StepProgress) -> Option<u64>| {
            let ended = RestoreStep::ALL.into_iter().filter_map(|step| {
                let progress = &steps[step as usize];
                progress.ended?;
                Some((step.to_string(), value(progress)?))
            });
            ended.collect()
        };
        metrics.replace_gauges(
            "restore_step_ms",
            gauges(|step| step.took().map(|took| took.0)),
        );
        metrics.replace_gauges(
            "restore_step_items",
            gauges(|step| u64::try_from(step.size.items).ok()),
        );
        metrics.replace_gauges(
            "restore_step_bytes",
            gauges(|step| {
                u64::try_from(step.size.bytes)
                    .ok()
                    .filter(|bytes| *bytes > 0)
            }),
        );
    }
}

impl fmt::Display for RestoreProgress {
    /// Writes the time and the size of each step that has begun.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = self.progress().steps;
        let mut separator = "";
        for step in RestoreStep::ALL {
            let progress = &steps[step as usize];
            if progress.began.is_none() {
                continue;
            }
            write!(f, "{separator}{step} ")?;
            match progress.took() {
                Some(took) => write!(f, "{} ms", took.0)?,
                None => f.write_str("not ended")?,
            }
            let StepSize {
                items,
                bytes,
                pages,
            } = progress.size;
            if items > 0 || pages > 0 {
                write!(f, ", {items} items")?;
            }
            if pages > 0 {
                write!(f, ", {bytes} bytes, {pages} pages")?;
            }
            separator = "; ";
        }
        Ok(())
    }
}
