//! Decides how to shorten the stored log, so that the cost of a takeover follows the open jobs.
//!
//! Of a job that has ended, a new owner needs the end, the crashes of hosts under its runs, and per
//! host the newest start, since the order of the starts tells which run may have crashed a host.
//! Batches that consist mostly of other records are replaced by one batch with just the records that
//! are needed, in their order. Records of open jobs are never left out, and a batch keeps its form,
//! so that versions without compaction read the log as well.

use std::collections::BTreeMap;

use super::host::RunKey;
use super::log_checkpoint::JobFate;
use super::restore::Record;
use super::spec::WorkflowId;
use crate::collections::{HashMap, HashSet};
use crate::ids::HostId;
use crate::time::Millis;

/// Settings of a [`LogCompaction`].
#[derive(Debug, Clone)]
pub struct CompactionSettings {
    /// The least time between transactions. Every call to the store is charged for.
    pub interval: Millis,
    /// The most keys that one transaction names, in conditions, writes and removals.
    pub max_keys: usize,
    /// The least number of records that a transaction has to save.
    pub min_saved: usize,
    /// The least number of batches that are merged although that saves few records. Each key adds to
    /// the size of the pages that a new owner reads.
    pub min_merged: usize,
    /// The most records of a merged batch. A large one is written again for few records saved.
    pub max_records: usize,
    /// How long the store may carry out a transaction after it was sent. If it did not answer, the
    /// batches that the transaction writes are not replaced before.
    pub write_delay: Millis,
}

impl Default for CompactionSettings {
    fn default() -> Self {
        Self {
            interval: Millis(400),
            max_keys: 31,
            min_saved: 200,
            min_merged: 8,
            max_records: 1_000,
            write_delay: Millis::from_secs(60),
        }
    }
}

/// A batch that takes the place of others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Merge {
    /// Key of the new batch, which sorts where the replaced ones did.
    pub key: String,
    /// Records of the new batch; without any, it is not written.
    pub records: Vec<Record>,
    /// Keys of the replaced batches.
    pub replaced: Vec<String>,
    /// Positions of the replaced batches.
    orders: Vec<u64>,
    /// How many records the merge saves.
    saved: usize,
    /// The position of the start on each host; starts at different positions are not merged, since
    /// their order would be lost.
    starts: HashMap<HostId, u64>,
}

impl Merge {
    /// Returns how many keys the transaction names for this merge.
    const fn key_count(&self) -> usize {
        // A batch that is written has a condition as well: its key must not exist.
        let written = if self.records.is_empty() { 0 } else { 2 };
        self.replaced.len() + written
    }

    /// Returns whether the starts among these records have to stay apart from those of the merge.
    fn has_other_starts(&self, records: &[Record], order: u64) -> bool {
        let mut starts = records.iter().filter_map(started);
        starts.any(|(_, host)| self.starts.get(host).is_some_and(|other| *other != order))
    }

    fn add(&mut self, batch: &Batch, records: Vec<Record>, order: u64) {
        let hosts = records.iter().filter_map(started).map(|(_, host)| host);
        self.starts.extend(hosts.map(|host| (host.clone(), order)));
        self.saved += batch.records.len() - records.len();
        self.records.extend(records);
        self.replaced.push(batch.key.clone());
        self.orders.push(order);
    }
}

/// A batch of the stored log.
#[derive(Debug)]
struct Batch {
    key: String,
    records: Vec<Record>,
    /// About how many of the records are not needed.
    needless: usize,
    /// Whether compaction has written it.
    is_merged: bool,
    /// The earliest time at which it may be replaced.
    not_before: Millis,
}

/// The batches of the stored log, and the transaction that shortens it.
#[derive(Debug, Default)]
pub struct LogCompaction {
    settings: CompactionSettings,
    /// The batches by their position in the log.
    batches: BTreeMap<u64, Batch>,
    /// The position of the newest batch.
    newest: u64,
    /// The jobs that have not ended, with the positions of their batches.
    open: HashMap<WorkflowId, Vec<u64>>,
    /// The jobs that have ended and that the store still holds.
    ended: HashSet<WorkflowId>,
    /// The position of the newest start on each host by a job that has ended. Starts that were taken
    /// back do not count.
    newest_starts: HashMap<HostId, u64>,
    /// Runs that were lost with the process of their host.
    lost: HashSet<RunKey>,
    /// Runs that ended without a report; the log treats them as never started.
    released: HashSet<RunKey>,
    /// The merges of the transaction in progress; there is never more than one.
    current: Vec<Merge>,
    /// The earliest time of the next transaction.
    next: Millis,
    /// The number of records that compaction has removed.
    removed: u64,
}

