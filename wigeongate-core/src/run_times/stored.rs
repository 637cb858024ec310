//! The stored form of what the finished runs have shown.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::spread::Spread;
use super::{Group, MAX_GROUPS, MAX_QUEUES, Queue, RunTimes, Sums};

/// The version of the stored form.
const VERSION: u32 = 1;

/// The largest magnitude of a stored mean or sum.
const MAX_MAGNITUDE: f32 = 1e6;

/// Why a stored state was not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Rejection {
    /// It was written by another version.
    #[display("version {version}")]
    Version {
        /// The version that wrote it.
        version: u32,
    },
    /// Its values are out of range.
    #[display("values out of range")]
    Range,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct StoredSums([f32; 5]);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StoredQueue {
    key: u64,
    sums: StoredSums,
    weights: Vec<f32>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StoredGroup {
    key: u64,
    parent: u64,
    sums: StoredSums,
}

/// The stored form of [`RunTimes`]; the least recently used come first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRunTimes {
    version: u32,
    queues: Vec<StoredQueue>,
    groups: Vec<StoredGroup>,
}

impl From<&RunTimes> for StoredRunTimes {
    fn from(times: &RunTimes) -> Self {
        let mut queues: Vec<_> = times.queues.iter().collect();
        queues.sort_by_key(|(key, queue)| (queue.used, **key));
        let mut groups: Vec<_> = times.groups.iter().collect();
        groups.sort_by_key(|(key, group)| (group.used, **key));
        Self {
            version: VERSION,
            queues: queues
                .into_iter()
                .map(|(key, queue)| StoredQueue {
                    key: *key,
                    sums: StoredSums::from(&queue.sums),
                    weights: queue.spread.weights().map(narrow).to_vec(),
                })
                .collect(),
            groups: groups
                .into_iter()
                .map(|(key, group)| StoredGroup {
                    key: *key,
                    parent: group.parent,
                    sums: StoredSums::from(&group.sums),
                })
                .collect(),
        }
    }
}

impl TryFrom<StoredRunTimes> for RunTimes {
    type Error = Rejection;

    fn try_from(stored: StoredRunTimes) -> Result<Self, Rejection> {
        if stored.version != VERSION {
            let version = stored.version;
            return Err(Rejection::Version { version });
        }
        if stored.queues.len() > MAX_QUEUES || stored.groups.len() > MAX_GROUPS {
            return Err(Rejection::Range);
        }
        let mut times = Self::default();
        for queue in stored.queues {
            times.samples += 1;
            let spread = Spread::from_weights(&queue.weights).ok_or(Rejection::Range)?;
            let queue_state = Queue {
                sums: queue.sums.widen()?,
                spread,
                used: times.samples,
            };
            times.queues.insert(queue.key, queue_state);
        }
        for group in stored.groups {
            times.samples += 1;
            let state = Group {
                parent: group.parent,
                sums: group.sums.widen()?,
                used: times.samples,
            };
            times.groups.insert(group.key, state);
        }
        Ok(times)
    }
}

impl From<&Sums> for StoredSums {
    fn from(sums: &Sums) -> Self {
        let parts = [
            sums.runs,
            sums.mean_estimate,
            sums.mean_time,
            sums.squares,
            sums.products,
        ];
        Self(parts.map(narrow))
    }
}

impl StoredSums {
    fn widen(self) -> Result<Sums, Rejection> {
        let [runs, _, _, squares, _] = self.0;
        let is_bounded = self.0.iter().all(|part| part.abs() <= MAX_MAGNITUDE);
        if !is_bounded || runs < 0.0 || squares < 0.0 {
            return Err(Rejection::Range);
        }
        let [runs, mean_estimate, mean_time, squares, products] = self.0.map(f64::from);
        Ok(Sums {
            runs,
            mean_estimate,
            mean_time,
            squares,
            products,
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "seven digits are enough for a forecast"
)]
fn narrow(value: f64) -> f32 {
    value as f32
}
