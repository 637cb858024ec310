//! Messages between gates and backend servers.
//!
//! Gates use HTTP/2 with prior knowledge and without TLS, send one request at a time on each
//! connection, and treat the connection as dead if a PING is not answered.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{BackendId, Epoch, RequestId, TeamId};

/// The header with the identifier of a forwarded request; the response repeats it.
pub const REQUEST_HEADER: &str = "wigeongate-request";

/// The header with the epoch of the sender's ownership, on forwarded requests and status calls.
pub const EPOCH_HEADER: &str = "wigeongate-epoch";

/// The header with the team that the request belongs to.
pub const TEAM_HEADER: &str = "wigeongate-team";

/// The status of a backend server, returned by `GET /v1/status`.
///
/// Before it answers, the server records the epoch of the call and from then on refuses requests
/// with an older one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The backend server.
    pub server: BackendId,
    /// Whether the server should receive no new requests.
    pub leaving: bool,
    /// The newest epoch that the server has seen.
    pub epoch: Epoch,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The number of running requests.
    pub busy: u32,
    /// The running requests; empty if the server does not list them.
    #[serde(default)]
    pub running: Vec<RunningRequest>,
}

/// A request that a backend server runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// The identifier of the request.
    pub id: RequestId,
    /// The team that the request belongs to.
    pub team: TeamId,
}
