//! Decides when ended jobs are archived, so that what a new owner restores follows the open jobs.
//!
//! A job is moved as a whole: one transaction removes it from the jobs that a new owner restores and
//! stores its end. It counts as moved, and an expired end as removed, only once the store has
//! confirmed that. Until then the job stays known: one that is stored but unknown would be taken for
//! a job that has never run.

use std::collections::BTreeSet;

use super::job::WorkflowStatus;
use super::scheduler::WorkflowScheduler;
use super::spec::WorkflowId;
use crate::time::Millis;

/// The time between transactions, in milliseconds. Every call to the store is charged for.
const INTERVAL_MS: u64 = 400;

/// The time between transactions while another full one waits, in milliseconds.
const BACKLOG_INTERVAL_MS: u64 = 25;

/// The time after which a job that could not be moved is looked at again, in milliseconds.
const RECHECK_MS: u64 = 500;

/// How long a job stays with its records after its end if hosts were lost under its runs, in
/// milliseconds: the next owner judges later crashes by them.
const EVIDENCE_MS: u64 = 30_000;

/// The most jobs that stay for that reason; then the oldest are moved earlier. Each takeover begins
/// their time anew.
const MAX_KEPT: usize = 512;

/// The most jobs that one call looks at.
const MAX_CHECKS: usize = 128;

/// The entries of a transaction that a move takes: the removed and the written key.
const MOVE_ENTRIES: usize = 2;

/// One part in this many of a transaction is for expired ends while jobs wait to be moved. Each
/// job is moved once and removed once.
const EXPIRED_DIVISOR: usize = 3;

/// What is known of a job that may be archived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// The scheduler does not hold the job.
    Unknown,
    /// The job is open, its end is not written, or runs of it hold claims.
    Pending,
    /// The job has ended with this status, at this time.
    Ended {
        /// The final status.
        status: WorkflowStatus,
        /// When it ended.
        at: Millis,
        /// Whether hosts were lost under its runs.
        has_evidence: bool,
    },
}

/// A job that is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The job.
    pub job: WorkflowId,
    /// Its final status.
    pub status: WorkflowStatus,
    /// When it ended.
    pub ended: Millis,
}

/// What one transaction moves and removes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Jobs that are moved.
    pub moves: Vec<Move>,
    /// Archived jobs whose ends are removed.
    pub expired: Vec<WorkflowId>,
    /// The time from its beginning to the next transaction.
    pub pause: Millis,
}

/// The ended jobs that wait to be moved, and the transaction in progress.
#[derive(Debug, Default)]
pub struct Archive {
    /// Ended jobs by the time at which they are looked at next.
    waiting: BTreeSet<(Millis, WorkflowId)>,
    /// Ended jobs with evidence by the time at which that is no longer needed.
    kept: BTreeSet<(Millis, WorkflowId)>,
    /// Whether the runs of earlier owners are known; stays true.
    runs_known: bool,
    /// The transaction that the store has not answered yet; there is never more than one.
    current: Option<Transfer>,
    /// The earliest time of the next one.
    next: Millis,
}

impl Archive {
    /// Begins a transaction of up to `limit` entries; `None` if nothing is due, or the last one is in
    /// progress.
    pub fn begin(
        &mut self,
        scheduler: &mut WorkflowScheduler,
        limit: usize,
        now: Millis,
    ) -> Option<&Transfer> {
        let ends = scheduler.take_ends();
        self.waiting.extend(ends);
        if self.current.is_some() || now < self.next {
            return None;
        }
        self.runs_known |= scheduler.runs_known(now);
        let mut expired = scheduler.ended_jobs().expired(now, limit * 2);
        let reserved = expired.len().min(limit / EXPIRED_DIVISOR);
        let moves = self.due_moves(scheduler, (limit - reserved) / MOVE_ENTRIES, now);
        let rest = expired.len().min(limit - moves.len() * MOVE_ENTRIES);
        let left = expired.split_off(rest).len();
        let has_backlog = left >= limit / EXPIRED_DIVISOR
            || (self.runs_known && self.fills_transaction(limit / MOVE_ENTRIES, now));
        let pause = Millis(if has_backlog {
            BACKLOG_INTERVAL_MS
        } else {
            INTERVAL_MS
        });
        self.next = now + pause;
        if moves.is_empty() && expired.is_empty() {
            return None;
        }
        Some(self.current.insert(Transfer {
            moves,
            expired,
            pause,
        }))
    }

    /// Ends the transaction in progress; returns the jobs that were moved. Without a confirmation nothing
    /// has changed for the scheduler, and the same jobs are moved again.
    pub fn finish(
        &mut self,
        scheduler: &mut WorkflowScheduler,
        is_confirmed: bool,
        now: Millis,
    ) -> Vec<WorkflowId> {
        let Some(transfer) = self.current.take() else {
            return Vec::new();
        };
        let moves = transfer.moves.iter();
        if !is_confirmed {
            self.waiting.extend(moves.map(|it| (it.ended, it.job)));
            return Vec::new();
        }
        let jobs: Vec<WorkflowId> = moves.map(|it| it.job).collect();
        scheduler.archive_jobs(&jobs, now);
        scheduler.ended_jobs_mut().remove(&transfer.expired);
        jobs
    }

    /// Returns the number of ended jobs that are not moved yet.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.kept.len()
    }

    /// Returns whether at least `limit` jobs may be due.
    fn fills_transaction(&self, limit: usize, now: Millis) -> bool {
        let is_due = |(until, _): &&(Millis, WorkflowId)| *until <= now;
        let kept = self.kept.iter().take_while(is_due).take(limit).count();
        let excess = self.kept.len().saturating_sub(MAX_KEPT);
        self.due(now).take(limit).count() + kept.max(excess) >= limit
    }

    fn due(&self, now: Millis) -> impl Iterator<Item = WorkflowId> {
        let is_due = move |(due, _): &&(Millis, WorkflowId)| *due <= now;
        let due = self.waiting.iter().take_while(is_due);
        due.map(|(_, id)| *id)
    }

    /// Takes up to `limit` jobs that may be moved out of those that wait.
    fn due_moves(&mut self, scheduler: &WorkflowScheduler, limit: usize, now: Millis) -> Vec<Move> {
        let mut moves = Vec::new();
        if !self.runs_known {
            return moves;
        }
        while moves.len() < limit
            && let Some((until, id)) = self.kept.first().copied()
            && (until <= now || self.kept.len() > MAX_KEPT)
        {
            self.kept.pop_first();
            if let JobEnd::Ended { status, at, .. } = scheduler.job_end(id) {
                moves.push(Move::new(id, status, at));
            }
        }
        let due: Vec<WorkflowId> = self.due(now).take(MAX_CHECKS).collect();
        for id in due {
            if moves.len() == limit {
                break;
            }
            self.waiting.pop_first();
            match scheduler.job_end(id) {
                JobEnd::Unknown => {}
                JobEnd::Pending => {
                    self.waiting.insert((now + Millis(RECHECK_MS), id));
                }
                JobEnd::Ended {
                    at,
                    has_evidence: true,
                    ..
                } if now.since(at).0 < EVIDENCE_MS => {
                    self.kept.insert((at + Millis(EVIDENCE_MS), id));
                }
                JobEnd::Ended { status, at, .. } => moves.push(Move::new(id, status, at)),
            }
        }
        moves
    }
}

impl Move {
    const fn new(job: WorkflowId, status: WorkflowStatus, ended: Millis) -> Self {
        Self { job, status, ended }
    }
}
