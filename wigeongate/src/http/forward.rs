//! Short requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::Uri;
use tokio::time::timeout;
use uuid::Uuid;
use warp::Filter;
use warp::http::header::{AUTHORIZATION, CONTENT_LENGTH};
use warp::http::{HeaderMap, StatusCode};
use warp::reply::{Reply, Response};
use wigeongate_api::caller::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, REPLAYED_HEADER};
use wigeongate_config::key::KeyHash;
use wigeongate_config::rules::Queue;
use wigeongate_core::ids::{QueueId, RequestId, TeamId};
use wigeongate_core::job::Kind;
use wigeongate_core::time::Millis;

use super::{Failure, FailureKind, Shared, respond, team};
use crate::live::Live;
use crate::message::requests::{ErrorKind, RequestError};
use crate::metrics::Counter;
use crate::requests::Work;
use crate::requests::memory::Reserved;
use crate::requests::once::KEY_BYTES;
use crate::requests::work::Answered;

/// How long a body may take to come, at most.
const BODY_WAIT: Millis = Millis(10_000);

/// The media type of an answer that names none.
const ANY_MEDIA: &str = "application/octet-stream";

/// Returns the route of short requests.
pub fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::post()
        .and(warp::path!("v1" / "queues" / String / "requests" / ..))
        .and(warp::path::tail())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .and(warp::any().map(move || shared.clone()))
        .then(route)
}

async fn route(
    queue: String,
    tail: warp::path::Tail,
    query: String,
    headers: HeaderMap,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send + 'static,
    shared: Arc<Shared>,
) -> Response {
    let head = Head {
        queue: QueueId::from(queue),
        path: path(tail.as_str(), &query),
        headers,
    };
    respond(forward(&shared, head, body).await)
}

/// The head of a request as the caller sent it.
struct Head {
    queue: QueueId,
    path: String,
    headers: HeaderMap,
}

fn path(tail: &str, query: &str) -> String {
    if query.is_empty() {
        return tail.to_owned();
    }
    format!("{tail}?{query}")
}

async fn forward(
    shared: &Shared,
    head: Head,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
) -> Result<Response, Failure> {
    let requests = &shared.requests;
    let received = requests.now();
    requests.metrics().count(Counter::RequestsReceived);
    let keyed = head.headers.contains_key(IDEMPOTENCY_HEADER);
    let admitted = admitted(shared, head, body, received).await;
    let refused = |failure: Failure| if keyed { failure.of_keyed() } else { failure };
    let Admitted {
        work,
        idempotency,
        reserved,
    } = admitted.map_err(refused)?;
    let (team, queue) = (work.team.clone(), work.queue.clone());
    let outcome = requests.handle(work, idempotency).await;
    drop(reserved);
    let took = requests.now().since(received);
    match outcome {
        Ok(answered) => {
            let metrics = requests.metrics();
            metrics.count(Counter::RequestsAnswered);
            metrics.record_answer(&team, &queue, took.into());
            Ok(whole(answered))
        }
        Err(error) => Err(failure(&error)),
    }
}

/// A request that may be handled, with the memory that is reserved for its body.
struct Admitted {
    work: Work,
    idempotency: Option<String>,
    reserved: Reserved,
}

/// Reads and checks a request; nothing of it has run when it is refused here.
async fn admitted(
    shared: &Shared,
    head: Head,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
    received: Millis,
) -> Result<Admitted, Failure> {
    let requests = &shared.requests;
    let live = shared.configurations.live();
    let authorization = one(&head.headers, AUTHORIZATION.as_str())?;
    shared.admit()?;
    let team = team(&live, authorization)?;
    let queue = queue(&live, &head.queue, &team)?;
    check_path(&head.path)?;
    let idempotency = one(&head.headers, IDEMPOTENCY_HEADER)?;
    let idempotency = idempotency.map(idempotency_key).transpose()?;
    let allowed = deadline(&head.headers, queue)?;
    let mut reserved = requests.memory().reserve(&team);
    let limit = shared.settings.bounds.body_bytes;
    let reading = read(&head.headers, body, &mut reserved, limit);
    let wait = Duration::from(allowed.min(BODY_WAIT));
    let slow = |_| Failure::not_run(FailureKind::Slow, "the body did not come in time");
    let body = timeout(wait, reading).await.map_err(slow)??;
    let work = Work {
        id: RequestId(Uuid::now_v7()),
        team,
        key: KeyHash::of(bearer(authorization)),
        queue: head.queue,
        class: queue.class,
        idempotent: queue.idempotent,
        path: head.path.into(),
        body,
        deadline: received + allowed,
    };
    Ok(Admitted {
        work,
        idempotency,
        reserved,
    })
}

