//! HTTP server with limits on connections and a graceful shutdown.

mod connection;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};
use warp::{Filter, Reply};
use wigeongate_config::settings::Bounds;
use wigeongate_core::time::Millis;

use self::connection::Connection;
use crate::connection_budget::{
    BudgetLimits, BudgetObserver, CloseReason, ClosedConnection, ConnectionBudget, StallLimits,
};
use crate::metrics::{Counter, Gauge, Metrics};
use crate::tls::Certificates;

/// The delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The interval at which the clock of the budget advances.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The session applies the time limits itself, and pings clients of HTTP/2.
const NO_STALL_LIMITS: StallLimits = StallLimits {
    head: Millis(u64::MAX),
    idle: Millis(u64::MAX),
};

/// Held by each connection until it ends.
type Alive = mpsc::Sender<()>;

/// Counts the connections that the budget closes.
#[derive(Debug)]
struct MetricsObserver(Metrics);

impl BudgetObserver for MetricsObserver {
    fn record_closed(&self, closed: &ClosedConnection) {
        self.0.count(Counter::ConnectionsRefused);
        let (reason, peer, held) = (closed.reason, closed.peer, closed.held);
        if reason == CloseReason::Budget {
            debug!("serve: closed the connection from {peer}, which held {held} bytes: {reason}.");
        }
    }

    fn record_usage(&self, connections: usize, _: u64) {
        let open = u64::try_from(connections).unwrap_or(u64::MAX);
        self.0.set_gauge(Gauge::ConnectionsOpen, open);
    }
}

/// An HTTP server whose socket is bound to an address.
pub struct Server {
    listener: TcpListener,
    bounds: Bounds,
    tls: Option<TlsAcceptor>,
    metrics: Metrics,
    budget: Arc<ConnectionBudget>,
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
        let metrics = Metrics::default();
        Ok(Self {
            listener,
            budget: budget(&bounds, &metrics),
            bounds,
            tls: None,
            metrics,
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
        self.budget = budget(&self.bounds, &metrics);
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
        // Every connection holds a sender until it ends.
        let (alive, mut ended) = mpsc::channel(1);
        let withdraw_delay = Duration::from_millis(self.bounds.leave_ms);
        let withdrawal = async {
            stop.cancelled().await;
            withdraw();
            self.draining.store(true, Ordering::SeqCst);
            info!("serve: readiness is withdrawn, the listener closes in {withdraw_delay:?}.");
            sleep(withdraw_delay).await;
        };
        tokio::select! {
            () = self.accept(&filter, &shutdown, &alive) => {},
            () = withdrawal => {},
        }
        self.accept_backlog(&filter, &shutdown, &alive);
        drop(self.listener);
        let drain = Duration::from_millis(self.bounds.drain_ms);
        shutdown.cancel();
        drop(alive);
        let drained = timeout(drain, ended.recv()).await;
        info!(
            "serve: the listener is closed, {}.",
            match drained {
                Ok(_) => "all connections have ended",
                Err(_) => "some connections are still open after the drain timeout",
            }
        );
    }

    /// Accepts connections; beyond the limits it closes those that have stalled for longest.
    async fn accept<F>(&self, filter: &F, shutdown: &CancellationToken, alive: &Alive)
    where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = check.tick() => {
                    self.budget.advance(CHECK_INTERVAL.into(), NO_STALL_LIMITS);
                    continue;
                }
            };
            match accepted {
                Ok((stream, peer)) => {
                    self.metrics.count(Counter::ConnectionsOpened);
                    self.spawn(stream, peer, filter.clone(), shutdown, alive);
                }
                Err(error) => {
                    warn!(
                        "serve: accepting failed, next attempt in {ACCEPT_RETRY_DELAY:?}: {error}."
                    );
                    // The gate may be out of descriptors.
                    self.budget.close_worst();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that wait in the listener's backlog, at most the limit.
    fn accept_backlog<F>(&self, filter: &F, shutdown: &CancellationToken, alive: &Alive)
    where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        for _ in 0..self.bounds.connections {
            let Some(Ok((stream, peer))) = self.listener.accept().now_or_never() else {
                return;
            };
            self.spawn(stream, peer, filter.clone(), shutdown, alive);
        }
    }

    fn spawn<F>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        filter: F,
        shutdown: &CancellationToken,
        alive: &Alive,
    ) where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let Some(held) = self.budget.open(peer) else {
            return;
        };
        let connection = Connection {
            stream,
            bounds: self.bounds.clone(),
            tls: self.tls.clone(),
            shutdown: shutdown.clone(),
            draining: self.draining.clone(),
            held,
        };
        let alive = alive.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.serve(filter).await {
                metrics.count(Counter::ConnectionsFailed);
                debug!("serve: closed the connection from {peer} after an error: {error}.");
            }
            drop(alive);
        });
    }
}

fn budget(bounds: &Bounds, metrics: &Metrics) -> Arc<ConnectionBudget> {
    let limits = BudgetLimits {
        connections: bounds.connections,
        bytes: bounds.memory_mb << 20,
    };
    ConnectionBudget::new(limits, Arc::new(MetricsObserver(metrics.clone())))
}
