//! Serves HTTP on one address.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};
use wigeongate_core::time::Millis;
use wigeongate_platform::manifest::RequestLimits;

use crate::connection_budget::{
    CloseReason, Connection, ConnectionBudget, OpenConnection, StallLimits,
};
use crate::guarded_stream::GuardedStream;

/// How long the shutdown of a listener waits for requests in progress, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// The interval at which a listener looks for connections that have stalled, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// The most that the budget's clock advances at once, in milliseconds. While the process stood
/// still, clients could not make progress.
const MAX_ADVANCE_MS: u64 = 500;

/// The smallest read buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The first size of the buffer of a body, in bytes.
const FIRST_BODY_BYTES: usize = 2_048;

/// An HTTP response with a complete body.
pub type Reply = Response<Full<Bytes>>;

/// A listener with the limits of its clients.
pub struct Listener<L> {
    /// The bound socket.
    pub socket: TcpListener,
    /// The bound on what its connections hold.
    pub budget: Arc<ConnectionBudget>,
    /// Returns the limits on requests that are in force.
    pub limits: L,
}

/// A complete body, which counts as held until its request is answered.
pub struct ReceivedBody {
    /// The bytes.
    pub bytes: Vec<u8>,
    connection: Arc<Connection>,
}

impl ReceivedBody {
    /// Charges memory that the request needs besides its body; the error is the reply that refuses
    /// the request.
    pub fn charge(&self, bytes: usize) -> Result<(), Box<Reply>> {
        if self.connection.charge(bytes as u64) {
            return Ok(());
        }
        self.connection.report(CloseReason::Budget);
        Err(Box::new(closing_reply(StatusCode::SERVICE_UNAVAILABLE)))
    }
}

/// Binds a TCP listener; the error names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))
}

/// Serves connections until the token is cancelled, then lets requests in progress finish.
pub async fn serve<L, F, A>(listener: Listener<L>, answer: F, stop: CancellationToken)
where
    L: Fn() -> RequestLimits,
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    let connections = GracefulShutdown::new();
    let mut check = interval(Duration::from_millis(CHECK_INTERVAL_MS));
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checked = Instant::now();
    loop {
        let accepted = tokio::select! {
            accepted = listener.socket.accept() => accepted,
            _ = check.tick() => {
                advance(&listener, &mut checked);
                continue;
            }
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Some(connection) = listener.budget.open(peer) {
                    let limits = (listener.limits)();
                    spawn_connection(stream, connection, limits, &connections, answer.clone());
                }
            }
            Err(error) => {
                warn!(%error, "listen: accepting a connection failed; trying again.");
                // The gate may be out of descriptors.
                listener.budget.close_worst();
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Connections that were closed for this one release their memory and descriptors first.
        tokio::task::yield_now().await;
    }
    drop(listener);
    let drain_timeout = Duration::from_millis(DRAIN_TIMEOUT_MS);
    if tokio::time::timeout(drain_timeout, connections.shutdown())
        .await
        .is_err()
    {
        warn!("listen: requests were still in progress at the end of the shutdown.");
    }
}

/// Advances the clock of the budget and closes connections that have stalled.
fn advance<L: Fn() -> RequestLimits>(listener: &Listener<L>, checked: &mut Instant) {
    let now = Instant::now();
    let elapsed = Millis::from(now.duration_since(*checked)).0;
    *checked = now;
    let limits = (listener.limits)();
    // The time of a connection's last progress may be that of the check before, so that a client at
    // the limit must not be taken for one over it.
    let late = Millis(MAX_ADVANCE_MS);
    let stall_limits = StallLimits {
        head: limits.head_timeout + late,
        idle: limits.idle_timeout + late,
    };
    let elapsed = Millis(elapsed.min(MAX_ADVANCE_MS));
    listener.budget.advance(elapsed, stall_limits);
}

