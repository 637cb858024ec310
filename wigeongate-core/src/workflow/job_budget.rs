//! What accepted jobs take of their owner's memory, and how the gates share what is left.
//!
//! Load pattern: any gate accepts a job, and the owner holds all of them. Bursts of a hundred jobs a
//! second arrive at each gate while the ownership changes, and no gate may accept what the owner cannot
//! hold. So the owner allots a small part of its budget to each gate in advance, and a gate asks for
//! more only when that is used up. The budget is that of the smallest gate, which may be the next owner.

use serde::{Deserialize, Serialize};

use super::spec::{StepSpec, Workflow};
use crate::collections::HashMap;
use crate::ids::GateId;
use crate::time::Millis;

/// A bound on the bytes of a job without its text and steps, of which none has started.
const JOB_BYTES: usize = 1_600;

/// A bound on the bytes of a step's state, of which no task has started.
const STEP_BYTES: usize = 512;

/// How often the texts of a job's steps are held: in the job, and by the steps' states.
const STEP_COPIES: usize = 2;

/// The part of the budget that is allotted to all gates in advance: one in this many.
const ALLOTTED_DIVISOR: u64 = 4;

/// How long an allotment counts unless it is renewed, in milliseconds.
const ALLOTMENT_MS: u64 = 10_000;

/// The part of its own budget that a gate may still accept while it asks for more: one in this many.
const KEPT_DIVISOR: u64 = 256;

/// The part of its own budget that a gate accepts while no owner can be asked: one in this many.
const UNKNOWN_DIVISOR: u64 = 16;

/// Returns a bound on the bytes that a job takes of its owner's memory until it starts.
pub fn job_bytes(job: &Workflow) -> u64 {
    let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    let step = |step: &StepSpec| {
        let texts = text(&step.requires) + text(&step.affinity) + text(&step.image);
        let held = size_of::<StepSpec>() + texts + step.after.len() * size_of::<u16>();
        STEP_BYTES + STEP_COPIES * held
    };
    let steps: usize = job.spec.steps.iter().map(step).sum();
    u64::try_from(JOB_BYTES + job.spec.command.len() + steps).unwrap_or(u64::MAX)
}

/// What a gate may accept.
#[derive(Debug, Clone, Copy)]
struct Allotment {
    /// The budget of the gate if it were the owner, in bytes.
    budget: u64,
    /// What the gate may accept before it asks again, in bytes.
    bytes: u64,
    /// Until when that counts.
    until: Millis,
}

/// The owner's side: the budget, and what each gate may accept of it.
#[derive(Debug, Default)]
pub struct JobBudget {
    allotments: HashMap<GateId, Allotment>,
}

impl JobBudget {
    /// Returns the budget in bytes: the smallest of all gates.
    pub fn bytes(&self) -> u64 {
        let budgets = self.allotments.values().map(|gate| gate.budget);
        budgets.min().unwrap_or_default()
    }

    /// Handles that a job which a gate has accepted is held.
    pub fn hold(&mut self, gate: &GateId, bytes: u64) {
        if let Some(known) = self.allotments.get_mut(gate) {
            known.bytes = known.bytes.saturating_sub(bytes);
        }
    }

    /// Allots bytes to a gate beside the `held` ones of accepted jobs: its usual part, or what it
    /// wants if that is more and is left. What it keeps is not taken back. Returns what it may accept
    /// from now on.
    pub fn allot(&mut self, gate: &GateId, request: &RoomRequest, held: u64, now: Millis) -> u64 {
        self.allotments
            .retain(|id, known| id == gate || known.until > now);
        let known = Allotment {
            budget: request.budget,
            bytes: request.kept,
            until: now + Millis(ALLOTMENT_MS),
        };
        self.allotments.insert(gate.clone(), known);
        let budget = self.bytes();
        let others = self.allotments.iter().filter(|(id, _)| *id != gate);
        let allotted: u64 = others.map(|(_, gate)| gate.bytes).sum();
        let left = budget.saturating_sub(held + allotted);
        let count = u64::try_from(self.allotments.len()).unwrap_or(u64::MAX);
        let usual = budget / (ALLOTTED_DIVISOR * count.max(1));
        let bytes = left.min(usual.max(request.wanted)).max(request.kept);
        if let Some(known) = self.allotments.get_mut(gate) {
            known.bytes = bytes;
        }
        bytes
    }
}

