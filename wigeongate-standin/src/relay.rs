//! TCP relay that can stall its open connections without closing them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::serve::ServerHandle;

/// Size of the copy buffer for each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// TCP relay with fault injection.
#[derive(Debug)]
pub struct Relay {
    /// Number of stalls so far; a connection opened before the latest one forwards no more data.
    stalls: watch::Sender<u64>,
    /// Whether new connections are closed immediately.
    refusing: AtomicBool,
}

impl Relay {
    /// Creates a relay that accepts connections.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            stalls: watch::Sender::new(0),
            refusing: AtomicBool::default(),
        })
    }

    /// Stops forwarding on all open connections without closing them; new connections work.
    pub fn stall_connections(&self) {
        self.stalls.send_modify(|count| *count += 1);
    }

    /// Sets whether new connections are closed immediately.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Listens on `address` and forwards connections to `target`.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn(
        self: &Arc<Self>,
        address: SocketAddr,
        target: SocketAddr,
    ) -> Result<ServerHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let relay = self.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !relay.refusing.load(Ordering::SeqCst) {
                    tokio::spawn(relay.clone().forward(stream, target));
                }
            }
        });
        Ok(ServerHandle::new(address, task))
    }

    /// Forwards both directions of a connection; closes it if `target` refuses.
    async fn forward(self: Arc<Self>, from: TcpStream, target: SocketAddr) {
        let Ok(to) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let stalls = self.stalls.subscribe();
        let (from_read, from_write) = from.into_split();
        let (to_read, to_write) = to.into_split();
        tokio::join!(
            copy(from_read, to_write, stalls.clone()),
            copy(to_read, from_write, stalls),
        );
    }
}

/// Copies until the stream ends; after a stall, keeps both sockets open and copies nothing.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut stalls: watch::Receiver<u64>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = stalls.changed() => break,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}
