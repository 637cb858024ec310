//! Admission control of one gate: follows the owner's outlook and refuses jobs by it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use tracing::{debug, info};
use wigeongate_core::outlook::{
    AdmissionControl, Decision, OUTLOOK_INTERVAL_MS, Refusal, RefusalReason,
};
use wigeongate_core::workflow::{Workflow, WorkflowId};

use super::peers::{PeerAnswer, PeerCall, call_owner};
use super::shared::Shared;

/// The admission control of a gate.
#[derive(Debug)]
pub struct Admission {
    shared: Arc<Shared>,
    control: Mutex<AdmissionControl>,
}

/// A job that is being stored, and after that is on its way to the owner.
#[derive(Debug)]
pub struct Admitted {
    admission: Arc<Admission>,
    id: WorkflowId,
    is_stored: bool,
}

impl Admission {
    /// Starts to follow the outlook; `None` if the policy is not in force.
    pub fn start(shared: &Arc<Shared>) -> Option<Arc<Self>> {
        if !shared.settings.policies().admission {
            return None;
        }
        let admission = Arc::new(Self {
            shared: Arc::clone(shared),
            control: Mutex::default(),
        });
        tokio::spawn(follow(Arc::clone(&admission)));
        Some(admission)
    }

    fn control(&self) -> MutexGuard<'_, AdmissionControl> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a job that arrived.
    pub fn decide(&self, flow: &Workflow) -> Decision {
        self.control().decide(flow, self.shared.now())
    }

    /// Counts a job that is about to be stored until the returned value is dropped.
    pub fn begin(self: &Arc<Self>, flow: &Workflow, decision: &Decision) -> Admitted {
        let now = self.shared.now();
        self.control().begin(flow, decision.over_share, now);
        Admitted {
            admission: Arc::clone(self),
            id: flow.id,
            is_stored: false,
        }
    }

    /// Counts and logs a refusal whose caller is told to come back after some seconds.
    pub fn record_refusal(&self, flow: &Workflow, refusal: &Refusal, retry_after_s: u64) {
        let reason = reason_label(refusal.reason);
        let label = format!("{} {reason}", flow.queue);
        self.shared.metrics.count("refusals", &label);
        let now = self.shared.now();
        let wait_ms = refusal.wait.0;
        info!(job = %flow.id, queue = %flow.queue, reason, wait_ms, retry_after_s,
            "admission: job refused; it would end worthless.");
        if self.control().record_refusal(&flow.queue, now) {
            info!(queue = %flow.queue, reason, wait_ms, job = %flow.id,
                "admission: refusals of jobs of the queue begin.");
        }
    }

    /// Logs the queues whose refusals have ended, and sets the gauge of the outlook's age.
    fn report(&self) {
        let now = self.shared.now();
        let (ended, age) = {
            let mut control = self.control();
            (control.ended_refusals(now), control.outlook_age(now))
        };
        for queue in ended {
            info!(%queue, "admission: refusals of jobs of the queue have ended.");
        }
        if let Some(age) = age {
            self.shared.metrics.set_gauge("outlook_age_ms", age.0);
        }
    }

    /// Asks the owner for an outlook.
    async fn ask(&self) {
        let offered = self.control().take_offered();
        let sent = self.shared.now();
        let call = PeerCall::Outlook(self.shared.settings.gate.clone(), offered);
        match call_owner(&self.shared, call).await {
            Ok(PeerAnswer::Outlook(outlook)) => self.control().install(*outlook, sent),
            Ok(answer) => debug!(?answer, "admission: the owner has no outlook."),
            Err(error) => debug!(
                error = format!("{error:#}"),
                "admission: asking the owner for an outlook failed."
            ),
        }
    }
}

impl Admitted {
    /// Records that the job is stored: it counts until the owner knows it.
    pub const fn mark_stored(&mut self) {
        self.is_stored = true;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.admission.shared.now();
        let mut control = self.admission.control();
        if self.is_stored {
            control.settle(self.id, now);
        } else {
            control.discard(self.id);
        }
    }
}

/// Asks for outlooks until the process ends.
async fn follow(admission: Arc<Admission>) {
    let mut calls = interval(Duration::from_millis(OUTLOOK_INTERVAL_MS));
    calls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        calls.tick().await;
        admission.ask().await;
        admission.report();
    }
}

const fn reason_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::OverShare => "over share",
        RefusalReason::Overload => "overload",
    }
}
