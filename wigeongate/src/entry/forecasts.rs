//! The owner's forecasts of waits: feeds the forecaster and answers calls for outlooks.

use wigeongate_core::ids::GateId;
use wigeongate_core::outlook::{Forecaster, OfferedLoad};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{StepId, WorkflowId, WorkflowScheduler};

use super::peers::PeerAnswer;
use super::shared::Shared;

/// The time between two summaries of the scheduler's state, in milliseconds; each takes time in
/// proportion to the hosts and the waiting steps.
const SUMMARY_MS: u64 = 100;

/// The forecasts of one owner; does nothing if the policy is not in force.
#[derive(Debug)]
pub struct Forecasts(Option<Forecaster>);

impl Forecasts {
    /// Creates the forecasts of a new owner.
    pub fn new(shared: &Shared) -> Self {
        let is_on = shared.settings.policies().admission;
        Self(is_on.then(Forecaster::default))
    }

    /// Takes the load that a placement pass has left, if a summary is due.
    pub fn update(&mut self, scheduler: &WorkflowScheduler, shared: &Shared) {
        let Some(forecaster) = &mut self.0 else {
            return;
        };
        let now = shared.now();
        let is_recent = |taken: Millis| now.since(taken).0 < SUMMARY_MS;
        if forecaster.taken().is_some_and(is_recent) {
            return;
        }
        forecaster.update(scheduler.service_loads(now), now);
        let waits = forecaster.expected_waits(now);
        let waits = waits.into_iter();
        let waits = waits.map(|(queue, wait)| (queue.to_string(), wait.0));
        shared
            .metrics
            .replace_gauges("expected_wait_ms", waits.collect());
    }

    /// Records a job that was added.
    pub fn record_arrival(&mut self, scheduler: &WorkflowScheduler, id: WorkflowId, now: Millis) {
        if let Some(forecaster) = &mut self.0
            && let Some((origin, flow)) = scheduler.submitted_job(id)
        {
            forecaster.record_arrival(&origin, flow, now);
        }
    }

    /// Records the order of a task's start.
    pub fn record_start(&mut self, scheduler: &WorkflowScheduler, at: StepId, now: Millis) {
        if let Some(forecaster) = &mut self.0
            && let Some((origin, spec, waited)) = scheduler.started_step(at, now)
        {
            forecaster.record_start(&origin, spec, waited, now);
        }
    }

    /// Answers a call for an outlook.
    pub fn answer(&mut self, gate: &GateId, offered: &OfferedLoad, shared: &Shared) -> PeerAnswer {
        let manifest = shared.manifest.load();
        let outlook = self.0.as_mut().and_then(|forecaster| {
            let rules = &manifest.as_ref().as_ref()?.rules;
            forecaster.outlook(gate, offered, rules, shared.now())
        });
        outlook.map_or(PeerAnswer::Failed, |outlook| {
            PeerAnswer::Outlook(Box::new(outlook))
        })
    }
}
