//! Decides when the owner writes a checkpoint of the stored log and what it holds, so that the cost of a
//! takeover follows the open jobs.
//!
//! A checkpoint says of all batches up to one what a new owner needs, with the batches' boundaries,
//! since the order of the starts on a host tells which run may have crashed it. It is written in parts;
//! it is in force once its head is written, and only then are the batches removed that it covers.

use std::collections::{BTreeSet, VecDeque};
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use super::kept_records::{KeptRecords, Position};
use super::restore::Record;
use super::spec::WorkflowId;
use crate::ids::HostId;
use crate::time::Millis;

/// How many records a batch counts as, since each key adds to the pages that a new owner reads.
const BATCH_WEIGHT: usize = 8;

/// What the owner knows of a job that the log names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFate {
    /// The job is open, a run of it still holds capacity, or its end is not written yet.
    Open,
    /// The end of the job is written and none of its runs holds capacity.
    Ended,
    /// The store no longer holds the job, so that only the order of its starts matters.
    Removed,
}

/// Settings of a [`LogCheckpoint`].
#[derive(Debug, Clone)]
pub struct CheckpointSettings {
    /// The least time between the beginnings of two checkpoints. Every call to the store is charged for.
    pub interval: Millis,
    /// The least weight of the log after the last checkpoint: its records, and eight for each batch. A
    /// checkpoint also waits until the log after the last one weighs as much as that, so that what is
    /// written stays proportional to what is logged.
    pub min_weight: usize,
    /// The time after the beginning of a checkpoint from which half of the stored records being
    /// needless is enough for the next, however short the log is.
    pub idle: Millis,
    /// A bound on the bytes of a part.
    pub part_bytes: usize,
    /// The least time between the writes of two parts.
    pub pause: Millis,
    /// The most jobs that are looked at in one turn.
    pub turn_jobs: usize,
    /// The most keys that one transaction removes.
    pub removed_keys: usize,
    /// The least time between removals.
    pub removal_pause: Millis,
}

impl Default for CheckpointSettings {
    fn default() -> Self {
        Self {
            interval: Millis(2_000),
            min_weight: 2_000,
            idle: Millis(5_000),
            part_bytes: 40_000,
            pause: Millis(100),
            turn_jobs: 256,
            removed_keys: 31,
            removal_pause: Millis(100),
        }
    }
}

/// A part of a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// Whether the first batch goes on where the part before ended.
    pub continues: bool,
    /// The records by batch, in the order of the log.
    pub batches: Vec<Vec<Record>>,
}

/// What is to be written next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckpointWrite {
    /// A part of the checkpoint with a number, and its own number; both count from 1.
    Part(u64, u32, CheckpointPart),
    /// The head of the checkpoint with a number: the key of the newest batch that it covers, and the
    /// number of its parts.
    Head(u64, String, u32),
}

/// What the owner tells of its state.
pub trait OwnerView {
    /// Returns what the records of a job still matter for.
    fn fate(&self, job: WorkflowId) -> JobFate;

    /// Returns whether a host may still have runs.
    fn has_host(&self, host: &HostId) -> bool;

    /// Returns whether no run can exist that the owner does not know.
    fn runs_known(&self) -> bool;
}

/// A batch after the last checkpoint.
#[derive(Debug)]
struct TailBatch {
    order: u64,
    key: String,
    weight: usize,
}

/// A checkpoint that is being written.
#[derive(Debug)]
struct Progress {
    /// The newest batch that it covers, and its key.
    covered: u64,
    key: String,
    /// The position of the last record in a written part.
    end: Position,
    /// The records in the parts.
    records: usize,
    /// The keys of its parts.
    parts: Vec<String>,
    /// The write that has not been confirmed, with the position of its last record.
    current: Option<(CheckpointWrite, Position)>,
    /// The earliest time of the next write.
    next: Millis,
}

