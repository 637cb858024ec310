//! Orders on their way to a worker.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use tokio::sync::Notify;
use wigeongate_api::worker::Order;

/// How many orders one batch carries at most.
const BATCH_LIMIT: usize = 256;

/// A numbered batch of orders.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Its number; batches without orders carry the number of the last one that was taken.
    pub number: u64,
    /// The orders.
    pub orders: Vec<Order>,
    /// The largest number of a start in it; zero when it holds none.
    last_start: u64,
}

#[derive(Debug)]
struct QueuedOrder {
    order: Order,
    start: u64,
}

/// The newest start of a batch that the worker has taken.
#[derive(Debug, Clone, Copy)]
struct AcceptedBatch {
    batch: u64,
    last_start: u64,
}

#[derive(Debug, Default)]
struct QueueState {
    waiting: VecDeque<QueuedOrder>,
    /// The batch that the worker may or may not have taken.
    in_flight: Option<Batch>,
    /// The number of the newest batch that the worker has taken.
    accepted: u64,
    /// Batches with starts that were taken after the last one that a report has shown.
    accepted_starts: VecDeque<AcceptedBatch>,
    /// The newest start that a report has shown to be taken.
    last_seen_start: u64,
}

/// Orders on their way to a worker.
#[derive(Debug, Default)]
pub struct OrderQueue {
    inner: Mutex<QueueState>,
    changed: Notify,
}

impl OrderQueue {
    /// Adds an order; `start` is the number of a start order and zero for any other.
    ///
    /// An order to forget goes with the next batch or renewal and causes none.
    pub fn push(&self, order: Order, start: u64) {
        self.with(|inner| inner.waiting.push_back(QueuedOrder { order, start }));
        self.changed.notify_one();
    }

    /// Waits until an order is there that cannot wait for the next renewal.
    pub async fn wait(&self) {
        loop {
            let changed = self.changed.notified();
            if self.with(|inner| inner.is_urgent()) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the batch to send next: the same one until the worker has taken it.
    pub fn next(&self) -> Batch {
        self.with(|inner| {
            if inner.in_flight.is_none() && !inner.waiting.is_empty() {
                inner.in_flight = Some(inner.take_batch());
            }
            inner.in_flight.clone().unwrap_or_else(|| inner.renewal())
        })
    }

    /// Returns a batch without orders.
    pub fn renewal(&self) -> Batch {
        self.with(|inner| inner.renewal())
    }

    /// Notes that the worker has taken a batch.
    pub fn accept(&self, number: u64) {
        self.with(|inner| {
            let Some(sent) = inner.in_flight.take_if(|sent| sent.number == number) else {
                return;
            };
            inner.accepted = number;
            if sent.last_start > 0 {
                inner.accepted_starts.push_back(AcceptedBatch {
                    batch: number,
                    last_start: sent.last_start,
                });
            }
        });
    }

    /// Drops every order. A batch in flight keeps its number, which is not used again.
    pub fn clear(&self) {
        self.with(|inner| {
            inner.waiting.clear();
            if let Some(sent) = inner.in_flight.take() {
                inner.accepted = sent.number;
            }
        });
    }

    /// Returns the largest number of a start that a worker which has taken `batch` has seen.
    ///
    /// Starts are sent in the order of their numbers, so it has seen every smaller one too.
    pub fn last_start(&self, batch: u64) -> u64 {
        self.with(|inner| {
            while let Some(accepted) = inner.accepted_starts.front().copied() {
                if accepted.batch > batch {
                    break;
                }
                inner.last_seen_start = inner.last_seen_start.max(accepted.last_start);
                inner.accepted_starts.pop_front();
            }
            if let Some(sent) = inner.in_flight.as_ref().filter(|sent| sent.number <= batch) {
                inner.last_seen_start = inner.last_seen_start.max(sent.last_start);
            }
            inner.last_seen_start
        })
    }

    fn with<T>(&self, work: impl FnOnce(&mut QueueState) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl QueueState {
    fn is_urgent(&self) -> bool {
        let urgent = |waiting: &QueuedOrder| !matches!(waiting.order, Order::Forget { .. });
        self.in_flight.is_some() || self.waiting.iter().any(urgent)
    }

    fn take_batch(&mut self) -> Batch {
        let count = self.waiting.len().min(BATCH_LIMIT);
        let mut batch = Batch {
            number: self.accepted + 1,
            ..Batch::default()
        };
        for waiting in self.waiting.drain(..count) {
            batch.last_start = batch.last_start.max(waiting.start);
            batch.orders.push(waiting.order);
        }
        batch
    }

    fn renewal(&self) -> Batch {
        Batch {
            number: self.accepted,
            ..Batch::default()
        }
    }
}
