//! Counts and logs the clients that exceed the limits of a listener.

use std::sync::{Arc, Mutex, PoisonError};

use tracing::warn;
use wigeongate_core::time::Millis;

use super::shared::Shared;
use crate::connection_budget::{BudgetObserver, CloseReason, ClosedConnection};

/// The shortest interval between two log lines of a listener, in milliseconds. Clients that exceed
/// the limits come by the thousand.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Counts and logs the clients that exceed the limits of one listener.
#[derive(Debug)]
pub struct RefusalLog {
    shared: Arc<Shared>,
    names: ListenerNames,
    last: Mutex<LastLine>,
}

/// The names under which a listener appears in the log and the metrics.
#[derive(Debug, Clone, Copy)]
pub struct ListenerNames {
    /// The name of the listener.
    pub listener: &'static str,
    /// The gauge of its open connections.
    pub connections: &'static str,
    /// The gauge of what they hold, in bytes.
    pub held: &'static str,
}

#[derive(Debug, Default)]
struct LastLine {
    logged: Option<Millis>,
    /// The refusals since then.
    unlogged: u64,
}

impl RefusalLog {
    /// Creates the log of a listener.
    pub fn new(shared: Arc<Shared>, names: ListenerNames) -> Arc<Self> {
        Arc::new(Self {
            shared,
            names,
            last: Mutex::default(),
        })
    }

    /// Returns the number of refusals to log, or nothing within the interval.
    fn take_due(&self) -> Option<u64> {
        let now = self.shared.now();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.unlogged += 1;
        let is_due = last
            .logged
            .is_none_or(|logged| now.since(logged).0 >= LOG_INTERVAL_MS);
        if !is_due {
            return None;
        }
        last.logged = Some(now);
        Some(std::mem::take(&mut last.unlogged))
    }
}

impl BudgetObserver for RefusalLog {
    fn record_closed(&self, closed: &ClosedConnection) {
        let label = format!("{} {}", self.names.listener, closed.reason);
        self.shared.metrics.count("connections_closed", &label);
        if closed.reason == CloseReason::Idle {
            return;
        }
        if let Some(refusals) = self.take_due() {
            warn!(listener = self.names.listener, reason = %closed.reason, peer = %closed.peer,
                held_bytes = closed.held, stalled_ms = closed.stalled.0, refusals,
                "listen: a client exceeded the limits; its connection or request was refused.");
        }
    }
    fn record_usage(&self, connections: usize, bytes: u64) {
        let metrics = &self.shared.metrics;
        metrics.set_gauge(self.names.connections, connections as u64);
        metrics.set_gauge(self.names.held, bytes);
    }
}
