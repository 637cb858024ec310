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
    /// Record a job and take it in.
    Submit {
        /// The pool.
        pool: PoolId,
        /// The job.
        job: Job,
        /// The proof that it is the same as an earlier one.
        token: Option<SubmissionToken>,
    },
    /// Take in a job whose record was moved to the pool.
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
        /// The team whose job it is.
        team: TeamId,
        /// The job.
        job: JobId,
    },
    /// Say where a job stands.
    Status {
        /// The pool.
        pool: PoolId,
        /// The job.
        job: JobId,
        /// How long to wait for the job to end.
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
    /// It was done.
    Done,
    /// The submission became this job, now or earlier.
    Accepted(JobId),
    /// The queue is full; nothing was done.
    Full,
    /// The key was used for another submission; nothing was done.
    Mismatch,
    /// Nothing was done and nothing will be.
    NotDone(String),
    /// It may have been done.
    Unknown(String),
    /// Where the job stands; `None` when the pool does not know it.
    Status(Option<Box<JobStatus>>),
    /// The jobs.
    Jobs(Vec<JobStatus>),
}

/// What a pool has to tell the other gates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDigest {
    /// The pool.
    pub pool: PoolId,
    /// What its usable workers can carry.
    pub capacity: Resources,
    /// What of it is not reserved.
    pub free: Resources,
    /// Tasks that wait.
    pub queued: u64,
    /// What each team has running there.
    pub teams: Vec<TeamUsage>,
    /// Automatic actions that the pause holds back there, the first of them.
    pub held: Vec<String>,
}

/// What a team has running in a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// What its running tasks reserve.
    pub running: Resources,
    /// What its waiting tasks ask for.
    pub wanted: Resources,
    /// Tasks that wait.
    pub queued: u64,
}
