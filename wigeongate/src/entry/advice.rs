//! Calls the advice service, one call at a time.

use tokio::sync::Mutex;
use tracing::info;
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Advice, AssignedGate, StepId};
use wigeongate_platform::advice::{self, AdviceError};

use super::peers::{self, PeerAnswer, PeerCall};
use super::shared::Shared;

/// The time subtracted from the validity of a ticket for its transit, in milliseconds.
const TICKET_TRANSIT_MS: u64 = 30;

/// A call of the advice service that the owner makes itself or through another gate.
#[derive(Debug)]
pub struct AdviceCall {
    /// The step.
    pub step: StepId,
    /// The hosts that are named.
    pub hosts: Vec<HostId>,
    /// The time that the service takes, in milliseconds.
    pub cost_ms: u64,
    /// The gate that makes the call.
    pub gate: AssignedGate,
}

/// A client of the advice service, which serves one call per entry host at a time.
#[derive(Debug, Default)]
pub struct AdviceClient(Mutex<()>);

impl AdviceClient {
    /// Makes a call of the owner; returns `None` without an answer.
    pub async fn ask(&self, shared: &Shared, call: &AdviceCall) -> Option<Advice> {
        let asked = shared.now();
        let address = call.gate.address.as_deref();
        let answer = match address {
            None => self
                .request(shared, call.step, &call.hosts, call.cost_ms)
                .await
                .ok(),
            Some(address) => {
                let forwarded = PeerCall::Advise(call.step, call.hosts.clone(), call.cost_ms);
                let wait_ms = call.gate.answer_ms + call.cost_ms;
                match peers::call(shared, address, &forwarded, wait_ms).await {
                    Ok(PeerAnswer::Advice(allowed, valid_ms)) => Some((allowed, valid_ms)),
                    _ => None,
                }
            }
        };
        let received = shared.now();
        let took = received.since(asked);
        shared.metrics.record_duration("advice", "all", took);
        info!(step = %call.step, named = call.hosts.len(),
            good = answer.as_ref().map(|(allowed, _)| allowed.len()),
            took_ms = took.0, cost_ms = call.cost_ms, by = address,
            "owner: advice call ended.");
        answer.map(|(allowed, valid_ms)| Advice {
            allowed,
            until: received + Millis(valid_ms.saturating_sub(TICKET_TRANSIT_MS)),
        })
    }

    /// Returns the hosts that may run a step, each with its ticket, and how long the tickets are
    /// valid, in milliseconds.
    ///
    /// Waits for the calls of this gate that came earlier. The error tells why the service gave no
    /// advice.
    pub async fn request(
        &self,
        shared: &Shared,
        step: StepId,
        hosts: &[HostId],
        cost_ms: u64,
    ) -> Result<(Vec<(HostId, String)>, u64), AdviceError> {
        let _guard = self.0.lock().await;
        let started = shared.now();
        let answer =
            advice::request_advice(&shared.http, &shared.settings.advice, step, hosts, cost_ms)
                .await;
        let outcome = if answer.is_ok() { "answered" } else { "failed" };
        shared
            .metrics
            .record_duration("advice_call", outcome, shared.now().since(started));
        answer
    }
}
