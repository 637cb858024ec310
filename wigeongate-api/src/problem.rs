//! Errors as JSON problem documents (RFC 9457).

use serde::{Deserialize, Serialize};
use wigeongate_core::ids::JobId;

/// The media type of a problem document.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// Whether the work that an error reports may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The work certainly did not run and will not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A stable URI reference that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short summary, the same for all problems of this kind.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// The cause of this occurrence, with the step and the peer.
    pub detail: String,
    /// Whether the work may have run.
    pub execution: Execution,
    /// The job to query if the outcome of its submission is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobId>,
}
