//! The handlers of the messages to a pool's owner.

use tokio::sync::oneshot;
use tracing::{info, warn};
use wigeongate_api::worker::{Order, TaskEntry, TaskState, WorkerReport};
use wigeongate_core::ids::JobId;
use wigeongate_core::job::JobStatus;
use wigeongate_core::scheduler::{Event, Report};
use xtra::prelude::*;

use super::events::task_report;
use super::job_table::EndedAttempt;
use super::message::RequestReload;
use super::pool::{EXPIRY_TICKS, PROGRESS_TICKS, load};
use super::{
    Accepted, Cancel, CancelError, ConfigurationChanged, GetDigest, List, LoadMoved, Lost,
    OtherPoolUsage, PoolOwner, RecordWritten, RecordsLoaded, Reported, Stale, Status, Stop, Submit,
    SubmitError, TeamSlices, Tick, Wait, Waited, digest,
};
use crate::jobs::{CommitError, JobRecord, RecordReader, RecordWriter, VersionedRecord};
use crate::message::jobs::PoolDigest;

/// The maximum number of records of ended jobs that are removed at a time.
const EXPIRY_BATCH: usize = 50;

/// The maximum number of jobs in one list; the newest are listed.
const LIST_LIMIT: usize = 1_000;

/// The maximum number of held actions in a pool's digest.
const HELD_ACTIONS_LIMIT: usize = 32;

impl Handler<Tick> for PoolOwner {
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
            let dirty = self.jobs.dirty();
            self.write(dirty, &owner);
        }
        if self.ticks.is_multiple_of(EXPIRY_TICKS) {
            self.expire();
            if std::mem::take(&mut self.reload_due) {
                let pool = self.settings.pool.clone();
                tokio::spawn(load(owner, self.records.clone(), pool));
            }
        }
    }
}

impl PoolOwner {
    /// Removes the records of jobs that ended longer ago than they are kept.
    fn expire(&mut self) {
        for VersionedRecord { record, revision } in self.jobs.expired(EXPIRY_BATCH) {
            self.jobs.remove(record.job.id);
            let writer = self.writer.clone();
            tokio::spawn(async move {
                if let Err(error) = writer.remove(&record, revision).await {
                    warn!(
                        "owner: removing the record of ended job {} failed: {error}.",
                        record.job.id
                    );
                }
            });
        }
    }

    /// Adds a record to the job table, and its job to the scheduler unless it has ended.
    fn restore(&mut self, versioned: VersionedRecord) {
        let JobRecord {
            job,
            progress,
            outcome,
            ..
        } = versioned.record.clone();
        if self.jobs.add(versioned) && outcome.is_none() {
            self.decide(Event::RecordedProgress(job.id, progress));
            self.decide(Event::Restore(job));
        }
    }

    /// Orders the workers to forget attempts whose end is recorded.
    fn forget(&self, ended: Vec<EndedAttempt>) {
        for EndedAttempt {
            host,
            task,
            attempt,
        } in ended
        {
            self.order(&host, Order::Forget { task, attempt });
        }
    }

    /// Stores a written record, orders the workers to forget the recorded attempts and notifies
    /// those who wait for the job if the write recorded its end.
    fn record_written(&mut self, versioned: VersionedRecord, ended: Vec<EndedAttempt>) {
        let job = versioned.record.job.id;
        let newly_ended = self.jobs.write_done(versioned);
        self.forget(ended);
        if !newly_ended {
            return;
        }
        if let Some(status) = self.jobs.status(job, None) {
            self.jobs.notify_waiters(&status);
        }
    }

    /// Orders a worker to forget the ended tasks in its report that no record needs: those of
    /// unknown jobs and of jobs whose end is recorded.
    fn forget_unneeded(&self, report: &WorkerReport) {
        let ended = report
            .tasks
            .iter()
            .filter(|line| line.state != TaskState::Running);
        for TaskEntry { task, attempt, .. } in ended {
            let versioned = self.jobs.get(task.job);
            if versioned.is_none_or(|versioned| versioned.record.outcome.is_some()) {
                let (task, attempt) = (*task, *attempt);
                self.order(&report.host, Order::Forget { task, attempt });
            }
        }
    }

    /// Returns the number of queued jobs in the queue of `job`.
    fn queued_jobs(&self, job: &wigeongate_core::job::Job) -> usize {
        let same = |status: &JobStatus| {
            status.job.spec.queue == job.spec.queue
                && status.state == wigeongate_core::job::JobState::Queued
        };
        self.statuses().filter(same).count()
    }

