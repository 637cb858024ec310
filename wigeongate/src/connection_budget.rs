//! A bound on what the connections of one listener hold.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Display;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wigeongate_core::collections::HashMap;
use wigeongate_core::time::Millis;

/// What a connection holds without a request, in bytes: its task, and the read buffer of hyper,
/// which keeps 8 KiB and grows to 16 KiB.
pub const CONNECTION_BYTES: u64 = 16 << 10;

/// How many bytes of a body count as progress. With fewer, a client that sends a byte at a time
/// would always seem to make progress.
const PROGRESS_BYTES: u64 = 1_024;

/// The time that every connection counts as stalled in addition, in milliseconds, so that the one
/// that holds most is closed if none has stalled.
const STALL_BASE_MS: u64 = 250;

/// Why a connection was closed or a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum CloseReason {
    /// It held the most for the longest time when the budget was short.
    #[display("budget")]
    Budget,
    /// Every other connection waits for the gate, so that it found no room.
    #[display("full")]
    Full,
    /// The head took too long.
    #[display("slow head")]
    SlowHead,
    /// The body took too long.
    #[display("slow body")]
    SlowBody,
    /// The head was too large.
    #[display("large head")]
    LargeHead,
    /// The body was too large.
    #[display("large body")]
    LargeBody,
    /// No request arrived within the idle timeout.
    #[display("idle")]
    Idle,
}

/// A connection that was closed, or whose request was refused.
#[derive(Debug, Clone, Copy)]
pub struct ClosedConnection {
    /// The cause.
    pub reason: CloseReason,
    /// The address of the client.
    pub peer: SocketAddr,
    /// What it held, in bytes.
    pub held: u64,
    /// The time since it last made progress.
    pub stalled: Millis,
}

/// Learns of connections that are closed, of requests that are refused, and of what is held.
pub trait BudgetObserver: std::fmt::Debug + Send + Sync {
    /// Records a closed connection or a refused request.
    fn record_closed(&self, closed: &ClosedConnection);

    /// Records the number of open connections and what they hold, in bytes.
    fn record_usage(&self, connections: usize, bytes: u64);
}

/// The most that the connections of one listener hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// The number of connections.
    pub connections: usize,
    /// The sum of what they hold, in bytes.
    pub bytes: u64,
}

/// The longest times without progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallLimits {
    /// From the first byte of a head to its end.
    pub head: Millis,
    /// Between requests, or without a byte of a body.
    pub idle: Millis,
}

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The gate's answer.
    Answer,
}

impl Phase {
    const ALL: [Self; 4] = [Self::Idle, Self::Head, Self::Body, Self::Answer];
}

/// What one connection holds, and since when it has made no progress.
#[derive(Debug)]
pub struct Connection {
    id: u64,
    peer: SocketAddr,
    budget: Arc<ConnectionBudget>,
    /// Invariant: the budget's sum changes by the same amount at each change.
    held: AtomicU64,
    phase: AtomicU8,
    /// The requests that are not answered; with HTTP/2 there may be several.
    requests: AtomicU32,
    /// The bodies that are not complete.
    bodies: AtomicU32,
    /// When it last made progress, in milliseconds of the budget's clock.
    progress_ms: AtomicU64,
    /// When the last byte arrived, on the same clock.
    byte_ms: AtomicU64,
    /// The bytes of the body since it last made progress.
    unrewarded: AtomicU64,
    closing: CancellationToken,
    /// Wakes when the body has stalled for too long.
    stalled: Notify,
}

/// An open connection; what it holds is free again on drop.
#[derive(Debug)]
pub struct OpenConnection(Arc<Connection>);

/// What the connections of one listener hold together.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: BudgetLimits,
    observer: Arc<dyn BudgetObserver>,
    held: AtomicU64,
    /// A clock that follows the time in steps and stands still while the process does, so that
    /// clients are not blamed for it.
    clock_ms: AtomicU64,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next: u64,
    /// Invariant: none of them is closing.
    by_id: HashMap<u64, Arc<Connection>>,
}

impl ConnectionBudget {
    /// Creates a budget without connections.
    pub fn new(limits: BudgetLimits, observer: Arc<dyn BudgetObserver>) -> Arc<Self> {
        Arc::new(Self {
            limits,
            observer,
            held: AtomicU64::new(0),
            clock_ms: AtomicU64::new(0),
            open: Mutex::default(),
        })
    }

