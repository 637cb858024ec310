//! The owner's link to one executor, as the gate runs it: polls, and a few orders at a time.

use std::collections::VecDeque;

use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    HostLease, HostReport, Poll, PollFailure, Refusal, StartLease, StartOrder, StartResult,
    StopOrder,
};

use super::network::{Body, Reply};
use super::owner::OwnerEvent;
use super::world::{Event, World};

pub const TASK_LEASE_MS: u64 = 6_000;
const POLL_WAIT_MS: u64 = 1_500;
const MAX_PARALLEL_ORDERS: usize = 4;
const ANSWER_TIMEOUT_MS: u64 = 900;
const FIRST_ANSWER_TIMEOUT_MS: u64 = 400;
const ORDER_TIMEOUT_MS: u64 = 700;
const RETRY_DELAY_MS: u64 = 150;
const BROKEN_DELAY_MS: u64 = 20;
const LOG_WRITE_TIMEOUT_MS: u64 = 400;
const HELD_MS: u64 = 50;

/// What is subtracted from the end of a lease if its margin is left out, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 226;

/// A part of the rule on leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The margin for the transit of an answer and for slow clocks.
    ExpiryMargin,
    /// Polls without an answer count as carried out.
    CountsSentPolls,
}

/// An order that waits for a connection.
#[derive(Debug)]
enum Order {
    Start(StartOrder, Option<StartLease>),
    Stop(StopOrder),
}

/// The state of a link.
#[derive(Debug)]
pub struct Link {
    pub host: HostId,
    pub machine: usize,
    /// Whether its regular polls go on.
    pub open: bool,
    /// The processes to which idle connections lead.
    pub idle: Vec<usize>,
    pub lease: HostLease,
    /// The number of the last end that has to be acknowledged before the next poll.
    awaited: Option<u64>,
    awaits: u64,
    orders: VecDeque<Order>,
    busy: usize,
}

impl Link {
    pub fn new(host: HostId, machine: usize) -> Self {
        Self {
            host,
            machine,
            open: true,
            idle: Vec::new(),
            lease: HostLease::new(Millis(TASK_LEASE_MS)),
            awaited: None,
            awaits: 0,
            orders: VecDeque::new(),
            busy: 0,
        }
    }

    /// Lets new calls go to another address.
    pub fn set_machine(&mut self, machine: usize) {
        if self.machine != machine {
            self.machine = machine;
            self.idle.clear();
        }
    }
}

impl World {
    fn omits(&self, part: Part) -> bool {
        self.omitted == Some(part)
    }

    fn margin(&self) -> u64 {
        if self.omits(Part::ExpiryMargin) {
            EXPIRY_MARGIN_MS
        } else {
            0
        }
    }

    /// Sends a poll; only the regular one is followed by another.
    pub fn poll(&mut self, at: usize, wait_ms: u64, is_regular: bool) {
        if is_regular && !self.links[at].open {
            return;
        }
        let (now, last_grant) = (self.owner_now(), self.last_grant);
        let link = &mut self.links[at];
        let has_answered = link.lease.has_answered();
        let poll = link.lease.begin_poll(now, last_grant);
        let host = link.host.clone();
        if !self.omits(Part::CountsSentPolls) {
            let until = Millis(poll.runs_until.0.saturating_sub(self.margin()));
            self.notify(OwnerEvent::PollSent(host, until));
        }
        let answer_ms = if has_answered {
            ANSWER_TIMEOUT_MS
        } else {
            FIRST_ANSWER_TIMEOUT_MS
        };
        let body = Body::Poll {
            poll,
            wait_ms,
            is_regular,
        };
        self.call(at, body, wait_ms + answer_ms);
    }

    fn poll_answered(
        &mut self,
        at: usize,
        poll: Poll,
        mut report: HostReport,
        clock_ms: u64,
    ) -> u64 {
        let received = self.owner_now();
        let link = &mut self.links[at];
        let lease = link
            .lease
            .record_answer(poll, report.boot_ms, clock_ms, received);
        let host = link.host.clone();
        let last = report.ended.last().map_or(0, |ended| ended.number);
        report.lease = Millis(lease.0.saturating_sub(self.margin()));
        report.sent = poll.sent;
        self.notify(OwnerEvent::HostReported(host, report));
        last
    }

    fn poll_failed(&mut self, at: usize, sent: Millis, reply: &Reply) -> u64 {
        self.links[at].lease.record_silence();
        let took_ms = self.owner_now().since(sent).0;
        let failure = match reply {
            Reply::Broken if took_ms < HELD_MS => PollFailure::Closed,
            Reply::Misdirected => PollFailure::Replaced,
            Reply::NotSent { refused: true } => PollFailure::Refused,
            _ => PollFailure::NoAnswer,
        };
        let host = self.links[at].host.clone();
        self.note(|| format!("the poll of {host} failed: {failure}"));
        self.notify(OwnerEvent::PollFailed(host, failure));
        if *reply == Reply::Broken {
            BROKEN_DELAY_MS
        } else {
            RETRY_DELAY_MS
        }
    }

