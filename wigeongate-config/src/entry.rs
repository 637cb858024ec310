//! The settings of one gate on an entry host.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};
use wigeongate_core::ids::{GateId, ZoneId};
use wigeongate_core::workflow::Policies;

use crate::check::Check;
use crate::problem::{FieldPath, Problems};

/// The settings of one gate on an entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the gate; it stays the same across restarts.
    pub gate: GateId,
    /// Availability zone of the gate.
    pub zone: ZoneId,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address of the readiness check: whether the gate accepts new connections.
    pub ready: SocketAddr,
    /// Listening address for other gates.
    pub peer: SocketAddr,
    /// Listening address for reading metrics.
    pub metrics: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address and port of the advice service; empty if no queue needs it.
    pub advice: String,
    /// Share of each core that the host grants to the gate.
    #[serde(deserialize_with = "number")]
    pub share: f64,
    /// Number of cores of the host.
    #[serde(deserialize_with = "number")]
    pub cores: f64,
    /// Memory of the gate's machine, in megabytes; 0 stands for a safe default.
    #[serde(deserialize_with = "whole")]
    pub memory_mb: u64,
    /// Number of descriptors that the gate may open; 0 stands for a safe default.
    #[serde(deserialize_with = "whole")]
    pub max_fds: u64,
    /// Number of availability zones whose loss the deployment is provisioned for.
    pub reserve_zones: u32,
    /// Optional scheduling policies.
    pub scheduling: SchedulingSettings,
    /// Share of the machine for the connections of clients.
    pub connections: ConnectionSettings,
    /// Has no effect any more; accepted so that the settings of earlier versions stay valid. The owner
    /// always writes checkpoints of its log.
    pub compaction: PolicyMode,
    /// Time limits set by operators.
    pub bounds: EntryBounds,
}

/// Share of the machine for the connections of clients.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionSettings {
    /// Maximum number of open connections; 0 stands for a share of `max_fds`.
    #[serde(deserialize_with = "whole")]
    pub maximum: u64,
    /// Maximum memory that they hold, in megabytes; 0 stands for a share of `memory_mb`.
    #[serde(deserialize_with = "whole")]
    pub memory_mb: u64,
}

/// What the connections of one listener may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Number of connections.
    pub connections: u64,
    /// Memory, in bytes.
    pub bytes: u64,
}

/// What the connections of each listener may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// For callers.
    pub callers: ListenerLimits,
    /// For other gates.
    pub peer: ListenerLimits,
    /// For readiness checks.
    pub ready: ListenerLimits,
    /// For metrics.
    pub metrics: ListenerLimits,
}

/// Memory of the smallest machine that runs gates, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 160;

/// Descriptors on the smallest machine that runs gates.
const DEFAULT_MAX_FDS: u64 = 4_100;

/// Memory that a gate needs apart from connections, in megabytes.
const OWN_MEMORY_MB: u64 = 40;

/// The part of the machine's memory that accepted jobs may take: one in this many.
const JOBS_DIVISOR: u64 = 8;

/// Descriptors for files, listeners and the runtime.
const FILE_FDS: u64 = 200;

/// Smallest number of connections of a listener.
const MIN_CONNECTIONS: u64 = 8;

/// Smallest memory for connections that has room for one request of the largest legal size on each
/// listener, in megabytes.
const MIN_CONNECTION_MB: u64 = 8;

/// Whether a policy is in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PolicyMode {
    /// In force if the deployment keeps no reserve for the loss of an availability zone: its fleet is
    /// then full on ordinary days.
    #[default]
    Auto,
    /// Always in force.
    Enabled,
    /// Never in force.
    Disabled,
}

/// Optional scheduling policies.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulingSettings {
    /// Refuses jobs on arrival that would end worthless; `auto` leaves it off.
    pub admission: PolicyMode,
    /// Ranks teams that use more than their fair share behind others on a full fleet.
    pub shares: PolicyMode,
    /// Predicts run times from finished runs in place of the callers' estimates.
    pub run_times: PolicyMode,
    /// Takes the learnt speed of hosts into account.
    pub host_speeds: PolicyMode,
    /// Keeps capacity available for the most urgent work.
    pub urgent: PolicyMode,
}

/// Time limits set by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryBounds {
    /// Maximum lease of a task on an executor, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub task_lease_ms: u64,
    /// Maximum time that a key stays usable after its withdrawal, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub revoke_ms: u64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    #[serde(deserialize_with = "whole")]
    pub grace_s: u64,
    /// Time that a finished job remains visible, in seconds.
    #[serde(deserialize_with = "whole")]
    pub shown_s: u64,
}

/// Accepts numbers written with or without a fraction.
struct NumberVisitor;

#[expect(
    clippy::cast_precision_loss,
    reason = "settings are far below the values that lose precision"
)]
impl serde::de::Visitor<'_> for NumberVisitor {
    type Value = f64;

    fn expecting(&self, text: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        text.write_str("a number")
    }

    fn visit_i128<E>(self, value: i128) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_i64<E>(self, value: i64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_u64<E>(self, value: u64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_f64<E>(self, value: f64) -> Result<f64, E> {
        Ok(value)
    }
}

fn number<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    input.deserialize_any(NumberVisitor)
}

/// Reads a whole number that is not negative; a fraction is truncated.
fn whole<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    let value = number(input)?;
    if value < 0.0 {
        let error = format!("{value} is negative; 0 or more is allowed");
        return Err(serde::de::Error::custom(error));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is not negative"
    )]
    Ok(value as u64)
}

