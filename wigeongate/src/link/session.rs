//! A session of a link: from fencing the worker until the worker is lost or restarts, or another
//! owner takes over.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};
use wigeongate_api::worker::{Orders, ReportQuery, WorkerClock};
use wigeongate_core::ids::{Epoch, HostId};

use super::queue::{Batch, OrderQueue};
use super::{LEASE_MARGIN, LinkEvents, LinkSettings, RETRY_DELAY};
use crate::worker::{OrdersAnswer, WorkerPort};

/// The time that the worker may hold a report request while nothing changes, in milliseconds.
const REPORT_WAIT_MS: u64 = 5_000;

/// The number of renewals sent in the time of one lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// The reason why a session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionEnd {
    /// The worker's process has restarted.
    Restarted,
    /// Every lease on the worker has expired.
    Lost,
    /// The worker has seen a newer epoch.
    Stale(Epoch),
}

/// The newest known reading of the worker's clock, and the latest end of the worker's leases.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: WorkerClock,
    /// The time by which every lease on the worker has expired.
    leases_end: Instant,
}

/// The state of a link; each run fences the worker and lasts until a [`SessionEnd`].
pub struct Session {
    settings: LinkSettings,
    port: Arc<dyn WorkerPort>,
    events: Arc<dyn LinkEvents>,
    queue: Arc<OrderQueue>,
    reading: Mutex<ClockReading>,
    /// Whether the owner was notified that the leases have expired.
    loss_reported: bool,
}

impl Session {
    /// Creates the state of a link that has not reached its worker yet. Leases of a former owner
    /// may run until its last possible renewal plus one lease.
    pub fn new(
        settings: LinkSettings,
        port: Arc<dyn WorkerPort>,
        events: Arc<dyn LinkEvents>,
        queue: Arc<OrderQueue>,
    ) -> Self {
        let reading = ClockReading {
            clock: WorkerClock::default(),
            leases_end: Instant::now() + settings.quiet + settings.lease + LEASE_MARGIN,
        };
        Self {
            settings,
            port,
            events,
            queue,
            reading: Mutex::new(reading),
            loss_reported: false,
        }
    }

    /// Returns the worker.
    pub const fn host(&self) -> &HostId {
        &self.settings.host
    }

    /// Returns the interface to the owner.
    pub fn events(&self) -> &dyn LinkEvents {
        self.events.as_ref()
    }

    /// Fences the worker, then sends orders and receives reports until either of them ends.
    pub async fn run(&mut self) -> SessionEnd {
        if let Err(end) = self.deliver(OrderQueue::renewal).await {
            return end;
        }
        self.loss_reported = false;
        tokio::select! {
            end = self.send_orders() => end,
            end = self.receive_reports() => end,
        }
    }

    /// Notifies the owner once that every lease on the worker has expired, and drops the queued
    /// orders.
    pub async fn report_loss(&mut self) {
        if !self.loss_reported {
            self.loss_reported = true;
            let host = self.host().clone();
            warn!("link: worker {host} is silent and its leases have expired; its tasks are lost.");
            self.events.lost(host).await;
        }
        self.queue.clear();
    }

    /// Sends orders as they are queued, and renewals in between, until the session ends.
    async fn send_orders(&self) -> SessionEnd {
        let every = self.settings.lease / RENEWALS_PER_LEASE;
        loop {
            let _ = timeout(every, self.queue.wait()).await;
            if let Err(end) = self.deliver(OrderQueue::next).await {
                return end;
            }
        }
    }

    /// Sends batches from `next` until the worker accepts one or every lease has expired.
    async fn deliver(&self, next: impl Fn(&OrderQueue) -> Batch) -> Result<(), SessionEnd> {
        loop {
            if Instant::now() > self.reading().leases_end {
                return Err(SessionEnd::Lost);
            }
            if self.send_batch(next(&self.queue)).await? {
                return Ok(());
            }
        }
    }

    /// Sends a batch once and returns whether the worker accepted it. Sends nothing while the owner
    /// may not act under the link's epoch.
    async fn send_batch(&self, batch: Batch) -> Result<bool, SessionEnd> {
        let Batch { number, orders, .. } = batch;
        let epoch = self.settings.epoch;
        let orders = Orders {
            epoch,
            batch: number,
            last_clock: self.reading().clock,
            lease: self.settings.lease.into(),
            orders,
        };
        if self.events.may_act() != Some(epoch) {
            sleep(RETRY_DELAY).await;
            return Ok(false);
        }
        match self.port.order(&orders).await {
            Ok(OrdersAnswer::Accepted(reply)) => {
                self.queue.accept(number);
                self.update_clock(reply.clock)?;
                Ok(true)
            }
            Ok(OrdersAnswer::Stale(reply)) if reply.epoch > epoch => {
                Err(SessionEnd::Stale(reply.epoch))
            }
            Ok(OrdersAnswer::Stale(reply)) => {
                self.update_clock(reply.clock)?;
                Ok(false)
            }
            Err(error) => {
                debug!("link: {error:#}.");
                sleep(RETRY_DELAY).await;
                Ok(false)
            }
        }
    }

    /// Requests reports until the session ends. Passes those to the owner that are of the link's
    /// epoch and either full or not empty.
    async fn receive_reports(&self) -> SessionEnd {
        let mut since = None;
        loop {
            let query = ReportQuery {
                since: since.unwrap_or_default(),
                wait_ms: since.map_or(0, |_| REPORT_WAIT_MS),
            };
            match self.port.report(query).await {
                Ok(report) => {
                    if let Err(end) = self.update_clock(report.clock) {
                        return end;
                    }
                    if report.epoch != self.settings.epoch {
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                    since = Some(report.seq);
                    if report.full || !report.tasks.is_empty() {
                        self.events.reported(report).await;
                    }
                }
                Err(error) => {
                    debug!("link: {error:#}.");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn reading(&self) -> ClockReading {
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a reading of the worker's clock unless a newer one is known, and extends the time by
    /// which the leases have expired. Fails when the reading is from a restarted worker.
    fn update_clock(&self, clock: WorkerClock) -> Result<(), SessionEnd> {
        let span: Duration = self.settings.lease + LEASE_MARGIN;
        let mut reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        let known = reading.clock.incarnation;
        if clock.incarnation == known && clock.time <= reading.clock.time {
            return Ok(());
        }
        reading.clock = clock;
        reading.leases_end = reading.leases_end.max(Instant::now() + span);
        if known != 0 && known != clock.incarnation {
            return Err(SessionEnd::Restarted);
        }
        Ok(())
    }
}
