//! Grouped commits: many small changes in one transaction, at a bounded rate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::warn;
use wigeongate_core::ids::Unit;

use crate::cluster::Cluster;
use crate::store::{Committed, Store, StoreError, Txn, Unchanged, Write};

/// How long the first change of a group waits for others.
const GROUP_DELAY: Duration = Duration::from_millis(20);

/// The shortest time between two transactions.
const COMMIT_INTERVAL: Duration = Duration::from_millis(100);

/// How many operations, conditions and writes each, one transaction carries at most.
const OPERATIONS_LIMIT: usize = 100;

/// How many bytes of values one transaction carries at most.
const BYTES_LIMIT: usize = 512 << 10;

/// How many changes wait at most.
const PENDING_LIMIT: usize = 4_096;

/// Writes that take effect together when every condition holds.
#[derive(Debug, Clone, Default)]
pub struct Change {
    /// The conditions.
    pub when: Vec<Unchanged>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Change {
    fn bytes(&self) -> usize {
        let size = |write: &Write| match write {
            Write::Put { key, value } => key.len() + value.len(),
            Write::Delete { key } => key.len(),
        };
        self.writes.iter().map(size).sum()
    }
}

/// Why a change was not made, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum CommitError {
    /// A condition did not hold.
    #[display("recording: another change came first")]
    Raced,
    /// It was not made and will not be.
    #[display("recording: {_0}")]
    #[error(ignore)]
    NotDone(String),
    /// It may have been made.
    #[display("recording: {_0}")]
    #[error(ignore)]
    Unknown(String),
}

impl From<StoreError> for CommitError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::NoEffect { .. } => Self::NotDone(error.to_string()),
            StoreError::Unknown { .. } => Self::Unknown(error.to_string()),
        }
    }
}

struct PendingChange {
    change: Change,
    done: oneshot::Sender<Result<i64, CommitError>>,
}

/// Commits the changes of one unit's owner.
#[derive(Debug, Clone)]
pub struct Committer {
    changes: mpsc::Sender<PendingChange>,
}

impl Committer {
    /// Starts committing for the owner of `unit`.
    pub fn start(store: Arc<dyn Store>, cluster: Arc<dyn Cluster>, unit: Unit) -> Self {
        let (changes, receiver) = mpsc::channel(PENDING_LIMIT);
        let task = CommitTask {
            store,
            cluster,
            unit,
        };
        tokio::spawn(task.run(receiver));
        Self { changes }
    }

    /// Makes a change and returns the store's revision of it.
    pub async fn commit(&self, change: Change) -> Result<i64, CommitError> {
        let (done, result) = oneshot::channel();
        let full = |_| CommitError::NotDone("too many changes wait".to_owned());
        self.changes
            .try_send(PendingChange { change, done })
            .map_err(full)?;
        let gone = |_| CommitError::Unknown("the gate is stopping".to_owned());
        result.await.map_err(gone)?
    }
}

struct CommitTask {
    store: Arc<dyn Store>,
    cluster: Arc<dyn Cluster>,
    unit: Unit,
}

impl CommitTask {
    async fn run(self, mut changes: mpsc::Receiver<PendingChange>) {
        let mut pending: VecDeque<PendingChange> = VecDeque::new();
        let mut earliest = Instant::now();
        loop {
            if pending.is_empty() {
                let Some(first) = changes.recv().await else {
                    return;
                };
                pending.push_back(first);
                sleep(GROUP_DELAY).await;
            }
            sleep_until(earliest).await;
            while let Ok(more) = changes.try_recv() {
                pending.push_back(more);
            }
            earliest = Instant::now() + COMMIT_INTERVAL;
            self.commit(next_group(&mut pending)).await;
        }
    }

    async fn commit(&self, group: Vec<PendingChange>) {
        let result = self.attempt(&group).await;
        if result == Err(CommitError::Raced) && group.len() > 1 {
            // One stale change must not spoil the others: each goes alone.
            for one in group {
                let result = self.attempt(std::slice::from_ref(&one)).await;
                let _ = one.done.send(result);
            }
            return;
        }
        for one in group {
            let _ = one.done.send(result.clone());
        }
    }

    async fn attempt(&self, group: &[PendingChange]) -> Result<i64, CommitError> {
        let changes = || group.iter().map(|one| &one.change);
        let mut txn = Txn {
            when: changes().flat_map(|change| change.when.clone()).collect(),
            writes: changes().flat_map(|change| change.writes.clone()).collect(),
        };
        if self.cluster.may_act(&self.unit).is_none() {
            let reason = format!("{} is no longer owned", self.unit);
            return Err(CommitError::NotDone(reason));
        }
        txn.when.extend(self.cluster.guard(&self.unit));
        match self.store.commit(txn).await {
            Ok(Committed::Yes(revision)) => Ok(revision),
            Ok(Committed::No) => Err(CommitError::Raced),
            Err(error) => {
                warn!("jobs: {error}.");
                Err(error.into())
            }
        }
    }
}

/// Takes as many changes as one transaction carries, at least one.
fn next_group(pending: &mut VecDeque<PendingChange>) -> Vec<PendingChange> {
    let mut group = Vec::new();
    let (mut operations, mut bytes) = (1, 0);
    while let Some(next) = pending.front() {
        let change = &next.change;
        operations += change.when.len().max(change.writes.len());
        bytes += change.bytes();
        let full = operations > OPERATIONS_LIMIT || bytes > BYTES_LIMIT;
        if full && !group.is_empty() {
            break;
        }
        group.extend(pending.pop_front());
    }
    group
}
