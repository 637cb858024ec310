//! Pooled HTTP/2 connections to one backend server, each checked by its own pings.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use h2::client::{self, SendRequest};
use h2::{Ping, PingPong};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// The delay between the pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long a ping may remain unanswered before the connection counts as dead.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The limit on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The HTTP/2 flow-control window of a connection and of its stream, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// A connection that carries one request at a time.
pub struct Connection {
    /// The handle that opens streams on the connection.
    pub sender: SendRequest<Bytes>,
    /// Whether the connection has ended; set by the task that drives it.
    closed: Arc<AtomicBool>,
    /// Counts against the limit on open connections to the server.
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// A pool of connections to one backend server.
pub struct ConnectionPool {
    address: SocketAddr,
    /// One permit for each connection that may be open at a time.
    permits: Arc<Semaphore>,
    /// Invariant: no connection here carries a request.
    idle: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    /// Creates a pool of at most `limit` open connections to `address`.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            permits: Arc::new(Semaphore::new(limit)),
            idle: Mutex::default(),
        }
    }

    /// Returns an idle connection, or opens one.
    ///
    /// Fails if the limit is reached or no connection can be opened; no request was sent then.
    pub async fn acquire(&self) -> Result<Connection> {
        if let Some(connection) = self.pop_idle() {
            return Ok(connection);
        }
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            bail!("the limit on open connections is reached");
        };
        let connected = timeout(CONNECT_TIMEOUT, connect(self.address)).await;
        let (sender, closed) = connected.wrap_err("opening a connection")??;
        Ok(Connection {
            sender,
            closed,
            _permit: permit,
        })
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        // Dropping a closed connection releases its permit.
        idle.retain(|connection| !connection.is_closed());
        idle.pop()
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(connection);
    }
}

async fn connect(address: SocketAddr) -> Result<(SendRequest<Bytes>, Arc<AtomicBool>)> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err("opening a connection")?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .enable_push(false)
        .handshake::<_, Bytes>(stream)
        .await
        .wrap_err("HTTP/2 handshake")?;
    let closed = Arc::new(AtomicBool::new(false));
    let flag = closed.clone();
    tokio::spawn(async move {
        let ended = drive(connection).await;
        flag.store(true, Ordering::SeqCst);
        if let Err(error) = ended {
            tracing::debug!(
                "backend: connection to {address} ended: {error:#}; it is not used again."
            );
        }
    });
    Ok((sender, closed))
}

/// Drives a connection until it ends or a ping remains unanswered for too long.
async fn drive(mut connection: client::Connection<TcpStream, Bytes>) -> Result<()> {
    let Some(pings) = connection.ping_pong() else {
        bail!("the connection cannot send pings");
    };
    tokio::select! {
        ended = connection => Ok(ended?),
        dead = ping_until_dead(pings) => Err(dead),
    }
}

/// Sends pings until one fails, and returns the failure.
async fn ping_until_dead(mut pings: PingPong) -> eyre::Report {
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return eyre!("ping was not answered in time"),
        }
    }
}
