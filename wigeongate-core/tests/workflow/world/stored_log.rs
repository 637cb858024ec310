//! A log with checkpoints that the simulated owner writes, and the comparison of owners that restore
//! from it.

use std::collections::BTreeMap;

use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    CheckpointPart, CheckpointSettings, CheckpointWrite, HostReport, JobFate, LogCheckpoint,
    OwnerView, PollFailure, Record, Running, WorkflowId, WorkflowScheduler,
};

use super::{Rng, World, queue};

/// How long owners that are compared are played on, in milliseconds.
const PLAYED_MS: u64 = 5_000;

/// The time between events while owners are compared, in milliseconds.
const EVENT_MS: usize = 50;

/// The checkpoint in force: the key of the newest batch that it covers, and the keys of its parts.
#[derive(Debug, Clone, Default)]
struct Head {
    covered: String,
    parts: Vec<String>,
}

/// The log in the store and the checkpoints of the current owner.
#[derive(Debug, Default)]
pub struct StoredLog {
    settings: CheckpointSettings,
    batches: BTreeMap<String, Vec<Record>>,
    parts: BTreeMap<String, CheckpointPart>,
    head: Head,
    count: u64,
    owners: u64,
    checkpoint: LogCheckpoint,
    /// The write that the store has not confirmed.
    current: Option<CheckpointWrite>,
    /// The share of transactions that the store refuses, or does not answer, in percent.
    refused: u64,
    /// The number of checkpoints that have come into force.
    pub checkpoints: usize,
    /// The number of records in all parts that were written.
    pub written: usize,
}

impl StoredLog {
    /// Creates an empty log; the store refuses no transaction.
    pub fn new(settings: CheckpointSettings) -> Self {
        let mut log = Self {
            settings,
            ..Self::default()
        };
        log.reopen();
        log
    }

    /// Returns the records that a new owner reads, by batch.
    pub fn read(&self) -> Vec<Vec<Record>> {
        let mut log: Vec<Vec<Record>> = Vec::new();
        for key in &self.head.parts {
            let part = self.parts.get(key).expect("the parts in force are stored");
            let mut batches = part.batches.iter().cloned();
            if part.continues {
                let last = log.last_mut().expect("a part before");
                last.extend(batches.next().unwrap_or_default());
            }
            log.extend(batches);
        }
        log.extend(self.tail().map(|(_, records)| records.clone()));
        log
    }

    /// Returns the number of records that a new owner reads.
    pub fn records(&self) -> usize {
        self.read().iter().map(Vec::len).sum()
    }

    /// Returns the batches after the checkpoint in force.
    fn tail(&self) -> impl Iterator<Item = (&String, &Vec<Record>)> {
        let covered = self.head.covered.as_str();
        self.batches
            .iter()
            .filter(move |(key, _)| key.as_str() > covered)
    }

