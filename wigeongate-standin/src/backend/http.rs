//! HTTP interface of a backend server.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use warp::Filter;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::{Reply, Response};
use wigeongate_api::backend::{EPOCH_HEADER, REQUEST_HEADER, TEAM_HEADER};
use wigeongate_core::ids::{RequestId, TeamId};

use super::fault::ResponseFault;
use super::run::{Request, RunResult};
use super::{Backend, Refusal};

/// Returns the filter for all routes of a backend server.
pub(super) fn routes(
    backend: Arc<Backend>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync {
    let with = warp::any().map(move || backend.clone());
    let run =
        warp::post()
            .and(warp::path!("v1" / "run" / ..))
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .and(with.clone())
            .then(|headers, body, backend: Arc<Backend>| async move {
                run(&backend, &headers, body).await
            });
    let status = warp::get()
        .and(warp::path!("v1" / "status"))
        .and(warp::header::headers_cloned())
        .and(with.clone())
        .map(|headers: HeaderMap, backend: Arc<Backend>| {
            if let Some(epoch) = epoch(&headers) {
                backend.observe_epoch(epoch);
            }
            warp::reply::json(&backend.status()).into_response()
        });
    let runs = warp::get()
        .and(warp::path!("test" / "runs"))
        .and(with.clone())
        .map(|backend: Arc<Backend>| warp::reply::json(&backend.runs()).into_response());
    let fault = warp::put()
        .and(warp::path!("test" / "fault"))
        .and(warp::body::json())
        .and(with)
        .map(|fault, backend: Arc<Backend>| {
            backend.set_fault(fault);
            StatusCode::NO_CONTENT.into_response()
        });
    run.or(status)
        .unify()
        .or(runs)
        .unify()
        .or(fault)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn epoch(headers: &HeaderMap) -> Option<u64> {
    header_text(headers, EPOCH_HEADER)?.parse().ok()
}

async fn run(backend: &Arc<Backend>, headers: &HeaderMap, body: Bytes) -> Response {
    let id = header_text(headers, REQUEST_HEADER).and_then(|id| id.parse().ok());
    let Some(id) = id.map(RequestId) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let request = Request {
        id,
        team: TeamId::from(header_text(headers, TEAM_HEADER).unwrap_or_default()),
        epoch: epoch(headers).unwrap_or_default(),
        body,
    };
    match backend.run(request).await {
        Ok(result) => respond(result).await,
        Err(refusal) => {
            let status = match refusal {
                Refusal::StaleEpoch => StatusCode::CONFLICT,
                Refusal::Full => StatusCode::SERVICE_UNAVAILABLE,
            };
            warp::reply::with_header(status, REQUEST_HEADER, id.to_string()).into_response()
        }
    }
}

/// Builds the HTTP response and applies the fault to it; never returns for a lost response.
async fn respond(result: RunResult) -> Response {
    let RunResult { response, fault } = result;
    let body = match fault {
        ResponseFault::Lost => std::future::pending().await,
        ResponseFault::Truncated => {
            let half = response.body.slice(..response.body.len() / 2);
            vec![Ok(half), Err(io::Error::other("cut"))]
        }
        ResponseFault::None | ResponseFault::Swapped => vec![Ok(response.body)],
    };
    let reply = warp::reply::stream(stream::iter(body));
    warp::reply::with_header(reply, REQUEST_HEADER, response.id).into_response()
}
