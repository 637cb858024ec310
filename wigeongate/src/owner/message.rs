//! The messages that the owner of a pool handles.

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
use crate::live::LiveConfiguration;

/// Reports that a configuration came into force.
pub struct ConfigurationChanged(pub Arc<LiveConfiguration>);

/// Sets the pool's slices of the teams' limits.
pub struct TeamSlices(pub Arc<HashMap<TeamId, Resources>>);

/// Sets the resources of each team's running tasks in other pools.
pub struct OtherPoolUsage(pub Arc<HashMap<TeamId, Resources>>);

/// Passes records that were read from the store.
pub struct RecordsLoaded(pub Vec<VersionedRecord>);

/// Requests that a job be accepted; the receiver gets the result once the job is recorded.
pub struct Submit {
    /// The job.
    pub job: Job,
    /// The token by which a repeated submission is recognized.
    pub token: Option<SubmissionToken>,
}

/// The reason why a job was not accepted, or has an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum SubmitError {
    /// The queue is full.
    #[display("the queue is full")]
    Full,
    /// The idempotency key was used for a different submission.
    #[display("the idempotency key was used for another submission")]
    Mismatch,
    /// The job was not accepted and never will be, for the given reason.
    #[display("{_0}")]
    #[error(ignore)]
    NotDone(String),
    /// The job may have been accepted; the reason says what failed.
    #[display("{_0}")]
    #[error(ignore)]
    Unknown(String),
}

/// Passes a newly recorded job.
pub struct Accepted(pub VersionedRecord);

/// Requests that the record of a job that was moved to the pool be read.
pub struct LoadMoved(pub JobId);

/// Requests jobs that have waited long enough to be moved and of which no task has ever started.
pub struct ListIdle;

/// Requests that a waiting job be moved to another pool; the receiver gets whether the move was
/// recorded.
pub struct MoveJob {
    /// The job.
    pub job: JobId,
    /// The pool to move the job to.
    pub pool: PoolId,
}

/// Requests that the records be read again, as the store may have one that the owner does not
/// know.
pub struct RequestReload;

/// Requests that a job of a team be cancelled; the receiver gets the status once the end is
/// recorded.
pub struct Cancel {
    /// The team.
    pub team: TeamId,
    /// The job.
    pub job: JobId,
}

/// The reason why a job was not cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CancelError {
    /// The pool has no such job of the team.
    #[display("the pool does not know the job")]
    Missing,
}

/// Requests the status of a job.
pub struct Status(pub JobId);

/// Requests the status of a job once it has ended.
pub struct Wait(pub JobId);

/// The reply to [`Wait`].
pub enum Waited {
    /// The pool does not know the job.
    Missing,
    /// The job has ended.
    Ended(Box<JobStatus>),
    /// The job has not ended yet; the receiver gets its status at the end.
    Pending(oneshot::Receiver<JobStatus>),
}

/// Requests the status of a team's jobs.
pub struct List(pub TeamId);

/// Requests the pool's digest for the other gates.
pub struct GetDigest;

/// Passes a worker's report.
pub struct Reported {
    /// The number of the link that it came through.
    pub link: u64,
    /// The report.
    pub report: WorkerReport,
}

/// Reports that every lease on a worker has expired.
pub struct Lost {
    /// The number of the link to the worker.
    pub link: u64,
    /// The worker.
    pub host: HostId,
}

/// Reports that a worker has seen a newer epoch.
pub struct Stale {
    /// The number of the link to the worker.
    pub link: u64,
    /// The worker.
    pub host: HostId,
    /// The epoch that it has seen.
    pub epoch: Epoch,
}

/// Reports the result of a write of a job's record.
pub struct RecordWritten {
    /// The record that was to be written.
    pub record: JobRecord,
    /// The attempts whose end the write records.
    pub ended: Vec<EndedAttempt>,
    /// The store revision of the write, or why it failed.
    pub result: Result<i64, CommitError>,
    /// The record in the store, if it was read after a conflict or an unknown outcome.
    pub found: Option<VersionedRecord>,
}

/// Reports that time has passed.
pub struct Tick;

/// Ends the actor, as the pool is no longer owned.
pub struct Stop;
