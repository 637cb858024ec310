//! Giving a waiting job to another pool.

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

use super::{Idle, Loaded, MoveTo, Pool};
use crate::clock::wall_ms;
use crate::jobs::{CommitError, Kept, Records, Writer};

/// How long a job waits before it may be given away.
const MOVE_AFTER: Millis = Millis::from_secs(10);

/// The delay before a write that failed is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// How many jobs are named at a time.
const IDLE_LIMIT: usize = 20;

impl Handler<Idle> for Pool {
    type Return = Vec<Job>;

    async fn handle(&mut self, _: Idle, _: &mut Context<Self>) -> Vec<Job> {
        let before = wall_ms().saturating_sub(MOVE_AFTER.0);
        let idle = |status: &JobStatus| status.job.accepted < before && waits(status);
        let statuses = self.statuses().filter(idle);
        statuses.take(IDLE_LIMIT).map(|status| status.job).collect()
    }
}

/// Returns whether nothing of a job ever started.
fn waits(status: &JobStatus) -> bool {
    status.state == JobState::Queued && status.running == 0 && status.succeeded == 0
}

impl Handler<MoveTo> for Pool {
    type Return = oneshot::Receiver<bool>;

    async fn handle(&mut self, call: MoveTo, context: &mut Context<Self>) -> Self::Return {
        let (done, moved) = oneshot::channel();
        let MoveTo { job, pool } = call;
        let waiting = self.status(job).filter(waits);
        let free = waiting.is_some() && self.loaded && self.scheduler.settled();
        let taken = if free { self.book.take(job) } else { None };
        let Some(kept) = taken else {
            // One who no longer waits needs no word.
            let _ = done.send(false);
            return moved;
        };
        self.decide(Event::Withdraw(job));
        let owner = context.mailbox().address();
        let (writer, records) = (self.writer.clone(), self.records.clone());
        tokio::spawn(async move {
            let recorded = give(&writer, &pool, &kept).await;
            if !recorded {
                take_back(&owner, &records, &writer, &kept).await;
            }
            let _ = done.send(recorded);
        });
        moved
    }
}

async fn give(writer: &Writer, pool: &PoolId, kept: &Kept) -> bool {
    let moved = writer.move_to(pool, &kept.stored, kept.revision).await;
    if let Err(error) = &moved {
        warn!("owner: job {} is not moved: {error}.", kept.stored.job.id);
    }
    moved.is_ok()
}

/// Takes a job in again unless its record has left the pool.
///
/// Its record is written first: a move whose fate is open can then no longer take effect.
async fn take_back(owner: &WeakAddress<Pool>, records: &Records, writer: &Writer, kept: &Kept) {
    let Kept { stored, revision } = kept.clone();
    while owner.is_connected() {
        let found = match writer.update(&stored, revision).await {
            Ok(revision) => Ok(Some(Kept {
                stored: stored.clone(),
                revision,
            })),
            Err(CommitError::Raced) => records.find(writer.pool(), stored.job.id).await,
            Err(error) => Err(error.into()),
        };
        let Ok(found) = found else {
            sleep(RETRY).await;
            continue;
        };
        // If the owner has ended, its successor reads the record.
        let _ = owner.send(Loaded(found.into_iter().collect())).await;
        return;
    }
}
