//! Moves ended jobs to the archived ones, removes those that have expired, and finds those of earlier
//! owners.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{debug, info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Archive, Transfer, WorkflowId, WorkflowScheduler, WorkflowStatus};
use wigeongate_platform::job_api;
use wigeongate_platform::store::{Item, MAX_TXN_KEYS, Txn, TxnOutcome};

use super::owner_event::OwnerEvent;
use super::records::{ENDED_PREFIX, EndedRecord, OWNER_KEY, decode, encode, ended_key, job_key};
use super::shared::Shared;
use crate::clock::wall_ms;

/// The entries of a transaction beside its condition.
const MAX_ENTRIES: usize = MAX_TXN_KEYS - 1;

/// The delay before a transaction without an answer is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// The most archived jobs that the owner adds at a time, so that its other work has its turn.
const PORTION: usize = 500;

/// The time after each of these portions, in milliseconds.
const PORTION_INTERVAL_MS: u64 = 25;

/// The time from the restore to the first page of archived jobs that a new owner reads, in milliseconds. Until
/// then the list of hosts and the first calls to them have the link for themselves.
const FIRST_PAGE_DELAY_MS: u64 = 1_000;

/// The time between two pages of archived jobs that a new owner reads, in milliseconds.
const PAGE_INTERVAL_MS: u64 = 250;

/// The delay after a page that could not be read, in milliseconds.
const PAGE_RETRY_MS: u64 = 1_000;

/// A job that an earlier owner has archived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedJob {
    /// The job.
    pub id: WorkflowId,
    /// What the store holds of it.
    pub record: EndedRecord,
}

/// Archives the jobs of one owner.
#[derive(Debug)]
pub struct Archiver {
    shared: Arc<Shared>,
    /// The revision of the owner key, which is the condition of each transaction.
    revision: u64,
    events: mpsc::UnboundedSender<OwnerEvent>,
    archive: Archive,
}

impl Archiver {
    /// Creates the state of an owner; `revision` is that of the owner key.
    pub fn new(
        shared: Arc<Shared>,
        revision: u64,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        Self {
            shared,
            revision,
            events,
            archive: Archive::default(),
        }
    }

    /// Begins to read what earlier owners have archived.
    pub fn start_reading(&self) {
        tokio::spawn(read_ended(Arc::clone(&self.shared), self.events.clone()));
    }

    /// Begins a transaction if one is due, and sends the owner its outcome.
    pub fn advance(&mut self, scheduler: &mut WorkflowScheduler) {
        let now = self.shared.now();
        let Some(transfer) = self.archive.begin(scheduler, MAX_ENTRIES, now) else {
            return;
        };
        let txn = transaction(transfer, self.revision, now);
        let pause = Duration::from(transfer.pause);
        let (moved, expired) = (transfer.moves.len(), transfer.expired.len());
        let shared = Arc::clone(&self.shared);
        let events = self.events.clone();
        let next = Instant::now() + pause;
        tokio::spawn(async move {
            let is_confirmed = commit(&shared, &events, &txn).await;
            debug!(moved, expired, is_confirmed, "archive: transaction ended.");
            // Fails only after the owner's loop has ended.
            let _ = events.send(OwnerEvent::ArchiveAnswered(is_confirmed));
            // Ticks are too rare for a backlog.
            sleep_until(next).await;
            let _ = events.send(OwnerEvent::ArchiveDue);
        });
    }

    /// Ends the transaction in progress; returns the jobs that are archived now.
    pub fn finish(
        &mut self,
        scheduler: &mut WorkflowScheduler,
        is_confirmed: bool,
    ) -> Vec<WorkflowId> {
        let now = self.shared.now();
        let moved = self.archive.finish(scheduler, is_confirmed, now);
        let gauge = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
        let metrics = &self.shared.metrics;
        metrics.set_gauge("ended_jobs", gauge(scheduler.ended_jobs().count()));
        metrics.set_gauge("unarchived_jobs", gauge(self.archive.waiting()));
        moved
    }

