//! What the owner of a pool can be asked and told.

use std::sync::Arc;

use derive_more::Display;
use tokio::sync::oneshot;
use wigeongate_api::worker::WorkerReport;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, HostId, JobId, PoolId, TeamId};
use wigeongate_core::job::{Job, JobStatus};
use wigeongate_core::resources::Resources;

use super::job_table::EndedAttempt;
use crate::jobs::{CommitError, JobRecord, SubmissionToken, VersionedRecord};
use crate::live::Live;

/// A configuration came into force.
pub struct ConfigurationChanged(pub Arc<Live>);

/// The pool's slices of the teams' limits.
pub struct TeamSlices(pub Arc<HashMap<TeamId, Resources>>);

/// What the teams have running in other pools.
pub struct OtherPoolUsage(pub Arc<HashMap<TeamId, Resources>>);

/// The pool's records were read from the store.
pub struct RecordsLoaded(pub Vec<VersionedRecord>);

/// Asks to accept a job; the receiver learns when it is recorded.
pub struct Submit {
    /// The job.
    pub job: Job,
    /// The proof that it is the same as an earlier one.
    pub token: Option<SubmissionToken>,
}

/// Why a job was not accepted, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum SubmitError {
    /// The queue is full.
    #[display("the queue is full")]
    Full,
    /// The key was used for another submission.
    #[display("the idempotency key was used for another submission")]
    Mismatch,
    /// It was not accepted and will not be.
    #[display("{_0}")]
    #[error(ignore)]
    NotDone(String),
    /// It may have been accepted.
    #[display("{_0}")]
    #[error(ignore)]
    Unknown(String),
}

/// A job was recorded.
pub struct Accepted(pub VersionedRecord);

/// A job's record was moved to the pool.
pub struct LoadMoved(pub JobId);

/// Asks for jobs that have waited long and of which nothing ever started.
pub struct ListIdle;

/// Asks to give a waiting job to another pool; the receiver learns whether that is recorded.
pub struct MoveJob {
    /// The job.
    pub job: JobId,
    /// The pool that is to have it.
    pub pool: PoolId,
}

/// The store may hold a record that the owner does not know.
pub struct RequestReload;

/// Asks to cancel a job of a team.
pub struct Cancel {
    /// The team.
    pub team: TeamId,
    /// The job.
    pub job: JobId,
}

/// Why a job was not cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CancelError {
    /// The pool does not know it.
    #[display("the pool does not know the job")]
    Missing,
}

/// Asks where a job stands.
pub struct Status(pub JobId);

/// Asks to be told when a job has ended.
pub struct Wait(pub JobId);

/// The reply to `Wait`.
pub enum Waited {
    /// The pool does not know the job.
    Missing,
    /// It has ended.
    Ended(Box<JobStatus>),
    /// The receiver learns of its end.
    Pending(oneshot::Receiver<JobStatus>),
}

/// Asks for the jobs of a team.
pub struct List(pub TeamId);

/// Asks what the pool has to tell the other gates.
pub struct GetDigest;

/// A worker reported.
pub struct Reported {
    /// The link that it came by.
    pub link: u64,
    /// The report.
    pub report: WorkerReport,
}

/// The leases of everything on a worker have run out.
pub struct Lost {
    /// The link to it.
    pub link: u64,
    /// The worker.
    pub host: HostId,
}

/// A worker has seen a newer epoch.
pub struct Stale {
    /// The link to it.
    pub link: u64,
    /// The worker.
    pub host: HostId,
    /// The epoch it has seen.
    pub epoch: Epoch,
}

/// A write of a job's record came back.
pub struct RecordWritten {
    /// What was written.
    pub record: JobRecord,
    /// Attempts whose end it records.
    pub ended: Vec<EndedAttempt>,
    /// What became of it: the revision of the write.
    pub result: Result<i64, CommitError>,
    /// What the store holds when that had to be read again.
    pub found: Option<VersionedRecord>,
}

/// Time has passed.
pub struct Tick;

/// The pool is no longer owned: the actor ends.
pub struct Stop;
