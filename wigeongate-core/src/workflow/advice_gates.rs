//! Spreads calls to the advice service over the gates that have greeted the owner; the service
//! handles one call from each host at a time.
//!
//! Load pattern: right after a takeover every open step asks for advice, and the new owner knows no
//! gate but its own. Gates therefore greet each new owner as soon as they learn of it.
//!
//! After a burst more steps want advice than gates can ask for. A call that waits at a gate is decided on
//! too early: when its answer comes, other tickets have expired and the room is gone. So a call is
//! made only when a gate can begin it, and until then its step keeps its place in the order of the
//! placement pass.
//!
//! A gate may go on greeting while its calls get no answer, as its path to the service is cut or the
//! calls of an earlier owner stand in its queue. It pauses then, and others make its calls.

use std::collections::BTreeMap;

use crate::ids::GateId;
use crate::time::Millis;

/// How long a gate is given advice calls after its last greeting, in milliseconds; gates greet the
/// owner every second.
const GREETING_TIMEOUT_MS: u64 = 2_500;

/// The time between greetings of a gate that the owner knows, in milliseconds.
const GREETING_INTERVAL_MS: u64 = 1_000;

/// The time between greetings of a gate that the owner has not answered, in milliseconds.
const FIRST_GREETING_MS: u64 = 150;

/// The longest backlog of a gate, in milliseconds, with several calls about one step: with a longer
/// one, tickets would expire before they are used.
const MAX_BACKLOG_MS: u64 = 1_500;

/// The longest wait of a call for its gate, in milliseconds; a gate stays busy meanwhile.
pub(super) const MAX_WAIT_MS: u64 = 100;

/// The first pause of a gate after a call without an answer, in milliseconds; it doubles with each
/// further one up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: u64 = 500;

/// The longest pause of a gate, in milliseconds; it bounds how long one that answers again is not
/// asked.
const MAX_PAUSE_MS: u64 = 4_000;

/// The duration above which an advice call counts as long, in milliseconds: a short job that waits
/// behind a long call would miss its objective.
const LONG_CALL_MS: u64 = 200;

/// The share of the gates that may take long calls, in percent; the others are reserved for short
/// calls.
const LONG_CALL_GATES_PERCENT: usize = 60;

/// Returns the delay until a gate greets the owner again; `greeted` is whether the current owner
/// has answered.
pub const fn greeting_delay(greeted: bool) -> Millis {
    Millis(if greeted {
        GREETING_INTERVAL_MS
    } else {
        FIRST_GREETING_MS
    })
}

/// A gate that calls the advice service.
#[derive(Debug)]
struct Gate {
    /// Address of the gate; `None` for the local gate.
    address: Option<String>,
    greeted: Millis,
    /// When the calls assigned to it are expected to be answered.
    idle_at: Millis,
    /// The expected time of the calls that are not answered, in milliseconds.
    unanswered_ms: u64,
    /// Number of the call that it was given last; among idle gates the one that waits longest comes
    /// first.
    last_call: u64,
    /// Until when it gets no call, since it gave no answer.
    paused_until: Millis,
    /// The next pause, in milliseconds; zero after an answer.
    pause_ms: u64,
}

/// A gate that makes an advice call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedGate {
    /// The gate.
    pub id: GateId,
    /// Its address; `None` for the local gate.
    pub address: Option<String>,
    /// The time until the expected answer, in milliseconds.
    pub answer_ms: u64,
}

impl Gate {
    const fn new(now: Millis) -> Self {
        Self {
            address: None,
            greeted: now,
            idle_at: now,
            unanswered_ms: 0,
            last_call: 0,
            paused_until: Millis::ZERO,
            pause_ms: 0,
        }
    }

    /// Returns the key by which calls are assigned; the smallest comes first.
    fn order(&self, now: Millis) -> (bool, Millis, bool, u64) {
        let is_local = self.address.is_none();
        (
            self.is_overdue(now),
            self.idle_at.max(now),
            is_local,
            self.last_call,
        )
    }

    /// Returns whether its answer is late, so that it is busy for an unknown time.
    fn is_overdue(&self, now: Millis) -> bool {
        self.unanswered_ms > 0 && self.idle_at <= now
    }
}

