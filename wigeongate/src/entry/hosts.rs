//! The owner's connection to one executor: polls its runs and sends it a few orders at a time.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::{debug, info};
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    HostEntry, HostLease, HostReport, NextOrder, OrderQueue, PollFailure, Refusal, StartLease,
    StartOrder, StartResult, StopOrder, WaitingStart,
};
use wigeongate_platform::executor::{ExecutorClient, PollError, Target};
use wigeongate_platform::http::CallError;

use super::owner_event::OwnerEvent;
use super::shared::Shared;

/// How long a poll waits for a run to end, in milliseconds. Task leases are renewed at this
/// interval.
const POLL_WAIT_MS: u64 = 1_500;

/// The timeout of a poll beyond its wait for the end of a run, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 900;

/// The timeout of the first poll, in milliseconds. It is short because a new owner gives a host no
/// work before the first answer, and polls again soon.
const FIRST_ANSWER_TIMEOUT_MS: u64 = 400;

/// The delay after a failed poll, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// The delay after the connection of a poll broke, in milliseconds: the next one shows whether the
/// executor's process has ended.
const BROKEN_DELAY_MS: u64 = 20;

/// The longest delay of the next poll until the log holds the ends that the last poll returned, in
/// milliseconds. While the store is unavailable, polls continue after this delay and the executor
/// keeps these ends.
const LOG_WRITE_TIMEOUT_MS: u64 = 400;

/// The time after which a poll counts as held by the executor, in milliseconds; a connection that was
/// closed before breaks sooner.
const HELD_MS: u64 = 50;

#[derive(Debug)]
struct LinkState {
    id: HostId,
    shared: Arc<Shared>,
    executors: ExecutorClient,
    target: Mutex<Target>,
    lease: Mutex<HostLease>,
    /// Wakes when the executor may forget more ends, since they are in the log.
    acknowledged: Notify,
    /// Whether the newest poll was answered; each change is logged once.
    answering: AtomicBool,
    /// Whether orders may be sent, which requires that the ownership is valid.
    orders_allowed: Arc<AtomicBool>,
    /// The latest end of a task lease that may be granted, in milliseconds of the gate's clock.
    last_grant: Arc<AtomicU64>,
    orders: Mutex<OrderQueue>,
    events: mpsc::UnboundedSender<OwnerEvent>,
}

/// What the next poll depends on.
#[derive(Debug)]
struct Answer {
    /// The number of the last end in the answer; zero without ends.
    last_end: u64,
    /// Whether the executor may hold more ends than it listed.
    has_more_ends: bool,
}

/// A connection to one executor, which is polled until the link is dropped.
#[derive(Debug)]
pub struct HostLink {
    state: Arc<LinkState>,
    _stop: DropGuard,
}

/// Returns what a poll that failed after a time says of the executor, `None` if it answered.
fn failure_of(error: &PollError, took: Millis) -> Option<PollFailure> {
    match error {
        PollError::Replaced(_) => Some(PollFailure::Replaced),
        PollError::Call(CallError::NotSent { refused: true, .. }) => Some(PollFailure::Refused),
        PollError::Call(CallError::NoResponse { late: false, .. }) if took.0 < HELD_MS => {
            Some(PollFailure::Closed)
        }
        PollError::Call(_) => Some(PollFailure::NoAnswer),
        PollError::Fenced(_) | PollError::Refused { .. } | PollError::Unreadable { .. } => None,
    }
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HostLink {
    /// Opens a link to an executor and starts to poll it; every call carries the epoch.
    pub fn open(
        shared: &Arc<Shared>,
        entry: &HostEntry,
        epoch: u64,
        orders_allowed: Arc<AtomicBool>,
        last_grant: Arc<AtomicU64>,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        let state = Arc::new(LinkState {
            id: entry.id.clone(),
            executors: ExecutorClient::new(shared.http.clone()),
            shared: Arc::clone(shared),
            target: Mutex::new(Target {
                address: entry.address.clone(),
                boot: entry.id.to_string(),
                epoch,
            }),
            lease: Mutex::new(HostLease::new(Millis(shared.settings.bounds.task_lease_ms))),
            acknowledged: Notify::new(),
            answering: AtomicBool::new(false),
            orders_allowed,
            last_grant,
            orders: Mutex::default(),
            events,
        });
        let stop = CancellationToken::new();
        let poller = Arc::clone(&state);
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = poller.poll_until_closed() => {}
                () = stopped.cancelled() => {}
            }
        });
        Self {
            state,
            _stop: stop.drop_guard(),
        }
    }

    /// Applies a change of the executor's entry in the registry.
    pub fn update(&self, entry: &HostEntry) {
        let mut target = locked(&self.state.target);
        if target.address != entry.address {
            target.address.clone_from(&entry.address);
        }
        locked(&self.state.lease).set_departing(entry.draining);
    }

    /// Acknowledges the ends up to a number, which the executor then drops; ignored unless the
    /// executor's last answer came from the same boot.
    pub fn acknowledge_ends(&self, boot_ms: u64, number: u64) {
        if locked(&self.state.lease).acknowledge(boot_ms, number) {
            self.state.acknowledged.notify_one();
        }
    }

    /// Polls the executor once, without waiting for a run to end.
    pub fn poll(&self) {
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            // A failure is sent to the owner as an event, and the next regular poll follows.
            let _ = state.poll(0).await;
        });
    }

    /// Sends an order to start a run when its turn comes; the owner gets the result as an event.
    pub fn start(&self, order: StartOrder) {
        // The scheduler counts the run as ended once the leases of this moment have expired.
        let lease = locked(&self.state.lease).plan_start();
        locked(&self.state.orders).push_start(WaitingStart { order, lease });
        self.state.send_orders();
    }

    /// Takes back the start of a run if it was not sent yet, and else sends an order to stop the run; the
    /// owner gets an event when the executor accepts it.
    pub fn stop(&self, order: StopOrder) {
        let withdrawn = locked(&self.state.orders).push_stop(order);
        self.state.refuse_starts(withdrawn, Refusal::Withdrawn);
        self.state.send_orders();
    }

    /// Takes back the starts that were not sent yet; the owner gets the results as events.
    pub fn withdraw_starts(&self) {
        let withdrawn = locked(&self.state.orders).withdraw_starts();
        self.state.refuse_starts(withdrawn, Refusal::Withdrawn);
    }
}

