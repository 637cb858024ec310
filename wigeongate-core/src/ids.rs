//! Typed names and identifiers.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

macro_rules! name_type {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self(Arc::from(""))
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }
    )+};
}

name_type! {
    /// The name of a team.
    TeamId,
    /// The name of a region.
    RegionId,
    /// The name of an availability zone.
    ZoneId,
    /// The name of a rack.
    RackId,
    /// The name of a worker host.
    HostId,
    /// The name of a backend server.
    BackendId,
    /// The name of a queue.
    QueueId,
    /// The name of a pool: the workers and backend servers that one gate owns together.
    PoolId,
    /// The name of a gate, the daemon on one entry host.
    GateId,
}

/// The identifier of a job: a UUID of version 7, which contains its time of issue.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
)]
#[serde(transparent)]
pub struct JobId(pub Uuid);

impl std::str::FromStr for JobId {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One task of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, from zero.
    pub index: u32,
}

/// Number of times a task has been started; the first start is attempt 1.
pub type Attempt = u32;

/// Unit of ownership, owned by one gate at a time under an epoch.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// A pool: its workers, the jobs placed in it and its slices of the teams' limits.
    #[display("pool-{_0}")]
    Pool(PoolId),
    /// A lane: a group of backend servers.
    #[display("lane-{_0}")]
    #[from(skip)]
    Lane(u16),
    /// A partition of the journal of non-idempotent requests.
    #[display("journal-{_0}")]
    #[from(skip)]
    Journal(u16),
}

/// The epoch of an ownership: the store revision of the write that acquired it.
///
/// Epochs only increase, across all units.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The revision of the configuration; it only increases.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The identifier of one forwarded request; the backend server echoes it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
)]
#[serde(transparent)]
pub struct RequestId(pub Uuid);
