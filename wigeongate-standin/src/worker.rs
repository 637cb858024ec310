//! Stand-in for a worker of the platform, which runs tasks under leases and reports their state.
//!
//! Tasks are simulated: `sleep MS` succeeds after that many milliseconds, `fail` fails
//! immediately, `serve` runs until it is stopped, and any other command succeeds immediately.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use tokio::sync::watch;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use wigeongate_api::worker::{
    Order, Orders, OrdersReply, ReportQuery, TaskEntry, TaskState, WorkerClock, WorkerReport,
};
use wigeongate_core::ids::{Attempt, Epoch, HostId, TaskId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

use crate::history::{History, HistoryEvent, TaskStart};
use crate::serve::{ServerHandle, serve};

/// Interval between checks for tasks and leases that have ended.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a request body, in bytes.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// Sequence number before any change; a report query since zero requests all tasks.
const FIRST_SEQ: u64 = 1;

#[derive(Debug)]
struct Task {
    attempt: Attempt,
    size: Resources,
    state: TaskState,
    /// Time at which the task ends by itself, and its state then; `None` if it runs on.
    planned_end: Option<(Instant, TaskState)>,
    /// Sequence number of the last change.
    seq: u64,
}

/// Mutable state of a worker.
#[derive(Debug, Default)]
struct Inner {
    /// Newest epoch seen.
    epoch: Epoch,
    /// Number of the newest batch of orders received under `epoch`.
    batch: u64,
    /// Sequence number of the newest change to any task.
    seq: u64,
    host: HostId,
    /// History in which task starts and ends are recorded.
    history: Option<Arc<History>>,
    /// Time on the worker's clock at which the leases of all tasks expire.
    lease_end: Millis,
    tasks: BTreeMap<TaskId, Task>,
}

/// In-memory worker.
#[derive(Debug)]
pub struct Worker {
    host: HostId,
    capacity: Resources,
    /// Random number that distinguishes this worker from an earlier one on the same host.
    incarnation: u64,
    started: Instant,
    inner: Mutex<Inner>,
    /// Newest sequence number, for reports that wait for a change.
    changed: watch::Sender<u64>,
}

impl Worker {
    /// Creates a worker without tasks.
    pub fn new(host: HostId, capacity: Resources) -> Arc<Self> {
        Self::build(host, capacity, None)
    }

    /// Creates a worker that records the start and end of each task in `history`.
    pub fn with_history(host: HostId, capacity: Resources, history: Arc<History>) -> Arc<Self> {
        Self::build(host, capacity, Some(history))
    }

    fn build(host: HostId, capacity: Resources, history: Option<Arc<History>>) -> Arc<Self> {
        Arc::new(Self {
            host: host.clone(),
            capacity,
            incarnation: rand::random(),
            started: Instant::now(),
            inner: Mutex::new(Inner {
                seq: FIRST_SEQ,
                host,
                history,
                ..Inner::default()
            }),
            changed: watch::Sender::new(FIRST_SEQ),
        })
    }

    /// Starts serving the worker on `address` and ending its tasks when they are due.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn(self: &Arc<Self>, address: SocketAddr) -> Result<ServerHandle> {
        let worker = Arc::downgrade(self);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SCAN_INTERVAL).await;
                let Some(worker) = worker.upgrade() else {
                    return;
                };
                let clock = worker.clock();
                worker.with(|inner| inner.end_due_tasks(Instant::now(), clock.time));
            }
        });
        serve(address, routes(self.clone())).await
    }

    /// Runs `work` on the state and notifies waiting reports if the sequence number has changed.
    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let before = inner.seq;
        let result = work(&mut inner);
        let after = inner.seq;
        drop(inner);
        if after != before {
            self.changed.send_replace(after);
        }
        result
    }

    fn clock(&self) -> WorkerClock {
        WorkerClock {
            incarnation: self.incarnation,
            time: self.started.elapsed().into(),
        }
    }

    /// Applies a batch of orders and renews the leases.
    ///
    /// Refuses the whole batch with status 409 if its epoch is stale, its lease has expired or its
    /// clock reading is from another incarnation of the worker. The orders of a batch that is not
    /// newer than the last one are skipped.
    fn apply_orders(&self, orders: Orders, now: Instant) -> Response {
        let Orders {
            epoch,
            batch,
            last_clock,
            lease,
            orders,
        } = orders;
        let clock = self.clock();
        let lease_end = last_clock.time + lease;
        let lease_valid = last_clock.incarnation == clock.incarnation && lease_end > clock.time;
        let reply = self.with(|inner| {
            if epoch < inner.epoch || !lease_valid {
                return Err(OrdersReply {
                    epoch: inner.epoch,
                    clock,
                    refused: Vec::new(),
                });
            }
            if epoch > inner.epoch {
                inner.batch = 0;
            }
            inner.epoch = epoch;
            inner.lease_end = inner.lease_end.max(lease_end);
            let new_batch = batch > inner.batch;
            inner.batch = inner.batch.max(batch);
            let refused = orders
                .into_iter()
                .filter(|_| new_batch)
                .map(|order| inner.apply_order(order, &self.capacity, now))
                .collect();
            Ok(OrdersReply {
                epoch,
                clock,
                refused,
            })
        });
        match reply {
            Ok(reply) => warp::reply::json(&reply).into_response(),
            Err(reply) => {
                let body = warp::reply::json(&reply);
                warp::reply::with_status(body, StatusCode::CONFLICT).into_response()
            }
        }
    }

    /// Returns the tasks changed since `query.since`; waits up to `wait_ms` for a change.
    async fn report(&self, query: ReportQuery) -> Response {
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(query.wait_ms);
        let newer = changed.wait_for(|seq| *seq > query.since);
        let _ = tokio::time::timeout(wait, newer).await;
        let report = self.with(|inner| inner.report(&self.host, self.clock(), query.since));
        warp::reply::json(&report).into_response()
    }
}

