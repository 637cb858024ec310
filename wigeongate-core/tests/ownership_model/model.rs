//! Model of the ownership protocol: one unit, one task, two workers, an owner and gates that take
//! over, on the real lease and observer types.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wigeongate_core::ids::GateId;
use wigeongate_core::ownership::{
    Lease, LeaseTiming, Observer, PeerRecord, PromiseMembers, ReadBack, StoredRecord, Verdict,
    WriteOutcome,
};
use wigeongate_core::time::Millis;

/// Length of one clock tick, in milliseconds.
pub const TICK: u64 = 10;

/// Duration of a task's lease, in ticks.
const TASK_LEASE: u64 = 3;

/// Part of the protocol that is omitted, to check that the search finds the resulting violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OmittedGuard {
    /// Nothing.
    None,
    /// Workers accept orders of any epoch.
    EpochCheck,
    /// Owners act until the last moment of their lease.
    Margin,
    /// A write whose answer was lost is assumed to have taken effect.
    ReadBack,
}

/// Numbers of ticks, faults and renewals in a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    /// Number of ticks of real time.
    pub ticks: u8,
    /// Number of lost answers.
    pub losses: u8,
    /// Number of store outages.
    pub outages: u8,
    /// Number of ticks by which clocks may be slow or fast.
    pub drifts: u8,
    /// Number of renewals of the owner, at most one per tick.
    pub renewals: u8,
}

