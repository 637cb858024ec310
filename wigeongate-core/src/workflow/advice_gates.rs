//! Spreads calls to the advice service over the gates that have greeted the owner; the service
//! handles one call from each host at a time.
//!
//! Load pattern: right after a takeover every open step asks for advice, and the new owner knows no
//! gate but its own. Gates therefore greet each new owner as soon as they learn of it.

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

/// The longest backlog of advice calls at a gate, in milliseconds: with a longer one, tickets would
/// expire before they are used.
const MAX_BACKLOG_MS: u64 = 1_500;

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
}

/// The gates that can call the advice service, with their backlogs.
#[derive(Debug)]
pub struct AdviceGates(BTreeMap<GateId, Gate>);

impl AdviceGates {
    /// Creates a set that contains only the local gate.
    pub fn new(own: GateId, now: Millis) -> Self {
        let gate = Gate {
            address: None,
            greeted: now,
            idle_at: now,
        };
        Self(BTreeMap::from([(own, gate)]))
    }

    /// Records a greeting and the address that the gate sent with it.
    pub fn record_greeting(&mut self, gate: GateId, address: String, now: Millis) {
        let gate = self.0.entry(gate).or_insert(Gate {
            address: None,
            greeted: now,
            idle_at: now,
        });
        gate.address = Some(address);
        gate.greeted = now;
    }

    /// Returns the addresses of the gates other than the local one.
    pub fn other_addresses(&self) -> impl Iterator<Item = &str> {
        self.0.values().filter_map(|gate| gate.address.as_deref())
    }

    /// Returns the number of gates, including the local one.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Assigns a call that takes `cost_ms` milliseconds to the gate with the shortest backlog.
    /// Returns the gate's address (`None` for the local gate) and its backlog including the call,
    /// in milliseconds, or `None` if every gate that may take the call has too long a backlog.
    pub fn assign(&mut self, cost_ms: u64, now: Millis) -> Option<(Option<String>, u64)> {
        self.0.retain(|_, gate| {
            gate.address.is_none() || now.since(gate.greeted).0 < GREETING_TIMEOUT_MS
        });
        let usable = if cost_ms > LONG_CALL_MS {
            (self.0.len() * LONG_CALL_GATES_PERCENT).div_ceil(100)
        } else {
            self.0.len()
        };
        let gate = self
            .0
            .values_mut()
            .take(usable)
            .min_by_key(|gate| (gate.idle_at.max(now), gate.address.is_none()))?;
        if gate.idle_at.since(now).0 > MAX_BACKLOG_MS {
            return None;
        }
        gate.idle_at = gate.idle_at.max(now) + Millis(cost_ms);
        Some((gate.address.clone(), gate.idle_at.since(now).0))
    }
}
