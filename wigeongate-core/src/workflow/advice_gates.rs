//! The gates that greet the owner, and which of them asks the advice service: it serves one call of
//! each host at a time.

use std::collections::BTreeMap;

use crate::ids::GateId;
use crate::time::Millis;

/// How long after its last greeting a gate is asked, in milliseconds: gates greet every second.
const GREETING_TIMEOUT_MS: u64 = 2_500;

/// The longest backlog of questions at a gate, in milliseconds: tickets would end before use.
const MAX_BACKLOG_MS: u64 = 1_500;

/// A question that takes longer, in milliseconds, is long: a short job's objective would pass
/// while its own question waits behind one.
const LONG_CALL_MS: u64 = 200;

/// The share of the gates that long questions may use, in percent; the others stay free for
/// short ones.
const LONG_CALL_GATES_PERCENT: usize = 60;

/// A gate that asks the advice service.
#[derive(Debug)]
struct Gate {
    /// Its address; `None` for this gate.
    address: Option<String>,
    greeted: Millis,
    /// When the questions that it was given are answered.
    idle_at: Millis,
}

/// The gates that ask the advice service.
#[derive(Debug)]
pub struct AdviceGates(BTreeMap<GateId, Gate>);

impl AdviceGates {
    /// Begins with this gate alone.
    pub fn new(own: GateId, now: Millis) -> Self {
        let gate = Gate {
            address: None,
            greeted: now,
            idle_at: now,
        };
        Self(BTreeMap::from([(own, gate)]))
    }

    /// Takes in a greeting.
    pub fn record_greeting(&mut self, gate: GateId, address: String, now: Millis) {
        let gate = self.0.entry(gate).or_insert(Gate {
            address: None,
            greeted: now,
            idle_at: now,
        });
        gate.address = Some(address);
        gate.greeted = now;
    }

    /// Returns the addresses of the other gates.
    pub fn other_addresses(&self) -> impl Iterator<Item = &str> {
        self.0.values().filter_map(|gate| gate.address.as_deref())
    }

    /// Returns how many gates there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Chooses the gate with the shortest backlog for a question; returns its address (`None` for
    /// this gate) and the backlog with the question, in milliseconds.
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
