//! The HTTP interface for callers: submits, shows and cancels jobs.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::{info, warn};
use wigeongate_core::ids::{QueueId, TeamId};
use wigeongate_core::outlook::{Decision, RefusalReason};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{StepSpec, StoredJob, Workflow, WorkflowId, WorkflowStatus};
use wigeongate_platform::job_api;
use wigeongate_platform::manifest::Manifest;
use wigeongate_platform::store::{Txn, TxnOutcome};

use super::accept::{AcceptOutcome, Acceptor};
use super::admission::{Admission, Admitted};
use super::listen::{Reply, read_body};
use super::peers::{PeerAnswer, PeerCall, call_owner};
use super::ready::empty_reply;
use super::records::{CANCELLED, ended_key, is_cancelled, job_key};
use super::room::{NoRoom, ReservedRoom};
use super::shared::Shared;
use super::stored_job::{self, FoundJob};
use crate::clock::wall_ms;

/// The maximum number of calls to the owner for one request, while the ownership changes.
const MAX_ATTEMPTS: u32 = 4;

/// The delay after each of these calls that fails, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// How long a job that was cancelled before it was stored cannot be stored, in milliseconds. A write
/// without an answer may be carried out seconds later.
const CANCELLED_TTL_MS: u64 = 60_000;

/// The timeout for looking up a job before it is refused, in milliseconds. A store that takes longer
/// delays callers, and the job takes the normal path.
const REFUSAL_LOOKUP_MS: u64 = 300;

/// The `Retry-After` value for a caller that was not served, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The `Retry-After` values for a caller whose job would exceed the memory for accepted jobs, in
/// seconds.
const FULL_RETRY_S: RangeInclusive<u64> = 2..=10;

/// The HTTP handler for callers.
#[derive(Debug, Clone)]
pub struct CallerApi {
    shared: Arc<Shared>,
    acceptor: Acceptor,
    /// `None` if admission control is not in force.
    admission: Option<Arc<Admission>>,
}

/// A request with its queue and its team; `team` is `None` on a public route.
struct AdmittedRequest {
    manifest: Arc<Manifest>,
    queue: QueueId,
    team: Option<TeamId>,
    /// The path after the prefix of the route.
    path_rest: String,
}

/// Where a job stands that the owner did not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The owner knows it now.
    Open,
    /// It is archived with this status.
    Ended(WorkflowStatus),
    /// The store does not hold it.
    Missing,
    /// The owner gave no answer.
    Unknown,
}

impl CallerApi {
    /// Creates a handler that stores jobs through the acceptor.
    pub const fn new(
        shared: Arc<Shared>,
        acceptor: Acceptor,
        admission: Option<Arc<Admission>>,
    ) -> Self {
        Self {
            shared,
            acceptor,
            admission,
        }
    }

