//! The route through which callers send requests to backend servers.

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

use super::{Failure, FailureKind, Shared, authenticate_team, respond};
use crate::live::LiveConfiguration;
use crate::message::requests::{ErrorKind, RequestError};
use crate::metrics::Counter;
use crate::requests::QueueRequest;
use crate::requests::idempotency::KEY_LIMIT_BYTES;
use crate::requests::memory::BodyReservation;
use crate::requests::request::Completion;

/// The limit on receiving a body; an earlier deadline of the request applies instead.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// The media type of a response whose backend server gave none.
const DEFAULT_MEDIA_TYPE: &str = "application/octet-stream";

/// Returns the route that forwards requests.
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
    let head = RequestHead {
        queue: QueueId::from(queue),
        path: path_and_query(tail.as_str(), &query),
        headers,
    };
    respond(forward(&shared, head, body).await)
}

/// The queue, path and headers of a request as the caller sent them.
struct RequestHead {
    queue: QueueId,
    path: String,
    headers: HeaderMap,
}

fn path_and_query(tail: &str, query: &str) -> String {
    if query.is_empty() {
        return tail.to_owned();
    }
    format!("{tail}?{query}")
}

async fn forward(
    shared: &Shared,
    head: RequestHead,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
) -> Result<Response, Failure> {
    let requests = &shared.requests;
    let received = requests.now();
    requests.metrics().count(Counter::RequestsReceived);
    let keyed = head.headers.contains_key(IDEMPOTENCY_HEADER);
    let admission = admit(shared, head, body, received).await;
    let refused = |failure: Failure| {
        if keyed {
            failure.for_keyed_request()
        } else {
            failure
        }
    };
    let Admitted {
        request,
        idempotency,
        reservation,
    } = admission.map_err(refused)?;
    let (team, queue) = (request.team.clone(), request.queue.clone());
    let outcome = requests.handle(request, idempotency).await;
    drop(reservation);
    let took = requests.now().since(received);
    match outcome {
        Ok(completion) => {
            let metrics = requests.metrics();
            metrics.count(Counter::RequestsAnswered);
            metrics.record_answer(&team, &queue, took.into());
            Ok(caller_response(completion))
        }
        Err(error) => Err(failure(&error)),
    }
}

/// A request that passed every check, with the memory reserved for its body.
struct Admitted {
    request: QueueRequest,
    idempotency: Option<String>,
    reservation: BodyReservation,
}

/// Reads and checks a request; a request that fails here has not run.
async fn admit(
    shared: &Shared,
    head: RequestHead,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
    received: Millis,
) -> Result<Admitted, Failure> {
    let requests = &shared.requests;
    let live = shared.configurations.live();
    let authorization = single_header(&head.headers, AUTHORIZATION.as_str())?;
    shared.check_current()?;
    let team = authenticate_team(&live, authorization)?;
    let queue = find_queue(&live, &head.queue, &team)?;
    check_path(&head.path)?;
    let idempotency = single_header(&head.headers, IDEMPOTENCY_HEADER)?;
    let idempotency = idempotency.map(idempotency_key).transpose()?;
    let time_limit = time_limit(&head.headers, queue)?;
    let mut reservation = requests.memory().reserve(&team);
    let limit = shared.settings.bounds.body_bytes;
    let reading = read_body(&head.headers, body, &mut reservation, limit);
    let wait = Duration::from(time_limit.min(BODY_TIMEOUT));
    let slow = |_| Failure::not_run(FailureKind::SlowBody, "the body was not received in time");
    let body = timeout(wait, reading).await.map_err(slow)??;
    let request = QueueRequest {
        id: RequestId(Uuid::now_v7()),
        team,
        key: KeyHash::of(bearer_key(authorization)),
        queue: head.queue,
        class: queue.class,
        idempotent: queue.idempotent,
        path: head.path.into(),
        body,
        deadline: received + time_limit,
    };
    Ok(Admitted {
        request,
        idempotency,
        reservation,
    })
}

fn bearer_key(authorization: Option<&str>) -> &str {
    let key = authorization.and_then(|text| text.strip_prefix("Bearer "));
    key.unwrap_or_default()
}

/// Returns the value of a header that may occur at most once.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(&format!("header {name} occurs more than once")));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| malformed(&format!("header {name} is not text")))
}

