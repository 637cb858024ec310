//! A forwarding proxy on loopback that cuts, holds or drops what passes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    Pass,
    /// They wait, and pass later, also when the sender has closed the connection.
    Hold,
}

/// How the link is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Link {
    /// The address to which new connections lead.
    target: SocketAddr,
    refuses: bool,
    towards: Flow,
    back: Flow,
    /// Connections with lower numbers are silent towards the target, or back, for good.
    silent_towards: u64,
    silent_back: u64,
    /// Connections with lower numbers are reset.
    reset: u64,
    /// The number of the next connection.
    next: u64,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: Arc<watch::Sender<Link>>,
    accepting: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Starts a proxy.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let link = Link {
            target,
            refuses: false,
            towards: Flow::Pass,
            back: Flow::Pass,
            silent_towards: 0,
            silent_back: 0,
            reset: 0,
            next: 0,
        };
        let link = Arc::new(watch::Sender::new(link));
        let accepting = tokio::spawn(accept(address, Arc::clone(&link))).abort_handle();
        Self {
            address,
            link,
            accepting,
        }
    }

    fn change(&self, change: impl FnOnce(&mut Link)) {
        self.link.send_modify(change);
    }

    /// Leads new connections to another address; open ones stay.
    pub fn lead_to(&self, target: SocketAddr) {
        self.change(|link| link.target = target);
    }

    /// Refuses new connections, or accepts them again; open ones work on.
    pub fn refuse(&self, refuses: bool) {
        self.change(|link| link.refuses = refuses);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.change(|link| link.reset = link.next);
    }

    /// Waits for the next connection.
    pub async fn next_connection(&self) {
        let mut link = self.link.subscribe();
        let next = link.borrow().next;
        // Fails only after the proxy has ended.
        let _ = link.wait_for(|link| link.next > next).await;
    }

    /// Makes all open connections silent for good, in the directions given.
    pub fn silence(&self, towards: bool, back: bool) {
        self.change(|link| {
            if towards {
                link.silent_towards = link.next;
            }
            if back {
                link.silent_back = link.next;
            }
        });
    }

    /// Holds the bytes of each direction, or lets them pass.
    pub fn set_flow(&self, towards: Flow, back: Flow) {
        self.change(|link| (link.towards, link.back) = (towards, back));
    }
}

async fn accept(address: SocketAddr, link: Arc<watch::Sender<Link>>) {
    let mut changes = link.subscribe();
    loop {
        let is_open = |link: &Link| !link.refuses;
        if changes.wait_for(is_open).await.is_err() {
            return;
        }
        let Ok(listener) = TcpListener::bind(address).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        loop {
            tokio::select! {
                biased;
                _ = changes.wait_for(|link| link.refuses) => break,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let mut number = 0;
                    link.send_modify(|link| {
                        number = link.next;
                        link.next += 1;
                    });
                    tokio::spawn(forward(stream, number, link.subscribe()));
                }
            }
        }
    }
}

async fn forward(near: TcpStream, number: u64, mut link: watch::Receiver<Link>) {
    let target = link.borrow().target;
    let Ok(far) = TcpStream::connect(target).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let (to_far, from_near) = mpsc::unbounded_channel();
    let (to_near, from_far) = mpsc::unbounded_channel();
    let towards = |link: &Link| (link.towards, link.silent_towards > number);
    let back = |link: &Link| (link.back, link.silent_back > number);
    let pumps = async {
        tokio::join!(
            read(near_in, to_far),
            read(far_in, to_near),
            write(far_out, from_near, link.clone(), towards),
            write(near_out, from_far, link.clone(), back),
        )
    };
    let mut resets = link.clone();
    tokio::select! {
        _ = pumps => {}
        _ = resets.wait_for(|link| link.reset > number) => {}
    }
    link.mark_unchanged();
}

async fn read(mut from: tokio::net::tcp::OwnedReadHalf, to: mpsc::UnboundedSender<Vec<u8>>) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        let _ = to.send(bytes[..length].to_vec());
    }
}

async fn write(
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut from: mpsc::UnboundedReceiver<Vec<u8>>,
    mut link: watch::Receiver<Link>,
    state: impl Fn(&Link) -> (Flow, bool),
) {
    loop {
        let bytes = from.recv().await;
        // Silence is decided before the wait: what is held is delivered later, also when the
        // connection is silent by then.
        let is_silent = state(&link.borrow()).1;
        if is_silent {
            // A silent connection shows neither bytes nor its end.
            std::future::pending::<()>().await;
        }
        let passes = |link: &Link| state(link).0 == Flow::Pass;
        if link.wait_for(passes).await.is_err() {
            return;
        }
        let Some(bytes) = bytes else {
            let _ = to.shutdown().await;
            return;
        };
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