/// Step of the modelled system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Action {
    /// Time passes.
    #[display("time passes")]
    Tick,
    /// Time passes, but the owner's clock does not advance.
    #[display("time passes, but the clock of gate 0 stands")]
    Slow,
    /// The clock of one gate that takes over advances alone.
    #[display("the clock of gate {_0} gains a tick")]
    Fast(usize),
    /// The store becomes unavailable.
    #[display("the store goes down")]
    Down,
    /// The store becomes available again.
    #[display("the store comes back")]
    Up,
    /// A gate sends a renewal.
    #[display("gate {_0} sends a renewal")]
    Renew(usize),
    /// A gate sends an eviction of the owner.
    #[display("gate {_0} sends an eviction of gate 0")]
    Evict(usize),
    /// A gate sends a claim of the unit.
    #[display("gate {_0} sends a claim of the unit")]
    Claim(usize),
    /// The store executes a gate's write.
    #[display("the store carries out the write of gate {_0}")]
    Effect(usize),
    /// The answer reaches the gate.
    #[display("the answer reaches gate {_0}")]
    Deliver(usize),
    /// The gate stops waiting for the answer; the write may still take effect.
    #[display("the answer to gate {_0} is lost")]
    Lose(usize),
    /// A gate reads its own record and the record of the unit.
    #[display("gate {_0} reads back")]
    Read(usize),
    /// A gate sees the owner's record.
    #[display("gate {_0} sees the record of gate 0")]
    Observe(usize),
    /// The owner asks a member for a promise.
    #[display("gate 0 asks gate {_0} for a promise")]
    Promise(usize),
    /// A gate checks that it may act and prepares an order.
    #[display("gate {_0} may act and prepares an order to worker {_1}")]
    Check(usize, usize),
    /// The order reaches the worker.
    #[display("the order of gate {_0} reaches its worker")]
    Order(usize),
    /// A new owner raises a worker's epoch and reads what runs on it.
    #[display("gate {_0} reads worker {_1}")]
    Fence(usize, usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Write {
    Renew { sequence: u64, revision: i64 },
    Evict { revision: i64 },
    Claim { unit: i64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentWrite {
    write: Write,
    members: PromiseMembers,
    /// Answer of the store; `None` before the write is executed.
    answer: Option<WriteOutcome>,
    /// Whether the gate still waits for the answer.
    awaited: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Order {
    worker: usize,
    epoch: i64,
    end: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Gate {
    clock: u64,
    lease: Lease,
    observer: Observer,
    sent: Option<SentWrite>,
    /// Epoch under which the gate assumes that it owns the unit.
    epoch: Option<i64>,
    /// Whether the outcome of a claim is unknown.
    unsure: bool,
    /// Time at which the gate took over the unit, by its own clock.
    took_over: u64,
    fenced: [bool; 2],
    /// Worker on which the gate assumes that the task runs.
    task: Option<usize>,
    order: Option<Order>,
    /// Time of the last renewal that the gate sent.
    renewed: Option<u64>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Worker {
    epoch: i64,
    /// Gate that sent orders under this epoch.
    by: Option<usize>,
    /// End of the task's lease, in ticks of real time.
    end: u64,
}

/// The owner's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Record {
    sequence: u64,
    revision: i64,
    members: PromiseMembers,
}

/// State of the modelled system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    omitted: OmittedGuard,
    timing: LeaseTiming,
    left: FaultBudget,
    now: u64,
    down: bool,
    revision: i64,
    record: Option<Record>,
    unit: (usize, i64),
    gates: Vec<Gate>,
    workers: [Worker; 2],
    /// Rule that was violated, if any.
    pub violation: Option<&'static str>,
}

fn address(gate: usize) -> SocketAddr {
    let port = 9_000 + u16::try_from(gate).expect("the number of gates fits into u16");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn owner() -> GateId {
    GateId::from("gate-0")
}

impl State {
    /// Creates a system of `gates` gates, the first of which owns the unit and runs the task.
    pub fn new(gates: usize, recorded: usize, omitted: OmittedGuard, budget: FaultBudget) -> Self {
        let margin = if omitted == OmittedGuard::Margin {
            0
        } else {
            TICK
        };
        let timing = LeaseTiming {
            lease: Millis(4 * TICK),
            margin: Millis(margin),
            promise: Millis(2 * TICK),
            hold: Millis(7 * TICK),
        };
        let members: BTreeSet<SocketAddr> = (1..=recorded).map(address).collect();
        let record = Record {
            sequence: 1,
            revision: 1,
            members: Some(members),
        };
        let gate = |index| Gate::new(index, timing, &record);
        let running = Worker {
            epoch: 1,
            by: Some(0),
            end: TASK_LEASE,
        };
        Self {
            omitted,
            timing,
            left: budget,
            now: 0,
            down: false,
            revision: 1,
            gates: (0..gates).map(gate).collect(),
            record: Some(record),
            unit: (0, 1),
            workers: [running, Worker::default()],
            violation: None,
        }
    }

    /// Returns the possible next steps.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.left.ticks > 0 {
            actions.push(Action::Tick);
            if self.left.drifts > 0 {
                actions.push(Action::Slow);
                actions.extend((1..self.gates.len()).map(Action::Fast));
            }
        }
        if self.down {
            actions.push(Action::Up);
        } else if self.left.outages > 0 {
            actions.push(Action::Down);
        }
        for gate in 0..self.gates.len() {
            self.gate_actions(gate, &mut actions);
        }
        actions
    }

    fn gate_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let gate = &self.gates[index];
        match &gate.sent {
            Some(sent) => {
                if sent.answer.is_none() {
                    actions.push(Action::Effect(index));
                } else if sent.awaited {
                    actions.push(Action::Deliver(index));
                }
                if sent.awaited && self.left.losses > 0 {
                    actions.push(Action::Lose(index));
                }
                if !sent.awaited {
                    actions.push(Action::Read(index));
                }
            }
            None => self.idle_actions(index, actions),
        }
        if index > 0 && !self.down && self.sees_change(index) {
            actions.push(Action::Observe(index));
        }
        if index > 0 && gate.observer.may_promise(&owner()) {
            actions.push(Action::Promise(index));
        }
        if gate.order.is_some() {
            actions.push(Action::Order(index));
        } else if let Some(worker) = self.target(index) {
            actions.push(Action::Check(index, worker));
        }
        if index > 0 && gate.epoch.is_some() && !gate.fenced[0] {
            actions.push(Action::Fence(index, 0));
        }
    }

    fn idle_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let gate = &self.gates[index];
        if index == 0 {
            let fresh = gate.renewed != Some(gate.clock);
            if gate.epoch.is_some()
                && !gate.lease.has_unknown_write()
                && fresh
                && self.left.renewals > 0
            {
                actions.push(Action::Renew(0));
            }
            if gate.lease.has_unknown_write() {
                actions.push(Action::Read(0));
            }
            return;
        }
        if gate.unsure {
            actions.push(Action::Read(index));
            return;
        }
        let known = gate.observer.record(&owner()).is_some();
        let verdict = gate.observer.verdict(gate.now(), &owner());
        if matches!(verdict, Verdict::Evict(_)) {
            actions.push(Action::Evict(index));
        } else if !known && gate.epoch.is_none() {
            actions.push(Action::Claim(index));
        }
    }

    /// Returns whether observing the owner's record would change a gate's state.
    fn sees_change(&self, index: usize) -> bool {
        let gate = &self.gates[index];
        let known = gate.observer.record(&owner()).map(|known| known.revision);
        let current = self.record.as_ref().map(|record| record.revision);
        known != current || !gate.observer.store_answers()
    }

    fn may_act(&self, index: usize) -> bool {
        let gate = &self.gates[index];
        // The model treats the leases of gates that take over as always valid; only the first
        // owner's lease can expire.
        gate.epoch.is_some() && (index > 0 || gate.lease.may_act(gate.now()))
    }

    /// Returns the worker that a gate may order to run the task.
    fn target(&self, index: usize) -> Option<usize> {
        let gate = &self.gates[index];
        if !self.may_act(index) {
            return None;
        }
        if gate.task.is_some() {
            return gate.task;
        }
        // A new owner uses the second worker once the first one is certain to run nothing.
        let quiet = self.timing.margin.0 + TASK_LEASE * TICK;
        let waited = gate.clock - gate.took_over >= quiet;
        (gate.fenced[0] || waited).then_some(1)
    }

    /// Returns the system after a step.
    pub fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        match action {
            Action::Tick => next.tick(None),
            Action::Slow => {
                next.left.drifts -= 1;
                next.tick(Some(0));
            }
            Action::Fast(gate) => {
                next.left.drifts -= 1;
                next.gates[gate].clock += TICK;
            }
            Action::Down => {
                next.left.outages -= 1;
                next.down = true;
            }
            Action::Up => next.down = false,
            Action::Renew(_) | Action::Evict(_) | Action::Claim(_) => next.send(action),
            Action::Effect(gate) => next.effect(gate),
            Action::Deliver(gate) => next.deliver(gate),
            Action::Lose(gate) => next.lose(gate),
            Action::Read(gate) => next.read(gate),
            Action::Observe(gate) => next.observe(gate),
            Action::Promise(gate) => {
                let asked = next.gates[0].now();
                next.gates[0].lease.record_promise(address(gate), asked);
            }
            Action::Check(gate, worker) => next.check(gate, worker),
            Action::Order(gate) => next.order(gate),
            Action::Fence(gate, worker) => next.fence(gate, worker),
        }
        next
    }

    fn tick(&mut self, slow: Option<usize>) {
        self.left.ticks -= 1;
        self.now += 1;
        for (index, gate) in self.gates.iter_mut().enumerate() {
            if slow != Some(index) {
                gate.clock += TICK;
            }
        }
    }

    fn send(&mut self, action: Action) {
        let (index, write, members) = match action {
            Action::Renew(index) => {
                self.left.renewals -= 1;
                let gate = &mut self.gates[index];
                gate.renewed = Some(gate.clock);
                let members = gate.lease.members().clone();
                let attempt = gate.lease.begin_write(gate.now(), members.clone());
                let write = Write::Renew {
                    sequence: attempt.sequence,
                    revision: attempt.revision,
                };
                (index, write, members)
            }
            Action::Evict(index) => {
                let gate = &mut self.gates[index];
                let Verdict::Evict(revision) = gate.observer.verdict(gate.now(), &owner()) else {
                    return;
                };
                gate.observer.refuse_promises(owner(), revision);
                (index, Write::Evict { revision }, None)
            }
            Action::Claim(index) => (index, Write::Claim { unit: 1 }, None),
            _ => return,
        };
        self.gates[index].sent = Some(SentWrite {
            write,
            members,
            answer: None,
            awaited: true,
        });
    }

    /// Lets the store execute a write, or fails the write without effect during an outage.
    fn effect(&mut self, index: usize) {
        let Some(mut sent) = self.gates[index].sent.take() else {
            return;
        };
        let answer = if self.down {
            WriteOutcome::Unknown
        } else {
            self.commit(index, &sent)
        };
        if sent.awaited {
            sent.answer = Some(answer);
            self.gates[index].sent = Some(sent);
        }
    }

    fn commit(&mut self, index: usize, sent: &SentWrite) -> WriteOutcome {
        let current = self.record.as_ref().map_or(0, |record| record.revision);
        let next = self.revision + 1;
        match sent.write {
            Write::Renew { sequence, revision } if revision == current => {
                let members = sent.members.clone();
                self.record = Some(Record {
                    sequence,
                    revision: next,
                    members,
                });
            }
            Write::Evict { revision } if revision == current => self.record = None,
            Write::Claim { unit } if unit == self.unit.1 && current == 0 => {
                self.unit = (index, next);
            }
            _ => return WriteOutcome::Conflict,
        }
        self.revision = next;
        WriteOutcome::Written(next)
    }

    fn deliver(&mut self, index: usize) {
        let Some(sent) = self.gates[index].sent.take() else {
            return;
        };
        let answer = sent.answer.unwrap_or(WriteOutcome::Unknown);
        self.answered(index, sent.write, answer);
    }

    fn lose(&mut self, index: usize) {
        self.left.losses -= 1;
        let Some(mut sent) = self.gates[index].sent.take() else {
            return;
        };
        self.answered(index, sent.write, WriteOutcome::Unknown);
        if sent.answer.is_none() {
            sent.awaited = false;
            self.gates[index].sent = Some(sent);
        }
    }

    fn answered(&mut self, index: usize, write: Write, answer: WriteOutcome) {
        let assumed = self.omitted == OmittedGuard::ReadBack && answer == WriteOutcome::Unknown;
        let gate = &mut self.gates[index];
        let now = gate.now();
        if answer == WriteOutcome::Unknown {
            gate.observer.on_store_failure();
        } else {
            gate.observer.on_store_answer(now);
        }
        match write {
            Write::Renew { sequence, revision } => {
                let guess = WriteOutcome::Written(revision + 1);
                let answer = if assumed { guess } else { answer };
                gate.lease.finish_write(sequence, answer);
            }
            Write::Evict { .. } => {
                if assumed || matches!(answer, WriteOutcome::Written(_)) {
                    gate.observer.record_removed(&owner());
                }
            }
            Write::Claim { .. } => match answer {
                WriteOutcome::Written(epoch) => gate.take(epoch),
                _ if assumed => gate.take(self.unit.1 + 2),
                _ => gate.unsure = true,
            },
        }
    }

    fn read(&mut self, index: usize) {
        let gate = &mut self.gates[index];
        if self.down {
            gate.observer.on_store_failure();
            return;
        }
        gate.observer.on_store_answer(gate.now());
        if index == 0 {
            let seen = self.record.as_ref().map(|record| StoredRecord {
                incarnation: 1,
                sequence: record.sequence,
                revision: record.revision,
            });
            if gate.lease.read_back(seen) == ReadBack::Evicted {
                gate.epoch = None;
            }
        } else if gate.unsure {
            gate.unsure = false;
            if self.unit.0 == index {
                gate.take(self.unit.1);
            }
        }
    }

    fn observe(&mut self, index: usize) {
        let gate = &mut self.gates[index];
        gate.observer.on_store_answer(gate.now());
        match &self.record {
            Some(record) => gate
                .observer
                .record_seen(gate.now(), owner(), record.recorded()),
            None => gate.observer.record_removed(&owner()),
        }
        if self.unit.0 == index && gate.epoch.is_none() {
            gate.take(self.unit.1);
        }
    }

    fn check(&mut self, index: usize, worker: usize) {
        let end = self.now + TASK_LEASE;
        let gate = &mut self.gates[index];
        let epoch = gate.epoch.unwrap_or_default();
        gate.order = Some(Order { worker, epoch, end });
    }

    fn order(&mut self, index: usize) {
        let Some(order) = self.gates[index].order.take() else {
            return;
        };
        let Order { worker, epoch, end } = order;
        let checked = self.omitted != OmittedGuard::EpochCheck;
        let target = &mut self.workers[worker];
        if (checked && epoch < target.epoch) || end <= self.now {
            return;
        }
        if epoch == target.epoch && target.by.is_some_and(|by| by != index) {
            self.violation = Some("a worker accepted orders of two owners under one epoch");
        }
        target.epoch = target.epoch.max(epoch);
        target.by = Some(index);
        target.end = target.end.max(end);
        self.gates[index].task = Some(worker);
        if self.workers.iter().all(|worker| worker.end > self.now) {
            self.violation = Some("the task runs in two places");
        }
    }

    fn fence(&mut self, index: usize, worker: usize) {
        let epoch = self.gates[index].epoch.unwrap_or_default();
        let target = &mut self.workers[worker];
        if epoch < target.epoch {
            return;
        }
        if epoch > target.epoch {
            target.by = Some(index);
        }
        target.epoch = epoch;
        let gate = &mut self.gates[index];
        gate.fenced[worker] = true;
        if target.end > self.now && gate.task.is_none() {
            gate.task = Some(worker);
        }
    }
}

impl Record {
    fn recorded(&self) -> PeerRecord {
        PeerRecord {
            incarnation: 1,
            address: address(0),
            members: self.members.clone(),
            revision: self.revision,
        }
    }
}

impl Gate {
    fn new(index: usize, timing: LeaseTiming, record: &Record) -> Self {
        let mut lease = Lease::new(timing, 1);
        let mut observer = Observer::new(timing, address(index));
        if index == 0 {
            let attempt = lease.begin_write(Millis(0), record.members.clone());
            lease.finish_write(attempt.sequence, WriteOutcome::Written(1));
        } else {
            observer.on_store_answer(Millis(0));
            observer.record_seen(Millis(0), owner(), record.recorded());
        }
        Self {
            clock: 0,
            lease,
            observer,
            sent: None,
            epoch: (index == 0).then_some(1),
            unsure: false,
            took_over: 0,
            fenced: [false; 2],
            task: (index == 0).then_some(0),
            order: None,
            renewed: None,
        }
    }

    const fn now(&self) -> Millis {
        Millis(self.clock)
    }

    const fn take(&mut self, epoch: i64) {
        self.epoch = Some(epoch);
        self.took_over = self.clock;
    }
}