    /// Returns the keys of all batches and parts.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.batches.keys().chain(self.parts.keys())
    }

    /// Returns the number of keys that a new owner reads.
    pub fn read_keys(&self) -> usize {
        self.head.parts.len() + self.tail().count()
    }

    pub fn add_batch(&mut self, records: Vec<Record>) {
        self.count += 1;
        let key = format!("{:08x}", self.count);
        self.checkpoint.add_batch(&key, records.clone());
        self.batches.insert(key, records);
    }

    pub fn forget_jobs(&mut self, jobs: &[WorkflowId]) {
        self.checkpoint.forget_jobs(jobs);
    }

    /// Lets a new owner read the log.
    fn reopen(&mut self) {
        let mut checkpoint = LogCheckpoint::new(self.settings.clone());
        for key in &self.head.parts {
            checkpoint.add_part(key, self.parts[key].clone());
        }
        for (key, records) in self.tail() {
            checkpoint.add_batch(key, records.clone());
        }
        self.checkpoint = checkpoint;
        self.current = None;
        self.owners += 1;
    }

    /// Takes a turn of the owner; returns whether anything was written or removed.
    pub fn turn(&mut self, view: &impl OwnerView, now: Millis, rng: &mut Rng) -> bool {
        let next = self.checkpoint.next_write(view, now).cloned();
        if self.current.is_none() {
            self.current = next;
        } else {
            assert_eq!(next, None, "one write at a time");
        }
        let wrote = self.current.is_some();
        if !rng.chance(self.refused) {
            self.write(rng);
        }
        let Some(keys) = self.checkpoint.begin_removal(now) else {
            return wrote;
        };
        assert!(keys.len() <= self.settings.removed_keys, "{}", keys.len());
        assert_eq!(self.checkpoint.begin_removal(now), None, "one at a time");
        // A removal without an answer may have been carried out.
        let is_confirmed = !rng.chance(self.refused);
        if is_confirmed || rng.chance(50) {
            for key in &keys {
                let is_in_force = *key > self.head.covered && self.batches.contains_key(key)
                    || self.head.parts.contains(key);
                assert!(!is_in_force, "{key} is needed");
                self.batches.remove(key);
                self.parts.remove(key);
            }
        }
        self.checkpoint.finish_removal(is_confirmed);
        true
    }

    /// Carries the current write out; the store may not answer it.
    fn write(&mut self, rng: &mut Rng) {
        let Some(write) = &self.current else {
            return;
        };
        let part_key = |number: u64, at: u32| format!("part/{}/{number}/{at:04}", self.owners);
        let key = match write {
            CheckpointWrite::Part(number, at, part) => {
                let key = part_key(*number, *at);
                self.parts.insert(key.clone(), part.clone());
                key
            }
            CheckpointWrite::Head(number, covered, parts) => {
                self.head = Head {
                    covered: covered.clone(),
                    parts: (1..=*parts).map(|at| part_key(*number, at)).collect(),
                };
                String::new()
            }
        };
        if rng.chance(self.refused) {
            return;
        }
        if let Some(CheckpointWrite::Part(_, _, part)) = self.current.take() {
            self.written += part.batches.iter().map(Vec::len).sum::<usize>();
        }
        self.checkpoints += usize::from(self.checkpoint.finish_write(&key));
    }
}

/// The owner of the world as its checkpoints see it.
struct View<'a> {
    scheduler: &'a WorkflowScheduler,
    runs_known: bool,
}

impl OwnerView for View<'_> {
    fn fate(&self, job: WorkflowId) -> JobFate {
        self.scheduler.job_fate(job)
    }

    fn has_host(&self, host: &HostId) -> bool {
        self.scheduler.has_host(host)
    }

    fn runs_known(&self) -> bool {
        self.runs_known
    }
}

impl World {
    /// Lets the owner write checkpoints of the log, also those that follow.
    pub fn enable_checkpoints(&mut self, settings: CheckpointSettings, refused: u64) {
        let mut log = StoredLog::new(settings);
        log.refused = refused;
        for batch in &self.log {
            log.add_batch(batch.clone());
        }
        self.stored_log = Some(log);
    }

    /// Returns the log with checkpoints.
    pub const fn stored_log(&self) -> Option<&StoredLog> {
        self.stored_log.as_ref()
    }

    /// Returns the number of records of the log without checkpoints.
    pub fn logged_records(&self) -> usize {
        self.log.iter().map(Vec::len).sum()
    }

    pub(super) fn reopen_log(&mut self) {
        self.runs_known_at = self.now + self.lease_ms + 300;
        if let Some(log) = &mut self.stored_log {
            log.reopen();
        }
    }

    /// Returns whether no run can exist that the owner does not know.
    fn runs_known(&self) -> bool {
        self.scheduler.unknown_hosts() == 0 || self.now >= self.runs_known_at
    }

    pub(super) fn write_checkpoint(&mut self) {
        let runs_known = self.runs_known();
        self.archive_jobs(runs_known);
        if let Some(log) = &mut self.stored_log {
            let view = View {
                scheduler: &self.scheduler,
                runs_known,
            };
            log.turn(&view, Millis(self.now), &mut self.rng);
        }
    }

