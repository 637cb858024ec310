//! What the owner of a pool does with each message.

use tokio::sync::oneshot;
use tracing::{info, warn};
use wigeongate_api::worker::{Order, TaskLine, TaskState, WorkerReport};
use wigeongate_core::ids::JobId;
use wigeongate_core::job::JobStatus;
use wigeongate_core::scheduler::{Event, Report};
use xtra::prelude::*;

use super::book::Ended;
use super::events::task_report;
use super::message::Suspect;
use super::pool::{EXPIRY_TICKS, PROGRESS_TICKS, load};
use super::{
    Accepted, Cancel, CancelError, Configured, Elsewhere, List, Loaded, Lost, Measure, Pool,
    Reported, Slices, Stale, Status, Stop, Submit, SubmitError, TakeMoved, Tick, Wait, Waited,
    Wrote, digest,
};
use crate::jobs::{CommitError, Kept, Records, Stored, Writer};
use crate::message::jobs::PoolDigest;

/// How many records of ended jobs are removed at a time.
const EXPIRY_COUNT: usize = 50;

/// The most jobs that one list names.
const LIST_LIMIT: usize = 1_000;

/// How many held-back actions a pool tells the other gates.
const HELD_TOLD: usize = 32;

impl Handler<Tick> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        let owner = context.mailbox().address();
        self.ticks += 1;
        if !self.loaded {
            return;
        }
        self.decide(Event::Tick);
        self.write_ends(&owner);
        if self.ticks.is_multiple_of(PROGRESS_TICKS) {
            let dirty = self.book.dirty();
            self.write(dirty, &owner);
        }
        if self.ticks.is_multiple_of(EXPIRY_TICKS) {
            self.expire();
            if std::mem::take(&mut self.suspect) {
                let pool = self.settings.pool.clone();
                tokio::spawn(load(owner, self.records.clone(), pool));
            }
        }
    }
}

impl Pool {
    /// Removes records that have been kept long enough.
    fn expire(&mut self) {
        for Kept { stored, revision } in self.book.expired(EXPIRY_COUNT) {
            self.book.remove(stored.job.id);
            let writer = self.writer.clone();
            tokio::spawn(async move {
                if let Err(error) = writer.remove(&stored, revision).await {
                    warn!("owner: job {} stays on record: {error}.", stored.job.id);
                }
            });
        }
    }

    /// Takes a record into the book, and its job into the scheduler unless it has ended.
    fn restore(&mut self, kept: Kept) {
        let Stored {
            job,
            progress,
            outcome,
            ..
        } = kept.stored.clone();
        if self.book.add(kept) && outcome.is_none() {
            self.decide(Event::RecordedProgress(job.id, progress));
            self.decide(Event::Restore(job));
        }
    }

    /// Orders a worker to forget attempts that are recorded.
    fn forget(&self, ended: Vec<Ended>) {
        for Ended {
            host,
            task,
            attempt,
        } in ended
        {
            self.order(&host, Order::Forget { task, attempt });
        }
    }

    fn recorded(&mut self, kept: Kept, ended: Vec<Ended>) {
        let job = kept.stored.job.id;
        let over = self.book.written(kept);
        self.forget(ended);
        if !over {
            return;
        }
        if let Some(status) = self.book.status(job, None) {
            self.book.wake(&status);
        }
    }

    /// Lets a worker forget ended tasks of jobs whose records need nothing of them.
    fn disown(&self, report: &WorkerReport) {
        let ended = report
            .tasks
            .iter()
            .filter(|line| line.state != TaskState::Running);
        for TaskLine { task, attempt, .. } in ended {
            let kept = self.book.kept(task.job);
            if kept.is_none_or(|kept| kept.stored.outcome.is_some()) {
                let (task, attempt) = (*task, *attempt);
                self.order(&report.host, Order::Forget { task, attempt });
            }
        }
    }

    fn waiting_in(&self, job: &wigeongate_core::job::Job) -> usize {
        let same = |status: &JobStatus| {
            status.job.spec.queue == job.spec.queue
                && status.state == wigeongate_core::job::JobState::Queued
        };
        self.statuses().filter(same).count()
    }

    fn is_full(&self, job: &wigeongate_core::job::Job) -> bool {
        let bound = self.live.policy.queues.get(&job.spec.queue);
        let bound = bound.map_or(0, |queue| queue.bound as usize);
        self.book.len() >= bound && self.waiting_in(job) >= bound
    }
}

impl Handler<Loaded> for Pool {
    type Return = ();

    async fn handle(&mut self, Loaded(records): Loaded, context: &mut Context<Self>) {
        for kept in records {
            self.restore(kept);
        }
        if self.loaded {
            return;
        }
        info!("owner: {} has read its records.", self.unit);
        self.loaded = true;
        self.decide(Event::Restored);
        self.relink(&context.mailbox().address());
    }
}

