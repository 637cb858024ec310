//! What the gates keep in the store.

use eyre::{Result, WrapErr};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::GateId;
use wigeongate_core::workflow::{Record, WorkflowId};

/// The key of the ownership.
pub const OWNER_KEY: &str = "wigeongate/owner";

/// The key of the number of the last epoch.
pub const EPOCH_KEY: &str = "wigeongate/epoch";

/// The prefix of accepted jobs.
pub const JOBS_PREFIX: &str = "wigeongate/job/";

/// The prefix of the log.
pub const LOG_PREFIX: &str = "wigeongate/log/";

/// The owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The number of the ownership.
    pub epoch: u64,
    /// The gate.
    pub gate: GateId,
    /// Where the other gates reach it.
    pub address: String,
    /// Tells one process of a gate from another.
    pub process: u64,
}

/// A batch of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// What happened, in order.
    pub records: Vec<Record>,
}

/// Returns the key of a job.
pub fn job_key(id: WorkflowId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a batch; keys sort in the order of the batches.
pub fn batch_key(epoch: u64, number: u64) -> String {
    format!("{LOG_PREFIX}{epoch:08x}/{number:08x}")
}

/// Writes a value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Reads a value.
pub fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).wrap_err_with(|| format!("reading {key}"))
}
