//! The records of jobs in the store: their formats, keys, reads and writes.

use std::sync::Arc;

use eyre::{Result, WrapErr, bail};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{JobId, PoolId, TeamId};
use wigeongate_core::job::{Job, Outcome, Progress};
use wigeongate_core::time::Millis;

use super::commit::{Change, CommitError, Committer};
use crate::store::{Condition, Entry, Store, Write};

/// The record format that this version writes; newer formats are rejected.
const FORMAT: u32 = 2;

/// The time for which the record of an ended job is kept.
pub const RECORD_RETENTION: Millis = Millis::from_secs(3_600);

/// Hashes by which a repeated submission is recognized.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubmissionToken {
    /// The hash of the caller's idempotency key.
    pub key: String,
    /// The hash of the submitted body.
    pub body: String,
}

/// The stored record of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The version of the record's format.
    pub format: u32,
    /// The job.
    pub job: Job,
    /// The token of the submission, if the caller sent an idempotency key.
    #[serde(default)]
    pub token: Option<SubmissionToken>,
    /// The recorded progress of its tasks.
    #[serde(default)]
    pub progress: Progress,
    /// How the job ended; `None` until then.
    pub outcome: Option<Outcome>,
    /// The wall clock time of the end, in milliseconds since 1970; zero until then.
    #[serde(default, rename = "ended")]
    pub ended_ms: u64,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    pub fn new(job: Job, token: Option<SubmissionToken>) -> Self {
        Self {
            format: FORMAT,
            job,
            token,
            progress: Progress::default(),
            outcome: None,
            ended_ms: 0,
        }
    }
}

/// The stored record of a submission, found by its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// The version of the record's format.
    pub format: u32,
    /// The job.
    pub job: JobId,
    /// The hash of the submitted body.
    pub body: String,
}

/// A job's record with its revision in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The record.
    pub record: JobRecord,
    /// The store revision of the record's last change.
    pub revision: i64,
}

/// Reads the records of jobs from the store.
#[derive(Clone)]
pub struct RecordReader {
    store: Arc<dyn Store>,
}

impl RecordReader {
    /// Creates a reader of `store`.
    pub const fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Returns the store.
    pub fn store(&self) -> Arc<dyn Store> {
        self.store.clone()
    }

    /// Reads the records of every job of a pool. Fails if the store does not answer or a record
    /// cannot be decoded.
    pub async fn load(&self, pool: &PoolId) -> Result<Vec<VersionedRecord>> {
        let prefix = prefix(pool);
        let snapshot = self.store.range(&prefix).await;
        let snapshot = snapshot.wrap_err("reading the records of a pool's jobs")?;
        snapshot.entries.iter().map(decode_job).collect()
    }

    /// Reads the record of one job; returns `None` when the pool has no record of it.
    pub async fn find(&self, pool: &PoolId, job: JobId) -> Result<Option<VersionedRecord>> {
        let key = job_key(pool, job);
        let entry = self
            .store
            .get(&key)
            .await
            .wrap_err("reading a job's record")?;
        (entry.revision > 0).then(|| decode_job(&entry)).transpose()
    }

    /// Reads the pool that a job was last moved to; returns `None` when it was never moved.
    pub async fn moved_to(&self, job: JobId) -> Result<Option<PoolId>> {
        let key = moved_key(job);
        let entry = self
            .store
            .get(&key)
            .await
            .wrap_err("reading the pool that a job moved to")?;
        let name =
            String::from_utf8(entry.value).wrap_err("reading the pool that a job moved to")?;
        Ok((entry.revision > 0).then(|| PoolId::from(name)))
    }

    /// Reads the record of an earlier submission with the same idempotency key.
    pub async fn find_submission(
        &self,
        team: &TeamId,
        token: &SubmissionToken,
    ) -> Result<Option<SubmissionRecord>> {
        let key = token_key(team, token);
        let entry = self.store.get(&key).await;
        let entry = entry.wrap_err("reading a submission's record")?;
        (entry.revision > 0)
            .then(|| decode(&entry, "a submission's record"))
            .transpose()
    }
}

/// Writes the records of one pool's jobs.
#[derive(Debug, Clone)]
pub struct RecordWriter {
    pool: PoolId,
    committer: Committer,
}

