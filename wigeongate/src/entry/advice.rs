//! Calls the advice service, one call at a time.

use tokio::sync::Mutex;
use wigeongate_core::ids::HostId;
use wigeongate_core::workflow::StepId;
use wigeongate_platform::advice::{self, AdviceError};

use super::shared::Shared;

/// A client of the advice service, which serves one call per entry host at a time.
#[derive(Debug, Default)]
pub struct AdviceClient(Mutex<()>);

impl AdviceClient {
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
