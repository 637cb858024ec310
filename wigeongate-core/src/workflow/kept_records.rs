//! The records of the log that a new owner may still need, in the order of the log.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use rangemap::RangeInclusiveSet;

use super::restore::Record;
use super::spec::{RunKey, StepId, TaskName, WorkflowId};
use crate::collections::HashMap;
use crate::ids::HostId;

/// A bound on the bytes of a task's name, and of a record's other numbers.
const NAME_BYTES: usize = 24;
const NUMBERS_BYTES: usize = 16;

/// A bound on the bytes of a crash or of evidence, without the names of hosts.
const EVIDENCE_BYTES: usize = 64;

/// The place of a record: the number of its batch and its index there.
pub(super) type Position = (u64, u32);

/// Successive records.
#[derive(Debug)]
pub(super) struct Slice {
    /// The records by batch.
    pub batches: Vec<Vec<Record>>,
    /// Whether the first batch is that of the record before.
    pub continues: bool,
    /// The position of the last record.
    pub end: Position,
}

/// The records of one job.
#[derive(Debug, Default)]
struct JobRecords {
    /// The starts of runs whose end the log does not prove.
    starts: BTreeMap<RunKey, Position>,
    /// All other records that are kept, in no particular order; a start only if its run was lost.
    others: Vec<Position>,
    /// Whether the log has the job's end.
    has_end: bool,
    /// Whether only the outcome of the job is kept.
    is_reduced: bool,
}

/// What the log has to say to a new owner.
#[derive(Debug, Default)]
pub(super) struct KeptRecords {
    records: BTreeMap<Position, Record>,
    jobs: HashMap<WorkflowId, JobRecords>,
    /// The newest start on each host among the runs that have ended; which run of a host started last
    /// decides who is suspected when the host crashes.
    newest_starts: HashMap<HostId, (RunKey, Position)>,
    /// Jobs with occurrences that are done and whose records are not folded.
    unfolded: BTreeSet<WorkflowId>,
}

impl KeptRecords {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether a job has records.
    pub fn has_job(&self, job: WorkflowId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Returns whether the end of a job is among the records.
    pub fn has_end(&self, job: WorkflowId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.has_end)
    }

    /// Adds the next record of the log.
    pub fn add(&mut self, at: Position, record: Record) {
        match &record {
            Record::Started(task, run, _) | Record::StartedOn(task, run, ..) => {
                let job = self.jobs.entry(record.job()).or_default();
                job.starts.insert((*task, *run), at);
                self.records.insert(at, record);
                return;
            }
            Record::Released(task, run) => {
                // The run counts as never started.
                if let Some(start) = self.take_start((*task, *run)) {
                    self.records.remove(&start);
                }
                return;
            }
            Record::Lost(task, run) => {
                // Without its start, the loss names no host.
                let Some(start) = self.take_start((*task, *run)) else {
                    return;
                };
                self.jobs
                    .entry(record.job())
                    .or_default()
                    .others
                    .push(start);
            }
            Record::Failed(task, run) => self.settle_start((*task, *run)),
            Record::Done(task) => self.settle_done(*task),
            Record::GangEnded(step, run) => self.settle_gang(*step, *run),
            Record::OccurrencesDone(job, ..) => {
                self.unfolded.insert(*job);
            }
            _ => {}
        }
        let job = self.jobs.entry(record.job()).or_default();
        job.has_end |= matches!(record, Record::Ended(..));
        job.others.push(at);
        self.records.insert(at, record);
    }

    /// Takes the start of a run out of those that may be the newest on their host.
    fn take_start(&mut self, run: RunKey) -> Option<Position> {
        let job = self.jobs.get_mut(&run.0.step.job);
        if let Some(start) = job.and_then(|job| job.starts.remove(&run)) {
            return Some(start);
        }
        // Seldom: the run had counted as ended.
        let mut starts = self.newest_starts.iter();
        let host = starts.find(|(_, (newest, _))| *newest == run)?.0.clone();
        self.newest_starts.remove(&host).map(|(_, start)| start)
    }