fn bearer(authorization: Option<&str>) -> &str {
    let key = authorization.and_then(|text| text.strip_prefix("Bearer "));
    key.unwrap_or_default()
}

/// Returns a header that may come once at most.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(&format!("the header {name} came more than once")));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| malformed(&format!("the header {name} is not text")))
}

fn malformed(detail: &str) -> Failure {
    Failure::not_run(FailureKind::Malformed, detail)
}

fn queue<'a>(live: &'a Live, name: &QueueId, team: &TeamId) -> Result<&'a Queue, Failure> {
    let refused = |detail: String| Failure::not_run(FailureKind::Queue, &detail);
    let found = live.queue(name);
    let queue = found.ok_or_else(|| refused(format!("there is no queue {name}")))?;
    if queue.team.as_ref().is_some_and(|only| only != team) {
        return Err(refused(format!(
            "queue {name} takes the work of another team"
        )));
    }
    if queue.kind != Kind::Request {
        return Err(refused(format!("queue {name} takes jobs, not requests")));
    }
    Ok(queue)
}

/// Refuses paths that would reach beyond what the backend server runs.
fn check_path(path: &str) -> Result<(), Failure> {
    let plain = path.split(['?', '#']).next().unwrap_or_default();
    let climbs = plain.split('/').any(|part| {
        let part = part.to_ascii_lowercase().replace("%2e", ".");
        part == ".." || part == "."
    });
    let parsed = format!("http://server/v1/run/{path}").parse::<Uri>();
    if climbs || parsed.is_err() {
        return Err(malformed("the path cannot be forwarded"));
    }
    Ok(())
}

fn idempotency_key(text: &str) -> Result<String, Failure> {
    let quoted = text.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    let key = quoted.unwrap_or(text);
    let plain = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > KEY_BYTES || !plain {
        let detail = format!("an idempotency key has 1 to {KEY_BYTES} visible characters");
        return Err(malformed(&detail));
    }
    Ok(key.to_owned())
}

fn deadline(headers: &HeaderMap, queue: &Queue) -> Result<Millis, Failure> {
    let Some(text) = one(headers, DEADLINE_HEADER)? else {
        return Ok(Millis(queue.deadline_ms));
    };
    let wrong = |_| malformed("the deadline is not a number of milliseconds");
    let wanted: u64 = text.parse().map_err(wrong)?;
    Ok(Millis(wanted.min(queue.deadline_ms)))
}

async fn read(
    headers: &HeaderMap,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
    reserved: &mut Reserved,
    limit: u64,
) -> Result<Bytes, Failure> {
    let too_large = || {
        let detail = format!("a body has at most {limit} bytes");
        Failure::not_run(FailureKind::TooLarge, &detail)
    };
    let declared = one(headers, CONTENT_LENGTH.as_str())?;
    let declared: u64 = declared.and_then(|text| text.parse().ok()).unwrap_or(0);
    if declared > limit {
        return Err(too_large());
    }
    let mut body = std::pin::pin!(body);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|error| malformed(&format!("the body was cut: {error}")))?;
        let size = chunk.remaining();
        if (first.len() + rest.len() + size) as u64 > limit {
            return Err(too_large());
        }
        if !reserved.grow(size) {
            let detail = "there is no memory for the body now";
            return Err(Failure::not_run(FailureKind::Busy, detail));
        }
        if first.is_empty() {
            first = chunk.copy_to_bytes(size);
        } else {
            rest.put(chunk);
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.put(first);
    whole.put(rest);
    Ok(whole.freeze())
}

/// Turns the error of a request into what the caller is told.
fn failure(error: &RequestError) -> Failure {
    let kind = match error.kind {
        ErrorKind::Unknown | ErrorKind::Ran => return Failure::unknown(&error.detail),
        ErrorKind::Full => FailureKind::Busy,
        ErrorKind::Late => FailureKind::Deadline,
        ErrorKind::Withdrawn => FailureKind::Key,
        ErrorKind::Mismatch => FailureKind::Mismatch,
        ErrorKind::Unreachable | ErrorKind::Elsewhere | ErrorKind::Record => {
            FailureKind::Unavailable
        }
    };
    Failure::not_run(kind, &error.detail)
}

fn whole(answered: Answered) -> Response {
    let Answered { answer, again } = answered;
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let media = answer.media.unwrap_or_else(|| ANY_MEDIA.to_owned());
    let reply = warp::reply::with_status(warp::http::Response::new(answer.body), status);
    let reply = warp::reply::with_header(reply, "content-type", media);
    if again {
        return warp::reply::with_header(reply, REPLAYED_HEADER, "true").into_response();
    }
    reply.into_response()
}
