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

/// How long the head of a request may take, in milliseconds: the operators' limit.
const HEADER_TIMEOUT_MS: u64 = 15_000;

/// How long the end of a listener waits for answers under way, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// An answer.
pub type Reply = Response<Full<Bytes>>;

/// Binds an address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))
}

/// Serves connections until the token is cancelled, then lets answers under way finish.
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
                    warn!(%error, "listen: no connection.");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = stop.cancelled() => break,
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error, "listen: no delay cannot be set.");
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
                debug!(%error, "listen: connection ended.");
            }
        });
    }
    drop(listener);
    let drain_timeout = Duration::from_millis(DRAIN_TIMEOUT_MS);
    if tokio::time::timeout(drain_timeout, connections.shutdown())
        .await
        .is_err()
    {
        warn!("listen: answers were still under way.");
    }
}
