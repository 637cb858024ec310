//! HTTP server for warp filters.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use warp::{Filter, Reply};

/// Handle of a listening stand-in; dropping it stops the listener.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Wraps the task that accepts connections on `address`.
    pub const fn new(address: SocketAddr, task: JoinHandle<()>) -> Self {
        Self { address, task }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `address` and serves `filter`; fails if the address cannot be bound.
pub async fn serve<F>(address: SocketAddr, filter: F) -> Result<ServerHandle>
where
    F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, filter.clone()));
        }
    });
    Ok(ServerHandle { address, task })
}

/// Serves one HTTP/1.1 or HTTP/2 connection, with Nagle's algorithm disabled.
async fn serve_connection<F>(stream: TcpStream, filter: F)
where
    F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(warp::service(filter));
    let builder = Builder::new(TokioExecutor::new());
    let served = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        tracing::debug!("standin: connection closed with an error: {error}.");
    }
}

/// Returns the address with port zero, so that the system picks a free port.
pub const fn with_port_zero(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), 0)
}
