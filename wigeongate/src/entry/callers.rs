//! The interface of callers: accepts, shows and cancels jobs.

use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tracing::{info, warn};
use wigeongate_core::ids::{QueueId, TeamId};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Workflow, WorkflowId, WorkflowStatus};
use wigeongate_platform::intake;
use wigeongate_platform::manifest::Manifest;

use super::accept::{Accepted, Acceptor};
use super::listen::Reply;
use super::peers::{PeerAnswer, PeerCall, call_owner};
use super::ready::plain;
use super::records::{decode, job_key};
use super::shared::Shared;
use crate::clock::wall;

/// How often a caller's question is put to the owner while the ownership changes.
const TRIES: u32 = 4;

/// The pause between tries, in milliseconds.
const PAUSE_MS: u64 = 200;

/// When a caller that was not served should come back, in seconds.
const COME_BACK_S: &str = "1";

/// Answers callers.
#[derive(Debug, Clone)]
pub struct Callers {
    shared: Arc<Shared>,
    acceptor: Acceptor,
}

/// A request whose queue and team are known.
struct Known {
    manifest: Arc<Manifest>,
    queue: QueueId,
    team: Option<TeamId>,
    rest: String,
}

impl Callers {
    /// Answers callers with jobs stored by the acceptor.
    pub const fn new(shared: Arc<Shared>, acceptor: Acceptor) -> Self {
        Self { shared, acceptor }
    }

