//! Gates that ask the advice service which hosts may run a step.

use wigeongate_core::ids::{GateId, HostId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Advice, AdviceGates, StepId, TaskName, WorkflowId};

use super::{Executor, World};

/// How long a ticket is valid, in milliseconds.
const VALID_MS: u64 = 2_500;

/// The gates beside the owner that ask the service, unless a test sets another number.
pub(super) const OTHER_GATES: usize = 5;

impl World {
    pub(super) fn set_up_gates(&mut self) {
        if self.allowed_percent > 0 {
            let gates = AdviceGates::new(GateId::from("gate-0"), Millis(self.now));
            self.scheduler.set_advice_gates(gates);
        }
    }

    pub(super) fn greet_gates(&mut self) {
        if self.allowed_percent > 0 && self.now.is_multiple_of(100) {
            let now = Millis(self.now);
            for at in 1..=self.other_gates {
                let name = format!("gate-{at}");
                let gates = self.scheduler.advice_gates_mut();
                gates.record_greeting(GateId::from(name.as_str()), name, now);
            }
        }
    }

    /// Ends a call for advice.
    pub(super) fn advise(&mut self, step: StepId, hosts: &[HostId], gate: &GateId, cost_ms: u64) {
        let now = Millis(self.now);
        let is_answered = self.allowed_percent > 0;
        let gates = self.scheduler.advice_gates_mut();
        gates.finish(gate, cost_ms, is_answered, now);
        let allowed = hosts.iter().filter(|host| self.is_allowed(step, host));
        let advice = Advice {
            allowed: allowed.map(|host| (host.clone(), String::new())).collect(),
            until: now + Millis(VALID_MS),
        };
        let advice = is_answered.then_some(&advice);
        self.scheduler.apply_advice(step, hosts, advice, now);
    }

    /// Returns whether a run of a job is on an executor.
    pub fn is_running(&self, job: WorkflowId) -> bool {
        let runs = self.executors.values().flat_map(|at| at.running.keys());
        runs.into_iter().any(|(task, _)| task.step.job == job)
    }

    /// Returns whether the executors that may run a step have room for it twice over, and less than
    /// half of the fleet is in use.
    pub fn has_room_twice(&self, at: StepId) -> bool {
        let name = TaskName { step: at, index: 0 };
        let Some(spec) = self.spec(name) else {
            return false;
        };
        let up = || {
            self.executors
                .values()
                .filter(|it| !it.dead && it.reachable)
        };
        let used: Resources = up().map(Executor::used).sum();
        let capacity: Resources = up().map(|it| it.entry.capacity).sum();
        let fits = |it: &Executor| {
            let free = it.entry.capacity.saturating_sub(&it.used());
            free.count(&spec.demand())
        };
        let allowed = up().filter(|it| {
            let is_allowed = self.allowed_percent == 0 || self.is_allowed(at, &it.entry.id);
            is_allowed && !it.entry.draining && !self.cut.contains(&it.entry.address)
        });
        let room: u64 = allowed.map(fits).sum();
        let tasks = if spec.gang { u64::from(spec.count) } else { 1 };
        room >= 2 * tasks && used.cpu * 2 < capacity.cpu
    }

    /// Returns whether the service allows a step on a host; a machine stays as it is.
    fn is_allowed(&self, step: StepId, host: &HostId) -> bool {
        let address = &self.executors[host].entry.address;
        let sum: u64 = address.bytes().map(u64::from).sum();
        let mixed = (step.job.0 * 31 + u64::from(step.step) * 7 + sum * 13) * 2_654_435_761;
        (mixed >> 12) % 100 < self.allowed_percent
    }
}