    /// Returns whether the queue of `job` has reached its bound. Jobs are counted only once the
    /// whole table has that many records, since counting visits each of them.
    fn is_full(&self, job: &wigeongate_core::job::Job) -> bool {
        let bound = self.live.policy.queues.get(&job.spec.queue);
        let bound = bound.map_or(0, |queue| queue.bound as usize);
        self.jobs.len() >= bound && self.queued_jobs(job) >= bound
    }
}

impl Handler<RecordsLoaded> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, RecordsLoaded(records): RecordsLoaded, context: &mut Context<Self>) {
        for versioned in records {
            self.restore(versioned);
        }
        if self.loaded {
            return;
        }
        info!(
            "owner: {} has read its records and links to its workers.",
            self.unit
        );
        self.loaded = true;
        self.decide(Event::Restored);
        self.relink(&context.mailbox().address());
    }
}

impl Handler<ConfigurationChanged> for PoolOwner {
    type Return = ();

    async fn handle(
        &mut self,
        ConfigurationChanged(live): ConfigurationChanged,
        context: &mut Context<Self>,
    ) {
        self.live = live;
        self.decide(Event::Policy(self.live.policy.clone()));
        if self.loaded {
            self.relink(&context.mailbox().address());
        }
    }
}

impl Handler<TeamSlices> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, TeamSlices(slices): TeamSlices, _: &mut Context<Self>) {
        self.decide(Event::Slices(slices));
    }
}

impl Handler<OtherPoolUsage> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, OtherPoolUsage(usage): OtherPoolUsage, _: &mut Context<Self>) {
        self.decide(Event::OtherPoolUsage(usage));
    }
}

impl Handler<Submit> for PoolOwner {
    type Return = oneshot::Receiver<Result<JobId, SubmitError>>;

    async fn handle(&mut self, submit: Submit, context: &mut Context<Self>) -> Self::Return {
        let (done, result) = oneshot::channel();
        let Submit { job, token } = submit;
        let refusal = if !self.loaded {
            let reason = "the pool's new owner has not yet read its records".to_owned();
            Some(SubmitError::NotDone(reason))
        } else if self.is_full(&job) {
            Some(SubmitError::Full)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            // A caller that no longer waits can be ignored.
            let _ = done.send(Err(refusal));
            return result;
        }
        let record = JobRecord::new(job, token);
        let (writer, records) = (self.writer.clone(), self.records.clone());
        let owner = context.mailbox().address();
        tokio::spawn(async move {
            let _ = done.send(accept(&owner, &writer, &records, record).await);
        });
        result
    }
}

/// Records a job, then passes it to its owner.
async fn accept(
    owner: &xtra::WeakAddress<PoolOwner>,
    writer: &RecordWriter,
    records: &RecordReader,
    record: JobRecord,
) -> Result<JobId, SubmitError> {
    let id = record.job.id;
    match writer.accept(&record).await {
        Ok(revision) => {
            // If the owner has stopped, its successor has read or will read the record.
            let _ = owner
                .send(Accepted(VersionedRecord { record, revision }))
                .await;
            Ok(id)
        }
        Err(CommitError::Raced) => earlier_submission(records, &record).await,
        Err(CommitError::NotDone(reason)) => Err(SubmitError::NotDone(reason)),
        Err(CommitError::Unknown(reason)) => {
            let _ = owner.send(RequestReload).await;
            Err(SubmitError::Unknown(reason))
        }
    }
}

/// Returns the job of an earlier submission with the same idempotency key.
///
/// Fails when the bodies differ, or when there is no such submission: then the record was not
/// created because the pool has a new owner.
async fn earlier_submission(
    records: &RecordReader,
    record: &JobRecord,
) -> Result<JobId, SubmitError> {
    let replaced = || SubmitError::NotDone("the pool has a new owner".to_owned());
    let token = record.token.as_ref().ok_or_else(replaced)?;
    let read = records.find_submission(&record.job.team, token).await;
    let found = read.map_err(|error| SubmitError::NotDone(format!("{error:#}")))?;
    let found = found.ok_or_else(replaced)?;
    if found.body == token.body {
        Ok(found.job)
    } else {
        Err(SubmitError::Mismatch)
    }
}

impl Handler<RequestReload> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, _: RequestReload, _: &mut Context<Self>) {
        self.reload_due = true;
    }
}

