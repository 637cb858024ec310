//! A relay in front of a socket, whose open connections can go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::serve::ServerHandle;

/// The size of a relay's buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// What happens to the connections through a relay.
#[derive(Debug)]
pub struct Relay {
    /// Connections that were opened before the newest count carry nothing any more.
    stalls: watch::Sender<u64>,
    /// Whether new connections are closed at once.
    refusing: AtomicBool,
}

impl Relay {
    /// Makes a relay.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            stalls: watch::Sender::new(0),
            refusing: AtomicBool::default(),
        })
    }

    /// Lets every open connection go silent without closing it; new ones work.
    pub fn stall_connections(&self) {
        self.stalls.send_modify(|count| *count += 1);
    }

    /// Closes new connections at once, or takes them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Listens on `address` and relays to `target`.
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

/// Copies until the end; once silenced it holds both ends open and copies nothing.
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
