//! Accepts jobs: a caller gets a positive answer only after its job is stored.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::{info, warn};
use wigeongate_core::collections::HashSet;
use wigeongate_core::workflow::{Workflow, WorkflowId};
use wigeongate_platform::store::{MAX_TXN_KEYS, Txn, TxnOutcome};

use super::records::{encode, ended_key, is_cancelled, job_key};
use super::shared::Shared;
use super::stored_job;

/// The most jobs that wait to be stored; further ones are refused.
const MAX_QUEUED_JOBS: usize = 512;

/// How long a write may take, in milliseconds, before jobs that wait behind it are refused. A store
/// that is 60 times slower than its usual 4 ms still answers in time, and a caller with a timeout
/// of 3 s has time left to try another gate.
const SLOW_WRITE_MS: u64 = 350;

/// The entries of a transaction that a job takes: the conditions that it is neither stored nor
/// archived, and its value.
const JOB_ENTRIES: usize = 3;

/// The timeout for looking up a job whose write got no answer, in milliseconds. Write and lookup
/// together take less than a third of a caller's timeout.
const LOOKUP_TIMEOUT_MS: u64 = 300;

/// The outcome of accepting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The job is stored now, at this revision.
    Stored(u64),
    /// The job was stored already.
    Duplicate,
    /// The job is not stored and will not be.
    Refused,
    /// The job may be stored already, or may still be stored later.
    Unknown,
}

/// A job that waits to be stored, with the channel for its outcome.
type PendingJob = (Workflow, oneshot::Sender<AcceptOutcome>);

/// A handle to the task that stores jobs in batches.
#[derive(Debug, Clone)]
pub struct Acceptor(mpsc::Sender<PendingJob>);

impl Acceptor {
    /// Starts the task that stores jobs.
    pub fn start(shared: Arc<Shared>) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_JOBS);
        tokio::spawn(run(shared, receiver));
        Self(sender)
    }

    /// Stores a job and returns the outcome; refuses it at once when the queue is full.
    pub async fn accept(&self, flow: Workflow) -> AcceptOutcome {
        let (answer, answered) = oneshot::channel();
        if self.0.try_send((flow, answer)).is_err() {
            return AcceptOutcome::Refused;
        }
        answered.await.unwrap_or(AcceptOutcome::Unknown)
    }
}

async fn run(shared: Arc<Shared>, mut receiver: mpsc::Receiver<PendingJob>) {
    let mut waiting: VecDeque<PendingJob> = VecDeque::new();
    loop {
        if waiting.is_empty() {
            match receiver.recv().await {
                Some(entry) => waiting.push_back(entry),
                None => return,
            }
        }
        while let Ok(entry) = receiver.try_recv() {
            waiting.push_back(entry);
        }
        let batch = take_batch(&mut waiting);
        let sent: HashSet<WorkflowId> = batch.iter().map(|(flow, _)| flow.id).collect();
        let write = store_batch(&shared, batch);
        tokio::pin!(write);
        let retries = match timeout(Duration::from_millis(SLOW_WRITE_MS), &mut write).await {
            Ok(retries) => retries,
            Err(_) => refuse_during_write(&mut write, &sent, &mut waiting, &mut receiver).await,
        };
        waiting.extend(retries);
    }
}

/// Refuses jobs that wait behind a slow write until the write ends; returns the jobs to write
/// again.
///
/// A job whose identifier is part of the write may be stored by it, so its outcome is unknown.
async fn refuse_during_write(
    write: &mut (impl Future<Output = Vec<PendingJob>> + Unpin),
    sent: &HashSet<WorkflowId>,
    waiting: &mut VecDeque<PendingJob>,
    receiver: &mut mpsc::Receiver<PendingJob>,
) -> Vec<PendingJob> {
    loop {
        for (flow, answer) in waiting.drain(..) {
            let is_sent = sent.contains(&flow.id);
            info!(job = %flow.id, is_sent,
                "accept: the store is slow; the job does not wait any longer.");
            let _ = answer.send(if is_sent {
                AcceptOutcome::Unknown
            } else {
                AcceptOutcome::Refused
            });
        }
        tokio::select! {
            retries = &mut *write => return retries,
            entry = receiver.recv() => match entry {
                Some(entry) => waiting.push_back(entry),
                None => return write.await,
            },
        }
    }
}

