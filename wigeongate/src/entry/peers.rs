//! Calls between gates.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tracing::{debug, warn};
use wigeongate_core::ids::{GateId, HostId, QueueId};
use wigeongate_core::workflow::{StepId, Workflow, WorkflowId, WorkflowStatus};
use wigeongate_platform::http::{Call, CallError};

use super::advice::Adviser;
use super::listen::Reply;
use super::ready::plain;
use super::records::{decode, encode};
use super::shared::Shared;

/// The path of calls between gates.
const PATH: &str = "/gate";

/// The longest wait for an answer of the owner, in milliseconds: it answers from memory.
const ANSWER_MS: u64 = 600;

/// The largest call, in bytes: a job's body with room for its names.
const CALL_BYTES: usize = 1 << 20;

/// A call of one gate to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerCall {
    /// A gate tells the owner where it is.
    Hello(GateId, String),
    /// A job was accepted.
    Submit(Box<Workflow>),
    /// Where a job stands is asked.
    State(WorkflowId),
    /// A caller cancels a job.
    Cancel(WorkflowId),
    /// How many jobs of a queue have not begun is asked.
    Pending(QueueId),
    /// The owner of an epoch is turned away by the store: another gate is to take over.
    Yield(u64),
    /// The owner wants a question asked of the advice service.
    Advise(StepId, Vec<HostId>, u64),
}

/// An answer to a call of another gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// It was taken in.
    Done,
    /// The gate is not the owner.
    NotOwner,
    /// Where a job stands; `None` for one that is not known.
    State(Option<WorkflowStatus>),
    /// Whether a job to cancel was known; the cancelling is written.
    Cancelled(bool),
    /// How many jobs have not begun.
    Pending(u64),
    /// The hosts that may run the step with their tickets, and how long these are good, in
    /// milliseconds.
    Advice(Vec<(HostId, String)>, u64),
    /// It could not be done.
    Failed,
}

/// Calls a gate.
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
            timeout: Duration::from_millis(ANSWER_MS + extra_ms),
        })
        .await
        .wrap_err("calling another gate")?;
    if answer.status != StatusCode::OK {
        bail!("{address} answered {}", answer.status);
    }
    decode("an answer of another gate", &answer.body)
}

/// Calls the owner, here or elsewhere.
pub async fn call_owner(shared: &Shared, request: PeerCall) -> Result<PeerAnswer> {
    if let Some(owner) = shared.local_owner() {
        return Ok(owner.call(request).await);
    }
    let owner = shared.owner.borrow().clone();
    let Some(owner) = owner else {
        return Ok(PeerAnswer::NotOwner);
    };
    let answer = call(shared, &owner.address, &request, 0).await;
    if let Err(error) = &answer
        && let Some(CallError::NotSent { refused: true, .. }) = error.downcast_ref()
    {
        shared.owner_gone.notify_one();
    }
    answer
}

/// Answers a call of another gate.
pub async fn answer(
    shared: Arc<Shared>,
    adviser: Arc<Adviser>,
    request: Request<Incoming>,
) -> Reply {
    let body = Limited::new(request.into_body(), CALL_BYTES);
    let Ok(body) = body.collect().await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let call: PeerCall = match decode("a call of another gate", &body.to_bytes()) {
        Ok(call) => call,
        Err(error) => {
            warn!(error = format!("{error:#}"), "peers: unreadable call.");
            return plain(StatusCode::BAD_REQUEST);
        }
    };
    let answer = match call {
        PeerCall::Advise(step, hosts, cost_ms) => {
            match adviser.ask(&shared, step, &hosts, cost_ms).await {
                Ok((good, valid_ms)) => PeerAnswer::Advice(good, valid_ms),
                Err(error) => {
                    debug!(%step, %error, "peers: no advice.");
                    PeerAnswer::Failed
                }
            }
        }
        PeerCall::Yield(epoch) => {
            shared.owner_yields.ask(epoch);
            PeerAnswer::Done
        }
        call => match shared.local_owner() {
            Some(owner) => owner.call(call).await,
            None => PeerAnswer::NotOwner,
        },
    };
    Response::new(Full::new(Bytes::from(encode(&answer))))
}

/// Tells the owner every second where this gate is.
pub async fn greet(shared: Arc<Shared>) {
    /// The time between greetings, in seconds: the owner forgets a gate after 2.5.
    const EVERY_S: u64 = 1;
    loop {
        tokio::time::sleep(Duration::from_secs(EVERY_S)).await;
        if shared.local_owner().is_some() || shared.is_stopping() {
            continue;
        }
        let settings = &shared.settings;
        let hello = PeerCall::Hello(settings.gate.clone(), settings.peer.to_string());
        if let Err(error) = call_owner(&shared, hello).await {
            debug!(
                error = format!("{error:#}"),
                "peers: the owner did not hear the greeting."
            );
        }
    }
}
