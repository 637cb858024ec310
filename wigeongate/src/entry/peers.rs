//! Calls between gates.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tracing::{debug, warn};
use wigeongate_core::ids::{GateId, HostId, QueueId};
use wigeongate_core::outlook::{OfferedLoad, Outlook};
use wigeongate_core::workflow::{
    RoomRequest, StepId, StoredJob, WorkflowId, WorkflowStatus, greeting_delay,
};
use wigeongate_platform::http::{Call, CallError};

use super::advice::AdviceClient;
use super::listen::{Reply, read_body};
use super::lost_takeovers::read_restored;
use super::ready::empty_reply;
use super::records::{decode, encode};
use super::shared::Shared;

/// The path of calls between gates.
const PATH: &str = "/gate";

/// The timeout of a call, in milliseconds; the owner answers from memory.
const ANSWER_TIMEOUT_MS: u64 = 600;

/// The largest call, in bytes: the body of a job, with room for its names.
const MAX_CALL_BYTES: usize = 1 << 20;

/// A call of one gate to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerCall {
    /// Registers a gate with the owner, by its name and address, and asks for memory for the jobs that
    /// it accepts.
    Hello(GateId, String, RoomRequest),
    /// Submits an accepted job; names the gate that has just accepted it.
    Submit(Box<StoredJob>, Option<GateId>),
    /// Returns the state of a job.
    State(WorkflowId),
    /// Cancels a job.
    Cancel(WorkflowId),
    /// Returns the number of jobs of a queue that have not started.
    Pending(QueueId),
    /// Asks the called gate to take over from the owner of this epoch, whose calls the store
    /// refuses.
    Yield(u64),
    /// Calls the advice service for a step and these hosts; the last field is the cost of the call
    /// in milliseconds.
    Advise(StepId, Vec<HostId>, u64),
    /// Asks for the outlook of the named gate, which was offered this load since its last call.
    Outlook(GateId, OfferedLoad),
    /// Asks for more memory for the jobs that the named gate accepts.
    Reserve(GateId, RoomRequest),
}

/// An answer to a call of another gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The call was carried out.
    Done,
    /// The gate is not the owner.
    NotOwner,
    /// The state of a job; `None` for an unknown job.
    State(Option<WorkflowStatus>),
    /// Whether the job to cancel was known; if so, its cancellation is in the log.
    Cancelled(bool),
    /// The number of jobs that have not started.
    Pending(u64),
    /// The hosts that may run the step, each with its ticket, and how long the tickets are valid,
    /// in milliseconds.
    Advice(Vec<(HostId, String)>, u64),
    /// The call could not be carried out.
    Failed,
    /// The submitted job had ended, and it was removed from the store.
    Removed,
    /// The outlook of the gate that asked.
    Outlook(Box<Outlook>),
    /// The bytes of accepted jobs that the gate which asked may add.
    Room(u64),
}

/// Calls the gate at `address`; `extra_ms` is added to the timeout, in milliseconds.
///
/// Returns an error if the gate does not answer, answers with another status than 200, or its
/// answer cannot be decoded.
pub async fn call(
    shared: &Shared,
    address: &str,
    call: &PeerCall,
    extra_ms: u64,
) -> Result<PeerAnswer> {
    let answer = shared
        .http
        .call(Call {
            method: Method::POST,
            peer: address,
            path: PATH,
            header: None,
            body: encode(call),
            timeout: Duration::from_millis(ANSWER_TIMEOUT_MS + extra_ms),
        })
        .await
        .wrap_err("calling another gate")?;
    if answer.status != StatusCode::OK {
        bail!("gate {address} answered a call with {}", answer.status);
    }
    decode("the answer of another gate", &answer.body)
}

/// Calls the owner in this process or in another gate; answers `NotOwner` while no owner is known.
///
/// A refused connection wakes `owner_refusing`.
pub async fn call_owner(shared: &Shared, request: PeerCall) -> Result<PeerAnswer> {
    if let Some(owner) = shared.local_owner() {
        return Ok(owner.call(request).await);
    }
    let owner = shared.owner.borrow().clone();
    let Some(owner) = owner else {
        return Ok(PeerAnswer::NotOwner);
    };
    let answer = call(shared, &owner.address, &request, 0).await;
    if matches!(&answer, Ok(answer) if *answer != PeerAnswer::NotOwner) {
        // An owner answers nothing before that.
        shared.record_restored(owner.epoch);
    }
    if let Err(error) = &answer
        && let Some(CallError::NotSent { refused: true, .. }) = error.downcast_ref()
    {
        shared.owner_refusing.notify_one();
    }
    answer
}

/// Answers a call of another gate.
pub async fn answer(
    shared: Arc<Shared>,
    advice_client: Arc<AdviceClient>,
    request: Request<Incoming>,
) -> Reply {
    let body = match read_body(request, MAX_CALL_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let call: PeerCall = match decode("a call of another gate", &body.bytes) {
        Ok(call) => call,
        Err(error) => {
            warn!(
                error = format!("{error:#}"),
                "peers: a call cannot be decoded; it is refused."
            );
            return empty_reply(StatusCode::BAD_REQUEST);
        }
    };
    let answer = match call {
        PeerCall::Advise(step, hosts, cost_ms) => {
            match advice_client.request(&shared, step, &hosts, cost_ms).await {
                Ok((allowed, valid_ms)) => PeerAnswer::Advice(allowed, valid_ms),
                Err(error) => {
                    debug!(%step, %error, "peers: the advice call failed; the owner gets no advice.");
                    PeerAnswer::Failed
                }
            }
        }
        PeerCall::Yield(epoch) => {
            shared.owner_yields.record(epoch);
            PeerAnswer::Done
        }
        call => match shared.local_owner() {
            Some(owner) => owner.call(call).await,
            None => PeerAnswer::NotOwner,
        },
    };
    Response::new(Full::new(Bytes::from(encode(&answer))))
}

/// Registers this gate with each new owner at once and then regularly, until the process ends.
pub async fn send_hellos(shared: Arc<Shared>) {
    let mut owner = shared.owner.subscribe();
    let mut greeted = false;
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(greeting_delay(greeted).0)) => {}
            changed = owner.changed() => greeted &= changed.is_err(),
        }
        if shared.local_owner().is_some() || shared.is_stopping() {
            continue;
        }
        let settings = &shared.settings;
        let request = shared.room().request(0);
        let hello = PeerCall::Hello(settings.gate.clone(), settings.peer.to_string(), request);
        let answer = call_owner(&shared, hello).await;
        greeted = matches!(answer, Ok(PeerAnswer::Room(_)));
        match answer {
            Ok(PeerAnswer::Room(bytes)) => shared.room().install(bytes),
            _ => shared.room().fail_request(),
        }
        if let Err(error) = answer {
            debug!(
                error = format!("{error:#}"),
                "peers: registering with the owner failed; trying again."
            );
        }
        if !greeted && shared.lost_takeovers.refuse_jobs() {
            // A cut between the two gates is no reason to refuse jobs.
            if let Ok(Some(epoch)) = read_restored(&shared).await {
                shared.record_restored(epoch);
            }
        }
    }
}
