//! Calls between the owner and the executors, and what cuts do to them.

use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{HostReport, Poll, Refusal, StartOrder, StopOrder};

use super::faults::{Cut, CutMode, Kind};
use super::world::{Event, World};

const CONNECT_TIMEOUT_MS: u64 = 500;

/// The share of calls that are carried out late, in percent.
const LATE_PERCENT: u64 = 3;
const OFTEN_LATE_PERCENT: u64 = 25;

/// The longest time that a stop takes, in milliseconds.
const LONGEST_STOP_MS: u64 = 900;

/// The share of answers that take long, in percent.
const SLOW_PERCENT: u64 = 3;

/// The share of answers of other executors that take long, in percent.
const SLOW_MISDIRECTED_PERCENT: u64 = 40;

/// What a call asks for.
#[derive(Debug, Clone)]
pub enum Body {
    Poll {
        poll: Poll,
        wait_ms: u64,
        is_regular: bool,
    },
    Start {
        order: StartOrder,
        deadline: u64,
    },
    Stop {
        order: StopOrder,
        sent: Millis,
    },
}

/// The result of a call at the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer to a poll, with the executor's clock.
    Report(HostReport, u64),
    Done,
    Refused(Refusal),
    /// Another executor has answered.
    Misdirected,
    /// No connection could be opened.
    NotSent {
        refused: bool,
    },
    /// The connection broke.
    Broken,
    /// No answer arrived in time.
    Late,
}

/// A call of the owner.
#[derive(Debug)]
pub struct Call {
    link: usize,
    body: Body,
    /// The process at the other end of its connection.
    process: Option<usize>,
    /// Whether the owner has its result.
    settled: bool,
    /// Whether the executor gives no answer.
    mute: bool,
}

impl World {
    /// Makes a call over an idle connection or a new one.
    pub fn call(&mut self, link: usize, body: Body, timeout_ms: u64) {
        let id = self.calls.len();
        let (machine, idle) = {
            let link = &mut self.links[link];
            (link.machine, link.idle.pop())
        };
        let listener = self.listener(machine);
        let mut call = Call {
            link,
            body,
            process: idle,
            settled: false,
            mute: false,
        };
        if idle.is_none() {
            let failure = match (self.cut(machine), listener) {
                (Some(cut), _) if cut.mode == CutMode::Refused => Some((2, true)),
                (Some(_), _) => Some((CONNECT_TIMEOUT_MS, false)),
                (None, None) => Some((2, true)),
                (None, Some(_)) => None,
            };
            if let Some((after_ms, refused)) = failure {
                self.calls.push(call);
                let reply = Box::new(Reply::NotSent { refused });
                self.after(after_ms.min(timeout_ms), Event::Answer(id, reply));
                return;
            }
            call.process = listener;
        }
        self.calls.push(call);
        self.after(timeout_ms, Event::Answer(id, Box::new(Reply::Late)));
        let transit = self.rng.between(1, 4);
        self.after(transit, Event::Arrive(id));
    }

    /// Returns the cut between the owner and a machine.
    fn cut(&self, machine: usize) -> Option<Cut> {
        self.cuts[machine].filter(|cut| cut.until > self.now)
    }

    /// Returns whether bytes on an open connection pass now; otherwise sends the event again later
    /// or drops it.
    fn passes(&mut self, id: usize, is_answer: bool, event: Event) -> Option<Event> {
        let process = self.calls[id].process?;
        let machine = self.processes[process].machine;
        let Some(cut) = self.cut(machine) else {
            return Some(event);
        };
        if cut.resets {
            self.after(1, Event::Answer(id, Box::new(Reply::Broken)));
        } else if cut.mode == CutMode::AnswersLost && !is_answer {
            return Some(event);
        } else if cut.holds && cut.mode != CutMode::AnswersLost {
            let delay = cut.until - self.now + self.rng.between(1, 300);
            self.after(delay, event);
        }
        None
    }