/// Takes as many jobs as fit into one transaction, each identifier once; the others keep waiting.
fn take_batch(waiting: &mut VecDeque<PendingJob>) -> Vec<PendingJob> {
    let mut batch = Vec::new();
    let mut later = VecDeque::new();
    let mut ids: HashSet<WorkflowId> = HashSet::default();
    while let Some(entry) = waiting.pop_front() {
        if batch.len() < MAX_TXN_KEYS / JOB_ENTRIES && ids.insert(entry.0.id) {
            batch.push(entry);
        } else {
            later.push_back(entry);
        }
    }
    *waiting = later;
    batch
}

/// Stores a batch; returns the jobs to write again, because another job of the batch was stored
/// already and the transaction had no effect.
async fn store_batch(shared: &Shared, batch: Vec<PendingJob>) -> Vec<PendingJob> {
    let mut retries = Vec::new();
    let mut txn = Txn::default();
    for (flow, _) in &batch {
        let key = job_key(flow.id);
        txn.expected.push((key.clone(), 0));
        txn.expected.push((ended_key(flow.id), 0));
        txn.puts.push((key, encode(flow), 0));
    }
    let result = shared.store.commit(&txn).await;
    match result {
        Ok(TxnOutcome::Done(revision)) => {
            for (flow, answer) in batch {
                info!(job = %flow.id, queue = %flow.queue, revision, "accept: job stored.");
                let _ = answer.send(AcceptOutcome::Stored(revision));
            }
        }
        Ok(TxnOutcome::Conflict(items)) => {
            let known: HashSet<&str> = items
                .iter()
                .filter(|item| item.revision > 0)
                .map(|item| item.key.as_str())
                .collect();
            let cancelled: HashSet<&str> = items
                .iter()
                .filter(|item| item.revision > 0 && is_cancelled(item))
                .map(|item| item.key.as_str())
                .collect();
            for (flow, answer) in batch {
                let key = job_key(flow.id);
                if cancelled.contains(key.as_str()) {
                    info!(job = %flow.id, "accept: job was cancelled before; it is refused.");
                    let _ = answer.send(AcceptOutcome::Refused);
                } else if known.contains(key.as_str())
                    || known.contains(ended_key(flow.id).as_str())
                {
                    info!(job = %flow.id, "accept: job was stored already.");
                    let _ = answer.send(AcceptOutcome::Duplicate);
                } else if known.is_empty() {
                    let _ = answer.send(AcceptOutcome::Refused);
                } else {
                    retries.push((flow, answer));
                }
            }
        }
        Ok(TxnOutcome::LeaseEnded) => answer_all(batch, AcceptOutcome::Refused),
        Err(error) if error.is_not_executed() => {
            for (flow, _) in &batch {
                warn!(job = %flow.id, %error,
                    "accept: the store did not store the job; the job is refused.");
            }
            answer_all(batch, AcceptOutcome::Refused);
        }
        Err(error) => {
            warn!(jobs = batch.len(), %error,
                "accept: the outcome of the write is unknown; looking up each job.");
            let lookups = batch
                .into_iter()
                .map(|(flow, answer)| look_up(shared, flow, answer));
            join_all(lookups).await;
        }
    }
    retries
}

/// Looks up whether a job is stored after its write got no answer, and sends the outcome.
async fn look_up(shared: &Shared, flow: Workflow, answer: oneshot::Sender<AcceptOutcome>) {
    let lookup = timeout(
        Duration::from_millis(LOOKUP_TIMEOUT_MS),
        stored_job::read(&shared.store, flow.id),
    );
    let stored = matches!(lookup.await, Ok(Ok(Some(_))));
    info!(job = %flow.id, stored, "accept: job looked up after a write without an answer.");
    let _ = answer.send(if stored {
        AcceptOutcome::Duplicate
    } else {
        AcceptOutcome::Unknown
    });
}

fn answer_all(batch: Vec<PendingJob>, outcome: AcceptOutcome) {
    for (_, answer) in batch {
        let _ = answer.send(outcome);
    }
}
