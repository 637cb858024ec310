//! Backend servers, as the daemon reaches them.

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

/// A request on its way to a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// Its identifier.
    pub id: RequestId,
    /// The epoch of the sender's ownership.
    pub epoch: Epoch,
    /// The team whose work it is.
    pub team: TeamId,
    /// The path behind the queue's name.
    pub path: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// The time that is left.
    pub timeout: Millis,
}

/// A backend server's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendResponse {
    /// The status code.
    pub status: u16,
    /// The media type.
    pub media: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What a failed request says of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The server, or the way to it, failed.
    Server,
    /// It has no free slot.
    Full,
    /// It has seen a newer epoch.
    StaleEpoch,
    /// The answer belongs to another request.
    MismatchedId,
    /// The time was over.
    Deadline,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum BackendError {
    /// It is certain that the request did not run.
    #[display("backend server {peer}: the request did not run: {reason}")]
    NotRun {
        /// The backend server's address.
        peer: SocketAddr,
        /// What it says of the server.
        fault: Fault,
        /// What was seen.
        reason: String,
    },
    /// The request may have run.
    #[display("backend server {peer}: the request may have run: {reason}")]
    Unknown {
        /// The backend server's address.
        peer: SocketAddr,
        /// What it says of the server.
        fault: Fault,
        /// What was seen.
        reason: String,
    },
}

/// Reaches one backend server.
pub trait BackendClient: Send + Sync + 'static {
    /// Sends a request once and waits for its whole answer.
    fn run(&self, request: BackendRequest) -> BoxFuture<'_, Result<BackendResponse, BackendError>>;

    /// Tells the server an epoch and asks how it stands.
    fn status(&self, epoch: Epoch, within: Millis) -> BoxFuture<'_, eyre::Result<BackendStatus>>;
}

impl BackendError {
    /// Returns what the error says of the backend server.
    pub const fn fault(&self) -> Fault {
        match self {
            Self::NotRun { fault, .. } | Self::Unknown { fault, .. } => *fault,
        }
    }
}
