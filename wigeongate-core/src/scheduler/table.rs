//! The table of jobs.

use std::collections::{BTreeSet, VecDeque};

use super::fleet::Spread;
use super::index::WorkerIx;
use super::teams::TeamIx;
use crate::collections::HashMap;
use crate::ids::{Attempt, JobId};
use crate::job::{Job, JobState, JobStatus, Kind, Outcome};
use crate::resources::Resources;
use crate::time::Millis;

/// How long an ended job is remembered.
const ENDED_RETENTION: Millis = Millis::from_secs(600);

/// How many ended jobs are remembered.
const MAX_ENDED_JOBS: usize = 20_000;

/// Workers that a job is remembered to have failed on.
const MAX_FAILED_WORKERS: usize = 8;

/// Where a task stands; it is in one stage at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for a worker.
    #[default]
    Queued,
    /// It waits until then before it is queued again.
    Delayed(Millis),
    /// It runs on a worker, or its start was ordered.
    Placed(WorkerIx),
    /// It ended, or will not start any more.
    Done,
}

/// The progress of a task.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TaskProgress {
    /// Where it stands.
    pub(super) stage: Stage,
    /// The newest attempt that is known.
    pub(super) last_attempt: Attempt,
    /// The newest attempt that is known to have ended.
    pub(super) last_ended: Attempt,
    /// Failed attempts that count against the job.
    pub(super) failures: u32,
}

/// A job and the progress of its tasks.
#[derive(Debug)]
pub(super) struct Entry {
    /// The job.
    pub(super) job: Job,
    /// Its team.
    pub(super) team: TeamIx,
    /// Its place in the order of acceptance.
    pub(super) seq: u64,
    /// What the next attempt of a task reserves.
    pub(super) size: Resources,
    /// The progress of each task.
    pub(super) tasks: Vec<TaskProgress>,
    /// Invariant: the tasks in stage `Queued`, unless the job has ended.
    pub(super) ready: BTreeSet<u32>,
    /// Tasks in stage `Delayed`.
    pub(super) delayed: u32,
    /// Tasks in stage `Placed`.
    pub(super) placed: u32,
    /// Placed tasks that were told to stop.
    pub(super) stopping: u32,
    /// Tasks that ended well.
    pub(super) succeeded: u32,
    /// Whether a task was ever placed.
    pub(super) started: bool,
    /// Whether an earlier owner accepted it, so that tasks may run on silent workers.
    pub(super) restored: bool,
    /// Since when it has had tasks that wait.
    pub(super) waiting_since: Millis,
    /// A gang waits until then before it claims capacity again.
    pub(super) claim_after: Millis,
    /// How often a gang gave its claims back.
    pub(super) claim_retries: u32,
    /// Where its tasks are.
    pub(super) spread: Spread,
    /// Workers that its tasks failed on, the newest last.
    pub(super) failed_on: Vec<WorkerIx>,
    /// How it ended.
    pub(super) ended: Option<Outcome>,
}

impl Entry {
    /// Returns whether its tasks start all together.
    pub(super) fn is_gang(&self) -> bool {
        self.job.kind == Kind::Gang
    }

    /// Returns whether every task that has not ended waits to start.
    pub(super) fn all_ready(&self) -> bool {
        self.delayed == 0 && self.placed == 0 && !self.ready.is_empty()
    }

    /// Returns how many tasks of a service may be stopped without breaking its minimum.
    pub(super) fn allowed_disruptions(&self) -> u32 {
        self.placed
            .saturating_sub(self.stopping)
            .saturating_sub(self.job.spec.minimum)
    }

    /// Remembers a worker that a task failed on.
    pub(super) fn record_failed_worker(&mut self, worker: WorkerIx) {
        if self.failed_on.contains(&worker) {
            return;
        }
        if self.failed_on.len() == MAX_FAILED_WORKERS {
            self.failed_on.remove(0);
        }
        self.failed_on.push(worker);
    }

    /// Returns the progress as callers see it.
    pub(super) fn status(&self) -> JobStatus {
        let state = match &self.ended {
            Some(outcome) => JobState::Ended(outcome.clone()),
            None if self.started => JobState::Running,
            None => JobState::Queued,
        };
        let ready = u32::try_from(self.ready.len()).unwrap_or(u32::MAX);
        JobStatus {
            job: self.job.clone(),
            state,
            queued: ready + self.delayed,
            running: self.placed,
            succeeded: self.succeeded,
        }
    }
}

/// The table of jobs.
#[derive(Debug, Default)]
pub(super) struct Table {
    jobs: HashMap<JobId, Entry>,
    /// Ended jobs in the order of their ends.
    ended: VecDeque<(Millis, JobId)>,
    /// Services that have not ended.
    pub(super) services: BTreeSet<JobId>,
    /// Accepted jobs so far.
    accepted: u64,
}

impl Table {
    /// Returns a job.
    pub(super) fn get(&self, id: JobId) -> Option<&Entry> {
        self.jobs.get(&id)
    }

    /// Returns a job for a change.
    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut Entry> {
        self.jobs.get_mut(&id)
    }

    /// Returns every job.
    pub(super) fn all(&self) -> impl Iterator<Item = &Entry> {
        self.jobs.values()
    }

    /// Adds a job, every task queued; returns false when it is known.
    pub(super) fn add(&mut self, job: Job, team: TeamIx, restored: bool, now: Millis) -> bool {
        if self.jobs.contains_key(&job.id) {
            return false;
        }
        let count = job.spec.tasks.max(1);
        self.accepted += 1;
        if job.kind == Kind::Service {
            self.services.insert(job.id);
        }
        let entry = Entry {
            team,
            seq: self.accepted,
            size: job.spec.size,
            tasks: vec![TaskProgress::default(); count as usize],
            ready: (0..count).collect(),
            delayed: 0,
            placed: 0,
            stopping: 0,
            succeeded: 0,
            started: false,
            restored,
            waiting_since: now,
            claim_after: Millis::ZERO,
            claim_retries: 0,
            spread: Spread::default(),
            failed_on: Vec::new(),
            ended: None,
            job,
        };
        self.jobs.insert(entry.job.id, entry);
        true
    }

    /// Removes a job that has not ended.
    pub(super) fn remove(&mut self, id: JobId) {
        self.services.remove(&id);
        self.jobs.remove(&id);
    }

    /// Notes that a job ended.
    pub(super) fn record_end(&mut self, id: JobId, now: Millis) {
        self.services.remove(&id);
        self.ended.push_back((now, id));
    }

    /// Forgets jobs that ended long ago and hold nothing any more.
    pub(super) fn remove_expired(&mut self, now: Millis) {
        for _ in 0..self.ended.len() {
            let Some((at, id)) = self.ended.front().copied() else {
                return;
            };
            if now.since(at) < ENDED_RETENTION && self.ended.len() <= MAX_ENDED_JOBS {
                return;
            }
            self.ended.pop_front();
            if self.jobs.get(&id).is_some_and(|entry| entry.placed > 0) {
                self.ended.push_back((now, id));
            } else {
                self.jobs.remove(&id);
            }
        }
    }
}
