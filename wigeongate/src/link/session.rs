//! One run of a link: from the fence to the loss or restart of the worker.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};
use wigeongate_api::worker::{Orders, ReportQuery, WorkerClock};
use wigeongate_core::ids::{Epoch, HostId};

use super::queue::{Batch, OrderQueue};
use super::{LEASE_MARGIN, LinkEvents, LinkSettings, RETRY_DELAY};
use crate::worker::{OrdersAnswer, WorkerPort};

/// How long a report may wait for a change, in milliseconds.
const REPORT_WAIT_MS: u64 = 5_000;

/// How many renewals fit in the lease of a task.
const RENEWALS_PER_LEASE: u32 = 3;

/// Why a run of a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionEnd {
    /// The worker's process is another one than before.
    Restarted,
    /// Every lease on the worker has run out.
    Lost,
    /// The worker has seen a newer epoch.
    Stale(Epoch),
}

/// The newest reading of the worker's clock, and when its leases run out at the latest.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: WorkerClock,
    /// No lease on the worker ends later.
    leases_end: Instant,
}

/// A link between its fences.
pub struct Session {
    settings: LinkSettings,
    port: Arc<dyn WorkerPort>,
    events: Arc<dyn LinkEvents>,
    queue: Arc<OrderQueue>,
    reading: Mutex<ClockReading>,
    /// Whether the owner was told that the leases have run out.
    loss_reported: bool,
}

impl Session {
    /// Makes a link that has heard nothing.
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

    /// Returns the owner's ear.
    pub fn events(&self) -> &dyn LinkEvents {
        self.events.as_ref()
    }

    /// Fences the worker, then exchanges orders and reports until something ends it.
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

    /// Tells the owner that nothing runs on the worker any longer and drops what was queued.
    pub async fn report_loss(&mut self) {
        if !self.loss_reported {
            self.loss_reported = true;
            let host = self.host().clone();
            warn!("link: worker {host} is silent and its leases have run out.");
            self.events.lost(host).await;
        }
        self.queue.clear();
    }

    async fn send_orders(&self) -> SessionEnd {
        let every = self.settings.lease / RENEWALS_PER_LEASE;
        loop {
            let _ = timeout(every, self.queue.wait()).await;
            if let Err(end) = self.deliver(OrderQueue::next).await {
                return end;
            }
        }
    }

    /// Sends a batch until the worker takes it.
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

    /// Sends a batch once and returns whether the worker has taken it.
    async fn send_batch(&self, batch: Batch) -> Result<bool, SessionEnd> {
        let Batch { number, orders, .. } = batch;
        let epoch = self.settings.epoch;
        let orders = Orders {
            epoch,
            batch: number,
            heard: self.reading().clock,
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

    /// Notes a reading of the worker's clock, unless it is older than the newest one.
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
