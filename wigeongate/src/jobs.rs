//! Accepted jobs: their records in the store, and the calls of any gate to the owner of a job.

mod commit;
mod dispatcher;
mod identifier;
mod moves;
mod record;

pub use self::commit::{Change, CommitError, Committer};
pub use self::dispatcher::{JobDispatcher, JobFailure, Submission};
pub use self::identifier::{hints_at, issue_id};
pub use self::record::{
    JobRecord, RECORD_RETENTION, RecordReader, RecordWriter, SubmissionRecord, SubmissionToken,
    VersionedRecord,
};
