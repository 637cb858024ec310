//! HTTP server with limits on connections and a graceful shutdown.

mod connection;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};
use warp::{Filter, Reply};
use wigeongate_config::settings::Bounds;

use self::connection::Connection;
use crate::metrics::{Counter, Gauge, Metrics};
use crate::tls::Certificates;

/// The delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP server whose socket is bound to an address.
pub struct Server {
    listener: TcpListener,
    bounds: Bounds,
    tls: Option<TlsAcceptor>,
    metrics: Metrics,
    /// Set once readiness is withdrawn; answers over HTTP/1 then ask to close the connection.
    draining: Arc<AtomicBool>,
}

impl Server {
    /// Binds a socket to `address`; serves plain HTTP and counts nothing by default.
    ///
    /// Fails if the address is not available.
    pub async fn bind(address: SocketAddr, bounds: Bounds) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listening on {address}"))?;
        Ok(Self {
            listener,
            bounds,
            tls: None,
            metrics: Metrics::default(),
            draining: Arc::default(),
        })
    }

    /// Serves TLS with these certificates, or plain HTTP without any.
    ///
    /// Fails if the TLS configuration cannot be built.
    pub fn with_tls(mut self, certificates: Option<&Certificates>) -> Result<Self> {
        let config = certificates.map(Certificates::server_config).transpose()?;
        self.tls = config.map(|config| TlsAcceptor::from(Arc::new(config)));
        Ok(self)
    }

    /// Sets the metrics in which connections are counted.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Returns the address of the bound socket.
    ///
    /// Fails if the operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves `filter` until `stop` is cancelled, then shuts down gracefully.
    ///
    /// The shutdown first calls `withdraw`, which withdraws readiness. For `leave_ms` connections
    /// are still accepted, so that the balancer notices, and each answer over HTTP/1 asks to close
    /// its connection. Then the listener is closed, and requests in flight have `drain_ms` to
    /// finish.
    pub async fn run<F>(self, filter: F, stop: CancellationToken, withdraw: impl FnOnce() + Send)
    where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let shutdown = CancellationToken::new();
        let permits = Arc::new(Semaphore::new(self.bounds.connections));
        let withdraw_delay = Duration::from_millis(self.bounds.leave_ms);
        let withdrawal = async {
            stop.cancelled().await;
            withdraw();
            self.draining.store(true, Ordering::SeqCst);
            info!("serve: readiness is withdrawn, the listener closes in {withdraw_delay:?}.");
            sleep(withdraw_delay).await;
        };
        tokio::select! {
            () = self.accept(&filter, &shutdown, &permits) => {},
            () = withdrawal => {},
        }
        self.accept_backlog(&filter, &shutdown, &permits);
        drop(self.listener);
        let drain = Duration::from_millis(self.bounds.drain_ms);
        shutdown.cancel();
        // Every connection holds a permit until it ends.
        let all_permits = u32::try_from(self.bounds.connections).unwrap_or(u32::MAX);
        let drained = timeout(drain, permits.acquire_many(all_permits)).await;
        info!(
            "serve: the listener is closed, {}.",
            match drained {
                Ok(_) => "all connections have ended",
                Err(_) => "some connections are still open after the drain timeout",
            }
        );
    }

    /// Accepts connections while fewer than the limit are open.
    async fn accept<F>(&self, filter: &F, shutdown: &CancellationToken, permits: &Arc<Semaphore>)
    where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        while let Ok(permit) = permits.clone().acquire_owned().await {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    self.metrics.count(Counter::ConnectionsOpened);
                    let open = self.bounds.connections - permits.available_permits();
                    let open = u64::try_from(open).unwrap_or(u64::MAX);
                    self.metrics.set_gauge(Gauge::ConnectionsOpen, open);
                    self.spawn(stream, peer, filter.clone(), shutdown, permit);
                }
                Err(error) => {
                    warn!(
                        "serve: accepting failed, next attempt in {ACCEPT_RETRY_DELAY:?}: {error}."
                    );
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that wait in the listener's backlog, up to the limit.
    fn accept_backlog<F>(&self, filter: &F, shutdown: &CancellationToken, permits: &Arc<Semaphore>)
    where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        while let Ok(permit) = permits.clone().try_acquire_owned() {
            let Some(Ok((stream, peer))) = self.listener.accept().now_or_never() else {
                return;
            };
            self.spawn(stream, peer, filter.clone(), shutdown, permit);
        }
    }

    fn spawn<F>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        filter: F,
        shutdown: &CancellationToken,
        permit: OwnedSemaphorePermit,
    ) where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let connection = Connection {
            stream,
            bounds: self.bounds.clone(),
            tls: self.tls.clone(),
            shutdown: shutdown.clone(),
            draining: self.draining.clone(),
        };
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.serve(filter).await {
                metrics.count(Counter::ConnectionsFailed);
                debug!("serve: closed the connection from {peer} after an error: {error}.");
            }
            drop(permit);
        });
    }
}
