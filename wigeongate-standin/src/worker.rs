//! A worker of the platform: it runs tasks under leases and reports on them.
//!
//! Tasks are played: `sleep MS` ends well after that many milliseconds, `fail` ends badly,
//! `serve` runs until it is stopped; anything else ends well at once.

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
    Order, Orders, OrdersReply, ReportQuery, TaskLine, TaskState, WorkerClock, WorkerReport,
};
use wigeongate_core::ids::{Attempt, Epoch, HostId, TaskId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

use crate::history::{History, HistoryEvent, TaskStart};
use crate::serve::{ServerHandle, serve};

/// How often tasks and leases are looked at.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);

/// The largest body, in bytes.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// The sequence number before any change; zero asks for everything.
const FIRST_SEQ: u64 = 1;

#[derive(Debug)]
struct Task {
    attempt: Attempt,
    size: Resources,
    state: TaskState,
    /// When it ends by itself.
    planned_end: Option<(Instant, TaskState)>,
    /// The sequence number of its last change.
    seq: u64,
}

#[derive(Debug, Default)]
struct Inner {
    epoch: Epoch,
    /// The newest batch of orders taken under `epoch`.
    batch: u64,
    seq: u64,
    host: HostId,
    /// Where starts and ends are written down.
    history: Option<Arc<History>>,
    /// When the leases of all tasks run out, by the worker's clock.
    lease_end: Millis,
    tasks: BTreeMap<TaskId, Task>,
}

/// A worker in memory.
#[derive(Debug)]
pub struct Worker {
    host: HostId,
    capacity: Resources,
    incarnation: u64,
    started: Instant,
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Worker {
    /// Makes a worker that runs nothing.
    pub fn new(host: HostId, capacity: Resources) -> Arc<Self> {
        Self::build(host, capacity, None)
    }

    /// Makes a worker that writes down each start and end.
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

    /// Serves the worker on `address`.
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

    fn apply_orders(&self, orders: Orders, now: Instant) -> Response {
        let Orders {
            epoch,
            batch,
            heard,
            lease,
            orders,
        } = orders;
        let clock = self.clock();
        let lease_end = heard.time + lease;
        let lease_valid = heard.incarnation == clock.incarnation && lease_end > clock.time;
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
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

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
            // Say once more where it stands: the sender may not have heard.
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

    /// Stops an earlier attempt of a task that is about to start.
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
        let line = |(id, task): (&TaskId, &Task)| TaskLine {
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
