//! The settings of one gate.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{GateId, ZoneId};

use crate::key::KeyHash;

/// The settings of one gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the gate; it stays the same across restarts.
    pub gate: GateId,
    /// Availability zone of the gate.
    pub zone: ZoneId,
    /// Listening address for callers and operators.
    pub listen: SocketAddr,
    /// UDP listening address for other gates.
    pub peer: SocketAddr,
    /// Connection to the store.
    pub store: StoreSettings,
    /// Base URL of the platform's host list; if omitted, the list is not read.
    pub hosts: Option<String>,
    /// TLS certificates; if omitted, the gate serves plain HTTP.
    pub tls: Option<TlsSettings>,
    /// Operators and the hashes of their keys.
    pub operators: Vec<Operator>,
    /// Limits on what the gate accepts from callers.
    pub bounds: Bounds,
    /// Durations of the ownership lease and of task leases.
    pub leases: Leases,
    /// Destination of metrics; if omitted, none are sent.
    pub metrics: Option<MetricsSettings>,
    /// Whether inventory addresses are mapped to loopback.
    pub loopback: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gate: GateId::from("gate-1"),
            zone: ZoneId::default(),
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            peer: SocketAddr::from(([127, 0, 0, 1], 8090)),
            store: StoreSettings::default(),
            hosts: None,
            tls: None,
            operators: Vec::new(),
            bounds: Bounds::default(),
            leases: Leases::default(),
            metrics: None,
            loopback: false,
        }
    }
}

/// Connection of a gate to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Base URLs of the store's JSON gateway, tried in order.
    pub endpoints: Vec<String>,
    /// Prefix of all keys that the gates use in the store.
    pub prefix: String,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum rate of calls from this process, in calls per second.
    pub calls_per_second: u32,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            endpoints: vec!["http://127.0.0.1:2379".to_owned()],
            prefix: "/wigeongate/".to_owned(),
            timeout_ms: 2_000,
            calls_per_second: 100,
        }
    }
}

/// Certificate files; they are reloaded when they change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain of this gate, in PEM format.
    pub certificate: PathBuf,
    /// Private key of this gate, in PEM format.
    pub key: PathBuf,
    /// Certificate authority that signs the gates' certificates, in PEM format.
    pub authority: PathBuf,
}

/// Destination of metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address of the statsd server.
    pub address: SocketAddr,
    /// Prefix of all metric names.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 8125)),
            prefix: "wigeongate".to_owned(),
        }
    }
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name shown in the log.
    pub name: String,
    /// Hash of the operator's key.
    pub hash: KeyHash,
}

/// Limits on what a gate accepts from callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Timeout of the TLS handshake, and then of the first request head, in milliseconds.
    pub header_ms: u64,
    /// Maximum time to wait for the next complete head on a connection, in milliseconds; longer
    /// than the load balancer keeps idle connections.
    pub idle_ms: u64,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum memory that open connections and the bodies they receive hold, in megabytes.
    pub memory_mb: u64,
    /// Time that a stopping gate accepts callers after it reports that it is not ready, so that the
    /// load balancer notices, in milliseconds.
    pub leave_ms: u64,
    /// Maximum time that a graceful shutdown waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            header_ms: 5_000,
            idle_ms: 75_000,
            connections: 4_096,
            memory_mb: 256,
            leave_ms: 2_000,
            drain_ms: 30_000,
        }
    }
}

/// Lease durations, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Leases {
    /// Lease on the ownership of a pool, in milliseconds.
    pub owner_ms: u64,
    /// Lease of a task on a worker, in milliseconds.
    pub task_ms: u64,
}

impl Default for Leases {
    fn default() -> Self {
        Self {
            owner_ms: 6_000,
            task_ms: 30_000,
        }
    }
}