impl RecordWriter {
    /// Creates a writer for the owner of `pool`.
    pub const fn new(pool: PoolId, committer: Committer) -> Self {
        Self { pool, committer }
    }

    /// Returns the pool.
    pub const fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Creates the record of a job and of its submission, and returns their store revision.
    ///
    /// Fails with [`CommitError::Raced`] when either of them exists or the pool has a new owner.
    pub async fn accept(&self, record: &JobRecord) -> Result<i64, CommitError> {
        let mut change = Change::default();
        put(&mut change, job_key(&self.pool, record.job.id), 0, record)?;
        if let Some(token) = &record.token {
            let submitted = SubmissionRecord {
                format: FORMAT,
                job: record.job.id,
                body: token.body.clone(),
            };
            put(
                &mut change,
                token_key(&record.job.team, token),
                0,
                &submitted,
            )?;
        }
        self.committer.commit(change).await
    }

    /// Replaces a record that was last changed at `revision`, and returns the new revision.
    pub async fn update(&self, record: &JobRecord, revision: i64) -> Result<i64, CommitError> {
        let mut change = Change::default();
        let key = job_key(&self.pool, record.job.id);
        put(&mut change, key, revision, record)?;
        self.committer.commit(change).await
    }

    /// Moves a record that was last changed at `revision` to another pool, together with an entry
    /// by which a gate finds that pool.
    pub async fn move_to(
        &self,
        pool: &PoolId,
        record: &JobRecord,
        revision: i64,
    ) -> Result<i64, CommitError> {
        let id = record.job.id;
        let mut change = Change::default();
        delete(&mut change, job_key(&self.pool, id), revision);
        put(&mut change, job_key(pool, id), 0, record)?;
        let value = pool.as_str().as_bytes().to_vec();
        change.writes.push(Write::Put {
            key: moved_key(id),
            value,
        });
        self.committer.commit(change).await
    }

    /// Removes the record of a job that has ended, its move entry and its submission.
    pub async fn remove(&self, record: &JobRecord, revision: i64) -> Result<i64, CommitError> {
        let id = record.job.id;
        let mut change = Change::default();
        delete(&mut change, job_key(&self.pool, id), revision);
        change.writes.push(Write::Delete { key: moved_key(id) });
        if let Some(token) = &record.token {
            change.writes.push(Write::Delete {
                key: token_key(&record.job.team, token),
            });
        }
        self.committer.commit(change).await
    }
}

fn prefix(pool: &PoolId) -> String {
    format!("jobs/{pool}/")
}

fn job_key(pool: &PoolId, job: JobId) -> String {
    format!("jobs/{pool}/{job}")
}

fn moved_key(job: JobId) -> String {
    format!("moved/{job}")
}

fn token_key(team: &TeamId, token: &SubmissionToken) -> String {
    format!("submissions/{team}/{}", token.key)
}

fn put(
    change: &mut Change,
    key: String,
    revision: i64,
    value: &impl Serialize,
) -> Result<(), CommitError> {
    let failed = |error: serde_json::Error| CommitError::NotDone(error.to_string());
    let value = serde_json::to_vec(value).map_err(failed)?;
    change.when.push(Condition {
        key: key.clone(),
        revision,
    });
    change.writes.push(Write::Put { key, value });
    Ok(())
}

fn delete(change: &mut Change, key: String, revision: i64) {
    change.when.push(Condition {
        key: key.clone(),
        revision,
    });
    change.writes.push(Write::Delete { key });
}

fn decode_job(entry: &Entry) -> Result<VersionedRecord> {
    Ok(VersionedRecord {
        record: decode(entry, "a job's record")?,
        revision: entry.revision,
    })
}

/// The field that every format of a record has.
#[derive(Debug, Deserialize)]
struct FormatHeader {
    format: u32,
}

fn decode<T: DeserializeOwned>(entry: &Entry, what: &str) -> Result<T> {
    let step = || format!("reading {what} at {}", entry.key);
    let FormatHeader { format } = serde_json::from_slice(&entry.value).wrap_err_with(step)?;
    if format > FORMAT {
        bail!(
            "{}: its format {format} is newer than {FORMAT}, the newest supported",
            step()
        );
    }
    serde_json::from_slice(&entry.value).wrap_err_with(step)
}
