//! A relay of connections that counts bytes and, on request, HTTP calls.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// How much is read at a time, in bytes.
const BUFFER: usize = 16 << 10;

/// What went through relays.
#[derive(Debug, Default)]
pub struct Counts {
    /// Bytes, both ways.
    pub bytes: AtomicU64,
    /// HTTP requests.
    pub calls: AtomicU64,
}

/// Relays connections to `upstream` and returns where it listens.
pub async fn relay(upstream: SocketAddr, counts: Arc<Counts>) -> Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            if let Ok(far) = TcpStream::connect(upstream).await {
                // Small segments are passed on at once, as without a relay.
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(pass(near_read, far_write, counts.clone(), true));
                tokio::spawn(pass(far_read, near_write, counts.clone(), false));
            }
        }
    });
    Ok(address)
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counts: Arc<Counts>, calls: bool) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if calls && buffer[..count].starts_with(b"POST ") {
            counts.calls.fetch_add(1, Ordering::Relaxed);
        }
    }
}