impl Inner {
    /// Increments the sequence number and returns it.
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Applies one order; returns the reason if it is refused.
    fn apply_order(&mut self, order: Order, capacity: &Resources, now: Instant) -> Option<String> {
        match order {
            Order::Start {
                task,
                attempt,
                size,
                command,
            } => self.start(task, attempt, size, &command, capacity, now),
            Order::Checkpoint { task, attempt } | Order::Stop { task, attempt } => {
                self.stop(task, attempt)
            }
            Order::Throttle { .. } => None,
            Order::Forget { task, attempt } => {
                self.forget(task, attempt);
                None
            }
        }
    }

    fn start(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        size: Resources,
        command: &[String],
        capacity: &Resources,
        now: Instant,
    ) -> Option<String> {
        if let Some(task) = self.tasks.get_mut(&id).filter(|t| t.attempt >= attempt) {
            // Report the state of the task again: the sender may have missed the last report.
            self.seq += 1;
            task.seq = self.seq;
            return None;
        }
        self.stop_earlier_attempt(id);
        let used: Resources = self
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Running)
            .map(|task| task.size)
            .sum();
        let seq = self.next_seq();
        let fits = used.saturating_add(&size).fits_in(capacity);
        let refusal = (!fits).then(|| "the worker is full".to_owned());
        let (state, planned_end) = match &refusal {
            Some(reason) => (TaskState::Refused(reason.clone()), None),
            None => (TaskState::Running, planned_end(command, now)),
        };
        if state == TaskState::Running {
            self.record(HistoryEvent::Started(TaskStart {
                host: self.host.clone(),
                task: id,
                attempt,
                size,
                epoch: self.epoch,
            }));
        }
        self.tasks.insert(
            id,
            Task {
                attempt,
                size,
                state,
                planned_end,
                seq,
            },
        );
        refusal
    }

    /// Stops an earlier attempt of a task before a new attempt starts.
    fn stop_earlier_attempt(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get(&id) else {
            return;
        };
        if task.state == TaskState::Running {
            let attempt = task.attempt;
            self.stop(id, attempt);
        }
    }

    fn stop(&mut self, id: TaskId, attempt: Attempt) -> Option<String> {
        let seq = self.next_seq();
        let task = self.tasks.get_mut(&id)?;
        if task.attempt == attempt && task.state == TaskState::Running {
            task.state = TaskState::Stopped;
            task.seq = seq;
            self.record_end(id, attempt, TaskState::Stopped);
        }
        None
    }

    fn forget(&mut self, id: TaskId, attempt: Attempt) {
        let ended = |task: &Task| task.attempt <= attempt && task.state != TaskState::Running;
        if self.tasks.get(&id).is_some_and(ended) {
            self.tasks.remove(&id);
        }
    }

    /// Ends the tasks that have completed, or all running tasks if their leases have expired.
    fn end_due_tasks(&mut self, now: Instant, time: Millis) {
        let lease_expired = self.lease_end <= time;
        let running = |(_, task): &(&TaskId, &Task)| task.state == TaskState::Running;
        let completed = |task: &Task| task.planned_end.as_ref().is_some_and(|(at, _)| *at <= now);
        let due: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(running)
            .filter(|(_, task)| lease_expired || completed(task))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.end_task(id, lease_expired);
        }
    }

    fn end_task(&mut self, id: TaskId, lease_expired: bool) {
        let seq = self.next_seq();
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        let ended = task.planned_end.take().filter(|_| !lease_expired);
        task.state = ended.map_or(TaskState::Stopped, |(_, state)| state);
        task.seq = seq;
        let (attempt, state) = (task.attempt, task.state.clone());
        self.record_end(id, attempt, state);
    }

    fn record_end(&self, task: TaskId, attempt: Attempt, state: TaskState) {
        self.record(HistoryEvent::Ended {
            host: self.host.clone(),
            task,
            attempt,
            state,
        });
    }

    fn record(&self, event: HistoryEvent) {
        if let Some(history) = &self.history {
            history.add(event);
        }
    }

    fn report(&self, host: &HostId, clock: WorkerClock, since: u64) -> WorkerReport {
        let lines = self.tasks.iter().filter(|(_, task)| task.seq > since);
        let line = |(id, task): (&TaskId, &Task)| TaskEntry {
            task: *id,
            attempt: task.attempt,
            size: task.size,
            usage: task.size,
            state: task.state.clone(),
        };
        WorkerReport {
            host: host.clone(),
            epoch: self.epoch,
            batch: self.batch,
            clock,
            seq: self.seq,
            full: since == 0,
            tasks: lines.map(line).collect(),
        }
    }
}

/// Returns when the simulated command ends and in which state; `None` if it runs until stopped.
fn planned_end(command: &[String], now: Instant) -> Option<(Instant, TaskState)> {
    let words: Vec<&str> = command.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["sleep", ms, ..] => {
            let span = Duration::from_millis(ms.parse().unwrap_or_default());
            Some((now + span, TaskState::Succeeded))
        }
        ["fail", ..] => Some((now, TaskState::Failed("the program returned 1".to_owned()))),
        ["serve", ..] => None,
        _ => Some((now, TaskState::Succeeded)),
    }
}

fn routes(
    worker: Arc<Worker>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync {
    let with = warp::any().map(move || worker.clone());
    let orders = warp::post()
        .and(warp::path!("v1" / "orders"))
        .and(warp::body::content_length_limit(BODY_LIMIT_BYTES))
        .and(warp::body::json())
        .and(with.clone())
        .map(|orders, worker: Arc<Worker>| worker.apply_orders(orders, Instant::now()));
    let report = warp::get()
        .and(warp::path!("v1" / "report"))
        .and(warp::query())
        .and(with)
        .then(|query, worker: Arc<Worker>| async move { worker.report(query).await });
    orders
        .or(report)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
}
