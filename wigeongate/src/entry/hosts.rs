//! The owner's way to one executor: looks, and orders a few at a time.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::{debug, info};
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{HostEntry, Look, Refusal, StartOrder, StartResult, StopOrder};
use wigeongate_platform::executor::{Executors, LookError, Target};

use super::owner::OwnerEvent;
use super::shared::Shared;

/// How long a look waits for an end, in milliseconds: task leases are renewed that often.
const POLL_WAIT_MS: u64 = 1_500;

/// How many orders to one executor are under way at a time: each takes a connection of its own.
const MAX_PARALLEL_ORDERS: usize = 4;

/// The longest wait for an answer to a look beyond the wait for an end, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 900;

/// The longest wait for the first answer, in milliseconds: a new owner gives a host no work before
/// it has answered, and asks again at once.
const FIRST_ANSWER_TIMEOUT_MS: u64 = 400;

/// The pause after a failed look, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// How long a look waits until earlier ends are written, in milliseconds; without the store it
/// goes on without forgetting.
const LOG_WRITE_TIMEOUT_MS: u64 = 400;

/// How much slower an executor's clock may run, in parts of a thousand.
const CLOCK_DRIFT_PER_MILLE: u64 = 21;

/// What a lease is prolonged by on this side for the way of an answer, in milliseconds.
const LEASE_MARGIN_MS: u64 = 100;

/// What is known of an executor's clock.
#[derive(Debug, Clone, Copy, Default)]
struct ExecutorClock {
    /// Its clock in its last answer.
    clock: u64,
    /// When that answer came.
    received: Millis,
    /// The latest deadline that it was given.
    deadline: u64,
    /// The boot that answered.
    born: u64,
    /// Whether the last look had no answer: leases are prolonged again after the next answer, so
    /// that they end on a host that hears calls and whose answers are lost.
    unanswered: bool,
}

impl ExecutorClock {
    /// Returns until when what runs there may go on without another call.
    fn lease_end(&self) -> Millis {
        let left = self.deadline.saturating_sub(self.clock);
        self.received + Millis(left + left * CLOCK_DRIFT_PER_MILLE / 1_000 + LEASE_MARGIN_MS)
    }
}

#[derive(Debug)]
struct LinkState {
    id: HostId,
    shared: Arc<Shared>,
    executors: Executors,
    target: Mutex<Target>,
    executor_clock: Mutex<ExecutorClock>,
    acked_end: AtomicU64,
    acknowledged: Notify,
    /// Whether orders may be given: the ownership is valid.
    orders_allowed: Arc<AtomicBool>,
    order_slots: Semaphore,
    events: mpsc::UnboundedSender<OwnerEvent>,
}

/// The way to one executor; it ends when it is dropped.
#[derive(Debug)]
pub struct HostLink {
    state: Arc<LinkState>,
    _stop: DropGuard,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HostLink {
    /// Opens the way to an executor under an epoch.
    pub fn open(
        shared: &Arc<Shared>,
        entry: &HostEntry,
        address: String,
        epoch: u64,
        orders_allowed: Arc<AtomicBool>,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        let state = Arc::new(LinkState {
            id: entry.id.clone(),
            executors: Executors::new(shared.http.clone()),
            shared: Arc::clone(shared),
            target: Mutex::new(Target {
                address,
                boot: entry.id.to_string(),
                epoch,
            }),
            executor_clock: Mutex::default(),
            acked_end: AtomicU64::new(0),
            acknowledged: Notify::new(),
            orders_allowed,
            order_slots: Semaphore::new(MAX_PARALLEL_ORDERS),
            events,
        });
        let stop = CancellationToken::new();
        let poller = Arc::clone(&state);
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = poller.follow() => {}
                () = stopped.cancelled() => {}
            }
        });
        Self {
            state,
            _stop: stop.drop_guard(),
        }
    }

    /// Takes in a new address.
    pub fn set_address(&self, address: &str) {
        let mut target = locked(&self.state.target);
        if target.address != address {
            address.clone_into(&mut target.address);
        }
    }

    /// Lets the executor forget ends of a boot up to a number.
    pub fn acknowledge_ends(&self, born: u64, number: u64) {
        if locked(&self.state.executor_clock).born == born {
            self.state.acked_end.fetch_max(number, Ordering::Relaxed);
            self.state.acknowledged.notify_one();
        }
    }

    /// Looks at once.
    pub fn poll(&self) {
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            state.poll(0).await;
        });
    }

    /// Orders a start.
    pub fn start(&self, order: StartOrder) {
        let state = Arc::clone(&self.state);
        tokio::spawn(async move { state.start(order).await });
    }

    /// Orders a stop.
    pub fn stop(&self, order: StopOrder) {
        let state = Arc::clone(&self.state);
        tokio::spawn(async move { state.stop(order).await });
    }
}

impl LinkState {
    fn send(&self, event: OwnerEvent) {
        // The owner's loop has ended when nobody listens.
        let _ = self.events.send(event);
    }

    fn target(&self) -> Target {
        locked(&self.target).clone()
    }

    async fn follow(&self) {
        let mut wait_ms = 0;
        while !self.events.is_closed() {
            match self.poll(wait_ms).await {
                Some(last) => {
                    self.wait_acknowledged(last).await;
                    // After the first answer, and after a silence, only the next call prolongs the
                    // leases, and its own answer has to tell so at once.
                    let left = locked(&self.executor_clock)
                        .lease_end()
                        .since(self.shared.now())
                        .0;
                    wait_ms = if left < 2 * POLL_WAIT_MS {
                        0
                    } else {
                        POLL_WAIT_MS
                    };
                }
                None => sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
            }
        }
    }

