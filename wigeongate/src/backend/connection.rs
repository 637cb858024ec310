//! Connections to one backend server, each with its own sign of life.

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

/// How often a connection is asked for a sign of life.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long a connection may owe a sign of life before it counts as dead.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The window for a body on one connection, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// A connection that carries one request at a time.
pub struct Connection {
    /// The sending side.
    pub sender: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
    /// Its place among the connections that the server takes.
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// The connections to one backend server.
pub struct ConnectionPool {
    address: SocketAddr,
    /// Places for connections, which bound how many are open at a time.
    permits: Arc<Semaphore>,
    /// Invariant: no connection here carries a request.
    idle: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    /// Makes room for at most `most` connections to `address`.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            permits: Arc::new(Semaphore::new(limit)),
            idle: Mutex::default(),
        }
    }

    /// Returns a connection that nobody else uses, opened if need be.
    ///
    /// An error means that nothing was sent.
    pub async fn acquire(&self) -> Result<Connection> {
        if let Some(connection) = self.pop_idle() {
            return Ok(connection);
        }
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            bail!("every connection is in use");
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
        // A closed connection leaves its place when it is dropped here.
        idle.retain(|connection| !connection.is_closed());
        idle.pop()
    }

    /// Takes back a connection whose request has been answered.
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
        .wrap_err("starting HTTP/2")?;
    let closed = Arc::new(AtomicBool::new(false));
    let flag = closed.clone();
    tokio::spawn(async move {
        let ended = drive(connection).await;
        flag.store(true, Ordering::SeqCst);
        if let Err(error) = ended {
            tracing::debug!("backend: the connection to {address} ended: {error:#}.");
        }
    });
    Ok((sender, closed))
}

/// Carries a connection until its end, or until it owes a sign of life for too long.
async fn drive(mut connection: client::Connection<TcpStream, Bytes>) -> Result<()> {
    let Some(pings) = connection.ping_pong() else {
        bail!("the connection has no sign of life");
    };
    tokio::select! {
        ended = connection => Ok(ended?),
        dead = ping_until_dead(pings) => Err(dead),
    }
}

/// Returns once the connection is dead.
async fn ping_until_dead(mut pings: PingPong) -> eyre::Report {
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return eyre!("it gave no sign of life"),
        }
    }
}
