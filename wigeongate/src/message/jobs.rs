//! Calls about jobs.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{JobId, PoolId, TeamId};
use wigeongate_core::job::{Job, JobStatus};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;

use crate::jobs::SubmissionToken;

/// A call to the owner of a pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobCall {
    /// Record a new job in the pool.
    Submit {
        /// The pool.
        pool: PoolId,
        /// The job.
        job: Job,
        /// The token that identifies a repeated submission; `None` without an idempotency key.
        token: Option<SubmissionToken>,
    },
    /// Load a job whose record was moved to the pool.
    Moved {
        /// The pool.
        pool: PoolId,
        /// The job.
        job: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The pool.
        pool: PoolId,
        /// The team that owns the job.
        team: TeamId,
        /// The job.
        job: JobId,
    },
    /// Return the status of a job.
    Status {
        /// The pool.
        pool: PoolId,
        /// The job.
        job: JobId,
        /// How long to wait for the job to end, in milliseconds.
        wait: Millis,
    },
    /// List the jobs of a team.
    List {
        /// The pool.
        pool: PoolId,
        /// The team.
        team: TeamId,
    },
}

impl JobCall {
    /// Returns the pool whose owner is called.
    pub const fn pool(&self) -> &PoolId {
        match self {
            Self::Submit { pool, .. }
            | Self::Moved { pool, .. }
            | Self::Cancel { pool, .. }
            | Self::Status { pool, .. }
            | Self::List { pool, .. } => pool,
        }
    }
}

/// The reply to a call about a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobReply {
    /// The call was carried out.
    Done,
    /// The submission became this job, either now or when it was first sent.
    Accepted(JobId),
    /// The queue is full, so nothing was done.
    Full,
    /// The idempotency key belongs to another submission, so nothing was done.
    Mismatch,
    /// The call was not carried out and will not be; holds the cause.
    NotDone(String),
    /// The call may have been carried out; holds the cause.
    Unknown(String),
    /// The status of the job; `None` if the pool does not know it.
    Status(Option<Box<JobStatus>>),
    /// The status of each job of the team.
    Jobs(Vec<JobStatus>),
}

/// A summary of the state of a pool for the other gates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDigest {
    /// The pool.
    pub pool: PoolId,
    /// The total capacity of its usable workers.
    pub capacity: Resources,
    /// The part of the capacity that is not reserved.
    pub free: Resources,
    /// The number of queued tasks.
    pub queued: u64,
    /// The usage of each team.
    pub teams: Vec<TeamUsage>,
    /// The first automatic actions that are held back while automatic actions are paused.
    pub held: Vec<String>,
}

/// The usage of a pool by a team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// The resources that its running tasks reserve.
    pub running: Resources,
    /// The resources that its queued tasks request.
    pub wanted: Resources,
    /// The number of queued tasks.
    pub queued: u64,
}
