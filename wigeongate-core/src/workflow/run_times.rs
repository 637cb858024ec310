//! Expects how long a task will run from the caller's estimate and from what earlier tasks took.
//!
//! Load pattern: estimates that are off by half to nine tenths. A gang whose estimate is a tenth of
//! its work seems late as soon as it has waited a little, loses its place to all other work and
//! starves, although its caller still counts on it. Estimate and mean are about equally far from
//! the truth, so that their mean is closer than either.

use crate::collections::HashMap;
use crate::ids::QueueId;
use crate::time::Millis;

/// The weight of a new run in the mean of its queue.
const NEW_WEIGHT: f64 = 0.02;

/// The number of runs of a queue from which its mean is used; before, callers' estimates are.
const MIN_RUNS: u32 = 20;

/// The longest time that one run counts with, as a multiple of the mean: a host that is slow or was
/// cut off says little about the work.
const MAX_FACTOR: f64 = 3.0;

/// The mean run time of a queue's tasks.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    runs: u32,
    ms: f64,
}

/// The run times of the tasks of each queue that succeeded.
#[derive(Debug, Default)]
pub struct RunTimes(HashMap<QueueId, Mean>);

impl RunTimes {
    /// Records how long a task of the queue ran until it succeeded.
    pub fn record(&mut self, queue: &QueueId, took: Millis) {
        if !self.0.contains_key(queue) {
            self.0.insert(queue.clone(), Mean::default());
        }
        let Some(mean) = self.0.get_mut(queue) else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "run times are short")]
        let took_ms = took.0 as f64;
        mean.runs += 1;
        if mean.runs <= MIN_RUNS {
            mean.ms += (took_ms - mean.ms) / f64::from(mean.runs);
        } else {
            mean.ms += (took_ms.min(mean.ms * MAX_FACTOR) - mean.ms) * NEW_WEIGHT;
        }
    }

    /// Returns the expected run time of a task of the queue whose caller gave an estimate.
    pub fn expected(&self, queue: &QueueId, estimate: Millis) -> Millis {
        let Some(mean) = self.0.get(queue).filter(|mean| mean.runs >= MIN_RUNS) else {
            return estimate;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of run times is a short, positive time"
        )]
        let mean_ms = mean.ms as u64;
        Millis(estimate.0.midpoint(mean_ms))
    }
}
