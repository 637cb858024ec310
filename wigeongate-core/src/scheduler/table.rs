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

/// How long an ended job is kept.
const ENDED_RETENTION: Millis = Millis::from_secs(600);

/// Maximum number of ended jobs that are kept.
const MAX_ENDED_JOBS: usize = 20_000;

/// Maximum number of workers kept per job on which its tasks failed.
const MAX_FAILED_WORKERS: usize = 8;

/// The stage of a task; a task is in one stage at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// The task waits for a worker.
    #[default]
    Queued,
    /// The task is queued again at the given time.
    Delayed(Millis),
    /// The task runs on a worker, or its start was ordered.
    Placed(WorkerIx),
    /// The task ended or will not start again.
    Done,
}

/// The progress of a task.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TaskProgress {
    /// The stage.
    pub(super) stage: Stage,
    /// The newest known attempt.
    pub(super) last_attempt: Attempt,
    /// The newest attempt known to have ended.
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
    /// Its number in the order of acceptance.
    pub(super) seq: u64,
    /// The size that the next attempt of a task reserves.
    pub(super) size: Resources,
    /// The progress of each task.
    pub(super) tasks: Vec<TaskProgress>,
    /// Invariant: the tasks in stage `Queued`, unless the job has ended.
    pub(super) ready: BTreeSet<u32>,
    /// Tasks in stage `Delayed`.
    pub(super) delayed: u32,
    /// Tasks in stage `Placed`.
    pub(super) placed: u32,
    /// Placed tasks that were ordered to stop.
    pub(super) stopping: u32,
    /// Tasks that succeeded.
    pub(super) succeeded: u32,
    /// Whether a task was ever placed.
    pub(super) started: bool,
    /// Whether an earlier owner accepted it, so that its tasks may run on workers that have not
    /// reported.
    pub(super) restored: bool,
    /// Since when it has had ready tasks without a break.
    pub(super) waiting_since: Millis,
    /// When a gang may claim capacity again.
    pub(super) claim_after: Millis,
    /// How often a gang gave back its claims because they expired before it could start.
    pub(super) claim_retries: u32,
    /// How many placed tasks each zone and rack has.
    pub(super) spread: Spread,
    /// Workers on which its tasks failed, the newest last.
    pub(super) failed_on: Vec<WorkerIx>,
    /// The outcome; `None` before the end.
    pub(super) ended: Option<Outcome>,
}

impl Entry {
    /// Returns whether all its tasks start together.
    pub(super) fn is_gang(&self) -> bool {
        self.job.kind == Kind::Gang
    }

    /// Returns whether every task that has not ended is ready to start.
    pub(super) fn all_ready(&self) -> bool {
        self.delayed == 0 && self.placed == 0 && !self.ready.is_empty()
    }

    /// Returns how many tasks of a service may be stopped without falling below its minimum.
    pub(super) fn allowed_disruptions(&self) -> u32 {
        self.placed
            .saturating_sub(self.stopping)
            .saturating_sub(self.job.spec.minimum)
    }

    /// Records a worker on which a task failed; drops the oldest above [`MAX_FAILED_WORKERS`].
    pub(super) fn record_failed_worker(&mut self, worker: WorkerIx) {
        if self.failed_on.contains(&worker) {
            return;
        }
        if self.failed_on.len() == MAX_FAILED_WORKERS {
            self.failed_on.remove(0);
        }
        self.failed_on.push(worker);
    }

    /// Returns the job's public status.
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

    /// Returns a job, to be changed.
    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut Entry> {
        self.jobs.get_mut(&id)
    }

    /// Returns every job.
    pub(super) fn all(&self) -> impl Iterator<Item = &Entry> {
        self.jobs.values()
    }

    /// Adds a job with every task queued; returns false when the job is known.
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

    /// Removes a job that has not ended, without an outcome.
    pub(super) fn remove(&mut self, id: JobId) {
        self.services.remove(&id);
        self.jobs.remove(&id);
    }

    /// Records that a job ended.
    pub(super) fn record_end(&mut self, id: JobId, now: Millis) {
        self.services.remove(&id);
        self.ended.push_back((now, id));
    }

    /// Removes jobs that ended longer than [`ENDED_RETENTION`] ago or exceed [`MAX_ENDED_JOBS`]; a
    /// job with placed tasks stays for another period.
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