impl LinkState {
    fn send(&self, event: OwnerEvent) {
        // Fails only after the owner's loop has ended.
        let _ = self.events.send(event);
    }

    fn target(&self) -> Target {
        locked(&self.target).clone()
    }

    async fn poll_until_closed(&self) {
        let mut wait_ms = 0;
        while !self.events.is_closed() {
            match self.poll(wait_ms).await {
                Ok(answer) => {
                    let is_acknowledged = self.wait_acknowledged(answer.last_end).await;
                    // After the first answer, and after a poll without an answer, only the next
                    // poll extends the leases. It must not wait for a run to end, so that its
                    // answer confirms the extension at once.
                    let until = locked(&self.lease).confirmed_until();
                    let left = until.since(self.shared.now()).0;
                    let has_next_page = is_acknowledged && answer.has_more_ends;
                    wait_ms = if left < 2 * POLL_WAIT_MS || has_next_page {
                        0
                    } else {
                        POLL_WAIT_MS
                    };
                    if wait_ms == 0 && !has_next_page && self.is_limited() {
                        // Only a renewal of the ownership lets the next poll extend the leases.
                        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    }
                }
                Err(delay_ms) => {
                    wait_ms = 0;
                    sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    fn last_grant(&self) -> Millis {
        Millis(self.last_grant.load(Ordering::Relaxed))
    }

    /// Returns whether a full lease can no longer be granted.
    fn is_limited(&self) -> bool {
        let task_lease_ms = self.shared.settings.bounds.task_lease_ms;
        self.last_grant().since(self.shared.now()).0 < task_lease_ms
    }

    /// Waits until the ends up to a number are acknowledged, so that the next answer does not list
    /// them again; returns whether they are.
    async fn wait_acknowledged(&self, last: u64) -> bool {
        let written = async {
            while locked(&self.lease).acknowledged() < last {
                self.acknowledged.notified().await;
            }
        };
        let limit = Duration::from_millis(LOG_WRITE_TIMEOUT_MS);
        let is_acknowledged = timeout(limit, written).await.is_ok();
        if !is_acknowledged {
            debug!(host = %self.id, last,
                "hosts: the log does not hold the last ends yet; polling again.");
        }
        is_acknowledged
    }

    /// Polls once. Fails with the delay until the next poll, in milliseconds.
    async fn poll(&self, wait_ms: u64) -> Result<Answer, u64> {
        let sent = self.shared.now();
        let (poll, has_answered) = {
            let mut lease = locked(&self.lease);
            (
                lease.begin_poll(sent, self.last_grant()),
                lease.has_answered(),
            )
        };
        // The executor may carry out the poll long before its answer arrives.
        self.send(OwnerEvent::PollSent(self.id.clone(), poll.runs_until));
        let answer_ms = if has_answered {
            ANSWER_TIMEOUT_MS
        } else {
            FIRST_ANSWER_TIMEOUT_MS
        };
        let report = self
            .executors
            .poll(
                &self.target(),
                poll.acknowledged,
                poll.deadline,
                wait_ms,
                answer_ms,
            )
            .await;
        let received = self.shared.now();
        match report {
            Ok(report) => {
                let last = report.ended.last().map_or(0, |ended| ended.number);
                if !self.answering.swap(true, Ordering::Relaxed) {
                    info!(host = %self.id, boot_ms = report.boot_ms,
                        "hosts: the executor answers polls.");
                }
                let lease = locked(&self.lease).record_answer(
                    poll,
                    report.boot_ms,
                    report.clock_ms,
                    received,
                );
                self.send(OwnerEvent::HostReported(
                    self.id.clone(),
                    HostReport {
                        boot_ms: report.boot_ms,
                        sent,
                        lease,
                        running: report.running,
                        ended: report.ended,
                        has_more_ends: report.has_more_ends,
                    },
                ));
                Ok(Answer {
                    last_end: last,
                    has_more_ends: report.has_more_ends,
                })
            }
            Err(PollError::Fenced(peer)) => {
                info!(host = %self.id, peer,
                    "hosts: the executor has seen a higher epoch; this owner stops.");
                self.send(OwnerEvent::Fenced);
                Err(RETRY_DELAY_MS)
            }
            Err(error) => Err(self.record_failure(&error, received.since(sent))),
        }
    }

    /// Handles a poll that failed after a time; returns the delay until the next one, in milliseconds.
    fn record_failure(&self, error: &PollError, took: Millis) -> u64 {
        if self.answering.swap(false, Ordering::Relaxed) {
            info!(host = %self.id, %error, "hosts: the executor stopped answering polls.");
        } else {
            debug!(host = %self.id, %error, "hosts: the poll failed; trying again.");
        }
        locked(&self.lease).record_silence();
        if let Some(failure) = failure_of(error, took) {
            self.send(OwnerEvent::PollFailed(self.id.clone(), failure));
        }
        let is_broken = matches!(
            error,
            PollError::Call(CallError::NoResponse { late: false, .. })
        );
        if is_broken {
            BROKEN_DELAY_MS
        } else {
            RETRY_DELAY_MS
        }
    }

    /// Sends the orders whose turn has come, and refuses those that have waited for too long.
    fn send_orders(self: &Arc<Self>) {
        loop {
            let now = self.shared.now();
            let (expired, next) = {
                let mut orders = locked(&self.orders);
                (orders.withdraw_expired(now), orders.take_next())
            };
            self.refuse_starts(expired, Refusal::Held);
            let Some(next) = next else { return };
            let state = Arc::clone(self);
            tokio::spawn(async move {
                match next {
                    NextOrder::Start(start) => {
                        state.start(start).await;
                        locked(&state.orders).finish_start();
                    }
                    NextOrder::Stop(stop) => {
                        state.stop(stop).await;
                        locked(&state.orders).finish_stop();
                    }
                }
                state.send_orders();
            });
        }
    }

    /// Tells the owner that starts were never sent and will not be.
    fn refuse_starts(&self, orders: impl IntoIterator<Item = StartOrder>, refusal: Refusal) {
        for order in orders {
            let result = StartResult::Refused(refusal);
            self.report_start(&order, result);
        }
    }

    async fn start(&self, start: WaitingStart) {
        let WaitingStart { order, lease } = start;
        let started = self.shared.now();
        let may_send =
            |start: &StartLease| locked(&self.lease).may_send(start, started, self.last_grant());
        // Nobody learns of a run that is started after the owner has ended.
        let orders_allowed =
            self.orders_allowed.load(Ordering::Relaxed) && !self.events.is_closed();
        let result = match lease.filter(|start| orders_allowed && may_send(start)) {
            None => StartResult::Refused(Refusal::Held),
            Some(StartLease { deadline, .. }) => {
                match self.executors.start(&self.target(), &order, deadline).await {
                    Ok(result) => result,
                    Err(error) => {
                        info!(task = %order.task, run = order.run, %error,
                        "hosts: the outcome of the start is unknown.");
                        StartResult::Unknown
                    }
                }
            }
        };
        let took = self.shared.now().since(started);
        self.shared
            .metrics
            .record_duration("start_call", "all", took);
        self.report_start(&order, result);
    }

    /// Logs and counts the result of a start, and sends it to the owner.
    fn report_start(&self, order: &StartOrder, result: StartResult) {
        match result {
            StartResult::Refused(refusal) => {
                info!(task = %order.task, run = order.run, host = %self.id, %refusal,
                    "hosts: the start was refused.");
                self.shared.metrics.count("start", &refusal.to_string());
            }
            StartResult::Started => self.shared.metrics.count("start", "started"),
            StartResult::Unknown => self.shared.metrics.count("start", "unknown"),
        }
        let run = (order.task, order.run);
        self.send(OwnerEvent::StartAnswered(self.id.clone(), run, result));
    }

    async fn stop(&self, order: StopOrder) {
        let sent = self.shared.now();
        match self
            .executors
            .stop(&self.target(), order.task, order.run)
            .await
        {
            Ok(true) => self.send(OwnerEvent::StopAnswered(
                self.id.clone(),
                (order.task, order.run),
                sent,
                self.shared.now(),
            )),
            Ok(false) => info!(task = %order.task, run = order.run, host = %self.id,
                "hosts: the executor refused the stop."),
            Err(error) => info!(task = %order.task, run = order.run, %error,
                "hosts: the stop got no answer; the owner orders it again."),
        }
    }
}
