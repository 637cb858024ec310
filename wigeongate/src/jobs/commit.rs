//! Grouped commits: combines many small changes into one transaction, at a bounded rate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::warn;
use wigeongate_core::ids::Unit;

use crate::cluster::Cluster;
use crate::store::{CommitOutcome, Condition, Store, StoreError, Txn, Write};

/// The delay after the first change of a group, in which further changes join the group.
const GROUP_DELAY: Duration = Duration::from_millis(20);

/// The minimum interval between the starts of two grouped transactions.
const COMMIT_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of operations in one transaction. A change counts as the larger of its
/// number of conditions and its number of writes.
const OPERATIONS_LIMIT: usize = 100;

/// The maximum size of the keys and values that one transaction writes, in bytes.
const BYTES_LIMIT: usize = 512 << 10;

/// The maximum number of changes in the channel to the commit task; more are rejected.
const PENDING_LIMIT: usize = 4_096;

/// Writes that take effect together, and only if every condition holds.
#[derive(Debug, Clone, Default)]
pub struct Change {
    /// The keys that must be unchanged.
    pub when: Vec<Condition>,
    /// The writes, applied in one transaction.
    pub writes: Vec<Write>,
}

impl Change {
    /// Returns the size of the keys and values to write, in bytes.
    fn bytes(&self) -> usize {
        let size = |write: &Write| match write {
            Write::Put { key, value } => key.len() + value.len(),
            Write::Delete { key } => key.len(),
        };
        self.writes.iter().map(size).sum()
    }
}

/// The reason why a change was not committed, or has an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum CommitError {
    /// A condition of the change did not hold or the unit has a new owner; nothing was written.
    #[display("recording: another change came first")]
    Raced,
    /// The change was not committed and never will be, for the given reason.
    #[display("recording: {_0}")]
    #[error(ignore)]
    NotDone(String),
    /// The change may have been committed; the reason says what failed.
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

/// A change with the channel that its result goes to.
struct PendingChange {
    change: Change,
    done: oneshot::Sender<Result<i64, CommitError>>,
}

/// A handle to the task that commits the changes of one unit's owner.
#[derive(Debug, Clone)]
pub struct Committer {
    changes: mpsc::Sender<PendingChange>,
}

impl Committer {
    /// Starts the commit task for the owner of `unit`; it ends when every handle is dropped.
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

    /// Commits a change and returns the store revision at which it was made.
    ///
    /// Fails with [`CommitError::Raced`] when a condition does not hold, with
    /// [`CommitError::NotDone`] when too many changes are waiting or this gate no longer owns the
    /// unit, and with [`CommitError::Unknown`] when the store's answer or the commit task is lost.
    pub async fn commit(&self, change: Change) -> Result<i64, CommitError> {
        let (done, result) = oneshot::channel();
        let full =
            |_| CommitError::NotDone("too many changes are waiting to be committed".to_owned());
        self.changes
            .try_send(PendingChange { change, done })
            .map_err(full)?;
        let gone =
            |_| CommitError::Unknown("the gate stopped before the result was known".to_owned());
        result.await.map_err(gone)?
    }
}

/// The task that groups the changes of one unit's owner and commits them.
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
            // One stale change must not fail the others, so each change is committed by itself.
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

    /// Commits a group in one transaction, on the condition that this gate still owns the unit.
    async fn attempt(&self, group: &[PendingChange]) -> Result<i64, CommitError> {
        let changes = || group.iter().map(|one| &one.change);
        let mut txn = Txn {
            when: changes().flat_map(|change| change.when.clone()).collect(),
            writes: changes().flat_map(|change| change.writes.clone()).collect(),
        };
        if self.cluster.may_act(&self.unit).is_none() {
            let reason = format!("this gate no longer owns {}", self.unit);
            return Err(CommitError::NotDone(reason));
        }
        txn.when.extend(self.cluster.guard(&self.unit));
        match self.store.commit(txn).await {
            Ok(CommitOutcome::Committed(revision)) => Ok(revision),
            Ok(CommitOutcome::Conflict) => Err(CommitError::Raced),
            Err(error) => {
                warn!("jobs: a commit failed, and its callers get the error: {error}.");
                Err(error.into())
            }
        }
    }
}

/// Removes as many changes from the front as fit into one transaction, but at least one.
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
