//! What gates read from the store, and when owners first call executors.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What the reads of one prefix or key have brought.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Volume {
    pub pages: usize,
    pub keys: usize,
    /// Bytes of the answers.
    pub bytes: usize,
}

impl Volume {
    fn add(&mut self, other: Self) {
        self.pages += other.pages;
        self.keys += other.keys;
        self.bytes += other.bytes;
    }
}

/// Volumes by the prefix or key that was read.
pub type Volumes = BTreeMap<String, Volume>;

/// Returns the sum of volumes.
pub fn total(volumes: &Volumes) -> Volume {
    let mut sum = Volume::default();
    for volume in volumes.values() {
        sum.add(*volume);
    }
    sum
}

/// A read of a page or of a key.
#[derive(Debug)]
struct Read {
    at: Instant,
    of: String,
    volume: Volume,
}

/// The reads of all gates, and the first call to an executor in each epoch of the ownership.
#[derive(Debug, Default)]
pub struct Traffic {
    reads: Mutex<Vec<Read>>,
    first_calls: Mutex<BTreeMap<u64, Instant>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Traffic {
    /// Notes a read of a prefix or of a key.
    pub fn note_read(&self, of: &str, keys: usize, bytes: usize) {
        let volume = Volume {
            pages: 1,
            keys,
            bytes,
        };
        locked(&self.reads).push(Read {
            at: Instant::now(),
            of: of.to_owned(),
            volume,
        });
    }

    /// Notes a call of an owner to an executor.
    pub fn note_call(&self, epoch: u64) {
        let mut calls = locked(&self.first_calls);
        calls.entry(epoch).or_insert_with(Instant::now);
    }

    /// Returns the last epoch in which an executor was called, and the time of the first call in it.
    pub fn last_call(&self) -> (u64, Instant) {
        let calls = locked(&self.first_calls);
        let last = calls.last_key_value().map(|(epoch, at)| (*epoch, *at));
        last.unwrap_or((0, Instant::now()))
    }

    /// Returns what was read of the gates' own keys between two times, without the ownership itself.
    pub fn volumes(&self, from: Instant, until: Instant) -> Volumes {
        let mut volumes = Volumes::new();
        let reads = locked(&self.reads);
        let is_counted = |read: &&Read| {
            let is_ownership = ["wigeongate/owner", "wigeongate/epoch"].contains(&read.of.as_str());
            read.of.starts_with("wigeongate/") && !is_ownership && (from..until).contains(&read.at)
        };
        for read in reads.iter().filter(is_counted) {
            volumes.entry(read.of.clone()).or_default().add(read.volume);
        }
        volumes
    }
}