    /// Adds jobs that earlier owners have archived.
    pub fn add_found(&self, scheduler: &mut WorkflowScheduler, found: Vec<EndedJob>) {
        let (now, wall_ms) = (self.shared.now(), wall_ms());
        for EndedJob { id, record } in found {
            if !scheduler.has_job(id) {
                // An end in the future, by the clock of this host, counts as now.
                let age = Millis(wall_ms.saturating_sub(record.ended_ms));
                let ended = scheduler.ended_jobs_mut();
                ended.add(id, record.status, now, age);
            }
        }
    }
}

/// Returns the transaction of a transfer that is decided at `now`.
fn transaction(transfer: &Transfer, revision: u64, now: Millis) -> Txn {
    let wall_ms = wall_ms();
    let put = |job: WorkflowId, status: WorkflowStatus, ended: Millis| {
        let ended_ms = wall_ms.saturating_sub(now.since(ended).0);
        let record = EndedRecord { status, ended_ms };
        (ended_key(job), encode(&record), 0)
    };
    let moves = transfer.moves.iter();
    Txn {
        expected: vec![(OWNER_KEY.to_owned(), revision)],
        puts: moves
            .clone()
            .map(|it| put(it.job, it.status, it.ended))
            .collect(),
        removes: moves
            .map(|it| job_key(it.job))
            .chain(transfer.expired.iter().map(|job| ended_key(*job)))
            .collect(),
    }
}

/// Commits a transaction, with retries until it is known whether it has taken effect. An attempt
/// that is carried out late changes nothing that a later one has written.
async fn commit(shared: &Shared, events: &mpsc::UnboundedSender<OwnerEvent>, txn: &Txn) -> bool {
    while !events.is_closed() {
        match shared.store.commit(txn).await {
            Ok(TxnOutcome::Done(_)) => return true,
            Ok(TxnOutcome::Conflict(_)) => {
                info!("archive: another gate is the owner; nothing is moved.");
                return false;
            }
            Ok(TxnOutcome::LeaseEnded) => {}
            Err(error) => warn!(%error, "archive: moving ended jobs failed; trying again."),
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    false
}

/// Reads what earlier owners have archived, page by page, and sends it to the owner.
async fn read_ended(shared: Arc<Shared>, events: mpsc::UnboundedSender<OwnerEvent>) {
    let mut after = String::new();
    let mut count = 0;
    sleep(Duration::from_millis(FIRST_PAGE_DELAY_MS)).await;
    while !events.is_closed() {
        let page = match shared.store.range_page(ENDED_PREFIX, &after).await {
            Ok(page) => page,
            Err(error) => {
                warn!(%error, after, "archive: reading archived jobs failed; trying again.");
                sleep(Duration::from_millis(PAGE_RETRY_MS)).await;
                continue;
            }
        };
        for items in page.items.chunks(PORTION) {
            let found: Vec<EndedJob> = items.iter().filter_map(decode_ended).collect();
            count += found.len();
            // Fails only after the owner's loop has ended.
            let _ = events.send(OwnerEvent::EndedFound(found));
            sleep(Duration::from_millis(PORTION_INTERVAL_MS)).await;
        }
        match page.items.last() {
            Some(last) if page.has_more => after.clone_from(&last.key),
            _ => {
                info!(
                    count,
                    "archive: the archived jobs of earlier owners are known."
                );
                return;
            }
        }
        sleep(Duration::from_millis(PAGE_INTERVAL_MS)).await;
    }
}

/// Decodes an archived job; one that cannot be decoded is skipped and stays stored.
fn decode_ended(item: &Item) -> Option<EndedJob> {
    let id = item.key.strip_prefix(ENDED_PREFIX);
    let Some(id) = id.and_then(job_api::parse_job_id) else {
        warn!(
            key = item.key,
            "archive: the key names no job; it is skipped."
        );
        return None;
    };
    let record = decode(&item.key, &item.value)
        .inspect_err(|error| {
            warn!(
                error = format!("{error:#}"),
                "archive: an archived job cannot be decoded; it is skipped."
            );
        })
        .ok()?;
    Some(EndedJob { id, record })
}
