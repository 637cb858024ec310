//! The queue of orders to one worker, and the batches in which they are sent.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use tokio::sync::Notify;
use wigeongate_api::worker::Order;

/// The maximum number of orders in one batch.
const BATCH_LIMIT: usize = 256;

/// A numbered batch of orders.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// The number of the batch. A batch without orders has the number of the last accepted one.
    pub number: u64,
    /// The orders.
    pub orders: Vec<Order>,
    /// The largest number of a start order in the batch; zero when it has none.
    last_start: u64,
}

#[derive(Debug)]
struct QueuedOrder {
    order: Order,
    /// The number of a start order; zero for any other order.
    start: u64,
}

/// A batch that the worker has accepted, with the largest number of a start order in it.
#[derive(Debug, Clone, Copy)]
struct AcceptedBatch {
    batch: u64,
    last_start: u64,
}

#[derive(Debug, Default)]
struct QueueState {
    waiting: VecDeque<QueuedOrder>,
    /// The batch that was sent and that the worker may or may not have accepted.
    in_flight: Option<Batch>,
    /// The number of the newest batch that the worker has accepted.
    accepted: u64,
    /// Accepted batches with start orders that no report has covered yet, in the order of their
    /// numbers.
    accepted_starts: VecDeque<AcceptedBatch>,
    /// The largest number of a start order that a report has covered.
    last_seen_start: u64,
}

/// The orders to one worker: queued, in flight, and accepted but not yet reported on.
#[derive(Debug, Default)]
pub struct OrderQueue {
    inner: Mutex<QueueState>,
    changed: Notify,
}

impl OrderQueue {
    /// Adds an order; `start` is the number of a start order and zero for any other order.
    ///
    /// An order to forget an attempt is sent with the next batch or renewal and does not cause one.
    pub fn push(&self, order: Order, start: u64) {
        self.with(|inner| inner.waiting.push_back(QueuedOrder { order, start }));
        self.changed.notify_one();
    }

    /// Waits until there is an order that must be sent before the next renewal.
    pub async fn wait(&self) {
        loop {
            let changed = self.changed.notified();
            if self.with(|inner| inner.is_urgent()) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the batch to send next: the same one until the worker has accepted it, and a renewal
    /// when no order is queued.
    pub fn next(&self) -> Batch {
        self.with(|inner| {
            if inner.in_flight.is_none() && !inner.waiting.is_empty() {
                inner.in_flight = Some(inner.take_batch());
            }
            inner.in_flight.clone().unwrap_or_else(|| inner.renewal())
        })
    }

    /// Returns a batch without orders, which only renews the leases.
    pub fn renewal(&self) -> Batch {
        self.with(|inner| inner.renewal())
    }

    /// Records that the worker has accepted a batch.
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

    /// Drops every order. The number of a batch in flight is not used again, since the worker may
    /// have accepted it.
    pub fn clear(&self) {
        self.with(|inner| {
            inner.waiting.clear();
            if let Some(sent) = inner.in_flight.take() {
                inner.accepted = sent.number;
            }
        });
    }

    /// Returns the largest number of a start order that the worker has received once it has
    /// accepted `batch`.
    ///
    /// Start orders are sent in the order of their numbers, so the worker has received every
    /// smaller one too.
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

    /// Runs `work` on the state under the lock.
    fn with<T>(&self, work: impl FnOnce(&mut QueueState) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl QueueState {
    /// Returns whether there is an order other than one to forget an attempt.
    fn is_urgent(&self) -> bool {
        let urgent = |waiting: &QueuedOrder| !matches!(waiting.order, Order::Forget { .. });
        self.in_flight.is_some() || self.waiting.iter().any(urgent)
    }

    /// Moves up to [`BATCH_LIMIT`] orders from the queue into a batch with the next number.
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
