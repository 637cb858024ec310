//! Accepts jobs: each is stored before its caller is told so.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::{info, warn};
use wigeongate_core::collections::HashSet;
use wigeongate_core::workflow::{Workflow, WorkflowId};
use wigeongate_platform::store::{Committed, TXN_ENTRIES, Txn};

use super::records::{encode, job_key};
use super::shared::Shared;

/// How many jobs may wait to be stored; more are refused.
const MAX_QUEUED_JOBS: usize = 512;

/// How long a write may take, in milliseconds, before jobs that were not sent are refused: a store
/// 60 times slower than its 4 ms still answers, and a caller of 3 s can ask elsewhere.
const SLOW_WRITE_MS: u64 = 350;

/// The longest look at a job whose write had no answer, in milliseconds: with the write that is
/// under a third of a caller's time.
const LOOKUP_TIMEOUT_MS: u64 = 300;

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// It is stored.
    Stored,
    /// It was stored before.
    Duplicate,
    /// It is not stored and will not be.
    Refused,
    /// It may be stored, now or later.
    Unknown,
}

type PendingJob = (Workflow, oneshot::Sender<AcceptOutcome>);

/// The way to the acceptor.
#[derive(Debug, Clone)]
pub struct Acceptor(mpsc::Sender<PendingJob>);

impl Acceptor {
    /// Starts the acceptor.
    pub fn start(shared: Arc<Shared>) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_JOBS);
        tokio::spawn(run(shared, receiver));
        Self(sender)
    }

    /// Stores a job.
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

/// Refuses jobs that were not sent to the store until a slow write has ended.
async fn refuse_during_write(
    write: &mut (impl Future<Output = Vec<PendingJob>> + Unpin),
    sent: &HashSet<WorkflowId>,
    waiting: &mut VecDeque<PendingJob>,
    receiver: &mut mpsc::Receiver<PendingJob>,
) -> Vec<PendingJob> {
    loop {
        for (flow, answer) in waiting.drain(..) {
            let is_sent = sent.contains(&flow.id);
            info!(job = %flow.id, is_sent, "accept: given up, the store is slow.");
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

/// Takes as many jobs as one write holds, each identifier once.
fn take_batch(waiting: &mut VecDeque<PendingJob>) -> Vec<PendingJob> {
    let mut batch = Vec::new();
    let mut later = VecDeque::new();
    let mut ids: HashSet<WorkflowId> = HashSet::default();
    while let Some(entry) = waiting.pop_front() {
        // A job takes two entries of a transaction: its condition and its value.
        if batch.len() < TXN_ENTRIES / 2 && ids.insert(entry.0.id) {
            batch.push(entry);
        } else {
            later.push_back(entry);
        }
    }
    *waiting = later;
    batch
}

/// Stores a batch; returns the jobs that have to be written again.
async fn store_batch(shared: &Shared, batch: Vec<PendingJob>) -> Vec<PendingJob> {
    let mut retries = Vec::new();
    let mut txn = Txn::default();
    for (flow, _) in &batch {
        let key = job_key(flow.id);
        txn.expected.push((key.clone(), 0));
        txn.puts.push((key, encode(flow), 0));
    }
    let result = shared.store.commit(&txn).await;
    match result {
        Ok(Committed::Done(revision)) => {
            for (flow, answer) in batch {
                info!(job = %flow.id, queue = %flow.queue, revision, "accept: stored.");
                let _ = answer.send(AcceptOutcome::Stored);
            }
        }
        Ok(Committed::Conflict(items)) => {
            let known: HashSet<&str> = items
                .iter()
                .filter(|item| item.revision > 0)
                .map(|item| item.key.as_str())
                .collect();
            for (flow, answer) in batch {
                if known.contains(job_key(flow.id).as_str()) {
                    info!(job = %flow.id, "accept: was stored before.");
                    let _ = answer.send(AcceptOutcome::Duplicate);
                } else if known.is_empty() {
                    let _ = answer.send(AcceptOutcome::Refused);
                } else {
                    retries.push((flow, answer));
                }
            }
        }
        Ok(Committed::NoLease) => answer_all(batch, AcceptOutcome::Refused),
        Err(error) if error.is_not_done() => {
            for (flow, _) in &batch {
                warn!(job = %flow.id, %error, "accept: refused, it is not stored.");
            }
            answer_all(batch, AcceptOutcome::Refused);
        }
        Err(error) => {
            warn!(jobs = batch.len(), %error, "accept: it is not known whether they are stored.");
            let lookups = batch
                .into_iter()
                .map(|(flow, answer)| look_up(shared, flow, answer));
            join_all(lookups).await;
        }
    }
    retries
}

/// Looks whether a job is stored whose write had no answer.
async fn look_up(shared: &Shared, flow: Workflow, answer: oneshot::Sender<AcceptOutcome>) {
    let key = job_key(flow.id);
    let lookup = timeout(
        Duration::from_millis(LOOKUP_TIMEOUT_MS),
        shared.store.get(&key),
    );
    let stored = matches!(lookup.await, Ok(Ok(Some(_))));
    info!(job = %flow.id, stored, "accept: looked it up.");
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