/// The checkpoints of one owner, and the removal of what they replace.
#[derive(Debug, Default)]
pub struct LogCheckpoint {
    settings: CheckpointSettings,
    kept: KeptRecords,
    /// The number of the newest batch.
    newest: u64,
    /// The number of records of the newest batch.
    newest_len: u32,
    /// Jobs of which the owner's view has to be asked, and the last that was.
    unsettled: BTreeSet<WorkflowId>,
    cursor: Option<WorkflowId>,
    /// Whether each job that the log of earlier owners names has been looked at.
    is_settled: bool,
    /// The batches after the last checkpoint, the oldest first.
    tail: VecDeque<TailBatch>,
    tail_weight: usize,
    /// The number of checkpoints of this owner.
    count: u64,
    /// The keys of the parts of the checkpoint in force, and the number of its records.
    parts: Vec<String>,
    records: usize,
    progress: Option<Progress>,
    /// When the last checkpoint began.
    began: Millis,
    /// Keys that the checkpoint in force replaces, the oldest first.
    obsolete: VecDeque<String>,
    /// How many of them are being removed.
    removing: usize,
    /// The earliest time of the next removal.
    next_removal: Millis,
    /// Whether the log stays as it is.
    is_frozen: bool,
}

impl LogCheckpoint {
    /// Creates the state of an owner that has read nothing yet.
    pub fn new(settings: CheckpointSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a part of the stored checkpoint. Parts are added in their order, before all batches.
    pub fn add_part(&mut self, key: &str, part: CheckpointPart) {
        self.parts.push(key.to_owned());
        for (at, records) in part.batches.into_iter().enumerate() {
            if at > 0 || !part.continues {
                self.newest += 1;
                self.newest_len = 0;
            }
            self.records += records.len();
            self.add_records(records);
        }
    }

    /// Adds a batch that the store holds. Batches are added in the order of their keys.
    pub fn add_batch(&mut self, key: &str, records: Vec<Record>) {
        if self.is_frozen {
            return;
        }
        self.newest += 1;
        self.newest_len = 0;
        let weight = records.len() + BATCH_WEIGHT;
        self.tail_weight += weight;
        self.tail.push_back(TailBatch {
            order: self.newest,
            key: key.to_owned(),
            weight,
        });
        self.add_records(records);
    }

    fn add_records(&mut self, records: Vec<Record>) {
        for record in records {
            let job = record.job();
            // The job may have left the store before.
            if matches!(record, Record::Ended(..)) || !self.kept.has_job(job) {
                self.unsettled.insert(job);
            }
            self.newest_len += 1;
            self.kept.add((self.newest, self.newest_len), record);
        }
    }

    /// Leaves the log as it is from now on: a later version can read what this one cannot, or another
    /// gate is the owner.
    pub fn freeze(&mut self) {
        *self = Self {
            is_frozen: true,
            ..Self::default()
        };
    }

    /// Handles that jobs have left the store.
    pub fn forget_jobs(&mut self, jobs: &[WorkflowId]) {
        let known = jobs.iter().filter(|job| self.kept.has_job(**job));
        self.unsettled.extend(known);
    }

    /// Returns the number of batches after the checkpoint in force, and the number of records that the
    /// next one would hold.
    pub fn size(&self) -> (usize, usize) {
        (self.tail.len(), self.kept.len())
    }

    /// Returns the number of records of the checkpoint in force.
    pub const fn stored_records(&self) -> usize {
        self.records
    }

    /// Returns the next write if one is due. It is to be repeated until [`LogCheckpoint::finish_write`]
    /// tells that the store has confirmed it.
    pub fn next_write(&mut self, view: &impl OwnerView, now: Millis) -> Option<&CheckpointWrite> {
        if self.is_frozen {
            return None;
        }
        if self.progress.is_none() {
            // What a checkpoint says must not change between its parts.
            self.settle(view);
            self.begin(view, now);
        }
        let progress = self.progress.as_mut()?;
        if progress.current.is_some() || now < progress.next {
            return None;
        }
        progress.next = now + self.settings.pause;
        let settings = &self.settings;
        let slice = (self.kept).slice(progress.end, progress.covered, settings.part_bytes);
        let parts = u32::try_from(progress.parts.len()).unwrap_or(u32::MAX);
        let write = if slice.batches.is_empty() {
            CheckpointWrite::Head(self.count, progress.key.clone(), parts)
        } else {
            let part = CheckpointPart {
                continues: slice.continues,
                batches: slice.batches,
            };
            CheckpointWrite::Part(self.count, parts + 1, part)
        };
        let (write, _) = progress.current.insert((write, slice.end));
        Some(write)
    }

    /// Looks at some of the jobs that have ended or left the store.
    fn settle(&mut self, view: &impl OwnerView) {
        let runs_known = view.runs_known();
        for _ in 0..self.settings.turn_jobs {
            let after = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
            let mut jobs = self.unsettled.range((after, Bound::Unbounded));
            let Some(job) = jobs.next().copied() else {
                self.cursor = None;
                self.is_settled = true;
                return;
            };
            self.cursor = Some(job);
            let is_open = match view.fate(job) {
                JobFate::Open => self.kept.has_end(job),
                JobFate::Ended => {
                    self.kept.end_job(job, runs_known);
                    !runs_known
                }
                JobFate::Removed => {
                    self.kept.remove_job(job);
                    false
                }
            };
            if !is_open {
                self.unsettled.remove(&job);
            }
        }
    }

    /// Returns whether the next checkpoint is due so long after the last.
    fn is_due(&self, passed: Millis) -> bool {
        let has_grown = self.tail_weight >= self.records.max(self.settings.min_weight);
        let stored = self.records + self.tail_weight - BATCH_WEIGHT * self.tail.len();
        let is_needless = self.kept.len() * 2 <= stored;
        (has_grown && passed >= self.settings.interval)
            || (is_needless && passed >= self.settings.idle)
    }

    /// Begins a checkpoint if the log has grown enough since the last.
    fn begin(&mut self, view: &impl OwnerView, now: Millis) {
        if !self.is_settled || !self.is_due(now.since(self.began)) {
            return;
        }
        let Some(key) = self.tail.back().map(|batch| batch.key.clone()) else {
            return;
        };
        if view.runs_known() {
            self.kept.retain_hosts(|host| view.has_host(host));
        }
        self.kept.fold_occurrences();
        self.began = now;
        self.count += 1;
        self.progress = Some(Progress {
            covered: self.newest,
            key,
            end: (0, 0),
            records: 0,
            parts: Vec::new(),
            current: None,
            next: now,
        });
    }

    /// Handles that the store has confirmed the current write under a key. Returns whether a checkpoint
    /// has come into force.
    pub fn finish_write(&mut self, key: &str) -> bool {
        let Some(progress) = &mut self.progress else {
            return false;
        };
        match progress.current.take() {
            Some((CheckpointWrite::Part(_, _, part), end)) => {
                progress.records += part.batches.iter().map(Vec::len).sum::<usize>();
                progress.end = end;
                progress.parts.push(key.to_owned());
                false
            }
            Some((CheckpointWrite::Head(..), _)) => {
                self.replace();
                true
            }
            None => false,
        }
    }

    /// Lets everything be removed that the finished checkpoint replaces.
    fn replace(&mut self) {
        let Some(progress) = self.progress.take() else {
            return;
        };
        while let Some(batch) = self
            .tail
            .pop_front_if(|batch| batch.order <= progress.covered)
        {
            self.tail_weight -= batch.weight;
            self.obsolete.push_back(batch.key);
        }
        let earlier = std::mem::replace(&mut self.parts, progress.parts);
        self.obsolete.extend(earlier);
        self.records = progress.records;
    }

    /// Begins the removal of some keys if one is due.
    pub fn begin_removal(&mut self, now: Millis) -> Option<Vec<String>> {
        if self.removing > 0 || self.obsolete.is_empty() || now < self.next_removal {
            return None;
        }
        self.next_removal = now + self.settings.removal_pause;
        self.removing = self.obsolete.len().min(self.settings.removed_keys);
        Some(self.obsolete.iter().take(self.removing).cloned().collect())
    }

    /// Ends the removal in progress.
    pub fn finish_removal(&mut self, is_confirmed: bool) {
        let removed = std::mem::take(&mut self.removing);
        if is_confirmed {
            self.obsolete.drain(..removed.min(self.obsolete.len()));
        }
    }
}