impl LogCompaction {
    /// Creates the state of an owner that may shorten the log from `start` on. Before, runs of earlier
    /// owners may exist that it does not know.
    pub fn new(settings: CompactionSettings, start: Millis) -> Self {
        Self {
            settings,
            next: start,
            ..Self::default()
        }
    }

    /// Adds a batch that the store holds. Batches are added in the order of their keys.
    pub fn add_batch(&mut self, key: &str, records: Vec<Record>) {
        self.newest += 1;
        let order = self.newest;
        let mut ended: HashSet<WorkflowId> = HashSet::default();
        for record in &records {
            match record {
                Record::Lost(task, run) => self.lost.insert((*task, *run)),
                Record::Released(task, run) => self.released.insert((*task, *run)),
                _ => false,
            };
            if self.ended.contains(&record.job()) {
                ended.insert(record.job());
            } else {
                self.add_position(record.job(), order);
            }
        }
        let batch = Batch {
            key: key.to_owned(),
            records,
            needless: 0,
            is_merged: false,
            not_before: Millis::ZERO,
        };
        self.batches.insert(order, batch);
        for job in ended {
            self.end_records(job, order);
        }
    }

    /// Keeps the batch that was added last from being replaced while the store may still carry out an
    /// earlier attempt to write it: once its key is free again, that would put it back.
    pub fn delay_newest(&mut self, now: Millis) {
        if let Some(batch) = self.batches.get_mut(&self.newest) {
            batch.not_before = now + self.settings.write_delay;
        }
    }

    fn add_position(&mut self, job: WorkflowId, order: u64) {
        let orders = self.open.entry(job).or_default();
        if orders.last() != Some(&order) {
            orders.push(order);
        }
    }

    /// Forgets batches and jobs that the store no longer holds.
    pub fn retain(
        &mut self,
        has_batch: impl Fn(&str) -> bool,
        has_job: impl Fn(WorkflowId) -> bool,
    ) {
        self.batches.retain(|_, batch| has_batch(&batch.key));
        self.open.retain(|job, _| has_job(*job));
        self.ended.retain(|job| has_job(*job));
        self.lost.retain(|(task, _)| has_job(task.step.job));
        self.released.retain(|(task, _)| has_job(task.step.job));
        let batches = &self.batches;
        self.newest_starts
            .retain(|_, order| batches.contains_key(order));
    }

    /// Returns whether a transaction is in progress.
    pub const fn is_busy(&self) -> bool {
        !self.current.is_empty()
    }

    /// Returns the number of batches in the store and the number of records in them.
    pub fn size(&self) -> (usize, usize) {
        let records = self.batches.values().map(|batch| batch.records.len()).sum();
        (self.batches.len(), records)
    }

    /// Returns the number of records that compaction has removed from the store.
    pub const fn removed_records(&self) -> u64 {
        self.removed
    }

    /// Begins a transaction if one is due and saves enough; returns its merges. All of them take
    /// effect or none.
    pub fn begin(&mut self, now: Millis, fate: impl Fn(WorkflowId) -> JobFate) -> &[Merge] {
        if self.is_busy() || now < self.next {
            return &[];
        }
        self.next = now + self.settings.interval;
        self.end_jobs(fate);
        let merges = self.plan(now);
        let saved: usize = merges.iter().map(|merge| merge.saved).sum();
        let has_many = |merge: &Merge| merge.replaced.len() >= self.settings.min_merged;
        if saved >= self.settings.min_saved || merges.iter().any(has_many) {
            self.current = merges;
        }
        &self.current
    }

    /// Ends the transaction in progress; returns its merges if it has taken effect. `was_answered`
    /// tells whether the store answered each attempt at it.
    pub fn finish(&mut self, is_confirmed: bool, was_answered: bool, now: Millis) -> Vec<Merge> {
        let not_before = if was_answered {
            Millis::ZERO
        } else {
            now + self.settings.write_delay
        };
        let merges = std::mem::take(&mut self.current);
        if !is_confirmed {
            return Vec::new();
        }
        for merge in &merges {
            self.apply(merge, not_before);
        }
        merges
    }

    fn apply(&mut self, merge: &Merge, not_before: Millis) {
        for order in &merge.orders {
            self.batches.remove(order);
        }
        self.removed += u64::try_from(merge.saved).unwrap_or(0);
        let Some(order) = merge.orders.last().copied() else {
            return;
        };
        for record in &merge.records {
            let job = record.job();
            if self.open.contains_key(&job) {
                self.add_position(job, order);
            } else if let Some((key, host)) = started(record)
                && !self.lost.contains(&key)
            {
                self.newest_starts.insert(host.clone(), order);
            }
        }
        if !merge.records.is_empty() {
            let batch = Batch {
                key: merge.key.clone(),
                records: merge.records.clone(),
                needless: 0,
                is_merged: true,
                not_before,
            };
            self.batches.insert(order, batch);
        }
    }