impl Handler<Configured> for Pool {
    type Return = ();

    async fn handle(&mut self, Configured(live): Configured, context: &mut Context<Self>) {
        self.live = live;
        self.decide(Event::Policy(self.live.policy.clone()));
        if self.loaded {
            self.relink(&context.mailbox().address());
        }
    }
}

impl Handler<Slices> for Pool {
    type Return = ();

    async fn handle(&mut self, Slices(slices): Slices, _: &mut Context<Self>) {
        self.decide(Event::Slices(slices));
    }
}

impl Handler<Elsewhere> for Pool {
    type Return = ();

    async fn handle(&mut self, Elsewhere(usage): Elsewhere, _: &mut Context<Self>) {
        self.decide(Event::OtherPoolUsage(usage));
    }
}

impl Handler<Submit> for Pool {
    type Return = oneshot::Receiver<Result<JobId, SubmitError>>;

    async fn handle(&mut self, submit: Submit, context: &mut Context<Self>) -> Self::Return {
        let (done, result) = oneshot::channel();
        let Submit { job, token } = submit;
        let refusal = if !self.loaded {
            let reason = "the pool's new owner reads its records".to_owned();
            Some(SubmitError::NotDone(reason))
        } else if self.is_full(&job) {
            Some(SubmitError::Full)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            // One who no longer waits needs no word.
            let _ = done.send(Err(refusal));
            return result;
        }
        let stored = Stored::new(job, token);
        let (writer, records) = (self.writer.clone(), self.records.clone());
        let owner = context.mailbox().address();
        tokio::spawn(async move {
            let _ = done.send(accept(&owner, &writer, &records, stored).await);
        });
        result
    }
}

/// Records a job, then hands it to its owner.
async fn accept(
    owner: &xtra::WeakAddress<Pool>,
    writer: &Writer,
    records: &Records,
    stored: Stored,
) -> Result<JobId, SubmitError> {
    let id = stored.job.id;
    match writer.accept(&stored).await {
        Ok(revision) => {
            // If the owner has ended, its successor has read or will read the record.
            let _ = owner.send(Accepted(Kept { stored, revision })).await;
            Ok(id)
        }
        Err(CommitError::Raced) => earlier(records, &stored).await,
        Err(CommitError::NotDone(reason)) => Err(SubmitError::NotDone(reason)),
        Err(CommitError::Unknown(reason)) => {
            let _ = owner.send(Suspect).await;
            Err(SubmitError::Unknown(reason))
        }
    }
}

/// Returns the job that an earlier submission with the same key became.
async fn earlier(records: &Records, stored: &Stored) -> Result<JobId, SubmitError> {
    let lost = || SubmitError::NotDone("the pool has a new owner".to_owned());
    let token = stored.token.as_ref().ok_or_else(lost)?;
    let read = records.submitted(&stored.job.team, token).await;
    let found = read.map_err(|error| SubmitError::NotDone(format!("{error:#}")))?;
    let found = found.ok_or_else(lost)?;
    if found.body == token.body {
        Ok(found.job)
    } else {
        Err(SubmitError::Mismatch)
    }
}

impl Handler<Suspect> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Suspect, _: &mut Context<Self>) {
        self.suspect = true;
    }
}

impl Handler<Accepted> for Pool {
    type Return = ();

    async fn handle(&mut self, Accepted(kept): Accepted, _: &mut Context<Self>) {
        let job = kept.stored.job.clone();
        if self.book.add(kept) {
            self.decide(Event::Submit(job));
        }
    }
}

impl Handler<TakeMoved> for Pool {
    type Return = ();

    async fn handle(&mut self, TakeMoved(job): TakeMoved, context: &mut Context<Self>) {
        if !self.loaded {
            return;
        }
        let owner = context.mailbox().address();
        let (records, pool) = (self.records.clone(), self.settings.pool.clone());
        tokio::spawn(async move {
            if let Ok(Some(kept)) = records.find(&pool, job).await {
                // If the owner has ended, its successor reads the record.
                let _ = owner.send(Loaded(vec![kept])).await;
            }
        });
    }
}

impl Handler<Wrote> for Pool {
    type Return = ();

    async fn handle(&mut self, wrote: Wrote, _: &mut Context<Self>) {
        let Wrote {
            stored,
            ended,
            result,
            found,
        } = wrote;
        let job = stored.job.id;
        match (result, found) {
            (Ok(revision), _) => self.recorded(Kept { stored, revision }, ended),
            (Err(_), Some(kept)) if kept.stored == stored || kept.stored.outcome.is_some() => {
                self.recorded(kept, ended);
            }
            (Err(error), found) => {
                warn!("owner: job {job} is not recorded: {error}.");
                self.book.failed(job, ended, found);
            }
        }
    }
}

