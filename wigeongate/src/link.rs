//! The link from a pool's owner to one worker: sends orders and receives reports.
//!
//! The link raises the epoch on the worker before it reads the first report. From then on the
//! worker refuses the orders of a former owner.

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

/// The time after the end of its lease for which a silent worker's tasks still count as running.
const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// The interface by which a link queries and notifies the pool's owner.
pub trait LinkEvents: Send + Sync + 'static {
    /// Returns the epoch under which orders may be sent now; `None` when none may be.
    fn may_act(&self) -> Option<Epoch>;

    /// Handles a report of the worker, which is fenced against former owners by then.
    fn reported(&self, report: WorkerReport) -> BoxFuture<'_, ()>;

    /// Handles the end of every lease on the worker. Orders that are queued before this returns are
    /// dropped.
    fn lost(&self, host: HostId) -> BoxFuture<'_, ()>;

    /// Handles the news that the worker has seen a newer epoch; the link ends after it.
    fn stale(&self, host: HostId, epoch: Epoch) -> BoxFuture<'_, ()>;
}

/// The settings of a link.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The worker.
    pub host: HostId,
    /// The epoch of the ownership under which orders are sent.
    pub epoch: Epoch,
    /// The duration of a task's lease.
    pub lease: Duration,
    /// The time from now in which a former owner may still renew leases on the worker.
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
    /// Starts a link to the worker behind `port`.
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

    /// Queues an order; `start` is the number of a start order and zero for any other order.
    pub fn order(&self, order: Order, start: u64) {
        self.queue.push(order, start);
    }

    /// Returns the largest number of a start order that the worker has received once it has
    /// accepted `batch`.
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
                warn!("link: worker {host} has seen the newer epoch {epoch}; the link ends.");
                session.events().stale(host, epoch).await;
                return;
            }
        }
        sleep(RETRY_DELAY).await;
    }
}
