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
use wigeongate_core::workflow::{
    HostEntry, HostReport, Refusal, StartOrder, StartResult, StopOrder,
};
use wigeongate_platform::executor::{Executors, LookError, Target};

use super::owner::Input;
use super::shared::Shared;

/// How long a look waits for an end, in milliseconds: task leases are renewed that often.
const WAIT_MS: u64 = 1_500;

/// How many orders to one executor are under way at a time: each takes a connection of its own.
const ORDERS: usize = 4;

/// The longest wait for an answer to a look beyond the wait for an end, in milliseconds.
const ANSWER_MS: u64 = 900;

/// The longest wait for the first answer, in milliseconds: a new owner gives a host no work before
/// it has answered, and asks again at once.
const FIRST_MS: u64 = 400;

/// The pause after a failed look, in milliseconds.
const PAUSE_MS: u64 = 150;

/// How long a look waits until earlier ends are written, in milliseconds; without the store it
/// goes on without forgetting.
const WRITTEN_MS: u64 = 400;

/// How much slower an executor's clock may run, in parts of a thousand.
const SLOW_PER_MILLE: u64 = 21;

/// What a lease is prolonged by on this side for the way of an answer, in milliseconds.
const LEASE_MARGIN_MS: u64 = 100;

/// What is known of an executor's clock.
#[derive(Debug, Clone, Copy, Default)]
struct Times {
    /// Its clock in its last answer.
    clock: u64,
    /// When that answer came.
    heard: Millis,
    /// The latest deadline that it was given.
    deadline: u64,
    /// The boot that answered.
    born: u64,
    /// Whether the last look had no answer: leases are prolonged again after the next answer, so
    /// that they end on a host that hears calls and whose answers are lost.
    silent: bool,
}

impl Times {
    /// Returns until when what runs there may go on without another call.
    fn lease(&self) -> Millis {
        let left = self.deadline.saturating_sub(self.clock);
        self.heard + Millis(left + left * SLOW_PER_MILLE / 1_000 + LEASE_MARGIN_MS)
    }
}

#[derive(Debug)]
struct State {
    id: HostId,
    shared: Arc<Shared>,
    executors: Executors,
    target: Mutex<Target>,
    times: Mutex<Times>,
    forget: AtomicU64,
    forgot: Notify,
    /// Whether orders may be given: the ownership is valid.
    valid: Arc<AtomicBool>,
    orders: Semaphore,
    inputs: mpsc::UnboundedSender<Input>,
}

/// The way to one executor; it ends when it is dropped.
#[derive(Debug)]
pub struct HostLink {
    state: Arc<State>,
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
        valid: Arc<AtomicBool>,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        let state = Arc::new(State {
            id: entry.id.clone(),
            executors: Executors::new(shared.http.clone()),
            shared: Arc::clone(shared),
            target: Mutex::new(Target {
                address,
                boot: entry.id.to_string(),
                epoch,
            }),
            times: Mutex::default(),
            forget: AtomicU64::new(0),
            forgot: Notify::new(),
            valid,
            orders: Semaphore::new(ORDERS),
            inputs,
        });
        let stop = CancellationToken::new();
        let looking = Arc::clone(&state);
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = looking.follow() => {}
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
    pub fn forget(&self, born: u64, number: u64) {
        if locked(&self.state.times).born == born {
            self.state.forget.fetch_max(number, Ordering::Relaxed);
            self.state.forgot.notify_one();
        }
    }