    /// Lets some of the ended jobs leave the store.
    fn archive_jobs(&mut self, runs_known: bool) {
        if self.archived_percent == 0 || !runs_known {
            return;
        }
        let mut jobs = Vec::new();
        for flow in &self.flows {
            if self.scheduler.job_fate(flow.id) == JobFate::Ended
                && self.rng.chance(self.archived_percent)
            {
                jobs.push(flow.id);
            }
        }
        self.scheduler.archive_jobs(&jobs, Millis(self.now));
        self.scheduler.ended_jobs_mut().remove(&jobs);
        self.archived.extend(jobs.iter().copied());
        if let Some(log) = &mut self.stored_log {
            log.forget_jobs(&jobs);
        }
    }

    /// Returns what a new owner does that reads the log with checkpoints, and one that reads the log
    /// without, when the same happens to both.
    pub fn next_owners(&self, seed: u64) -> [Vec<String>; 2] {
        let log = self.stored_log.as_ref().expect("the owner's checkpoints");
        let short = log.read();
        let mut actions = [Vec::new(), Vec::new()];
        let owners = [
            self.restored_from(short.iter(), &mut actions[0]),
            self.restored_from(self.log.iter(), &mut actions[1]),
        ];
        let mut actions = actions.into_iter();
        owners.map(|owner| {
            let first = actions.next().unwrap_or_default();
            let mut said: Vec<String> = first.iter().map(|it| format!("{it:?}")).collect();
            said.sort_unstable();
            self.play_on(owner, seed, &mut said);
            said
        })
    }

    /// Lets an owner see some hosts fail, some return and the others report what they run, and notes
    /// what it does.
    fn play_on(&self, mut owner: WorkflowScheduler, seed: u64, said: &mut Vec<String>) {
        let mut rng = Rng::new(seed);
        let end = self.now + PLAYED_MS;
        let failing: Vec<(HostId, Option<PollFailure>)> = self
            .executors
            .values()
            .map(|at| {
                let failure = match rng.below(3) {
                    0 => Some(PollFailure::Refused),
                    1 => Some(PollFailure::NoAnswer),
                    _ => None,
                };
                (at.entry.id.clone(), failure)
            })
            .collect();
        for at in (self.now..end).step_by(EVENT_MS) {
            let now = Millis(at);
            let mut actions = Vec::new();
            for (id, failure) in &failing {
                match failure {
                    // A successor answers at the address in the end.
                    Some(PollFailure::Refused) if at > self.now + PLAYED_MS / 2 => {
                        owner.poll_failed(id, PollFailure::Replaced, now, &mut actions);
                    }
                    Some(failure) => owner.poll_failed(id, *failure, now, &mut actions),
                    None => owner.apply_report(id, &self.report_of(id, now), now, &mut actions),
                }
            }
            owner.tick(now, at, &mut actions);
            owner.place(now, &mut actions);
            let written = owner.last_record();
            owner.records_written(written, now, &mut actions);
            let mut lines: Vec<String> = actions.iter().map(|it| format!("{at} {it:?}")).collect();
            lines.sort_unstable();
            said.append(&mut lines);
            said.push(format!("{at} {} wait", owner.queued_jobs(&queue())));
        }
        for flow in &self.flows {
            said.push(format!("{} {:?}", flow.id, owner.status(flow.id)));
        }
    }

    pub(super) fn report_of(&self, id: &HostId, now: Millis) -> HostReport {
        let executor = &self.executors[id];
        HostReport {
            boot_ms: executor.boot_ms,
            sent: now,
            lease: now + Millis(self.lease_ms),
            running: executor
                .running
                .keys()
                .map(|(task, run)| Running {
                    task: *task,
                    run: *run,
                    checkpoint: String::new(),
                })
                .collect(),
            ended: executor
                .ended
                .iter()
                .filter(|ended| ended.number > executor.forgotten)
                .cloned()
                .collect(),
            ..HostReport::default()
        }
    }
}