    fn open_connections(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.clock_ms.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections and what they hold, in bytes.
    pub fn usage(&self) -> (usize, u64) {
        let open = self.open_connections().by_id.len();
        (open, self.held.load(Ordering::Relaxed))
    }

    /// Adds a connection; if the budget is short, closes others for it. Returns nothing if every
    /// other connection waits for the gate.
    pub fn open(self: &Arc<Self>, peer: SocketAddr) -> Option<OpenConnection> {
        while self.open_connections().by_id.len() >= self.limits.connections {
            if !self.close_worst() {
                self.refuse(peer);
                return None;
            }
        }
        let now_ms = self.now_ms();
        let mut open = self.open_connections();
        open.next += 1;
        let connection = Arc::new(Connection {
            id: open.next,
            peer,
            budget: Arc::clone(self),
            held: AtomicU64::new(0),
            phase: AtomicU8::new(Phase::Idle as u8),
            requests: AtomicU32::new(0),
            bodies: AtomicU32::new(0),
            progress_ms: AtomicU64::new(now_ms),
            byte_ms: AtomicU64::new(now_ms),
            unrewarded: AtomicU64::new(0),
            closing: CancellationToken::new(),
            stalled: Notify::new(),
        });
        let id = open.next;
        open.by_id.insert(id, Arc::clone(&connection));
        drop(open);
        let connection = OpenConnection(connection);
        if connection.0.charge(CONNECTION_BYTES) {
            return Some(connection);
        }
        self.refuse(peer);
        None
    }

    fn refuse(&self, peer: SocketAddr) {
        self.observer.record_closed(&ClosedConnection {
            reason: CloseReason::Full,
            peer,
            held: 0,
            stalled: Millis(0),
        });
    }

    /// Closes the connection that has held the most for the longest time without progress; returns
    /// false if all wait for the gate.
    pub fn close_worst(&self) -> bool {
        let worst = self.find_worst();
        if let Some(worst) = &worst {
            worst.close(CloseReason::Budget);
        }
        worst.is_some()
    }

    fn find_worst(&self) -> Option<Arc<Connection>> {
        let now_ms = self.now_ms();
        let open = self.open_connections();
        let waiting = open.by_id.values().filter(|it| !it.waits_for_gate());
        // Of two equal ones the older one is closed.
        waiting
            .max_by_key(|it| (it.cost(now_ms), Reverse(it.id)))
            .cloned()
    }

    /// Advances the clock, closes connections that have stalled for too long, and records the usage.
    pub fn advance(&self, elapsed: Millis, limits: StallLimits) {
        let now_ms = self.clock_ms.fetch_add(elapsed.0, Ordering::Relaxed) + elapsed.0;
        let connections: Vec<_> = self.open_connections().by_id.values().cloned().collect();
        for connection in connections {
            connection.check_stall(now_ms, limits);
        }
        let (connections, bytes) = self.usage();
        self.observer.record_usage(connections, bytes);
    }
}

impl Connection {
    fn phase(&self) -> Phase {
        Phase::ALL[usize::from(self.phase.load(Ordering::Relaxed))]
    }

