//! Clients of backend servers.

mod connection;
mod http;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::BoxFuture;
use wigeongate_api::backend::BackendStatus;
use wigeongate_core::ids::{Epoch, RequestId, TeamId};
use wigeongate_core::time::Millis;

pub use self::http::{HttpBackend, HttpSettings};

/// A request to a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// The identifier of this attempt; the server echoes it in its response.
    pub id: RequestId,
    /// The epoch under which the sending gate owns the server's lane; the server refuses older
    /// epochs than the newest it has seen.
    pub epoch: Epoch,
    /// The team that sent the request.
    pub team: TeamId,
    /// The path and query after the prefix that names the queue.
    pub path: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// The time left until the deadline, in milliseconds.
    pub timeout: Millis,
}

/// The complete response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendResponse {
    /// The status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub media: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What a failed request shows about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The server or the connection to it failed.
    Server,
    /// The server has no free slot.
    Full,
    /// The server has seen a newer epoch of its lane.
    StaleEpoch,
    /// The response carries the identifier of another request.
    MismatchedId,
    /// The deadline passed.
    Deadline,
}

/// Why a request to a backend server has no response.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum BackendError {
    /// The request certainly did not run.
    #[display("backend server {peer}: the request did not run: {reason}")]
    NotRun {
        /// The backend server's address.
        peer: SocketAddr,
        /// What the failure shows about the server.
        fault: Fault,
        /// The failed step and its error.
        reason: String,
    },
    /// The request may have run.
    #[display("backend server {peer}: the request may have run: {reason}")]
    Unknown {
        /// The backend server's address.
        peer: SocketAddr,
        /// What the failure shows about the server.
        fault: Fault,
        /// The failed step and its error.
        reason: String,
    },
}

/// A client of one backend server.
pub trait BackendClient: Send + Sync + 'static {
    /// Sends a request once and waits for the complete response.
    ///
    /// The error says whether the request may have run.
    fn run(&self, request: BackendRequest) -> BoxFuture<'_, Result<BackendResponse, BackendError>>;

    /// Sends the current epoch to the server and returns its status.
    ///
    /// Fails if the status cannot be read within `within`, in milliseconds.
    fn status(&self, epoch: Epoch, within: Millis) -> BoxFuture<'_, eyre::Result<BackendStatus>>;
}

impl BackendError {
    /// Returns what the error shows about the backend server.
    pub const fn fault(&self) -> Fault {
        match self {
            Self::NotRun { fault, .. } | Self::Unknown { fault, .. } => *fault,
        }
    }
}
