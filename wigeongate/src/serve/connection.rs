//! Serves one connection of a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use warp::http::Request;
use warp::http::header::{CONNECTION, HeaderValue};
use warp::{Filter, Reply};
use wigeongate_config::settings::Bounds;

use crate::connection_budget::{Connection as Held, OpenConnection};
use crate::guarded_body::{BodyCharge, GuardedBody};
use crate::guarded_stream::GuardedStream;

/// The error with which a connection ended early.
type ConnectionError = Box<dyn std::error::Error + Send + Sync>;

/// The interval of the HTTP/2 pings that detect a silent caller that no longer answers.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// The largest number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// The ALPN name of HTTP/2.
const HTTP2_PROTOCOL: &[u8] = b"h2";

/// An accepted connection.
pub struct Connection {
    /// The TCP stream to the caller.
    pub stream: TcpStream,
    /// Limits on header sizes and waiting times.
    pub bounds: Bounds,
    /// Accepts TLS; `None` for plain HTTP.
    pub tls: Option<TlsAcceptor>,
    /// Cancelled when the connection should end once no request is in flight.
    pub shutdown: CancellationToken,
    /// Whether the gate is draining, so that callers should go to another one.
    pub draining: Arc<AtomicBool>,
    /// What the connection holds.
    pub held: OpenConnection,
}

/// The HTTP version, timeout and shutdown signals with which a stream is served.
struct HttpSession {
    builder: Builder<TokioExecutor>,
    /// The timeout of the first request's head.
    header_timeout: Duration,
    shutdown: CancellationToken,
    /// Whether answers ask to close the connection; `None` for HTTP/2, whose graceful shutdown
    /// needs no header.
    draining: Option<Arc<AtomicBool>>,
    held: Arc<Held>,
}

/// A request that the gate answers. It ends with the future of its answer, which is dropped early when
/// the client resets an HTTP/2 stream.
struct RequestGuard(Arc<Held>);

impl RequestGuard {
    fn new(held: Arc<Held>) -> Self {
        held.begin_request();
        Self(held)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request(0);
    }
}

impl Connection {
    /// Serves requests until either end closes the connection.
    ///
    /// Fails if the TLS handshake or the first request's head takes longer than `header_ms`, or
    /// on a connection error.
    pub async fn serve<F>(self, filter: F) -> Result<(), ConnectionError>
    where
        F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let held = self.held.share();
        tokio::select! {
            ended = self.serve_open(filter) => ended,
            () = held.closing() => Err("the listener needed its resources".into()),
        }
    }

    async fn serve_open<F>(self, filter: F) -> Result<(), ConnectionError>
    where
        F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let held = self.held.share();
        let _ = self.stream.set_nodelay(true);
        let header_timeout = Duration::from_millis(self.bounds.header_ms);
        let plain = HttpSession {
            builder: http1(&self.bounds),
            header_timeout,
            shutdown: self.shutdown,
            draining: Some(self.draining),
            held: Arc::clone(&held),
        };
        let Some(tls) = self.tls else {
            let stream = GuardedStream::new(self.stream, held);
            return plain.serve(stream, filter).await;
        };
        let stream = timeout(header_timeout, tls.accept(self.stream)).await??;
        if stream.get_ref().1.alpn_protocol() != Some(HTTP2_PROTOCOL) {
            return plain.serve(GuardedStream::new(stream, held), filter).await;
        }
        // Frames of HTTP/2 are not heads or bodies; its own windows bound what is buffered.
        let session = HttpSession {
            builder: http2(&self.bounds),
            draining: None,
            ..plain
        };
        session.serve(stream, filter).await
    }
}

impl HttpSession {
    /// Serves requests; the first one's head has to arrive within the header timeout.
    async fn serve<F>(
        self,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        filter: F,
    ) -> Result<(), ConnectionError>
    where
        F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let first_request = CancellationToken::new();
        let received = first_request.clone();
        let draining = self.draining;
        let inner = TowerToHyperService::new(warp::service(filter));
        let held = self.held;
        let service = service_fn(move |request: Request<Incoming>| {
            received.cancel();
            let draining = draining.clone();
            let held = Arc::clone(&held);
            let request_guard = RequestGuard::new(Arc::clone(&held));
            let charge = BodyCharge::new(Arc::clone(&held));
            let request = request.map(|body| GuardedBody::new(body, Arc::clone(&charge)));
            let answer = inner.call(request);
            async move {
                let answer = answer.await;
                drop(charge);
                drop(request_guard);
                let mut answer = answer?;
                if draining.is_some_and(|draining| draining.load(Ordering::SeqCst)) {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // A caller that has just connected may have sent a request that is not read yet, so the
        // connection is not shut down before its first request or the header timeout.
        tokio::select! {
            ended = connection.as_mut() => return ended,
            received = timeout(self.header_timeout, first_request.cancelled()) => received?,
        }
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = self.shutdown.cancelled() => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }
}

fn http1(bounds: &Bounds) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.idle_ms))
        .max_buf_size(bounds.header_bytes);
    builder
}

fn http2(bounds: &Bounds) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new()).http2_only();
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(Duration::from_millis(bounds.header_ms))
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(bounds.header_bytes).unwrap_or(u32::MAX));
    builder
}