/// What a gate asks its owner for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRequest {
    /// The budget of the gate if it were the owner, in bytes.
    pub budget: u64,
    /// What the gate may have accepted, or may accept until it is answered, in bytes.
    pub kept: u64,
    /// What it wants in total, in bytes; zero for the usual part.
    pub wanted: u64,
}

/// Whether a gate may accept a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// It may; the bytes count until the owner holds the job.
    Granted,
    /// The owner has to be asked for this many bytes.
    Ask(u64),
    /// No gate could hold it; the most bytes that a job may take.
    TooLarge(u64),
}

/// A gate's side: what it may accept.
#[derive(Debug)]
pub struct RoomShare {
    /// The budget of the gate if it were the owner, in bytes.
    budget: u64,
    /// What the gate may accept, less what the owner holds of it since.
    allotted: u64,
    /// The bytes of accepted jobs that the owner may not hold yet.
    pending: u64,
    /// Those among them that no call brings to the owner: it finds them in the store.
    unsent: u64,
    /// What the gate might accept before it began to ask; `None` unless it asks.
    before: Option<u64>,
}

impl RoomShare {
    /// Creates the share of a gate that no owner has allotted any.
    pub const fn new(budget: u64) -> Self {
        Self {
            budget,
            allotted: budget / UNKNOWN_DIVISOR,
            pending: 0,
            unsent: 0,
            before: None,
        }
    }

    /// Reserves the bytes of a job.
    pub const fn reserve(&mut self, bytes: u64) -> Reservation {
        if bytes > self.budget {
            return Reservation::TooLarge(self.budget);
        }
        let wanted = self.pending + bytes;
        if wanted > self.allotted {
            return Reservation::Ask(wanted);
        }
        self.pending = wanted;
        Reservation::Granted
    }

    /// Reserves the bytes of a job while no owner can be asked; returns whether it may be accepted.
    pub fn reserve_unasked(&mut self, bytes: u64) -> bool {
        let wanted = self.pending + bytes;
        let may_accept = wanted <= self.allotted.max(self.budget / UNKNOWN_DIVISOR);
        if may_accept {
            self.pending = wanted;
        }
        may_accept
    }

    /// Begins to ask the owner; the gate keeps little more than what it has accepted until the answer.
    pub fn request(&mut self, wanted: u64) -> RoomRequest {
        self.before.get_or_insert(self.allotted);
        let kept = self.pending + self.budget / KEPT_DIVISOR;
        self.allotted = self.allotted.min(kept);
        RoomRequest {
            budget: self.budget,
            kept: self.allotted,
            wanted,
        }
    }

    /// Sets what the gate may accept. The owner that has answered finds what is stored.
    pub const fn install(&mut self, allotted: u64) {
        self.allotted = allotted;
        self.before = None;
        self.pending = self.pending.saturating_sub(self.unsent);
        self.unsent = 0;
    }

    /// Handles that the owner gave no answer.
    pub fn fail_request(&mut self) {
        self.allotted = self.allotted.max(self.before.take().unwrap_or_default());
    }

    /// Gives back the bytes of a job that was not stored.
    pub const fn give_back(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    /// Handles that the owner holds a job.
    pub const fn settle(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
        self.allotted = self.allotted.saturating_sub(bytes);
    }

    /// Handles that a stored job did not reach the owner.
    pub const fn leave(&mut self, bytes: u64) {
        self.unsent += bytes;
    }
}
