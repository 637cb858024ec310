//! Execution of requests and the record of their runs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{RequestId, TeamId};

use super::fault::ResponseFault;
use super::{Backend, Refusal, RunResponse};

/// Length of the body prefix that is recorded and searched for `wait MS`, in bytes.
const TAG_BYTES: usize = 96;

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request is still running.
    Running,
    /// The run has ended.
    Ended,
}

/// Record of one run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request identifier.
    pub id: RequestId,
    /// Team that the request belongs to.
    pub team: TeamId,
    /// Epoch that was sent with the request.
    pub epoch: u64,
    /// Start of the body, decoded as lossy UTF-8.
    pub tag: String,
    /// State of the run.
    #[serde(rename = "end")]
    pub state: RunState,
}

/// Response to a request and the fault to apply to it.
pub(super) struct RunResult {
    pub(super) response: RunResponse,
    pub(super) fault: ResponseFault,
}

/// Request as received.
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) team: TeamId,
    pub(super) epoch: u64,
    pub(super) body: Bytes,
}

impl Backend {
    /// Runs a request to completion, even if its sender disconnects.
    ///
    /// Refuses the request if its epoch is stale or no slot is free.
    pub(super) async fn run(self: &Arc<Self>, request: Request) -> Result<RunResult, Refusal> {
        let (run_index, request_index) = self.start_run(&request)?;
        let backend = self.clone();
        let running = tokio::spawn(async move {
            let delay = backend.lock().fault.delay_ms;
            let delay = Duration::from_millis(delay) + requested_delay(&request.body);
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            backend.finish_run(run_index, request_index, request)
        });
        running.await.map_err(|_| Refusal::Full)
    }

    /// Occupies a slot and records the run; returns the index of the run and that of the request.
    fn start_run(&self, request: &Request) -> Result<(usize, u64), Refusal> {
        if !self.observe_epoch(request.epoch) {
            return Err(Refusal::StaleEpoch);
        }
        let mut state = self.lock();
        if state.fault.refuse || state.running.len() >= self.slots as usize {
            return Err(Refusal::Full);
        }
        let request_index = state.accepted;
        state.accepted += 1;
        state.running.insert(request.id, request.team.clone());
        state.max_running = state.max_running.max(state.running.len());
        let copies = if state.fault.runs_twice(request_index) {
            2
        } else {
            1
        };
        let run_index = state.runs.len();
        let run = Run {
            id: request.id,
            team: request.team.clone(),
            epoch: request.epoch,
            tag: tag(&request.body),
            state: RunState::Running,
        };
        state.runs.extend(std::iter::repeat_n(run, copies));
        Ok((run_index, request_index))
    }

    /// Frees the slot and builds the response.
    ///
    /// A run that was recorded twice has only its first record marked as ended.
    fn finish_run(&self, run_index: usize, request_index: u64, request: Request) -> RunResult {
        let mut state = self.lock();
        state.running.remove(&request.id);
        if let Some(run) = state.runs.get_mut(run_index) {
            run.state = RunState::Ended;
        }
        self.served.fetch_add(1, Ordering::SeqCst);
        let own = RunResponse {
            id: request.id.to_string(),
            body: request.body,
        };
        let fault = state.fault.response_fault(request_index);
        let last_response = state.last_response.replace(own.clone());
        let response = match fault {
            ResponseFault::Swapped => last_response.unwrap_or(own),
            _ => own,
        };
        RunResult { response, fault }
    }
}

fn tag(body: &[u8]) -> String {
    let start = &body[..body.len().min(TAG_BYTES)];
    String::from_utf8_lossy(start).into_owned()
}

/// Returns the delay that a body of the form `wait MS` asks for; zero for all others.
fn requested_delay(body: &[u8]) -> Duration {
    let start = &body[..body.len().min(TAG_BYTES)];
    let text = std::str::from_utf8(start).unwrap_or_default();
    let ms = text
        .strip_prefix("wait ")
        .and_then(|rest| rest.split_whitespace().next());
    Duration::from_millis(ms.and_then(|ms| ms.parse().ok()).unwrap_or_default())
}
