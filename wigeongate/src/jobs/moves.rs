//! Moves jobs that have waited too long to pools that could start them.

use std::time::Duration;

use tokio::time::interval;
use tracing::{debug, info};
use wigeongate_core::ids::{JobId, PoolId};
use wigeongate_core::placement_router::{self as router, PlacementRequest};

use super::JobDispatcher;
use super::dispatcher::CALL_TIMEOUT;
use crate::message::jobs::JobCall;
use crate::owner::{ListIdle, MoveJob};

/// The interval between two scans of the waiting jobs.
const SCAN_INTERVAL: Duration = Duration::from_secs(5);

impl JobDispatcher {
    /// Moves jobs of this gate's pools that have waited too long, except while automatic actions
    /// are paused; runs until it is dropped.
    pub async fn run_moves(&self) {
        let mut every = interval(SCAN_INTERVAL);
        loop {
            every.tick().await;
            let live = self.configurations.live();
            if live.policy.paused {
                continue;
            }
            for pool in self.owned_pools() {
                self.move_from(&pool).await;
            }
        }
    }

    async fn move_from(&self, pool: &PoolId) {
        let Some(owner) = self.pools.get(pool) else {
            return;
        };
        let Ok(idle) = owner.send(ListIdle).await else {
            return;
        };
        for job in idle {
            let wanted = PlacementRequest {
                spec: &job.spec,
                kind: job.kind,
            };
            let Some(to) = router::better_pool(wanted, pool, &self.views(&job.team)) else {
                continue;
            };
            let call = MoveJob {
                job: job.id,
                pool: to.clone(),
            };
            let Ok(moved) = owner.send(call).await else {
                return;
            };
            if moved.await == Ok(true) {
                info!(
                    "jobs: job {} moved from pool {pool} to pool {to}, which could start it.",
                    job.id
                );
                self.notify_owner(to, job.id).await;
            }
        }
    }

    /// Notifies a pool's owner of a job that was moved there. If the call fails, the owner finds
    /// the record when it next reads its records.
    async fn notify_owner(&self, pool: PoolId, job: JobId) {
        let reply = self.call(JobCall::Moved { pool, job }, CALL_TIMEOUT).await;
        debug!("jobs: notified the new owner of moved job {job}: {reply:?}.");
    }
}
