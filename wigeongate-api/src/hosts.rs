//! The platform's list of hosts, returned by `GET /v1/hosts`.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::HostId;

/// The platform's list of hosts, which lags behind the actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostList {
    /// The hosts known to the platform; a host that is missing here has been removed.
    pub hosts: Vec<ListedHost>,
}

/// A host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The name of the host.
    pub name: HostId,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}
