//! The orders that wait to be sent to one executor, and which of them is sent next.
//!
//! Load pattern: an executor that leaves orders without an answer, each until its timeout, while dozens
//! of starts wait for it and their job is cancelled. A stop does not wait behind starts, and a start
//! that is no longer wanted, or has waited for too long, is never sent.

use std::collections::VecDeque;

use super::host_lease::StartLease;
use super::message::{StartOrder, StopOrder};
use crate::time::Millis;

/// The most orders to one executor at a time; each uses a connection of its own.
const MAX_PARALLEL_ORDERS: usize = 4;

/// The most stops at a time beside as many starts.
const MAX_PARALLEL_STOPS: usize = 4;

/// A start that waits to be sent.
#[derive(Debug, Clone)]
pub struct WaitingStart {
    /// The order.
    pub order: StartOrder,
    /// The lease that was known when it was ordered; `None` if the executor had none.
    pub lease: Option<StartLease>,
}

/// An order that is to be sent now.
#[derive(Debug, Clone)]
pub enum NextOrder {
    /// A start.
    Start(WaitingStart),
    /// A stop.
    Stop(StopOrder),
}

/// The orders to one executor.
#[derive(Debug, Default)]
pub struct OrderQueue {
    /// Starts that were never sent, the oldest first.
    starts: VecDeque<WaitingStart>,
    /// Stops that wait, the oldest first; each run has one at most.
    stops: VecDeque<StopOrder>,
    /// The number of starts that were sent and have no outcome.
    sent_starts: usize,
    /// The number of stops that were sent and have no outcome.
    sent_stops: usize,
}

impl OrderQueue {
    /// Adds a start.
    pub fn push_start(&mut self, start: WaitingStart) {
        self.starts.push_back(start);
    }

    /// Adds a stop. If the start of the run waits, that is taken back and returned: the run cannot
    /// exist, and no stop is sent.
    pub fn push_stop(&mut self, stop: StopOrder) -> Option<StartOrder> {
        let run = (stop.task, stop.run);
        let is_of_run = |start: &WaitingStart| (start.order.task, start.order.run) == run;
        if let Some(at) = self.starts.iter().position(is_of_run) {
            return self.starts.remove(at).map(|start| start.order);
        }
        if !self.stops.iter().any(|it| (it.task, it.run) == run) {
            self.stops.push_back(stop);
        }
        None
    }

    /// Takes back all starts that wait.
    pub fn withdraw_starts(&mut self) -> Vec<StartOrder> {
        self.starts.drain(..).map(|start| start.order).collect()
    }

    /// Takes back the starts that have waited until they may no longer be sent.
    pub fn withdraw_expired(&mut self, now: Millis) -> Vec<StartOrder> {
        let is_expired = |start: &mut WaitingStart| start.order.send_until < now;
        let expired: Vec<usize> = (0..self.starts.len())
            .filter(|at| self.starts.get_mut(*at).is_some_and(is_expired))
            .collect();
        let starts = expired.into_iter().rev();
        let mut orders: Vec<StartOrder> = starts
            .filter_map(|at| self.starts.remove(at))
            .map(|start| start.order)
            .collect();
        orders.reverse();
        orders
    }

    /// Returns the next order to send, which counts as sent from now on.
    pub fn take_next(&mut self) -> Option<NextOrder> {
        let is_idle = self.sent_starts + self.sent_stops < MAX_PARALLEL_ORDERS;
        if (is_idle || self.sent_stops < MAX_PARALLEL_STOPS)
            && let Some(stop) = self.stops.pop_front()
        {
            self.sent_stops += 1;
            return Some(NextOrder::Stop(stop));
        }
        let start = self.starts.pop_front_if(|_| is_idle)?;
        self.sent_starts += 1;
        Some(NextOrder::Start(start))
    }

    /// Handles the outcome of a start that was sent.
    pub const fn finish_start(&mut self) {
        self.sent_starts = self.sent_starts.saturating_sub(1);
    }

    /// Handles the outcome of a stop that was sent.
    pub const fn finish_stop(&mut self) {
        self.sent_stops = self.sent_stops.saturating_sub(1);
    }
}