impl Handler<Accepted> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, Accepted(versioned): Accepted, _: &mut Context<Self>) {
        let job = versioned.record.job.clone();
        if self.jobs.add(versioned) {
            self.decide(Event::Submit(job));
        }
    }
}

impl Handler<LoadMoved> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, LoadMoved(job): LoadMoved, context: &mut Context<Self>) {
        if !self.loaded {
            return;
        }
        let owner = context.mailbox().address();
        let (records, pool) = (self.records.clone(), self.settings.pool.clone());
        tokio::spawn(async move {
            if let Ok(Some(versioned)) = records.find(&pool, job).await {
                // If the owner has stopped, its successor reads the record.
                let _ = owner.send(RecordsLoaded(vec![versioned])).await;
            }
        });
    }
}

impl Handler<RecordWritten> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, written: RecordWritten, _: &mut Context<Self>) {
        let RecordWritten {
            record,
            ended,
            result,
            found,
        } = written;
        let job = record.job.id;
        match (result, found) {
            (Ok(revision), _) => self.record_written(VersionedRecord { record, revision }, ended),
            (Err(_), Some(versioned))
                if versioned.record == record || versioned.record.outcome.is_some() =>
            {
                self.record_written(versioned, ended);
            }
            (Err(error), found) => {
                warn!("owner: writing the record of job {job} failed and is retried: {error}.");
                self.jobs.write_failed(job, ended, found);
            }
        }
    }
}

impl Handler<Cancel> for PoolOwner {
    type Return = Result<oneshot::Receiver<JobStatus>, CancelError>;

    async fn handle(&mut self, cancel: Cancel, context: &mut Context<Self>) -> Self::Return {
        let Cancel { team, job } = cancel;
        let status = self.status(job).filter(|status| status.job.team == team);
        let status = status.ok_or(CancelError::Missing)?;
        let receiver = self.jobs.add_waiter(job).ok_or(CancelError::Missing)?;
        if matches!(status.state, wigeongate_core::job::JobState::Ended(_)) {
            self.jobs.notify_waiters(&status);
        } else {
            self.decide(Event::Cancel(job));
            self.write([job], &context.mailbox().address());
        }
        Ok(receiver)
    }
}

impl Handler<Status> for PoolOwner {
    type Return = Option<JobStatus>;

    async fn handle(&mut self, Status(job): Status, _: &mut Context<Self>) -> Self::Return {
        self.status(job)
    }
}

impl Handler<Wait> for PoolOwner {
    type Return = Waited;

    async fn handle(&mut self, Wait(job): Wait, _: &mut Context<Self>) -> Waited {
        let Some(status) = self.status(job) else {
            return Waited::Missing;
        };
        if matches!(status.state, wigeongate_core::job::JobState::Ended(_)) {
            return Waited::Ended(Box::new(status));
        }
        self.jobs
            .add_waiter(job)
            .map_or(Waited::Missing, Waited::Pending)
    }
}

impl Handler<List> for PoolOwner {
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

impl Handler<GetDigest> for PoolOwner {
    type Return = PoolDigest;

    async fn handle(&mut self, _: GetDigest, _: &mut Context<Self>) -> PoolDigest {
        let held = self.scheduler.held().take(HELD_ACTIONS_LIMIT);
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

impl Handler<Reported> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, reported: Reported, context: &mut Context<Self>) {
        let Reported { link, report } = reported;
        let Some(link) = self.link(&report.host, link) else {
            return;
        };
        let last_order = link.last_start(report.batch);
        self.forget_unneeded(&report);
        for line in &report.tasks {
            if line.state != TaskState::Running {
                self.jobs.attempt_ended(EndedAttempt {
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

impl Handler<Lost> for PoolOwner {
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

impl Handler<Stale> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, stale: Stale, context: &mut Context<Self>) {
        let Stale { link, host, epoch } = stale;
        if self.link(&host, link).is_none() {
            return;
        }
        warn!("owner: worker {host} has seen the newer epoch {epoch}.");
        if self.owns(&host) {
            self.cluster.renew_epoch(&self.unit);
            return;
        }
        // The worker's new owner stops the tasks that it does not know. They count as lost here
        // only after one lease, when that is certain.
        let owner = context.mailbox().address();
        let lease = self.settings.task_lease;
        tokio::spawn(async move {
            tokio::time::sleep(lease).await;
            let _ = owner.send(Lost { link, host }).await;
        });
    }
}

impl Handler<Stop> for PoolOwner {
    type Return = ();

    async fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        context.stop_self();
    }
}
