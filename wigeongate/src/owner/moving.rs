//! Moves a waiting job from its pool to another one.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;
use tracing::warn;
use wigeongate_core::ids::PoolId;
use wigeongate_core::job::{Job, JobState, JobStatus};
use wigeongate_core::scheduler::Event;
use wigeongate_core::time::Millis;
use xtra::WeakAddress;
use xtra::prelude::*;

use super::{ListIdle, MoveJob, PoolOwner, RecordsLoaded};
use crate::clock::wall_ms;
use crate::jobs::{CommitError, RecordReader, RecordWriter, VersionedRecord};

/// The time after its acceptance from which a waiting job may be moved.
const MOVE_DELAY: Millis = Millis::from_secs(10);

/// The delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The maximum number of jobs in one reply.
const IDLE_LIMIT: usize = 20;

impl Handler<ListIdle> for PoolOwner {
    type Return = Vec<Job>;

    async fn handle(&mut self, _: ListIdle, _: &mut Context<Self>) -> Vec<Job> {
        let before = wall_ms().saturating_sub(MOVE_DELAY.0);
        let idle = |status: &JobStatus| status.job.accepted < before && never_started(status);
        let statuses = self.statuses().filter(idle);
        statuses.take(IDLE_LIMIT).map(|status| status.job).collect()
    }
}

/// Returns whether no task of a job has ever started.
fn never_started(status: &JobStatus) -> bool {
    status.state == JobState::Queued && status.running == 0 && status.succeeded == 0
}

impl Handler<MoveJob> for PoolOwner {
    type Return = oneshot::Receiver<bool>;

    async fn handle(&mut self, call: MoveJob, context: &mut Context<Self>) -> Self::Return {
        let (done, moved) = oneshot::channel();
        let MoveJob { job, pool } = call;
        let waiting = self.status(job).filter(never_started);
        let movable = waiting.is_some() && self.loaded && self.scheduler.settled();
        let taken = if movable {
            self.jobs.take_clean(job)
        } else {
            None
        };
        let Some(versioned) = taken else {
            // A caller that no longer waits can be ignored.
            let _ = done.send(false);
            return moved;
        };
        self.decide(Event::Withdraw(job));
        let owner = context.mailbox().address();
        let (writer, records) = (self.writer.clone(), self.records.clone());
        tokio::spawn(async move {
            let recorded = write_move(&writer, &pool, &versioned).await;
            if !recorded {
                restore(&owner, &records, &writer, &versioned).await;
            }
            let _ = done.send(recorded);
        });
        moved
    }
}

/// Moves a job's record to another pool and returns whether that is known to be recorded.
async fn write_move(writer: &RecordWriter, pool: &PoolId, versioned: &VersionedRecord) -> bool {
    let moved = writer
        .move_to(pool, &versioned.record, versioned.revision)
        .await;
    if let Err(error) = &moved {
        warn!(
            "owner: moving job {} to pool {pool} failed; checking where its record is: {error}.",
            versioned.record.job.id
        );
    }
    moved.is_ok()
}

/// Restores a job to its owner unless its record has left the pool.
///
/// The record is written first, so that a move with an unknown outcome can no longer take
/// effect.
async fn restore(
    owner: &WeakAddress<PoolOwner>,
    records: &RecordReader,
    writer: &RecordWriter,
    versioned: &VersionedRecord,
) {
    let VersionedRecord { record, revision } = versioned.clone();
    while owner.is_connected() {
        let found = match writer.update(&record, revision).await {
            Ok(revision) => Ok(Some(VersionedRecord {
                record: record.clone(),
                revision,
            })),
            Err(CommitError::Raced) => records.find(writer.pool(), record.job.id).await,
            Err(error) => Err(error.into()),
        };
        let Ok(found) = found else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        // If the owner has stopped, its successor reads the record.
        let _ = owner.send(RecordsLoaded(found.into_iter().collect())).await;
        return;
    }
}