    /// Waits until ends up to a number are written, so that the next look is not answered with
    /// them again.
    async fn wait_acknowledged(&self, last: u64) {
        let written = async {
            while self.acked_end.load(Ordering::Relaxed) < last {
                self.acknowledged.notified().await;
            }
        };
        if timeout(Duration::from_millis(LOG_WRITE_TIMEOUT_MS), written)
            .await
            .is_err()
        {
            debug!(host = %self.id, last, "hosts: ends are not written yet.");
        }
    }

    /// Looks once; returns the number of the last end listed, or `None` without an answer.
    async fn poll(&self, wait_ms: u64) -> Option<u64> {
        let sent = self.shared.now();
        let executor_clock = *locked(&self.executor_clock);
        let lease_ms = self.shared.settings.bounds.task_lease_ms;
        let deadline = if executor_clock.unanswered {
            (executor_clock.deadline > 0).then_some(executor_clock.deadline)
        } else {
            (executor_clock.clock > 0)
                .then(|| executor_clock.clock + sent.since(executor_clock.received).0 + lease_ms)
        };
        let acked_end = self.acked_end.load(Ordering::Relaxed);
        let answer_ms = if executor_clock.clock == 0 {
            FIRST_ANSWER_TIMEOUT_MS
        } else {
            ANSWER_TIMEOUT_MS
        };
        let report = self
            .executors
            .look(&self.target(), acked_end, deadline, wait_ms, answer_ms)
            .await;
        let received = self.shared.now();
        match report {
            Ok(report) => {
                let last = report.ended.last().map_or(0, |ended| ended.number);
                let lease = {
                    let mut executor_clock = locked(&self.executor_clock);
                    if executor_clock.born != report.born {
                        *executor_clock = ExecutorClock::default();
                        self.acked_end.store(0, Ordering::Relaxed);
                    }
                    executor_clock.born = report.born;
                    executor_clock.unanswered = false;
                    executor_clock.clock = report.clock;
                    executor_clock.received = received;
                    // Without a deadline of ours what runs may have the longest lease.
                    let given =
                        deadline.filter(|_| executor_clock.deadline > 0 || deadline.is_some());
                    executor_clock.deadline =
                        executor_clock.deadline.max(given.unwrap_or_default());
                    if executor_clock.deadline == 0 {
                        received + Millis(lease_ms + lease_ms * CLOCK_DRIFT_PER_MILLE / 1_000)
                    } else {
                        executor_clock.lease_end()
                    }
                };
                self.send(OwnerEvent::HostReported(
                    self.id.clone(),
                    Look {
                        born: report.born,
                        sent,
                        lease,
                        running: report.running,
                        ended: report.ended,
                    },
                ));
                Some(last)
            }
            Err(LookError::Fence(peer)) => {
                info!(host = %self.id, peer, "hosts: a higher epoch was seen.");
                self.send(OwnerEvent::Fenced);
                None
            }
            Err(error) => {
                debug!(host = %self.id, %error, "hosts: no look.");
                let mut executor_clock = locked(&self.executor_clock);
                executor_clock.unanswered = true;
                executor_clock.deadline = executor_clock.deadline.max(deadline.unwrap_or_default());
                let lease = if executor_clock.deadline > 0 {
                    executor_clock.lease_end()
                } else {
                    Millis::ZERO
                };
                drop(executor_clock);
                self.send(OwnerEvent::HostSilent(self.id.clone(), lease));
                None
            }
        }
    }

    async fn start(&self, order: StartOrder) {
        let _slot = self.order_slots.acquire().await;
        let started = self.shared.now();
        let key = (order.task, order.run);
        let deadline = locked(&self.executor_clock).deadline;
        let orders_allowed = self.orders_allowed.load(Ordering::Relaxed);
        let result = if !orders_allowed || deadline == 0 {
            StartResult::Refused(Refusal::NotSent)
        } else {
            match self.executors.start(&self.target(), &order, deadline).await {
                Ok(result) => result,
                Err(error) => {
                    info!(task = %order.task, run = order.run, %error, "hosts: start in doubt.");
                    StartResult::Unknown
                }
            }
        };
        match result {
            StartResult::Refused(refusal) => {
                info!(task = %order.task, run = order.run, host = %self.id, %refusal,
                    "hosts: start refused.");
                self.shared.metrics.count("start", &refusal.to_string());
            }
            StartResult::Started => self.shared.metrics.count("start", "started"),
            StartResult::Unknown => self.shared.metrics.count("start", "unknown"),
        }
        let took = self.shared.now().since(started);
        self.shared
            .metrics
            .record_duration("start_call", "all", took);
        self.send(OwnerEvent::StartAnswered(self.id.clone(), key, result));
    }

    async fn stop(&self, order: StopOrder) {
        let _slot = self.order_slots.acquire().await;
        match self
            .executors
            .stop(&self.target(), order.task, order.run)
            .await
        {
            Ok(true) => self.send(OwnerEvent::StopAnswered(
                self.id.clone(),
                (order.task, order.run),
                self.shared.now(),
            )),
            Ok(false) => info!(task = %order.task, run = order.run, host = %self.id,
                "hosts: stop refused."),
            Err(error) => info!(task = %order.task, run = order.run, %error,
                "hosts: stop without an answer."),
        }
    }
}
