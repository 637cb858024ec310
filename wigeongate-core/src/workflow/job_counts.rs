//! Counts the jobs that have not ended, so that no call visits all stored jobs.

use super::job::Job;
use crate::collections::HashMap;
use crate::ids::QueueId;

/// The number of open jobs.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct JobCounts {
    open: usize,
    /// Open jobs that are not known to have started, by queue; never zero.
    queued: HashMap<QueueId, usize>,
}

impl JobCounts {
    /// Counts the open ones among these jobs.
    pub fn of<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let mut counts = Self::default();
        for job in jobs.filter(|job| job.end.is_none()) {
            counts.open += 1;
            if !job.started {
                counts.add_queued(&job.flow.queue);
            }
        }
        counts
    }

    /// Returns the number of open jobs.
    pub const fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of open jobs of a queue that are not known to have started.
    pub fn queued(&self, queue: &QueueId) -> usize {
        self.queued.get(queue).copied().unwrap_or_default()
    }

    /// Counts a new job.
    pub fn add(&mut self, queue: &QueueId) {
        self.open += 1;
        self.add_queued(queue);
    }

    /// Counts that an open job has started.
    pub fn start(&mut self, queue: &QueueId) {
        if let Some(count) = self.queued.get_mut(queue) {
            *count -= 1;
            if *count == 0 {
                self.queued.remove(queue);
            }
        }
    }

    /// Counts that an open job ends.
    pub fn end(&mut self, job: &Job) {
        self.open -= 1;
        if !job.started {
            self.start(&job.flow.queue);
        }
    }

    fn add_queued(&mut self, queue: &QueueId) {
        if let Some(count) = self.queued.get_mut(queue) {
            *count += 1;
        } else {
            self.queued.insert(queue.clone(), 1);
        }
    }
}