    /// Handles a request at its executor.
    pub fn arrive(&mut self, id: usize) {
        if self.passes(id, false, Event::Arrive(id)).is_none() {
            return;
        }
        let Some(at) = self.calls[id].process else {
            return;
        };
        let process = &self.processes[at];
        if !process.up {
            self.after(1, Event::Answer(id, Box::new(Reply::Broken)));
            return;
        }
        if process.frozen_until > self.now {
            let delay = process.frozen_until - self.now + self.rng.below(5);
            self.after(delay, Event::Arrive(id));
            return;
        }
        if process.id != self.links[self.calls[id].link].host {
            self.respond(id, Reply::Misdirected);
            return;
        }
        let late_percent = if self.has(Kind::OftenLate) {
            OFTEN_LATE_PERCENT
        } else if self.has(Kind::LateCall) {
            LATE_PERCENT
        } else {
            0
        };
        if !self.calls[id].mute && self.rng.chance(late_percent) {
            self.calls[id].mute = true;
            let delay = self.rng.between(500, 5_000);
            self.after(delay, Event::Arrive(id));
            return;
        }
        let body = self.calls[id].body.clone();
        match body {
            Body::Poll { poll, wait_ms, .. } => {
                self.extend(at, poll.deadline);
                self.acknowledged(at, poll.acknowledged);
                let process = &mut self.processes[at];
                if wait_ms > 0 && !process.has_ends() {
                    process.waiting.push(id);
                    self.after(wait_ms, Event::WaitEnds(at, id));
                } else {
                    self.report(at, id);
                }
            }
            Body::Start { order, deadline } => {
                let reply = self.start(at, &order, deadline);
                self.respond(id, reply);
            }
            Body::Stop { order, .. } => {
                let now = self.now;
                self.processes[at].settle(now);
                let takes_ms = self.rng.below(LONGEST_STOP_MS);
                self.processes[at].stop((order.task, order.run), now + takes_ms);
                self.after(takes_ms, Event::Settle(at));
                self.respond(id, Reply::Done);
            }
        }
    }

    /// Ends the wait of a poll for the end of a run.
    pub fn wait_ends(&mut self, at: usize, id: usize) {
        let process = &mut self.processes[at];
        if process.waiting.contains(&id) {
            process.waiting.retain(|call| *call != id);
            self.report(at, id);
        }
    }

    /// Answers the polls that wait for the end of a run.
    pub fn answer_waiting(&mut self, at: usize) {
        if self.processes[at].has_ends() {
            for id in std::mem::take(&mut self.processes[at].waiting) {
                self.report(at, id);
            }
        }
    }

    fn report(&mut self, at: usize, id: usize) {
        let process = &mut self.processes[at];
        process.settle(self.now);
        let (running, ended) = process.lists();
        let report = HostReport {
            boot_ms: process.boot_ms,
            running,
            ended,
            ..HostReport::default()
        };
        let clock_ms = process.clock(self.now);
        self.respond(id, Reply::Report(report, clock_ms));
    }

    fn respond(&mut self, id: usize, reply: Reply) {
        if !self.calls[id].mute {
            let slow_percent = if reply == Reply::Misdirected {
                SLOW_MISDIRECTED_PERCENT
            } else {
                SLOW_PERCENT
            };
            let is_slow = self.has(Kind::SlowAnswer) && self.rng.chance(slow_percent);
            let transit = self.rng.between(1, if is_slow { 2_400 } else { 4 });
            self.after(transit, Event::Respond(id, Box::new(reply)));
        }
    }

    /// Carries an answer over the path to the owner.
    pub fn deliver(&mut self, id: usize, reply: Box<Reply>) {
        if let Some(Event::Respond(id, reply)) = self.passes(id, true, Event::Respond(id, reply)) {
            self.after(0, Event::Answer(id, reply));
        }
    }

    /// Handles the first result of a call at the owner.
    pub fn settle_call(&mut self, id: usize, reply: Reply) {
        let call = &mut self.calls[id];
        if std::mem::replace(&mut call.settled, true) {
            return;
        }
        let (link, body) = (call.link, call.body.clone());
        let is_answer = !matches!(reply, Reply::NotSent { .. } | Reply::Broken | Reply::Late);
        // Idle connections belong to an address.
        if let Some(process) = call.process
            && is_answer
            && self.processes[process].machine == self.links[link].machine
        {
            self.links[link].idle.push(process);
        }
        self.answered(link, body, reply);
    }

    /// Breaks the open connections to processes; those behind a cut notice nothing.
    pub fn break_connections(&mut self, is_broken: impl Fn(usize) -> bool) {
        for link in &mut self.links {
            link.idle.retain(|process| !is_broken(*process));
        }
        let broken: Vec<usize> = (0..self.calls.len())
            .filter(|id| {
                let call = &self.calls[*id];
                !call.settled && call.process.is_some_and(&is_broken)
            })
            .collect();
        for id in broken {
            self.after(1, Event::Answer(id, Box::new(Reply::Broken)));
        }
    }

    /// Returns whether the owner can reach a machine.
    pub fn is_reachable(&self, machine: usize) -> bool {
        self.cut(machine).is_none()
    }
}