    /// Handles that the only run of a task whose end was open has ended. With several, it is not known
    /// which of them may still be lost with its host.
    fn settle_done(&mut self, task: TaskName) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let mut open = job.starts.range((task, 0)..=(task, u32::MAX));
        if let (Some((run, _)), None) = (open.next(), open.next()) {
            let run = *run;
            self.settle_start(run);
        }
    }

    /// Handles that no member of a run of a gang is left.
    fn settle_gang(&mut self, step: StepId, run: u32) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let member = |index| TaskName { step, index };
        let starts = job.starts.range((member(0), 0)..=(member(u32::MAX), run));
        let ended: Vec<RunKey> = starts
            .map(|(key, _)| *key)
            .filter(|(_, number)| *number <= run)
            .collect();
        for key in ended {
            self.settle_start(key);
        }
    }

    /// Handles that a run has ended: its start matters only if it is the newest on its host.
    fn settle_start(&mut self, run: RunKey) {
        let job = self.jobs.get_mut(&run.0.step.job);
        let Some(at) = job.and_then(|job| job.starts.remove(&run)) else {
            return;
        };
        let Some(host) = self.records.get(&at).and_then(started_host).cloned() else {
            return;
        };
        let newest = self.newest_starts.get(&host).map(|(_, newest)| *newest);
        if newest.is_some_and(|newest| newest > at) {
            self.records.remove(&at);
            return;
        }
        if let Some(older) = newest {
            self.records.remove(&older);
        }
        self.newest_starts.insert(host, (run, at));
    }

    fn settle_starts(&mut self, job: WorkflowId) {
        let starts = self.jobs.get(&job).map(|job| &job.starts);
        let runs: Vec<RunKey> = starts.into_iter().flatten().map(|(run, _)| *run).collect();
        for run in runs {
            self.settle_start(run);
        }
    }

    /// Replaces the records of occurrences that are done by the ranges of their indexes. A record of the
    /// log must not be folded into one that a checkpoint in progress does not cover.
    pub fn fold_occurrences(&mut self) {
        for id in std::mem::take(&mut self.unfolded) {
            self.fold_job(id);
        }
    }

    fn fold_job(&mut self, id: WorkflowId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut done: RangeInclusiveSet<u32> = RangeInclusiveSet::new();
        let mut places = Vec::new();
        for at in &job.others {
            if let Some(Record::OccurrencesDone(_, first, last)) = self.records.get(at) {
                done.insert(*first..=*last);
                places.push(*at);
            }
        }
        let records = &mut self.records;
        job.others.retain(|at| {
            let is_needless = records.get(at).is_some_and(|record| {
                let of_done = record.occurrence().is_some_and(|at| done.contains(&at));
                let is_range = matches!(record, Record::OccurrencesDone(..));
                is_range || (of_done && !is_outcome(record))
            });
            if is_needless {
                records.remove(at);
            }
            !is_needless
        });
        // Each range is at the place of one of the records that it replaces.
        places.sort_unstable();
        for (range, at) in done.iter().zip(places.into_iter().rev()) {
            let record = Record::OccurrencesDone(id, *range.start(), *range.end());
            records.insert(at, record);
            job.others.push(at);
        }
        let ended = job.starts.keys().copied();
        let ended: Vec<RunKey> = ended
            .filter(|(task, _)| done.contains(&task.step.occurrence))
            .collect();
        for run in ended {
            self.settle_start(run);
        }
    }

    /// Handles that a job has ended, and whether no run of it can exist that the owner does not know.
    pub fn end_job(&mut self, id: WorkflowId, runs_known: bool) {
        let records = &mut self.records;
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_reduced) {
            job.is_reduced = true;
            job.others.retain(|at| {
                let is_kept = records.get(at).is_some_and(is_outcome);
                if !is_kept {
                    records.remove(at);
                }
                is_kept
            });
        }
        if runs_known {
            self.settle_starts(id);
        }
    }

    /// Handles that the store no longer holds a job.
    pub fn remove_job(&mut self, id: WorkflowId) {
        self.settle_starts(id);
        for at in self.jobs.remove(&id).into_iter().flat_map(|job| job.others) {
            self.records.remove(&at);
        }
    }

    /// Forgets the newest starts on hosts that no longer exist.
    pub fn retain_hosts(&mut self, has_host: impl Fn(&HostId) -> bool) {
        let records = &mut self.records;
        self.newest_starts.retain(|host, (_, at)| {
            let is_known = has_host(host);
            if !is_known {
                records.remove(at);
            }
            is_known
        });
    }

    /// Returns the records after a position up to a batch, as many as a number of bytes holds.
    pub fn slice(&self, after: Position, last_batch: u64, max_bytes: usize) -> Slice {
        let bounds = (
            Bound::Excluded(after),
            Bound::Included((last_batch, u32::MAX)),
        );
        let mut slice = Slice {
            batches: Vec::new(),
            continues: false,
            end: after,
        };
        let mut bytes = 0;
        for (at, record) in self.records.range(bounds) {
            bytes += size_bound(record);
            if bytes > max_bytes && !slice.batches.is_empty() {
                break;
            }
            let is_same = slice.end.0 == at.0;
            slice.continues |= is_same && slice.batches.is_empty();
            match slice.batches.last_mut() {
                Some(batch) if is_same => batch.push(record.clone()),
                _ => slice.batches.push(vec![record.clone()]),
            }
            slice.end = *at;
        }
        slice
    }
}

