//! Messages between callers and gates.

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::JobId;
use wigeongate_core::job::JobStatus;

/// The header with the caller's deadline, in milliseconds after the gate receives the request.
pub const DEADLINE_HEADER: &str = "wigeongate-deadline-ms";

/// The standard header with the key that makes a request safe to repeat.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The header that marks a response as a repetition of the one to an earlier request.
pub const REPLAYED_HEADER: &str = "wigeongate-replayed";

/// The response to an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The identifier of the job.
    pub job: JobId,
}

/// A list of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The jobs of the team that the key belongs to, newest last.
    pub jobs: Vec<JobStatus>,
}