impl Handler<Cancel> for Pool {
    type Return = Result<oneshot::Receiver<JobStatus>, CancelError>;

    async fn handle(&mut self, cancel: Cancel, context: &mut Context<Self>) -> Self::Return {
        let Cancel { team, job } = cancel;
        let status = self.status(job).filter(|status| status.job.team == team);
        let status = status.ok_or(CancelError::Missing)?;
        let receiver = self.book.wait(job).ok_or(CancelError::Missing)?;
        if matches!(status.state, wigeongate_core::job::JobState::Ended(_)) {
            self.book.wake(&status);
        } else {
            self.decide(Event::Cancel(job));
            self.write([job], &context.mailbox().address());
        }
        Ok(receiver)
    }
}

impl Handler<Status> for Pool {
    type Return = Option<JobStatus>;

    async fn handle(&mut self, Status(job): Status, _: &mut Context<Self>) -> Self::Return {
        self.status(job)
    }
}

impl Handler<Wait> for Pool {
    type Return = Waited;

    async fn handle(&mut self, Wait(job): Wait, _: &mut Context<Self>) -> Waited {
        let Some(status) = self.status(job) else {
            return Waited::Missing;
        };
        if matches!(status.state, wigeongate_core::job::JobState::Ended(_)) {
            return Waited::Ended(Box::new(status));
        }
        self.book.wait(job).map_or(Waited::Missing, Waited::Later)
    }
}

impl Handler<List> for Pool {
    type Return = Vec<JobStatus>;

    async fn handle(&mut self, List(team): List, _: &mut Context<Self>) -> Vec<JobStatus> {
        let mut jobs: Vec<JobStatus> = self
            .statuses()
            .filter(|status| status.job.team == team)
            .collect();
        jobs.sort_unstable_by_key(|status| status.job.id);
        jobs.split_off(jobs.len().saturating_sub(LIST_LIMIT))
    }
}

impl Handler<Measure> for Pool {
    type Return = PoolDigest;

    async fn handle(&mut self, _: Measure, _: &mut Context<Self>) -> PoolDigest {
        let held = self.scheduler.held().take(HELD_TOLD);
        let digest = digest::digest(
            &self.settings.pool,
            &self.live.policy,
            self.scheduler.jobs(),
        );
        PoolDigest {
            held: held.map(|(action, _)| action.to_string()).collect(),
            ..digest
        }
    }
}

impl Handler<Reported> for Pool {
    type Return = ();

    async fn handle(&mut self, reported: Reported, context: &mut Context<Self>) {
        let Reported { link, report } = reported;
        let Some(link) = self.link(&report.host, link) else {
            return;
        };
        let last_order = link.taken(report.batch);
        self.disown(&report);
        for line in &report.tasks {
            if line.state != TaskState::Running {
                self.book.attempt_ended(Ended {
                    host: report.host.clone(),
                    task: line.task,
                    attempt: line.attempt,
                });
            }
        }
        let WorkerReport {
            host,
            clock,
            seq,
            full,
            tasks,
            ..
        } = report;
        self.decide(Event::Report(Report {
            host,
            full,
            last_order,
            incarnation: clock.incarnation,
            seq,
            tasks: tasks.into_iter().map(task_report).collect(),
        }));
        self.write_ends(&context.mailbox().address());
    }
}

impl Handler<Lost> for Pool {
    type Return = ();

    async fn handle(&mut self, Lost { link, host }: Lost, _: &mut Context<Self>) {
        if self.link(&host, link).is_none() {
            return;
        }
        if !self.owns(&host) {
            self.disconnect(&host);
        }
        self.decide(Event::WorkerLost(host));
    }
}

impl Handler<Stale> for Pool {
    type Return = ();

    async fn handle(&mut self, stale: Stale, context: &mut Context<Self>) {
        let Stale { link, host, epoch } = stale;
        if self.link(&host, link).is_none() {
            return;
        }
        warn!("owner: worker {host} has a newer owner, of epoch {epoch}.");
        if self.owns(&host) {
            self.cluster.renew_epoch(&self.unit);
            return;
        }
        // Its new owner stops what it does not know; wait until that is certain.
        let owner = context.mailbox().address();
        let lease = self.settings.task_lease;
        tokio::spawn(async move {
            tokio::time::sleep(lease).await;
            let _ = owner.send(Lost { link, host }).await;
        });
    }
}

impl Handler<Stop> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        context.stop_self();
    }
}