    /// Answers a request and records its status and duration.
    pub async fn answer(self, request: Request<Incoming>) -> Reply {
        let started = self.shared.now();
        let method = method_label(request.method());
        let mut reply = match self.admit(&request) {
            Ok(admitted) => self.serve(admitted, request).await,
            Err(refusal) => *refusal,
        };
        let label = format!("{method} {}", reply.status().as_u16());
        self.shared.metrics.count("calls", &label);
        let took = self.shared.now().since(started);
        self.shared.metrics.record_duration("call", &label, took);
        if self.shared.is_stopping() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(http::header::CONNECTION, close);
        }
        reply
    }

    /// Finds the queue and the team of a request; the error is the reply that refuses it.
    fn admit(&self, request: &Request<Incoming>) -> Result<AdmittedRequest, Box<Reply>> {
        let Some(manifest) = (**self.shared.manifest.load()).clone() else {
            return Err(Box::new(retry_later(StatusCode::SERVICE_UNAVAILABLE)));
        };
        let host = request
            .headers()
            .get(HOST)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        let path = request.uri().path();
        let Some(route) = manifest.route(host, path) else {
            return Err(Box::new(empty_reply(StatusCode::NOT_FOUND)));
        };
        let team = if route.public {
            None
        } else {
            if !self.shared.trusts_keys() {
                let age_ms = self.shared.configuration_age().0;
                warn!(
                    path,
                    age_ms,
                    "callers: request refused; the configuration is too old to trust its keys."
                );
                return Err(Box::new(retry_later(StatusCode::SERVICE_UNAVAILABLE)));
            }
            let key = request
                .headers()
                .get(AUTHORIZATION)
                .and_then(|value| value.to_str().ok())
                .and_then(job_api::parse_api_key);
            match key.and_then(|key| manifest.keys.get(key)) {
                Some(team) => Some(team.clone()),
                None => return Err(Box::new(empty_reply(StatusCode::UNAUTHORIZED))),
            }
        };
        Ok(AdmittedRequest {
            queue: route.queue.clone(),
            team,
            path_rest: path[route.prefix.len()..].to_owned(),
            manifest,
        })
    }

    async fn serve(&self, admitted: AdmittedRequest, request: Request<Incoming>) -> Reply {
        if admitted.path_rest.is_empty() && request.method() == Method::GET {
            return self.pending(admitted.queue).await;
        }
        let Some(id) = job_api::parse_job_id(&admitted.path_rest) else {
            return refuse_identifier(request.method(), &admitted.path_rest);
        };
        match *request.method() {
            Method::POST => self.submit(id, admitted, request).await,
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id).await,
            _ => empty_reply(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn submit(
        &self,
        id: WorkflowId,
        admitted: AdmittedRequest,
        request: Request<Incoming>,
    ) -> Reply {
        let body = match read_body(request, admitted.manifest.limits.body_bytes).await {
            Ok(body) => body,
            Err(refusal) => {
                info!(job = %id, status = %refusal.status(),
                    "callers: job refused; the body is too large, late or incomplete.");
                return *refusal;
            }
        };
        let spec = match job_api::parse_job(&body.bytes) {
            Ok(spec) => spec,
            Err(error) => {
                info!(job = %id, error, "callers: job refused; the body is not a valid job.");
                return bad_request(&error);
            }
        };
        if let Err(refusal) = body.charge(spec.steps.len() * size_of::<StepSpec>()) {
            info!(job = %id, "callers: job refused; connections hold too much memory.");
            return *refusal;
        }
        let rules = admitted.manifest.rules.queues.get(&admitted.queue);
        let flow = Workflow {
            id,
            rules: rules.cloned().unwrap_or_default(),
            queue: admitted.queue,
            team: admitted.team,
            accepted: wall_ms(),
            spec: Arc::new(spec),
        };
        if self.shared.lost_takeovers.refuse_jobs()
            && let Some(reply) = self
                .refuse_unless_stored(&flow, || self.refuse_unserved(&flow))
                .await
        {
            return reply;
        }
        let mut room = match ReservedRoom::reserve(&self.shared, &flow).await {
            Ok(room) => room,
            Err(NoRoom::TooLarge(bytes, most)) => {
                info!(job = %id, bytes, most, "callers: job refused; no gate could hold it.");
                return bad_request(&format!(
                    "the job takes {bytes} bytes of memory; at most {most} are allowed"
                ));
            }
            Err(NoRoom::Full) => {
                let refuse = || self.refuse_full(&flow);
                return match self.refuse_unless_stored(&flow, refuse).await {
                    Some(reply) => reply,
                    None => retry_later(StatusCode::SERVICE_UNAVAILABLE),
                };
            }
        };
        let mut admitted = None;
        if let Some(admission) = &self.admission {
            let decision = admission.decide(&flow);
            if let Some(reply) = self.refuse(admission, &flow, &decision).await {
                return reply;
            }
            admitted = Some(admission.begin(&flow, &decision));
        }
        let outcome = self.acceptor.accept(flow.clone()).await;
        self.shared.metrics.count("accept", outcome_label(outcome));
        match outcome {
            AcceptOutcome::Stored(revision) => {
                if let Some(admitted) = &mut admitted {
                    admitted.mark_stored();
                }
                room.mark_stored();
                self.notify_owner(StoredJob { flow, revision }, admitted, room);
                empty_reply(StatusCode::OK)
            }
            AcceptOutcome::Duplicate => empty_reply(StatusCode::OK),
            AcceptOutcome::Refused => retry_later(StatusCode::SERVICE_UNAVAILABLE),
            AcceptOutcome::Unknown => retry_later(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Refuses a job if that was decided and it is not stored; `None` if it takes the normal path.
    async fn refuse(
        &self,
        admission: &Admission,
        flow: &Workflow,
        decision: &Decision,
    ) -> Option<Reply> {
        let refusal = decision.refusal.as_ref()?;
        let refuse = || {
            let seconds = refusal.retry_after(rand::random());
            admission.record_refusal(flow, refusal, seconds);
            refused(refusal.reason, seconds)
        };
        self.refuse_unless_stored(flow, refuse).await
    }

    /// Refuses a job that no owner would start.
    fn refuse_unserved(&self, flow: &Workflow) -> Reply {
        let label = format!("{} no restore", flow.queue);
        self.shared.metrics.count("refusals", &label);
        info!(job = %flow.id, queue = %flow.queue, in_a_row = self.shared.lost_takeovers.count(),
            "callers: job refused; no owner restores the state.");
        retry_later(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Refuses a job for which the owner has no memory left. Callers come back at different times, as
    /// jobs end.
    fn refuse_full(&self, flow: &Workflow) -> Reply {
        let label = format!("{} memory", flow.queue);
        self.shared.metrics.count("refusals", &label);
        let seconds = rand::random_range(FULL_RETRY_S);
        info!(job = %flow.id, queue = %flow.queue, retry_after_s = seconds,
            "callers: job refused; the accepted jobs take all memory for jobs.");
        refused(RefusalReason::Overload, seconds)
    }

    /// Refuses a job if it is not stored; `None` if that cannot be looked up and it takes the normal path.
    ///
    /// An earlier attempt may have stored it without an answer that reached the caller.
    async fn refuse_unless_stored(
        &self,
        flow: &Workflow,
        refuse: impl FnOnce() -> Reply,
    ) -> Option<Reply> {
        let lookup = Duration::from_millis(REFUSAL_LOOKUP_MS);
        let stored = match timeout(lookup, stored_job::read(&self.shared.store, flow.id)).await {
            Ok(stored) => stored,
            Err(elapsed) => Err(elapsed.into()),
        };
        match stored {
            Ok(Some(_)) => {
                self.shared.metrics.count("accept", "known");
                info!(job = %flow.id, "callers: job was stored already.");
                Some(empty_reply(StatusCode::OK))
            }
            Ok(None) => Some(refuse()),
            Err(error) => {
                info!(job = %flow.id, error = format!("{error:#}"),
                    "callers: the job to refuse cannot be looked up; it is not refused.");
                None
            }
        }
    }

    /// Submits a stored job to the owner, without retries: if the call fails, the owner finds the
    /// job in the store within a second. Until then the job counts as admitted.
    fn notify_owner(&self, job: StoredJob, admitted: Option<Admitted>, mut room: ReservedRoom) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let id = job.flow.id;
            let gate = Some(shared.settings.gate.clone());
            let result = call_owner(&shared, PeerCall::Submit(Box::new(job), gate)).await;
            drop(admitted);
            if matches!(result, Ok(PeerAnswer::Done | PeerAnswer::Removed)) {
                room.mark_held();
            }
            if !matches!(result, Ok(PeerAnswer::Done)) {
                info!(job = %id, ?result,
                    "callers: submitting the job to the owner failed; the owner finds it in the store.");
            }
        });
    }

    /// Calls the owner, with retries while the ownership changes; `None` when no owner answered.
    async fn call_owner_retrying(&self, call: PeerCall) -> Option<PeerAnswer> {
        for _ in 0..MAX_ATTEMPTS {
            match call_owner(&self.shared, call.clone()).await {
                Ok(PeerAnswer::NotOwner | PeerAnswer::Failed) => {}
                Ok(answer) => return Some(answer),
                Err(error) => {
                    info!(
                        error = format!("{error:#}"),
                        ?call,
                        "callers: the call to the owner failed; trying again."
                    );
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        None
    }

    async fn state(&self, id: WorkflowId) -> Reply {
        match self.call_owner_retrying(PeerCall::State(id)).await {
            Some(PeerAnswer::State(Some(status))) => json(job_api::encode_state(status)),
            Some(PeerAnswer::State(None)) => match self.submit_unknown(id).await {
                // It may have begun, or ended, since the owner did not know it.
                Ok(Standing::Open) => match self.call_owner_retrying(PeerCall::State(id)).await {
                    Some(PeerAnswer::State(Some(status))) => json(job_api::encode_state(status)),
                    _ => retry_later(StatusCode::SERVICE_UNAVAILABLE),
                },
                Ok(Standing::Ended(status)) => json(job_api::encode_state(status)),
                Ok(Standing::Missing) => empty_reply(StatusCode::GONE),
                Ok(Standing::Unknown) => retry_later(StatusCode::SERVICE_UNAVAILABLE),
                Err(error) => {
                    info!(job = %id, error = format!("{error:#}"),
                        "callers: the job cannot be read from the store; the caller may retry.");
                    retry_later(StatusCode::SERVICE_UNAVAILABLE)
                }
            },
            _ => retry_later(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Looks up a job that the owner does not know, and submits it if the store holds it as accepted.
    async fn submit_unknown(&self, id: WorkflowId) -> Result<Standing> {
        let store = &self.shared.store;
        let job = match stored_job::read(store, id).await? {
            Some(FoundJob::Accepted(job)) => job,
            Some(FoundJob::Ended(status)) => return Ok(Standing::Ended(status)),
            None => return Ok(Standing::Missing),
        };
        match self.call_owner_retrying(PeerCall::Submit(job, None)).await {
            Some(PeerAnswer::Done) => Ok(Standing::Open),
            // It was archived after it was read, or the owner cannot decode it.
            Some(PeerAnswer::Removed) => Ok(match stored_job::read(store, id).await? {
                Some(FoundJob::Ended(status)) => Standing::Ended(status),
                Some(FoundJob::Accepted(_)) => Standing::Unknown,
                None => Standing::Missing,
            }),
            _ => Ok(Standing::Unknown),
        }
    }

    /// Keeps a job that is not stored from being stored by a write that is still under way; returns
    /// false if that write came first, even if the job has ended since.
    async fn prevent_storing(&self, id: WorkflowId) -> Result<bool> {
        let key = job_key(id);
        let store = &self.shared.store;
        let lease = store.grant_lease(CANCELLED_TTL_MS).await?;
        let txn = Txn {
            expected: vec![(key.clone(), 0), (ended_key(id), 0)],
            puts: vec![(key, CANCELLED.to_vec(), lease)],
            removes: Vec::new(),
        };
        Ok(match store.commit(&txn).await? {
            TxnOutcome::Done(_) => true,
            TxnOutcome::Conflict(items) => items.iter().any(is_cancelled),
            TxnOutcome::LeaseEnded => false,
        })
    }

    async fn cancel(&self, id: WorkflowId) -> Reply {
        match self.call_owner_retrying(PeerCall::Cancel(id)).await {
            Some(PeerAnswer::Cancelled(true)) => empty_reply(StatusCode::OK),
            Some(PeerAnswer::Cancelled(false)) => self.cancel_stored(id).await,
            _ => retry_later(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Cancels a job that the owner does not know: reads it from the store and submits it first. If it
    /// is not stored, a write of it may still be under way.
    async fn cancel_stored(&self, id: WorkflowId) -> Reply {
        match self.submit_unknown(id).await {
            Ok(Standing::Open) => match self.call_owner_retrying(PeerCall::Cancel(id)).await {
                Some(PeerAnswer::Cancelled(true)) => empty_reply(StatusCode::OK),
                _ => retry_later(StatusCode::SERVICE_UNAVAILABLE),
            },
            Ok(Standing::Ended(_)) => empty_reply(StatusCode::OK),
            Ok(Standing::Missing) => match self.prevent_storing(id).await {
                Ok(true) => empty_reply(StatusCode::GONE),
                Ok(false) | Err(_) => retry_later(StatusCode::SERVICE_UNAVAILABLE),
            },
            Ok(Standing::Unknown) | Err(_) => retry_later(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn pending(&self, queue: QueueId) -> Reply {
        match self.call_owner_retrying(PeerCall::Pending(queue)).await {
            Some(PeerAnswer::Pending(count)) => json(job_api::encode_pending(
                usize::try_from(count).unwrap_or(usize::MAX),
            )),
            _ => retry_later(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// Returns the label of a method in the metrics; clients may send any token as a method.
fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::POST => "POST",
        Method::GET => "GET",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

const fn outcome_label(outcome: AcceptOutcome) -> &'static str {
    match outcome {
        AcceptOutcome::Stored(_) => "new",
        AcceptOutcome::Duplicate => "known",
        AcceptOutcome::Refused => "refused",
        AcceptOutcome::Unknown => "unknown",
    }
}

fn json(text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Builds the reply to a request that is not valid, with the reason.
fn bad_request(error: &str) -> Reply {
    let mut reply = json(serde_json::json!({ "error": error }).to_string());
    *reply.status_mut() = StatusCode::BAD_REQUEST;
    reply
}

/// Builds the reply to a path that names no valid job.
fn refuse_identifier(method: &Method, id: &str) -> Reply {
    if !job_api::has_capital_digits(id) {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    if *method == Method::POST {
        info!(
            job = id,
            "callers: job refused; its identifier has capital digits."
        );
        return bad_request(&format!("the job identifier {id} has capital digits"));
    }
    empty_reply(StatusCode::GONE)
}

/// Builds the reply to a job that is refused for lack of capacity.
fn refused(reason: RefusalReason, seconds: u64) -> Reply {
    let status = match reason {
        RefusalReason::OverShare => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Overload => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut reply = empty_reply(status);
    let time = HeaderValue::from(seconds);
    reply.headers_mut().insert(RETRY_AFTER, time);
    reply
}

/// Builds a reply with a `Retry-After` header.
fn retry_later(status: StatusCode) -> Reply {
    let mut reply = empty_reply(status);
    let time = HeaderValue::from_static(RETRY_AFTER_S);
    reply.headers_mut().insert(RETRY_AFTER, time);
    reply
}

/// Returns the age of a job in milliseconds; `accepted` is in milliseconds of wall-clock time.
pub fn job_age(accepted: u64) -> Millis {
    Millis(wall_ms().saturating_sub(accepted))
}