/// Returns whether a new owner needs a record of a job that has ended. A start among them is that of a
/// lost run.
const fn is_outcome(record: &Record) -> bool {
    match record {
        Record::Ended(..)
        | Record::Crashed(_)
        | Record::CrashedOn(..)
        | Record::CrashProved(..)
        | Record::Lost(..)
        | Record::Acquitted(..)
        | Record::Weighed(..)
        | Record::Released(..)
        | Record::RunsEnded(_)
        | Record::Started(..)
        | Record::StartedOn(..) => true,
        Record::Done(_)
        | Record::GangDone(_)
        | Record::Failed(..)
        | Record::GangFailed(..)
        | Record::GangEnded(..)
        | Record::OccurrencesDone(..)
        | Record::Begun(_) => false,
    }
}

/// Returns the host of a start.
const fn started_host(record: &Record) -> Option<&HostId> {
    match record {
        Record::Started(_, _, host) | Record::StartedOn(_, _, host, _) => Some(host),
        _ => None,
    }
}

/// Returns a bound on the bytes of a stored record.
fn size_bound(record: &Record) -> usize {
    let rest = match record {
        Record::Started(_, _, host) | Record::StartedOn(_, _, host, _) => {
            NUMBERS_BYTES + host.as_str().len()
        }
        Record::Crashed(crash) => EVIDENCE_BYTES + crash.machine.len(),
        Record::CrashedOn(crash, host, _) => {
            EVIDENCE_BYTES + NUMBERS_BYTES + crash.machine.len() + host.as_str().len()
        }
        Record::Weighed(_, evidence) => EVIDENCE_BYTES + evidence.host.as_str().len(),
        Record::Failed(..)
        | Record::GangFailed(..)
        | Record::GangEnded(..)
        | Record::Lost(..)
        | Record::Acquitted(..)
        | Record::CrashProved(..)
        | Record::OccurrencesDone(..)
        | Record::Released(..) => NUMBERS_BYTES,
        Record::Done(_)
        | Record::GangDone(_)
        | Record::Ended(..)
        | Record::Begun(_)
        | Record::RunsEnded(_) => 0,
    };
    NAME_BYTES + rest
}