    /// Looks at once.
    pub fn look(&self) {
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            state.look(0).await;
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

impl State {
    fn send(&self, input: Input) {
        // The owner's loop has ended when nobody listens.
        let _ = self.inputs.send(input);
    }

    fn target(&self) -> Target {
        locked(&self.target).clone()
    }

    async fn follow(&self) {
        let mut wait_ms = 0;
        while !self.inputs.is_closed() {
            match self.look(wait_ms).await {
                Some(last) => {
                    self.wait_written(last).await;
                    // After the first answer, and after a silence, only the next call prolongs the
                    // leases, and its own answer has to tell so at once.
                    let left = locked(&self.times).lease().since(self.shared.now()).0;
                    wait_ms = if left < 2 * WAIT_MS { 0 } else { WAIT_MS };
                }
                None => sleep(Duration::from_millis(PAUSE_MS)).await,
            }
        }
    }

    /// Waits until ends up to a number are written, so that the next look is not answered with
    /// them again.
    async fn wait_written(&self, last: u64) {
        let written = async {
            while self.forget.load(Ordering::Relaxed) < last {
                self.forgot.notified().await;
            }
        };
        if timeout(Duration::from_millis(WRITTEN_MS), written)
            .await
            .is_err()
        {
            debug!(host = %self.id, last, "hosts: ends are not written yet.");
        }
    }

    /// Looks once; returns the number of the last end listed, or `None` without an answer.
    async fn look(&self, wait_ms: u64) -> Option<u64> {
        let sent = self.shared.now();
        let times = *locked(&self.times);
        let lease_ms = self.shared.settings.bounds.task_lease_ms;
        let deadline = if times.silent {
            (times.deadline > 0).then_some(times.deadline)
        } else {
            (times.clock > 0).then(|| times.clock + sent.since(times.heard).0 + lease_ms)
        };
        let forget = self.forget.load(Ordering::Relaxed);
        let answer_ms = if times.clock == 0 {
            FIRST_MS
        } else {
            ANSWER_MS
        };
        let seen = self
            .executors
            .look(&self.target(), forget, deadline, wait_ms, answer_ms)
            .await;
        let heard = self.shared.now();
        match seen {
            Ok(seen) => {
                let last = seen.ended.last().map_or(0, |ended| ended.number);
                let lease = {
                    let mut times = locked(&self.times);
                    if times.born != seen.born {
                        *times = Times::default();
                        self.forget.store(0, Ordering::Relaxed);
                    }
                    times.born = seen.born;
                    times.silent = false;
                    times.clock = seen.clock;
                    times.heard = heard;
                    // Without a deadline of ours what runs may have the longest lease.
                    let given = deadline.filter(|_| times.deadline > 0 || deadline.is_some());
                    times.deadline = times.deadline.max(given.unwrap_or_default());
                    if times.deadline == 0 {
                        heard + Millis(lease_ms + lease_ms * SLOW_PER_MILLE / 1_000)
                    } else {
                        times.lease()
                    }
                };
                self.send(Input::Look(
                    self.id.clone(),
                    HostReport {
                        boot_ms: seen.born,
                        sent,
                        lease,
                        running: seen.running,
                        ended: seen.ended,
                    },
                ));
                Some(last)
            }
            Err(LookError::Fence(peer)) => {
                info!(host = %self.id, peer, "hosts: a higher epoch was seen.");
                self.send(Input::Fenced);
                None
            }
            Err(error) => {
                debug!(host = %self.id, %error, "hosts: no look.");
                let mut times = locked(&self.times);
                times.silent = true;
                times.deadline = times.deadline.max(deadline.unwrap_or_default());
                let lease = if times.deadline > 0 {
                    times.lease()
                } else {
                    Millis::ZERO
                };
                drop(times);
                self.send(Input::Unanswered(self.id.clone(), lease));
                None
            }
        }
    }

    async fn start(&self, order: StartOrder) {
        let _turn = self.orders.acquire().await;
        let begun = self.shared.now();
        let key = (order.task, order.run);
        let deadline = locked(&self.times).deadline;
        let valid = self.valid.load(Ordering::Relaxed);
        let result = if !valid || deadline == 0 {
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
                self.shared.meters.count("start", &refusal.to_string());
            }
            StartResult::Started => self.shared.meters.count("start", "started"),
            StartResult::Unknown => self.shared.meters.count("start", "unknown"),
        }
        let took = self.shared.now().since(begun);
        self.shared.meters.time("start_call", "all", took);
        self.send(Input::Start(self.id.clone(), key, result));
    }

    async fn stop(&self, order: StopOrder) {
        let _turn = self.orders.acquire().await;
        match self
            .executors
            .stop(&self.target(), order.task, order.run)
            .await
        {
            Ok(true) => self.send(Input::Stopped(
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
