//! Looks a job up in the store, wherever it is kept.

use eyre::Result;
use wigeongate_core::workflow::{StoredJob, WorkflowId, WorkflowStatus};
use wigeongate_platform::store::Store;

use super::records::{EndedRecord, decode, decode_job, ended_key, is_cancelled, job_key};

/// A job as the store holds it.
#[derive(Debug)]
pub enum FoundJob {
    /// The job is open, or has ended and is not archived yet.
    Accepted(Box<StoredJob>),
    /// The job is archived with this status.
    Ended(WorkflowStatus),
}

/// Reads a job; `None` if the store does not hold it.
///
/// Jobs move from the accepted to the archived ones in one transaction, so that this order of the reads
/// misses none.
pub async fn read(store: &Store, id: WorkflowId) -> Result<Option<FoundJob>> {
    let item = store.get(&job_key(id)).await?;
    if let Some(item) = item.filter(|item| !is_cancelled(item)) {
        let job = decode_job(&item)?;
        return Ok(Some(FoundJob::Accepted(Box::new(job))));
    }
    let status = read_ended(store, id).await?;
    Ok(status.map(FoundJob::Ended))
}

/// Reads the status of an archived job; `None` if the store does not hold it.
async fn read_ended(store: &Store, id: WorkflowId) -> Result<Option<WorkflowStatus>> {
    let Some(item) = store.get(&ended_key(id)).await? else {
        return Ok(None);
    };
    let record: EndedRecord = decode(&item.key, &item.value)?;
    Ok(Some(record.status))
}
