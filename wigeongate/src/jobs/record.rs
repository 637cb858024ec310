//! What the store holds of each job.

use std::sync::Arc;

use eyre::{Result, WrapErr, bail};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{JobId, PoolId, TeamId};
use wigeongate_core::job::{Job, Outcome, Progress};
use wigeongate_core::time::Millis;

use super::commit::{Change, CommitError, Committer};
use crate::store::{Entry, Store, Unchanged, Write};

/// The format that this program writes; a newer one is refused.
const FORMAT: u32 = 2;

/// How long the record of an ended job is kept.
pub const RECORD_RETENTION: Millis = Millis::from_secs(3_600);

/// A caller's proof that a submission is the same as an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubmissionToken {
    /// The hash of the caller's key for the submission.
    pub key: String,
    /// The hash of what was submitted.
    pub body: String,
}

/// A job as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The format of this record.
    pub format: u32,
    /// The job.
    pub job: Job,
    /// The proof that came with it.
    #[serde(default)]
    pub token: Option<SubmissionToken>,
    /// What is recorded of its tasks.
    #[serde(default)]
    pub progress: Progress,
    /// How it ended; `None` while it has not.
    pub outcome: Option<Outcome>,
    /// When it ended, by the wall clock, in milliseconds since 1970.
    #[serde(default, rename = "ended")]
    pub ended_ms: u64,
}

impl JobRecord {
    /// Returns the record of a job that was just accepted.
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

/// The job that an earlier submission with the same key became.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// The format of this record.
    pub format: u32,
    /// The job.
    pub job: JobId,
    /// The hash of what was submitted.
    pub body: String,
}

/// A record with the store's revision of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The record.
    pub record: JobRecord,
    /// The store's revision of its last change.
    pub revision: i64,
}

/// Reads the records of jobs.
#[derive(Clone)]
pub struct RecordReader {
    store: Arc<dyn Store>,
}

impl RecordReader {
    /// Reads from `store`.
    pub const fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Returns the store.
    pub fn store(&self) -> Arc<dyn Store> {
        self.store.clone()
    }

    /// Reads every job of a pool.
    pub async fn load(&self, pool: &PoolId) -> Result<Vec<VersionedRecord>> {
        let prefix = prefix(pool);
        let snapshot = self.store.range(&prefix).await;
        let snapshot = snapshot.wrap_err("reading the jobs")?;
        snapshot.entries.iter().map(decode_job).collect()
    }

    /// Reads one job; `None` when the pool has no record of it.
    pub async fn find(&self, pool: &PoolId, job: JobId) -> Result<Option<VersionedRecord>> {
        let key = job_key(pool, job);
        let entry = self.store.get(&key).await.wrap_err("reading a job")?;
        (entry.revision > 0).then(|| decode_job(&entry)).transpose()
    }

    /// Reads the pool that a job was moved to; `None` when it was not moved.
    pub async fn moved_to(&self, job: JobId) -> Result<Option<PoolId>> {
        let key = moved_key(job);
        let entry = self.store.get(&key).await.wrap_err("reading a move")?;
        let name = String::from_utf8(entry.value).wrap_err("reading a move")?;
        Ok((entry.revision > 0).then(|| PoolId::from(name)))
    }

    /// Reads what an earlier submission with the same key became.
    pub async fn find_submission(
        &self,
        team: &TeamId,
        token: &SubmissionToken,
    ) -> Result<Option<SubmissionRecord>> {
        let key = token_key(team, token);
        let entry = self.store.get(&key).await;
        let entry = entry.wrap_err("reading a submission")?;
        (entry.revision > 0)
            .then(|| decode(&entry, "a submission"))
            .transpose()
    }
}

/// Writes the records of a pool's jobs.
#[derive(Debug, Clone)]
pub struct RecordWriter {
    pool: PoolId,
    committer: Committer,
}

impl RecordWriter {
    /// Writes for the owner of `pool`.
    pub const fn new(pool: PoolId, committer: Committer) -> Self {
        Self { pool, committer }
    }

    /// Returns the pool.
    pub const fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Records a job that is about to be accepted.
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

    /// Replaces a record that was last changed at `revision`.
    pub async fn update(&self, record: &JobRecord, revision: i64) -> Result<i64, CommitError> {
        let mut change = Change::default();
        let key = job_key(&self.pool, record.job.id);
        put(&mut change, key, revision, record)?;
        self.committer.commit(change).await
    }

    /// Moves a record that was last changed at `revision` to another pool.
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

    /// Removes the record of a job that ended long ago.
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
    change.when.push(Unchanged {
        key: key.clone(),
        revision,
    });
    change.writes.push(Write::Put { key, value });
    Ok(())
}

fn delete(change: &mut Change, key: String, revision: i64) {
    change.when.push(Unchanged {
        key: key.clone(),
        revision,
    });
    change.writes.push(Write::Delete { key });
}

fn decode_job(entry: &Entry) -> Result<VersionedRecord> {
    Ok(VersionedRecord {
        record: decode(entry, "a job")?,
        revision: entry.revision,
    })
}

/// The part of every record that tells its format.
#[derive(Debug, Deserialize)]
struct FormatHeader {
    format: u32,
}

fn decode<T: DeserializeOwned>(entry: &Entry, what: &str) -> Result<T> {
    let step = || format!("reading {what} at {}", entry.key);
    let FormatHeader { format } = serde_json::from_slice(&entry.value).wrap_err_with(step)?;
    if format > FORMAT {
        bail!("{}: its format is {format}, newer than {FORMAT}", step());
    }
    serde_json::from_slice(&entry.value).wrap_err_with(step)
}
