//! The platform's list of hosts, read as `GET /v1/hosts`.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::HostId;

/// The platform's lagging list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostList {
    /// The hosts that the platform knows; one that is absent is gone.
    pub hosts: Vec<ListedHost>,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host.
    pub name: HostId,
    /// Whether the host is about to leave.
    pub leaving: bool,
}
