//! Accepts jobs: each is stored before its caller is told so.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};
use wigeongate_core::collections::HashSet;
use wigeongate_core::workflow::{Workflow, WorkflowId};
use wigeongate_platform::store::{Committed, TXN_ENTRIES, Txn};

use super::records::{encode, job_key};
use super::shared::Shared;

/// How many jobs may wait to be stored; more are refused.
const QUEUE_JOBS: usize = 512;

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// It is stored.
    New,
    /// It was stored before.
    Known,
    /// It is not stored and will not be.
    Refused,
    /// It may be stored, now or later.
    Unknown,
}

type Entry = (Workflow, oneshot::Sender<Accepted>);

/// The way to the acceptor.
#[derive(Debug, Clone)]
pub struct Acceptor(mpsc::Sender<Entry>);

impl Acceptor {
    /// Starts the acceptor.
    pub fn start(shared: Arc<Shared>) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_JOBS);
        tokio::spawn(run(shared, receiver));
        Self(sender)
    }

    /// Stores a job.
    pub async fn accept(&self, flow: Workflow) -> Accepted {
        let (answer, answered) = oneshot::channel();
        if self.0.try_send((flow, answer)).is_err() {
            return Accepted::Refused;
        }
        answered.await.unwrap_or(Accepted::Unknown)
    }
}

async fn run(shared: Arc<Shared>, mut receiver: mpsc::Receiver<Entry>) {
    let mut waiting: VecDeque<Entry> = VecDeque::new();
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
        store_batch(&shared, batch, &mut waiting).await;
    }
}

/// Takes as many jobs as one write holds, each identifier once.
fn take_batch(waiting: &mut VecDeque<Entry>) -> Vec<Entry> {
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

async fn store_batch(shared: &Shared, batch: Vec<Entry>, waiting: &mut VecDeque<Entry>) {
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
                let _ = answer.send(Accepted::New);
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
                    let _ = answer.send(Accepted::Known);
                } else if known.is_empty() {
                    let _ = answer.send(Accepted::Refused);
                } else {
                    waiting.push_back((flow, answer));
                }
            }
        }
        Ok(Committed::NoLease) => answer_all(batch, Accepted::Refused),
        Err(error) if error.is_not_done() => {
            for (flow, _) in &batch {
                warn!(job = %flow.id, %error, "accept: refused, it is not stored.");
            }
            answer_all(batch, Accepted::Refused);
        }
        Err(error) => {
            for (flow, answer) in batch {
                warn!(job = %flow.id, %error, "accept: it is not known whether it is stored.");
                let found = shared.store.get(&job_key(flow.id)).await;
                let stored = matches!(found, Ok(Some(_)));
                info!(job = %flow.id, stored, "accept: looked it up.");
                let _ = answer.send(if stored {
                    Accepted::Known
                } else {
                    Accepted::Unknown
                });
            }
        }
    }
}

fn answer_all(batch: Vec<Entry>, accepted: Accepted) {
    for (_, answer) in batch {
        let _ = answer.send(accepted);
    }
}