impl Default for EntrySettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            gate: GateId::from("gate-1"),
            zone: ZoneId::default(),
            callers: local(8080),
            ready: local(8081),
            peer: local(8090),
            metrics: local(8091),
            store: local(8182),
            advice: String::new(),
            share: 1.0,
            cores: 1.0,
            memory_mb: 0,
            max_fds: 0,
            reserve_zones: 1,
            scheduling: SchedulingSettings::default(),
            connections: ConnectionSettings::default(),
            compaction: PolicyMode::default(),
            bounds: EntryBounds::default(),
        }
    }
}

impl Default for EntryBounds {
    fn default() -> Self {
        Self {
            task_lease_ms: 6_000,
            revoke_ms: 5_000,
            grace_s: 6,
            shown_s: 120,
        }
    }
}

impl EntrySettings {
    /// Returns the number of cores that the gate may use.
    pub fn processors(&self) -> f64 {
        self.share * self.cores
    }

    /// Returns the memory of the machine, in megabytes.
    fn machine_mb(&self) -> u64 {
        match self.memory_mb {
            0 => DEFAULT_MEMORY_MB,
            memory_mb => memory_mb,
        }
    }

    /// Returns the memory for connections, in megabytes: a quarter of the machine's, so that twice
    /// as much, which fragmentation can cost, leaves half of it to the gate.
    fn connections_mb(&self) -> u64 {
        match self.connections.memory_mb {
            0 => (self.machine_mb() / 4).max(MIN_CONNECTION_MB),
            memory_mb => memory_mb,
        }
    }

    /// Returns the memory for accepted jobs, in bytes: an eighth of the machine's. What is read while a
    /// new owner restores them, and what has started, takes as much again.
    pub fn job_bytes(&self) -> u64 {
        (self.machine_mb() << 20) / JOBS_DIVISOR
    }

    /// Returns the number of descriptors that the gate may open.
    pub fn descriptors(&self) -> u64 {
        match self.max_fds {
            0 => DEFAULT_MAX_FDS,
            max_fds => max_fds,
        }
    }

    /// Returns what the connections of each listener may hold if the process may open `max_fds`
    /// descriptors.
    ///
    /// By default they get half of the descriptors that files leave; the other half is for the
    /// gate's own connections, two to each host for an owner. Callers get five eighths of it, other
    /// gates a quarter, and readiness checks and metrics the rest, so that no listener takes what
    /// another one needs.
    pub fn connection_limits(&self, max_fds: u64) -> ConnectionLimits {
        let connections = match self.connections.maximum {
            0 => max_fds.saturating_sub(FILE_FDS) / 2,
            maximum => maximum,
        };
        let bytes = self.connections_mb() << 20;
        let limits = |sixteenths: u64| ListenerLimits {
            connections: (connections * sixteenths / 16).max(MIN_CONNECTIONS),
            bytes: bytes / 16 * sixteenths,
        };
        ConnectionLimits {
            callers: limits(10),
            peer: limits(4),
            ready: limits(1),
            metrics: limits(1),
        }
    }

    /// Adds a problem if the gate and its connections need more than the machine has.
    fn check_machine(&self, problems: &mut Problems) {
        let connections = FieldPath::of("connections");
        let (machine_mb, wanted_mb) = (self.machine_mb(), self.connections_mb());
        if OWN_MEMORY_MB + wanted_mb > machine_mb {
            let found = format!("{wanted_mb}, and {OWN_MEMORY_MB} for the rest of the gate");
            let allowed = format!("at most memory_mb in total, {machine_mb}");
            problems.add(connections.join("memory_mb"), found, allowed);
        }
        let (max_fds, maximum) = (self.descriptors(), self.connections.maximum);
        if FILE_FDS + maximum.max(4 * MIN_CONNECTIONS) > max_fds {
            let found = format!("{maximum}, and {FILE_FDS} descriptors for files");
            let allowed = format!("at most max_fds in total, {max_fds}");
            problems.add(connections.join("maximum"), found, allowed);
        }
    }

    /// Returns whether a mode is in force.
    const fn is_on(&self, mode: PolicyMode) -> bool {
        match mode {
            PolicyMode::Auto => self.reserve_zones == 0,
            PolicyMode::Enabled => true,
            PolicyMode::Disabled => false,
        }
    }

    /// Returns the optional scheduling policies that are in force. Admission control has to be enabled
    /// explicitly: on a full fleet its forecast refuses jobs that would still earn something.
    pub fn policies(&self) -> Policies {
        Policies {
            admission: self.scheduling.admission == PolicyMode::Enabled,
            shares: self.is_on(self.scheduling.shares),
            run_times: self.is_on(self.scheduling.run_times),
            host_speeds: self.is_on(self.scheduling.host_speeds),
            urgent: self.is_on(self.scheduling.urgent),
        }
    }
}

impl Check for EntrySettings {
    fn check(&self, problems: &mut Problems) {
        if self.gate.as_str().is_empty() {
            problems.add(
                FieldPath::of("gate"),
                "an empty name",
                "the name of the gate",
            );
        }
        if !self.advice.is_empty() && self.advice.parse::<SocketAddr>().is_err() {
            problems.add(
                FieldPath::of("advice"),
                self.advice.clone(),
                "ADDRESS:PORT or nothing",
            );
        }
        for (name, value) in [("share", self.share), ("cores", self.cores)] {
            if !(value > 0.0 && value.is_finite()) {
                problems.add(
                    FieldPath::of(name),
                    value.to_string(),
                    "a number above zero",
                );
            }
        }
        self.check_machine(problems);
        let bounds = FieldPath::of("bounds");
        for (name, value) in [
            ("task_lease_ms", self.bounds.task_lease_ms),
            ("revoke_ms", self.bounds.revoke_ms),
            ("grace_s", self.bounds.grace_s),
            ("shown_s", self.bounds.shown_s),
        ] {
            if value == 0 {
                problems.add(bounds.join(name), "0", "a time above zero");
            }
        }
    }
}
