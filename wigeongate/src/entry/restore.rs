//! Restores the state of earlier owners from the store when a gate has become the owner.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, CheckpointPart, DeferredJobs, JobSelection, Record, StoredJob, WorkflowScheduler,
};
use wigeongate_platform::store::{Item, Page, StoreError};

use super::callers::job_age;
use super::job_watch;
use super::records::{
    CheckpointHead, JOBS_PREFIX, LOG_PREFIX, LogBatch, decode, is_cancelled, parts_prefix,
};
use super::restore_progress::{RestoreProgress, RestoreStep, StepSize};
use super::run_times;
use super::shared::Shared;
use super::stored_head::{StoredHead, decode_part};
use super::turns::{MAX_ITEMS, Turns};
use crate::clock::wall_ms;

/// The least share of a core with which jobs and log are read at a time. The links of smaller hosts are
/// narrow as well: two pages at a time gain nothing there, and each may take longer than its timeout.
const MIN_PARALLEL_CORES: f64 = 0.25;

/// How often the head or a page is read before the takeover is given up.
const READ_ATTEMPTS: u32 = 4;

/// The delay after a read that failed, in milliseconds.
const READ_RETRY_MS: u64 = 100;

/// A restore, with the parts of the new owner that it fills.
#[derive(Debug)]
pub struct Restore<'a> {
    /// The state that the parts of the gate share.
    pub shared: &'a Arc<Shared>,
    /// The progress of the restore.
    pub progress: &'a RestoreProgress,
    /// The scheduler, which has the configuration already.
    pub scheduler: &'a mut WorkflowScheduler,
}

/// The records of a batch of the log, with its key.
pub type StoredBatch = (String, Vec<Record>);

/// A part of the checkpoint in force, with its key.
pub type StoredPart = (String, CheckpointPart);

/// What a restore has brought.
#[derive(Debug)]
pub struct Restored {
    /// The revision up to which the jobs are complete.
    pub revision: u64,
    /// The number of stored jobs.
    pub jobs: usize,
    /// The checkpoint in force.
    pub head: StoredHead,
    /// Its parts, in their order.
    pub parts: Vec<StoredPart>,
    /// The batches that it does not cover, in the order in which they were written.
    pub batches: Vec<StoredBatch>,
    /// Whether everything that is stored could be decoded.
    pub is_readable: bool,
    /// What the scheduler has decided on.
    pub actions: Vec<Action>,
    /// The jobs for which there is no memory.
    pub deferred: DeferredJobs,
}

/// What earlier owners have left in the store, as read.
#[derive(Debug)]
struct StoredItems {
    jobs: Vec<Item>,
    /// The key after which further jobs follow; `None` if all were read.
    more_jobs: Option<String>,
    /// The revision up to which the jobs are complete.
    revision: u64,
    head: StoredHead,
    parts: Vec<Item>,
    batches: Vec<Item>,
}

/// Keys with a prefix.
#[derive(Debug)]
struct ReadItems {
    items: Vec<Item>,
    /// The key after which others follow; `None` if all were read.
    more_after: Option<String>,
    /// The revision of the first page.
    revision: u64,
}

/// What earlier owners have left in the store.
#[derive(Debug)]
struct StoredState {
    /// In the order in which they were accepted.
    jobs: Vec<StoredJob>,
    /// In their order.
    parts: Vec<StoredPart>,
    /// In the order in which they were written.
    batches: Vec<StoredBatch>,
    /// Whether everything could be decoded.
    is_readable: bool,
    /// The number of stored jobs.
    job_count: usize,
    /// The jobs for which there is no memory.
    deferred: DeferredJobs,
}