fn malformed(detail: &str) -> Failure {
    Failure::not_run(FailureKind::Malformed, detail)
}

fn find_queue<'a>(
    live: &'a LiveConfiguration,
    name: &QueueId,
    team: &TeamId,
) -> Result<&'a Queue, Failure> {
    let refused = |detail: String| Failure::not_run(FailureKind::WrongQueue, &detail);
    let found = live.queue(name);
    let queue = found.ok_or_else(|| refused(format!("queue {name} does not exist")))?;
    if queue.team.as_ref().is_some_and(|only| only != team) {
        return Err(refused(format!("queue {name} belongs to another team")));
    }
    if queue.kind != Kind::Request {
        return Err(refused(format!("queue {name} accepts jobs, not requests")));
    }
    Ok(queue)
}

/// Rejects paths with dot segments, which could leave `/v1/run/` on the backend server.
fn check_path(path: &str) -> Result<(), Failure> {
    let plain = path.split(['?', '#']).next().unwrap_or_default();
    let traverses = plain.split('/').any(|part| {
        let part = part.to_ascii_lowercase().replace("%2e", ".");
        part == ".." || part == "."
    });
    let parsed = format!("http://server/v1/run/{path}").parse::<Uri>();
    if traverses || parsed.is_err() {
        return Err(malformed(
            "the path has a dot segment or is not a valid URI path",
        ));
    }
    Ok(())
}

fn idempotency_key(text: &str) -> Result<String, Failure> {
    let quoted = text.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    let key = quoted.unwrap_or(text);
    let plain = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES || !plain {
        let detail =
            format!("an idempotency key has 1 to {KEY_LIMIT_BYTES} visible ASCII characters");
        return Err(malformed(&detail));
    }
    Ok(key.to_owned())
}

fn time_limit(headers: &HeaderMap, queue: &Queue) -> Result<Millis, Failure> {
    let Some(text) = single_header(headers, DEADLINE_HEADER)? else {
        return Ok(Millis(queue.deadline_ms));
    };
    let wrong = |_| malformed("the deadline is not a number of milliseconds");
    let wanted: u64 = text.parse().map_err(wrong)?;
    Ok(Millis(wanted.min(queue.deadline_ms)))
}

async fn read_body(
    headers: &HeaderMap,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
    reservation: &mut BodyReservation,
    limit: u64,
) -> Result<Bytes, Failure> {
    let too_large = || {
        let detail = format!("a body may have at most {limit} bytes");
        Failure::not_run(FailureKind::TooLarge, &detail)
    };
    let declared = single_header(headers, CONTENT_LENGTH.as_str())?;
    let declared: u64 = declared.and_then(|text| text.parse().ok()).unwrap_or(0);
    if declared > limit {
        return Err(too_large());
    }
    let mut body = std::pin::pin!(body);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|error| malformed(&format!("reading the body: {error}")))?;
        let size = chunk.remaining();
        if (first.len() + rest.len() + size) as u64 > limit {
            return Err(too_large());
        }
        if !reservation.grow(size) {
            let detail = "the memory for request bodies is exhausted; retry later";
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

/// Converts the error of a request into the failure that the caller receives.
fn failure(error: &RequestError) -> Failure {
    let kind = match error.kind {
        ErrorKind::Unknown | ErrorKind::Ran => return Failure::unknown(&error.detail),
        ErrorKind::Full => FailureKind::Busy,
        ErrorKind::Late => FailureKind::Deadline,
        ErrorKind::Withdrawn => FailureKind::InvalidKey,
        ErrorKind::Mismatch => FailureKind::Mismatch,
        ErrorKind::Unreachable | ErrorKind::Elsewhere | ErrorKind::Record => {
            FailureKind::Unavailable
        }
    };
    Failure::not_run(kind, &error.detail)
}

fn caller_response(completion: Completion) -> Response {
    let Completion { response, replayed } = completion;
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let media = response
        .media
        .unwrap_or_else(|| DEFAULT_MEDIA_TYPE.to_owned());
    let reply = warp::reply::with_status(warp::http::Response::new(response.body), status);
    let reply = warp::reply::with_header(reply, "content-type", media);
    if replayed {
        return warp::reply::with_header(reply, REPLAYED_HEADER, "true").into_response();
    }
    reply.into_response()
}