    /// Notes the jobs that have ended since the last call.
    fn end_jobs(&mut self, fate: impl Fn(WorkflowId) -> JobFate) {
        let is_over = |job: &WorkflowId, _: &mut Vec<u64>| fate(*job) != JobFate::Open;
        let over: Vec<_> = self.open.extract_if(is_over).collect();
        for (job, orders) in over {
            if fate(job) == JobFate::Ended {
                self.ended.insert(job);
            }
            for order in orders {
                self.end_records(job, order);
            }
        }
    }

    /// Notes which records of a batch are no longer needed since a job has ended.
    fn end_records(&mut self, job: WorkflowId, order: u64) {
        let is_kept = self.ended.contains(&job);
        let Some(batch) = self.batches.get_mut(&order) else {
            return;
        };
        for record in batch.records.iter().filter(|record| record.job() == job) {
            if !is_kept || !is_outcome(record) {
                batch.needless += 1;
            }
            if let Some((key, host)) = started(record)
                && is_kept
                && !self.lost.contains(&key)
                && !self.released.contains(&key)
            {
                let newest = self.newest_starts.entry(host.clone()).or_default();
                *newest = order.max(*newest);
            }
        }
    }

    /// Returns whether a new owner needs a record at a position of the log.
    fn is_needed(&self, record: &Record, order: u64) -> bool {
        let job = record.job();
        if self.open.contains_key(&job) {
            return true;
        }
        if !self.ended.contains(&job) {
            return false;
        }
        started(record).map_or_else(
            || is_outcome(record),
            |(key, host)| {
                let is_newest = self.newest_starts.get(host) == Some(&order);
                self.lost.contains(&key) || (is_newest && !self.released.contains(&key))
            },
        )
    }

    /// Plans merges of batches that follow each other, the oldest first.
    fn plan(&self, now: Millis) -> Vec<Merge> {
        let mut merges = Vec::new();
        let mut room = self.settings.max_keys;
        let mut group = Merge::default();
        for (order, batch) in &self.batches {
            if !self.is_candidate(batch, now) {
                self.close_group(&mut group, &mut room, &mut merges);
                continue;
            }
            let needed = |record: &&Record| self.is_needed(record, *order);
            let needed: Vec<Record> = batch.records.iter().filter(needed).cloned().collect();
            let is_full = group.records.len() + needed.len() > self.settings.max_records
                || group.replaced.len() + 3 > room;
            if is_full || group.has_other_starts(&needed, *order) {
                self.close_group(&mut group, &mut room, &mut merges);
            }
            if room < 3 {
                return merges;
            }
            group.add(batch, needed, *order);
        }
        self.close_group(&mut group, &mut room, &mut merges);
        merges
    }

    /// Returns whether a batch may be merged: few of its records are needed, or it is a small one
    /// that compaction has written.
    fn is_candidate(&self, batch: &Batch, now: Millis) -> bool {
        let is_small = batch.is_merged && batch.records.len() * 4 <= self.settings.max_records;
        now >= batch.not_before && (batch.needless * 2 >= batch.records.len() || is_small)
    }

    /// Adds a group of batches to the merges if that saves enough.
    fn close_group(&self, group: &mut Merge, room: &mut usize, merges: &mut Vec<Merge>) {
        let mut merge = std::mem::take(group);
        let Some(last) = merge.replaced.last() else {
            return;
        };
        // Sorts after the key of the last replaced batch and before that of the next one.
        merge.key = format!("{last}m");
        let count = merge.replaced.len();
        let is_shorter = merge.saved > merge.records.len();
        if (is_shorter || count >= self.settings.min_merged) && merge.key_count() <= *room {
            *room -= merge.key_count();
            merges.push(merge);
        }
    }
}

/// Returns whether a new owner needs a record of an ended job wherever it is in the log.
const fn is_outcome(record: &Record) -> bool {
    match record {
        Record::Ended(..)
        | Record::Crashed(_)
        | Record::Lost(..)
        | Record::Acquitted(..)
        | Record::Weighed(..)
        | Record::Released(..) => true,
        Record::Started(..)
        | Record::StartedOn(..)
        | Record::Done(_)
        | Record::GangDone(_)
        | Record::Failed(..)
        | Record::GangFailed(..)
        | Record::Begun(_) => false,
    }
}

/// Returns the run and the host of a start.
fn started(record: &Record) -> Option<(RunKey, &HostId)> {
    match record {
        Record::Started(task, run, host) | Record::StartedOn(task, run, host, _) => {
            Some(((*task, *run), host))
        }
        _ => None,
    }
}