/// The gates that can call the advice service, with their backlogs.
#[derive(Debug, Default)]
pub struct AdviceGates {
    gates: BTreeMap<GateId, Gate>,
    /// The number of calls that were assigned.
    calls: u64,
}

impl AdviceGates {
    /// Creates a set that contains only the local gate.
    pub fn new(own: GateId, now: Millis) -> Self {
        Self {
            gates: BTreeMap::from([(own, Gate::new(now))]),
            calls: 0,
        }
    }

    /// Records a greeting and the address that the gate sent with it.
    pub fn record_greeting(&mut self, gate: GateId, address: String, now: Millis) {
        let gate = self.gates.entry(gate).or_insert_with(|| Gate::new(now));
        gate.address = Some(address);
        gate.greeted = now;
    }

    /// Returns the addresses of the gates other than the local one.
    pub fn other_addresses(&self) -> impl Iterator<Item = &str> {
        self.gates
            .values()
            .filter_map(|gate| gate.address.as_deref())
    }

    /// Returns the number of gates, including the local one.
    pub fn count(&self) -> usize {
        self.gates.len()
    }

    /// Returns whether a gate can begin a call that takes `cost_ms` milliseconds shortly.
    pub fn can_begin(&mut self, cost_ms: u64, now: Millis) -> bool {
        self.drop_silent(now);
        self.least_busy(cost_ms, now)
            .is_some_and(|gate| !gate.is_overdue(now) && gate.idle_at.since(now).0 <= MAX_WAIT_MS)
    }

    /// Assigns a call that takes `cost_ms` milliseconds to the gate with the shortest backlog;
    /// `None` if every gate that may take the call has too long a backlog.
    pub fn assign(&mut self, cost_ms: u64, now: Millis) -> Option<AssignedGate> {
        self.drop_silent(now);
        let id = self
            .usable(cost_ms, now)
            .min_by_key(|(_, gate)| gate.order(now))
            .map(|(id, _)| id.clone())?;
        let gate = self.gates.get_mut(&id)?;
        if gate.idle_at.since(now).0 > MAX_BACKLOG_MS {
            return None;
        }
        gate.idle_at = gate.idle_at.max(now) + Millis(cost_ms);
        gate.unanswered_ms += cost_ms;
        self.calls += 1;
        gate.last_call = self.calls;
        Some(AssignedGate {
            address: gate.address.clone(),
            answer_ms: gate.idle_at.since(now).0,
            id,
        })
    }

    /// Records that a gate's call that was to take `cost_ms` milliseconds has ended: the others
    /// that it was given are still to be made. Without an answer the gate pauses.
    pub fn finish(&mut self, id: &GateId, cost_ms: u64, is_answered: bool, now: Millis) {
        let Some(gate) = self.gates.get_mut(id) else {
            return;
        };
        gate.unanswered_ms = gate.unanswered_ms.saturating_sub(cost_ms);
        gate.idle_at = now + Millis(gate.unanswered_ms);
        if is_answered {
            gate.pause_ms = 0;
        } else {
            gate.pause_ms = (gate.pause_ms * 2).clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS);
            gate.paused_until = now + Millis(gate.pause_ms);
        }
    }

    fn drop_silent(&mut self, now: Millis) {
        self.gates.retain(|_, gate| {
            gate.address.is_none() || now.since(gate.greeted).0 < GREETING_TIMEOUT_MS
        });
    }

    /// Returns the gates that may take a call of this duration.
    fn usable(&self, cost_ms: u64, now: Millis) -> impl Iterator<Item = (&GateId, &Gate)> {
        let answers = move |(_, gate): &(&GateId, &Gate)| gate.paused_until <= now;
        let total = self.gates.iter().filter(answers).count();
        let count = if cost_ms > LONG_CALL_MS {
            (total * LONG_CALL_GATES_PERCENT).div_ceil(100)
        } else {
            total
        };
        self.gates.iter().filter(answers).take(count)
    }

    fn least_busy(&self, cost_ms: u64, now: Millis) -> Option<&Gate> {
        let gates = self.usable(cost_ms, now).map(|(_, gate)| gate);
        gates.min_by_key(|gate| gate.order(now))
    }
}