fn spawn_connection<F, A>(
    stream: TcpStream,
    open: OpenConnection,
    limits: RequestLimits,
    connections: &GracefulShutdown,
    answer: F,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "listen: TCP_NODELAY cannot be set; the connection is served without it.");
    }
    let connection = open.share();
    let stream = GuardedStream::new(stream, Arc::clone(&connection));
    let served = Arc::clone(&connection);
    let service = service_fn(move |mut request: Request<Incoming>| {
        served.begin_request();
        request.extensions_mut().insert(Arc::clone(&served));
        let reply = answer(request);
        let served = Arc::clone(&served);
        async move {
            let reply = reply.await;
            served.end_request(reply.body().size_hint().lower());
            Ok::<_, Infallible>(reply)
        }
    });
    let idle_ms = limits.head_timeout.0.saturating_add(limits.idle_timeout.0);
    let idle_timeout = Duration::from_millis(idle_ms.saturating_add(2 * MAX_ADVANCE_MS));
    let http = http1::Builder::new()
        .timer(TokioTimer::new())
        // The budget applies the exact timeouts; hyper knows only one for both.
        .header_read_timeout(idle_timeout)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let http = connections.watch(http);
    tokio::spawn(async move {
        let ended = tokio::select! {
            ended = http => ended,
            () = connection.closing() => Ok(()),
        };
        if let Err(error) = ended {
            if error.is_parse_too_large() {
                connection.report(CloseReason::LargeHead);
            }
            debug!(%error, "listen: the connection ended with an error.");
        }
        drop(open);
    });
}

/// Receives a body into one buffer, which is charged to the budget of the listener as it grows; the
/// error is the reply that refuses the request.
pub async fn read_body(
    mut request: Request<Incoming>,
    limit: usize,
) -> Result<ReceivedBody, Box<Reply>> {
    let connection: Option<Arc<Connection>> = request.extensions_mut().remove();
    let connection = connection.expect("the listener sets the connection");
    connection.begin_body();
    let received = receive(request.into_body(), limit, &connection).await;
    connection.end_body();
    match received {
        Ok(bytes) => Ok(ReceivedBody { bytes, connection }),
        Err((status, reason)) => {
            if let Some(reason) = reason {
                connection.report(reason);
            }
            Err(Box::new(closing_reply(status)))
        }
    }
}

/// The status that refuses a body, with the limit that it exceeds.
type BodyRefusal = (StatusCode, Option<CloseReason>);

async fn receive(
    mut body: Incoming,
    limit: usize,
    connection: &Connection,
) -> Result<Vec<u8>, BodyRefusal> {
    let too_large = (StatusCode::PAYLOAD_TOO_LARGE, Some(CloseReason::LargeBody));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large);
    }
    let mut buffer = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = connection.stalled() => {
                return Err((StatusCode::REQUEST_TIMEOUT, Some(CloseReason::SlowBody)));
            }
        };
        let Some(frame) = frame else {
            return Ok(buffer);
        };
        let Ok(frame) = frame else {
            return Err((StatusCode::BAD_REQUEST, None));
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if data.len() > limit - buffer.len() {
            return Err(too_large);
        }
        if !reserve(&mut buffer, data.len(), limit, connection) {
            return Err((StatusCode::SERVICE_UNAVAILABLE, Some(CloseReason::Budget)));
        }
        buffer.extend_from_slice(data);
    }
}

/// Grows the buffer so that `bytes` more fit; returns false if the budget has no room for it.
fn reserve(buffer: &mut Vec<u8>, bytes: usize, limit: usize, connection: &Connection) -> bool {
    let needed = buffer.len() + bytes;
    let capacity = buffer.capacity();
    if needed <= capacity {
        return true;
    }
    let target = (2 * capacity).max(FIRST_BODY_BYTES).min(limit).max(needed);
    if !connection.charge((target - capacity) as u64) {
        return false;
    }
    buffer.reserve_exact(target - buffer.len());
    true
}

/// Builds a reply without a body after which the connection is closed.
fn closing_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    reply
}