    fn enter(&self, phase: Phase) {
        let now_ms = self.budget.now_ms();
        self.progress_ms.store(now_ms, Ordering::Relaxed);
        self.byte_ms.store(now_ms, Ordering::Relaxed);
        self.unrewarded.store(0, Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Waits until the body has not arrived for too long.
    pub async fn stalled(&self) {
        self.stalled.notified().await;
    }

    /// Charges memory to the connection, which closes others if the budget is short. Returns false,
    /// and charges nothing, if the connection is the worst itself or is closing.
    pub fn charge(&self, bytes: u64) -> bool {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        let mut total = self.budget.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        while total > self.budget.limits.bytes {
            match self.budget.find_worst() {
                Some(worst) if worst.id != self.id => worst.close(CloseReason::Budget),
                _ => {
                    self.release(bytes);
                    return false;
                }
            }
            total = self.budget.held.load(Ordering::Relaxed);
        }
        let is_open = !self.closing.is_cancelled();
        if !is_open {
            self.release(bytes);
        }
        is_open
    }

    /// Ends a charge.
    pub fn release(&self, bytes: u64) {
        let step = |held: u64| Some(held.saturating_sub(bytes));
        let before = self
            .held
            .try_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .unwrap_or_default();
        self.budget
            .held
            .fetch_sub(bytes.min(before), Ordering::Relaxed);
    }

    /// Records bytes that arrived; returns false if the budget has no room for them.
    pub fn received(&self, bytes: u64) -> bool {
        match self.phase() {
            Phase::Idle => {
                self.enter(Phase::Head);
                self.release_request();
                self.charge(bytes)
            }
            Phase::Head => self.charge(bytes),
            Phase::Body | Phase::Answer => {
                let now_ms = self.budget.now_ms();
                self.byte_ms.store(now_ms, Ordering::Relaxed);
                if self.unrewarded.fetch_add(bytes, Ordering::Relaxed) + bytes >= PROGRESS_BYTES {
                    self.unrewarded.store(0, Ordering::Relaxed);
                    self.progress_ms.store(now_ms, Ordering::Relaxed);
                }
                true
            }
        }
    }

    /// Records that the client took bytes of an answer.
    pub fn sent(&self) {
        if self.phase() == Phase::Idle {
            self.enter(Phase::Idle);
        }
    }

    /// Returns whether the client only waits for an answer.
    fn waits_for_gate(&self) -> bool {
        self.phase() == Phase::Answer && self.bodies.load(Ordering::Relaxed) == 0
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.enter(Phase::Answer);
    }

    /// Records that the gate waits for the body of a request.
    pub fn begin_body(&self) {
        self.bodies.fetch_add(1, Ordering::Relaxed);
        self.enter(Phase::Body);
    }

    /// Records that the gate has the whole body or gives it up.
    pub fn end_body(&self) {
        self.bodies.fetch_sub(1, Ordering::Relaxed);
        self.enter(Phase::Answer);
    }

    /// Records that a request has been answered: after the last one, the connection holds the answer
    /// only, until the next request.
    pub fn end_request(&self, answer_bytes: u64) {
        if self.requests.fetch_sub(1, Ordering::Relaxed) > 1 {
            return;
        }
        self.enter(Phase::Idle);
        self.release_request();
        self.charge(answer_bytes);
    }

    fn release_request(&self) {
        let held = self.held.load(Ordering::Relaxed);
        self.release(held.saturating_sub(CONNECTION_BYTES));
    }

    /// Returns what it holds multiplied by the time without progress.
    fn cost(&self, now_ms: u64) -> u64 {
        let held = self.held.load(Ordering::Relaxed);
        held.saturating_mul(self.stalled_ms(now_ms) + STALL_BASE_MS)
    }

    fn stalled_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms.load(Ordering::Relaxed))
    }

    fn check_stall(&self, now_ms: u64, limits: StallLimits) {
        let stalled = Millis(self.stalled_ms(now_ms));
        let silent = Millis(now_ms.saturating_sub(self.byte_ms.load(Ordering::Relaxed)));
        match self.phase() {
            Phase::Head if stalled > limits.head => self.close(CloseReason::SlowHead),
            Phase::Idle if stalled > limits.idle => self.close(CloseReason::Idle),
            Phase::Body if silent > limits.idle => self.stalled.notify_one(),
            _ => {}
        }
    }

    /// Reports the connection or its request as refused.
    pub fn report(&self, reason: CloseReason) {
        self.budget.observer.record_closed(&ClosedConnection {
            reason,
            peer: self.peer,
            held: self.held.load(Ordering::Relaxed),
            stalled: Millis(self.stalled_ms(self.budget.now_ms())),
        });
    }

    /// Closes the connection without an answer; what it holds counts as free at once.
    pub fn close(&self, reason: CloseReason) {
        if self
            .budget
            .open_connections()
            .by_id
            .remove(&self.id)
            .is_none()
        {
            return;
        }
        self.report(reason);
        self.end();
    }

    fn end(&self) {
        self.closing.cancel();
        self.release(u64::MAX);
    }
}

impl OpenConnection {
    /// Returns the connection, for those who serve it.
    pub fn share(&self) -> Arc<Connection> {
        Arc::clone(&self.0)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let budget = &self.0.budget;
        budget.open_connections().by_id.remove(&self.0.id);
        self.0.end();
    }
}