impl Restore<'_> {
    /// Reads the accepted jobs and the log from the store and replays them. The other work of the gate
    /// has its turn after a bounded number of items.
    ///
    /// Fails if the store cannot be read; the error names the step.
    pub async fn run(mut self) -> Result<Restored> {
        let items = self.read().await?;
        let (revision, head) = (items.revision, items.head.clone());
        let mut state = self.decode(items).await?;
        let jobs = state.job_count;
        let now = self.shared.now();
        self.scheduler.tick(now, wall_ms(), &mut Vec::new());
        self.restore_jobs(std::mem::take(&mut state.jobs), now)
            .await;
        self.replay(&state, now).await;
        let actions = self.finish(now, jobs).await;
        Ok(Restored {
            revision,
            jobs,
            head,
            parts: state.parts,
            batches: state.batches,
            is_readable: state.is_readable,
            actions,
            deferred: state.deferred,
        })
    }

    fn begin(&self, step: RestoreStep) {
        self.progress.begin(step, self.shared.now());
    }

    fn end(&self, step: RestoreStep, size: StepSize) {
        self.progress.add(step, size);
        self.progress.end(step, self.shared.now());
    }

    /// Reads the accepted jobs, the log and the run times.
    ///
    /// Nobody else removes jobs or writes the log any more: both require the earlier owner key.
    async fn read(&mut self) -> Result<StoredItems> {
        let run_times = self.shared.settings.policies().run_times.then(|| {
            self.begin(RestoreStep::ReadRunTimes);
            tokio::spawn(run_times::read(Arc::clone(self.shared)))
        });
        self.begin(RestoreStep::ReadHead);
        let head = self.read_head().await?;
        self.end(RestoreStep::ReadHead, StepSize::default());
        // Without the log it is not known which jobs have begun and must be held.
        let most = usize::try_from(self.shared.settings.job_bytes()).unwrap_or(usize::MAX);
        let jobs = self.read_prefix(RestoreStep::ReadJobs, JOBS_PREFIX, "", most);
        let parts = self.read_parts(head.head());
        let covered = head.covered();
        let batches = self.read_prefix(RestoreStep::ReadLog, LOG_PREFIX, covered, usize::MAX);
        let (jobs, parts, batches) = if self.shared.settings.processors() < MIN_PARALLEL_CORES {
            (jobs.await?, parts.await?, batches.await?)
        } else {
            tokio::try_join!(jobs, parts, batches)?
        };
        if let Some(run_times) = run_times {
            self.scheduler
                .set_run_times(run_times.await.unwrap_or_default());
            self.end(RestoreStep::ReadRunTimes, StepSize::default());
        }
        Ok(StoredItems {
            jobs: jobs.items,
            more_jobs: jobs.more_after,
            revision: jobs.revision,
            head,
            parts,
            batches: batches.items,
        })
    }

    async fn read_head(&self) -> Result<StoredHead> {
        let mut attempt = 1;
        loop {
            match StoredHead::read(&self.shared.store).await {
                Err(error) => {
                    if !may_retry(&mut attempt, &error).await {
                        return Err(error);
                    }
                }
                read => return read,
            }
        }
    }

    async fn read_page(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let mut attempt = 1;
        loop {
            match self.shared.store.range_page(prefix, after).await {
                Err(error) => {
                    if !may_retry(&mut attempt, &error).await {
                        return Err(error);
                    }
                }
                read => return read,
            }
        }
    }

    /// Reads the parts of the checkpoint in force.
    async fn read_parts(&self, head: Option<&CheckpointHead>) -> Result<Vec<Item>> {
        let Some(head) = head.filter(|head| head.parts > 0) else {
            return Ok(Vec::new());
        };
        let prefix = parts_prefix(head.epoch, head.number);
        let read = self.read_prefix(RestoreStep::ReadCheckpoint, &prefix, "", usize::MAX);
        Ok(read.await?.items)
    }

    /// Reads the keys with a prefix that follow `after` as one step, until the values take more than
    /// `most` bytes.
    async fn read_prefix(
        &self,
        step: RestoreStep,
        prefix: &str,
        after: &str,
        most: usize,
    ) -> Result<ReadItems> {
        self.begin(step);
        let (mut pages, mut items, mut bytes) = (0, Vec::new(), 0);
        let (mut first, mut after) = (None, after.to_owned());
        let more_after = loop {
            let page = self.read_page(prefix, &after).await;
            if page.is_err() {
                self.progress.fail(step);
            }
            let count = items.len();
            let page =
                page.wrap_err_with(|| format!("{step}, after {count} items in {pages} pages"))?;
            pages += 1;
            let size = StepSize {
                items: page.items.len(),
                bytes: page.bytes,
                pages: 1,
            };
            self.progress.add(step, size);
            first.get_or_insert(page.revision);
            bytes += page.items.iter().map(|it| it.value.len()).sum::<usize>();
            items.extend(page.items);
            match items.last() {
                Some(last) if page.has_more && bytes > most => break Some(last.key.clone()),
                Some(last) if page.has_more => after.clone_from(&last.key),
                _ => break None,
            }
        };
        self.end(step, StepSize::default());
        Ok(ReadItems {
            items,
            more_after,
            revision: first.unwrap_or_default(),
        })
    }

    /// Decodes what was read, and reads the other jobs; what cannot be decoded is skipped.
    async fn decode(&self, items: StoredItems) -> Result<StoredState> {
        self.begin(RestoreStep::Decode);
        let mut is_readable = items.head != StoredHead::Unreadable;
        let mut turns = Turns::default();
        let mut parts = Vec::with_capacity(items.parts.len());
        for key in items.head.part_keys() {
            match decode_part(&key, &items.parts) {
                Some(part) => {
                    turns.count(part.batches.iter().map(Vec::len).sum()).await;
                    parts.push((key, part));
                }
                None => is_readable = false,
            }
        }
        let mut batches = Vec::with_capacity(items.batches.len());
        for item in &items.batches {
            match decode::<LogBatch>(&item.key, &item.value) {
                Ok(batch) => {
                    turns.count(batch.records.len()).await;
                    batches.push((item.key.clone(), batch.records));
                }
                Err(error) => {
                    is_readable = false;
                    turns.count(1).await;
                    warn!(
                        error = format!("{error:#}"),
                        "owner: a log batch cannot be decoded; it is skipped."
                    );
                }
            }
        }
        let logged = items.parts.len() + items.batches.len();
        let mut selection = JobSelection::new(self.shared.settings.job_bytes());
        let of_parts = parts.iter().flat_map(|(_, part)| &part.batches);
        let records = of_parts.chain(batches.iter().map(|(_, records)| records));
        for records in records {
            turns.count(records.len()).await;
            for record in records {
                selection.add_record(record);
            }
        }
        let mut job_count = items.jobs.len();
        is_readable &= self.select_jobs(&mut selection, items.jobs).await;
        let mut more_after = items.more_jobs;
        while let Some(after) = more_after.take() {
            let page = self.read_page(JOBS_PREFIX, &after).await;
            if page.is_err() {
                self.progress.fail(RestoreStep::ReadJobs);
            }
            let page = page.wrap_err_with(|| format!("read jobs, after {job_count} items"))?;
            let size = StepSize {
                items: page.items.len(),
                bytes: page.bytes,
                pages: 1,
            };
            self.progress.add(RestoreStep::ReadJobs, size);
            job_count += page.items.len();
            let last = page.items.last().filter(|_| page.has_more);
            more_after = last.map(|last| last.key.clone());
            is_readable &= self.select_jobs(&mut selection, page.items).await;
        }
        // Jobs count against a team's limits in the order in which they were accepted.
        let (jobs, deferred) = selection.finish();
        if !deferred.is_empty() {
            warn!(
                held = jobs.len(),
                deferred = deferred.len(),
                bytes = deferred.bytes(),
                "owner: the stored jobs take more memory than there is for jobs; some wait in the store."
            );
        }
        self.end(RestoreStep::Decode, StepSize::items(job_count + logged));
        Ok(StoredState {
            jobs,
            parts,
            batches,
            is_readable,
            job_count,
            deferred,
        })
    }

    /// Decodes jobs for the selection; returns whether all could be decoded.
    async fn select_jobs(&self, selection: &mut JobSelection, items: Vec<Item>) -> bool {
        let stored = items.iter().filter(|item| !is_cancelled(item)).count();
        let jobs = job_watch::decode_jobs(&items).await;
        drop(items);
        let is_readable = jobs.len() == stored;
        for job in jobs {
            let priority = self.scheduler.priority(&job.flow);
            selection.add(job, priority);
        }
        is_readable
    }

    /// Adds the accepted jobs to the scheduler.
    async fn restore_jobs(&mut self, jobs: Vec<StoredJob>, now: Millis) {
        self.begin(RestoreStep::RestoreJobs);
        let size = StepSize::items(jobs.len());
        let mut turns = Turns::default();
        for job in jobs {
            let age = job_age(job.flow.accepted);
            self.scheduler.restore(job.flow, now, age);
            turns.count(1).await;
        }
        self.end(RestoreStep::RestoreJobs, size);
    }

    /// Replays the checkpoint and the batches after it.
    async fn replay(&mut self, state: &StoredState, now: Millis) {
        self.begin(RestoreStep::Replay);
        let mut size = StepSize::default();
        let mut turns = Turns::default();
        let parts = state.parts.iter().flat_map(|(_, part)| {
            let batches = part.batches.iter().enumerate();
            batches.map(|(at, records)| (at == 0 && part.continues, records))
        });
        let batches = state.batches.iter().map(|(_, records)| (false, records));
        let batches: Vec<(bool, &Vec<Record>)> = parts.chain(batches).collect();
        for (continues, records) in batches {
            if !continues {
                self.scheduler.begin_batch();
            }
            for record in records {
                self.scheduler.replay(record, now);
                turns.count(1).await;
            }
            size.items += records.len();
        }
        self.end(RestoreStep::Replay, size);
    }

    /// Completes the restore; returns what the scheduler has decided on.
    async fn finish(&mut self, now: Millis, jobs: usize) -> Vec<Action> {
        self.begin(RestoreStep::Finish);
        let mut actions = Vec::new();
        let mut turns = Turns::default();
        let mut rest = self.scheduler.begin_finish();
        while self
            .scheduler
            .finish_portion(&mut rest, MAX_ITEMS, now, &mut actions)
        {
            turns.count(MAX_ITEMS).await;
        }
        self.end(RestoreStep::Finish, StepSize::items(jobs));
        actions
    }
}

/// Waits before another attempt to read from the store; returns false if there were enough. One call that the
/// store refuses, or whose answer is lost, is no reason to begin the takeover anew.
async fn may_retry(attempt: &mut u32, error: &impl Display) -> bool {
    *attempt += 1;
    if *attempt > READ_ATTEMPTS {
        return false;
    }
    info!(%error, attempt, "owner: reading what is stored failed; trying again.");
    sleep(Duration::from_millis(READ_RETRY_MS)).await;
    true
}
