//! The link from an owner to one worker: orders go out, reports come in.
//!
//! The epoch is raised on the worker before its first report is read, so that a former owner's
//! orders are refused from then on.

mod queue;
mod session;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tracing::warn;
use wigeongate_api::worker::{Order, WorkerReport};
use wigeongate_core::ids::{Epoch, HostId};

use self::queue::OrderQueue;
use self::session::{Session, SessionEnd};
use crate::worker::WorkerPort;

/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How much longer than its lease a silent worker's tasks count as running.
const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// What a link asks and tells its owner.
pub trait LinkEvents: Send + Sync + 'static {
    /// Returns the epoch under which orders may be sent at this moment.
    fn may_act(&self) -> Option<Epoch>;

    /// The worker reported; it is known to be fenced.
    fn reported(&self, report: WorkerReport) -> BoxFuture<'_, ()>;

    /// The leases of everything on the worker have run out; orders that were queued until this
    /// returns are dropped.
    fn lost(&self, host: HostId) -> BoxFuture<'_, ()>;

    /// The worker has seen a newer epoch.
    fn stale(&self, host: HostId, epoch: Epoch) -> BoxFuture<'_, ()>;
}

/// The settings of a link.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The worker.
    pub host: HostId,
    /// The epoch of the ownership that the orders are given under.
    pub epoch: Epoch,
    /// How long the leases of tasks run.
    pub lease: Duration,
    /// How long from now a former owner may still renew leases on the worker.
    pub quiet: Duration,
}

/// A link to one worker; it ends when it is dropped.
#[derive(Debug)]
pub struct Link {
    queue: Arc<OrderQueue>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a link.
    pub fn start(
        settings: LinkSettings,
        port: Arc<dyn WorkerPort>,
        events: Arc<dyn LinkEvents>,
    ) -> Self {
        let queue = Arc::new(OrderQueue::default());
        let session = Session::new(settings, port, events, queue.clone());
        let task = tokio::spawn(run(session));
        Self { queue, task }
    }

    /// Queues an order; `start` is the number of a start order and zero for any other.
    pub fn order(&self, order: Order, start: u64) {
        self.queue.push(order, start);
    }

    /// Returns the largest number of a start that a worker which has taken `batch` has seen.
    pub fn last_start(&self, batch: u64) -> u64 {
        self.queue.last_start(batch)
    }
}

async fn run(mut session: Session) {
    loop {
        match session.run().await {
            SessionEnd::Restarted => {}
            SessionEnd::Lost => session.report_loss().await,
            SessionEnd::Stale(epoch) => {
                let host = session.host().clone();
                warn!("link: worker {host} has seen epoch {epoch}, which is newer.");
                session.events().stale(host, epoch).await;
                return;
            }
        }
        sleep(RETRY_DELAY).await;
    }
}
