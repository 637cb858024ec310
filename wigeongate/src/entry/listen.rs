//! Serves HTTP on one address.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

/// How long a client may take to send the header of a request, in milliseconds; the operators set
/// this limit.
const HEADER_TIMEOUT_MS: u64 = 15_000;

/// How long the shutdown of a listener waits for requests in progress, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// An HTTP response with a complete body.
pub type Reply = Response<Full<Bytes>>;

/// Binds a TCP listener; the error names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))
}

/// Serves connections until the token is cancelled, then lets requests in progress finish.
pub async fn serve<F, A>(listener: TcpListener, answer: F, stop: CancellationToken)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    let connections = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(%error, "listen: accepting a connection failed; trying again.");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = stop.cancelled() => break,
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error,
                "listen: TCP_NODELAY cannot be set; the connection is served without it.");
        }
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let reply = answer(request);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
            .serve_connection(TokioIo::new(stream), service);
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(%error, "listen: the connection ended with an error.");
            }
        });
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