    /// Handles the result of a call at the owner.
    pub fn answered(&mut self, at: usize, body: Body, reply: Reply) {
        match body {
            Body::Poll {
                poll, is_regular, ..
            } => {
                if is_regular && !self.links[at].open {
                    return;
                }
                match reply {
                    Reply::Report(report, clock_ms) => {
                        let last = self.poll_answered(at, poll, report, clock_ms);
                        if is_regular {
                            self.await_acknowledged(at, last);
                        }
                    }
                    reply => {
                        let delay = self.poll_failed(at, poll.sent, &reply);
                        if is_regular {
                            self.after(delay, Event::Poll(at, 0));
                        }
                    }
                }
            }
            Body::Start { order, .. } => {
                let result = match reply {
                    Reply::Done => StartResult::Started,
                    Reply::Refused(refusal) => StartResult::Refused(refusal),
                    Reply::Misdirected => StartResult::Refused(Refusal::Boot),
                    Reply::NotSent { .. } => StartResult::Refused(Refusal::NotSent),
                    _ => StartResult::Unknown,
                };
                self.start_answered(&order, result);
                self.end_order(at);
            }
            Body::Stop { order, sent } => {
                if reply == Reply::Done {
                    let run = (order.task, order.run);
                    let now = self.owner_now();
                    self.notify(OwnerEvent::StopAnswered(order.host, run, sent, now));
                }
                self.end_order(at);
            }
        }
    }

    fn start_answered(&mut self, order: &StartOrder, result: StartResult) {
        let run = (order.task, order.run);
        self.note(|| {
            format!(
                "the start of {} {} on {}: {result:?}",
                run.0, run.1, order.host
            )
        });
        self.notify(OwnerEvent::StartAnswered(order.host.clone(), run, result));
    }

    fn await_acknowledged(&mut self, at: usize, last: u64) {
        let link = &mut self.links[at];
        if link.lease.acknowledged() >= last {
            self.poll_again(at);
            return;
        }
        link.awaited = Some(last);
        link.awaits += 1;
        let awaits = link.awaits;
        self.after(LOG_WRITE_TIMEOUT_MS, Event::AwaitEnds(at, awaits));
    }

    /// Ends the wait for the log, unless a later one has begun.
    pub fn await_ends(&mut self, at: usize, awaits: u64) {
        let link = &mut self.links[at];
        if link.awaits == awaits && link.awaited.take().is_some() {
            self.poll_again(at);
        }
    }

    pub fn acknowledge(&mut self, at: usize, boot_ms: u64, number: u64) {
        let link = &mut self.links[at];
        let is_current = link.lease.acknowledge(boot_ms, number);
        let acknowledged = link.lease.acknowledged();
        if is_current && link.awaited.is_some_and(|last| last <= acknowledged) {
            link.awaited = None;
            self.poll_again(at);
        }
    }

    fn poll_again(&mut self, at: usize) {
        let now = self.owner_now();
        let left = self.links[at].lease.confirmed_until().since(now).0;
        let is_limited = self.last_grant.since(now).0 < TASK_LEASE_MS;
        if left >= 2 * POLL_WAIT_MS {
            self.after(0, Event::Poll(at, POLL_WAIT_MS));
        } else if is_limited {
            self.after(RETRY_DELAY_MS, Event::Poll(at, 0));
        } else {
            self.after(0, Event::Poll(at, 0));
        }
    }

    pub fn order_start(&mut self, at: usize, order: StartOrder) {
        let planned = self.links[at].lease.plan_start();
        self.links[at]
            .orders
            .push_back(Order::Start(order, planned));
        self.send_orders(at);
    }

    pub fn order_stop(&mut self, at: usize, order: StopOrder) {
        self.links[at].orders.push_back(Order::Stop(order));
        self.send_orders(at);
    }

    fn end_order(&mut self, at: usize) {
        self.links[at].busy -= 1;
        self.send_orders(at);
    }

    fn send_orders(&mut self, at: usize) {
        let (now, last_grant) = (self.owner_now(), self.last_grant);
        while self.links[at].busy < MAX_PARALLEL_ORDERS {
            let link = &mut self.links[at];
            let Some(order) = link.orders.pop_front() else {
                return;
            };
            match order {
                Order::Start(order, planned) => {
                    let may_send = |start: &StartLease| link.lease.may_send(start, now, last_grant);
                    if let Some(start) = planned.filter(may_send) {
                        link.busy += 1;
                        let deadline = start.deadline;
                        self.call(at, Body::Start { order, deadline }, ORDER_TIMEOUT_MS);
                    } else {
                        let refused = StartResult::Refused(Refusal::NotSent);
                        self.start_answered(&order, refused);
                    }
                }
                Order::Stop(order) => {
                    link.busy += 1;
                    self.call(at, Body::Stop { order, sent: now }, ORDER_TIMEOUT_MS);
                }
            }
        }
    }
}