    /// Answers a request.
    pub async fn answer(self, request: Request<Incoming>) -> Reply {
        let begun = self.shared.now();
        let method = request.method().clone();
        let mut reply = match self.admit(&request) {
            Ok(known) => self.serve(known, request).await,
            Err(refusal) => *refusal,
        };
        let label = format!("{method} {}", reply.status().as_u16());
        self.shared.meters.count("calls", &label);
        let took = self.shared.now().since(begun);
        self.shared.meters.time("call", &label, took);
        if self.shared.is_stopping() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(http::header::CONNECTION, close);
        }
        reply
    }

    /// Finds the queue and the team of a request, or the refusal.
    fn admit(&self, request: &Request<Incoming>) -> Result<Known, Box<Reply>> {
        let Some(manifest) = (**self.shared.manifest.load()).clone() else {
            return Err(Box::new(come_back(StatusCode::SERVICE_UNAVAILABLE)));
        };
        let host = request
            .headers()
            .get(HOST)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        let path = request.uri().path();
        let Some(route) = manifest.route(host, path) else {
            return Err(Box::new(plain(StatusCode::NOT_FOUND)));
        };
        let team = if route.public {
            None
        } else {
            if !self.shared.trusts_keys() {
                let age_ms = self.shared.age().0;
                warn!(path, age_ms, "callers: refused, keys may be withdrawn.");
                return Err(Box::new(come_back(StatusCode::SERVICE_UNAVAILABLE)));
            }
            let key = request
                .headers()
                .get(AUTHORIZATION)
                .and_then(|value| value.to_str().ok())
                .and_then(intake::api_key);
            match key.and_then(|key| manifest.keys.get(key)) {
                Some(team) => Some(team.clone()),
                None => return Err(Box::new(plain(StatusCode::UNAUTHORIZED))),
            }
        };
        Ok(Known {
            queue: route.queue.clone(),
            team,
            rest: path[route.prefix.len()..].to_owned(),
            manifest,
        })
    }

    async fn serve(&self, known: Known, request: Request<Incoming>) -> Reply {
        if known.rest.is_empty() && request.method() == Method::GET {
            return self.pending(known.queue).await;
        }
        let Some(id) = intake::job_id(&known.rest) else {
            return plain(StatusCode::NOT_FOUND);
        };
        match *request.method() {
            Method::POST => self.submit(id, known, request).await,
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id).await,
            _ => plain(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn submit(&self, id: WorkflowId, known: Known, request: Request<Incoming>) -> Reply {
        let body = Limited::new(request.into_body(), known.manifest.body_bytes);
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                info!(job = %id, %error, "callers: refused, the body is too large or broken.");
                return plain(StatusCode::PAYLOAD_TOO_LARGE);
            }
        };
        let spec = match intake::job(&body) {
            Ok(spec) => spec,
            Err(error) => {
                info!(job = %id, error, "callers: refused, the job cannot be read.");
                return plain(StatusCode::BAD_REQUEST);
            }
        };
        let flow = Workflow {
            id,
            queue: known.queue,
            team: known.team,
            accepted: wall(),
            spec: Arc::new(spec),
        };
        let accepted = self.acceptor.accept(flow.clone()).await;
        self.shared.meters.count("accept", accepted_label(accepted));
        match accepted {
            Accepted::New | Accepted::Known => {
                if accepted == Accepted::New {
                    self.hint(flow);
                }
                plain(StatusCode::OK)
            }
            Accepted::Refused => come_back(StatusCode::SERVICE_UNAVAILABLE),
            Accepted::Unknown => come_back(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Tells the owner of a job that was stored; it finds those that it is not told of within a
    /// second.
    fn hint(&self, flow: Workflow) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let id = flow.id;
            let result = call_owner(&shared, PeerCall::Submit(Box::new(flow))).await;
            if !matches!(result, Ok(PeerAnswer::Done)) {
                info!(job = %id, ?result, "callers: the owner was not told of a job.");
            }
        });
    }

    /// Puts a question to the owner, again while the ownership changes.
    async fn ask(&self, call: PeerCall) -> Option<PeerAnswer> {
        for _ in 0..TRIES {
            match call_owner(&self.shared, call.clone()).await {
                Ok(PeerAnswer::NotOwner | PeerAnswer::Failed) => {}
                Ok(answer) => return Some(answer),
                Err(error) => {
                    info!(
                        error = format!("{error:#}"),
                        ?call,
                        "callers: no owner answered."
                    );
                }
            }
            tokio::time::sleep(std::time::Duration::from_millis(PAUSE_MS)).await;
        }
        None
    }

    async fn state(&self, id: WorkflowId) -> Reply {
        match self.ask(PeerCall::State(id)).await {
            Some(PeerAnswer::State(Some(shown))) => json(intake::state(shown)),
            Some(PeerAnswer::State(None)) => match self.stored(id).await {
                Ok(Some(flow)) => {
                    self.hint(flow);
                    json(intake::state(WorkflowStatus::Queued))
                }
                Ok(None) => plain(StatusCode::GONE),
                Err(error) => {
                    info!(job = %id, error = format!("{error:#}"), "callers: no state.");
                    come_back(StatusCode::SERVICE_UNAVAILABLE)
                }
            },
            _ => come_back(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn stored(&self, id: WorkflowId) -> Result<Option<Workflow>> {
        let key = job_key(id);
        match self.shared.store.get(&key).await? {
            Some(item) => decode(&key, &item.value).map(Some),
            None => Ok(None),
        }
    }

    async fn cancel(&self, id: WorkflowId) -> Reply {
        match self.ask(PeerCall::Cancel(id)).await {
            Some(PeerAnswer::Cancelled(true)) => plain(StatusCode::OK),
            Some(PeerAnswer::Cancelled(false)) => self.cancel_stored(id).await,
            _ => come_back(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Cancels a job that the owner has not heard of.
    async fn cancel_stored(&self, id: WorkflowId) -> Reply {
        match self.stored(id).await {
            Ok(Some(flow)) => {
                let told = self.ask(PeerCall::Submit(Box::new(flow))).await;
                if told.is_none() {
                    return come_back(StatusCode::SERVICE_UNAVAILABLE);
                }
                match self.ask(PeerCall::Cancel(id)).await {
                    Some(PeerAnswer::Cancelled(true)) => plain(StatusCode::OK),
                    _ => come_back(StatusCode::SERVICE_UNAVAILABLE),
                }
            }
            Ok(None) => plain(StatusCode::GONE),
            Err(_) => come_back(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn pending(&self, queue: QueueId) -> Reply {
        match self.ask(PeerCall::Pending(queue)).await {
            Some(PeerAnswer::Pending(count)) => json(intake::pending(
                usize::try_from(count).unwrap_or(usize::MAX),
            )),
            _ => come_back(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

const fn accepted_label(accepted: Accepted) -> &'static str {
    match accepted {
        Accepted::New => "new",
        Accepted::Known => "known",
        Accepted::Refused => "refused",
        Accepted::Unknown => "unknown",
    }
}

fn json(text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Makes an answer that tells when to come back.
fn come_back(status: StatusCode) -> Reply {
    let mut reply = plain(status);
    let time = HeaderValue::from_static(COME_BACK_S);
    reply.headers_mut().insert(RETRY_AFTER, time);
    reply
}

/// The age of a job that was accepted at a time of day.
pub fn age(accepted: u64) -> Millis {
    Millis(wall().saturating_sub(accepted))
}
