//! The readiness endpoint for the load balancer, and the metrics endpoint.

use std::fmt::Write;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use wigeongate_platform::job_api;

use super::listen::Reply;
use super::shared::Shared;

/// Answers 200 if this gate accepts new connections, which needs a configuration, 503 otherwise.
pub fn answer(shared: &Shared, request: &Request<Incoming>) -> Reply {
    if request.uri().path() != job_api::READY_PATH {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    let has_configuration = shared.manifest.load().is_some();
    let ready = has_configuration && !shared.is_stopping();
    empty_reply(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Answers with the metrics as text.
pub fn metrics(shared: &Shared) -> Reply {
    let mut text = shared.metrics.render();
    let age_ms = shared.configuration_age().0;
    let _ = writeln!(text, "wigeongate_configuration_age_ms {age_ms}");
    Response::new(Full::new(Bytes::from(text)))
}

/// Builds a reply without a body.
pub fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
