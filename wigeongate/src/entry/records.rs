//! The keys and values that the gates keep in the store.

use std::sync::Arc;

use eyre::{Result, WrapErr};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{GateId, QueueId, TeamId};
use wigeongate_core::workflow::{
    QueueRules, Record, StoredJob, Workflow, WorkflowId, WorkflowSpec, WorkflowStatus,
};
use wigeongate_platform::store::Item;

/// The key of the owner's record, the owner key.
pub const OWNER_KEY: &str = "wigeongate/owner";

/// The key of the last epoch's number.
pub const EPOCH_KEY: &str = "wigeongate/epoch";

/// The key of the newest epoch whose owner has restored the state of earlier owners.
pub const RESTORED_KEY: &str = "wigeongate/restored";

/// The key prefix of accepted jobs.
pub const JOBS_PREFIX: &str = "wigeongate/job/";

/// The key prefix of archived jobs.
pub const ENDED_PREFIX: &str = "wigeongate/ended/";

/// The key prefix of log batches.
pub const LOG_PREFIX: &str = "wigeongate/log/";

/// The key of the checkpoint in force, a [`CheckpointHead`].
pub const CHECKPOINT_KEY: &str = "wigeongate/checkpoint";

/// The key prefix of the parts of checkpoints.
pub const CHECKPOINTS_PREFIX: &str = "wigeongate/checkpoint/";

/// The key of what the finished runs have shown.
pub const RUN_TIMES_KEY: &str = "wigeongate/run-times";

/// The record of the current owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The number of this ownership; each takeover increments it.
    pub epoch: u64,
    /// The gate that is the owner.
    pub gate: GateId,
    /// The address at which other gates reach the owner.
    pub address: String,
    /// A random number that identifies one process of a gate.
    pub process: u64,
    /// The number of takeovers in a row before this one that were lost before the state was restored.
    pub lost: u32,
}

/// The record of an owner as stored by versions that did not count lost takeovers.
#[derive(Debug, Deserialize)]
struct OwnerWithoutLost {
    epoch: u64,
    gate: GateId,
    address: String,
    process: u64,
}

impl From<OwnerWithoutLost> for OwnerRecord {
    fn from(owner: OwnerWithoutLost) -> Self {
        Self {
            epoch: owner.epoch,
            gate: owner.gate,
            address: owner.address,
            process: owner.process,
            lost: 0,
        }
    }
}

/// An archived job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The final status.
    pub status: WorkflowStatus,
    /// When the job ended, in milliseconds since 1970.
    pub ended_ms: u64,
}

/// A batch of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// The records in the order of the events.
    pub records: Vec<Record>,
}

/// The checkpoint in force: what a new owner needs of all batches up to one stands in its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointHead {
    /// The key of the newest batch that it covers.
    pub covered: String,
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
    /// Its number in that epoch.
    pub number: u64,
    /// The number of its parts.
    pub parts: u32,
}

/// Returns the key of a job.
pub fn job_key(id: WorkflowId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of an archived job.
pub fn ended_key(id: WorkflowId) -> String {
    format!("{ENDED_PREFIX}{id}")
}

/// Returns the key of a log batch; keys sort in the order in which the batches were written.
pub fn batch_key(epoch: u64, number: u64) -> String {
    format!("{LOG_PREFIX}{epoch:08x}/{number:08x}")
}

/// Returns the key prefix of the parts of one checkpoint.
pub fn parts_prefix(epoch: u64, number: u64) -> String {
    format!("{CHECKPOINTS_PREFIX}{epoch:08x}/{number:08x}/")
}

/// Returns the key of a part of a checkpoint; keys sort in the order of the parts.
pub fn part_key(epoch: u64, number: u64, part: u32) -> String {
    format!("{}{part:08x}", parts_prefix(epoch, number))
}

/// Encodes the value of a log batch, a [`LogBatch`].
pub fn encode_batch(records: &[Record]) -> Vec<u8> {
    // A struct of one field has the encoding of the field.
    encode(&records)
}

/// Encodes a value with postcard; a value that cannot be encoded becomes empty.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// A job as stored by versions that did not store the rules of its queue: the fields of
/// [`Workflow`] up to `rules`.
#[derive(Debug, Deserialize)]
struct JobWithoutRules {
    id: WorkflowId,
    queue: QueueId,
    team: Option<TeamId>,
    accepted: u64,
    spec: Arc<WorkflowSpec>,
}

impl From<JobWithoutRules> for Workflow {
    fn from(job: JobWithoutRules) -> Self {
        // Without the configuration's rules it starts nowhere and is never given up.
        let rules = QueueRules {
            attempts: u32::MAX,
            ..QueueRules::default()
        };
        Self {
            id: job.id,
            queue: job.queue,
            team: job.team,
            accepted: job.accepted,
            spec: job.spec,
            rules: Arc::new(rules),
        }
    }
}

/// The value that takes the place of a job that was cancelled before it was stored, so that a write
/// that is still under way has no effect.
pub const CANCELLED: &[u8] = &[];

/// Returns whether an item only keeps a cancelled job from being stored.
pub fn is_cancelled(item: &Item) -> bool {
    item.revision > 0 && item.value == CANCELLED
}

/// Decodes the job of an item in the store.
pub fn decode_job(item: &Item) -> Result<StoredJob> {
    let flow = decode(&item.key, &item.value).or_else(|error| {
        let older: Result<JobWithoutRules> = decode(&item.key, &item.value);
        older.map(Workflow::from).map_err(|_| error)
    })?;
    Ok(StoredJob {
        flow,
        revision: item.revision,
    })
}

/// Decodes the record of an owner.
pub fn decode_owner(item: &Item) -> Result<OwnerRecord> {
    decode(&item.key, &item.value).or_else(|error| {
        let older: Result<OwnerWithoutLost> = decode(&item.key, &item.value);
        older.map(OwnerRecord::from).map_err(|_| error)
    })
}

/// Decodes a postcard value; `key` names it in the error.
pub fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).wrap_err_with(|| format!("decoding {key}"))
}
