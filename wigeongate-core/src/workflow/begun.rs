//! Which jobs have begun, and how the next owner learns of it.
//!
//! The record of a start is written before its order and shows only what may be. That a job has
//! begun is a fact of its own: an answer or a report of a host proves it. Every write is charged
//! for, so the fact goes out with the next record, and alone only when a host may no longer prove it
//! to the next owner.

use super::message::Action;
use super::restore::Record;
use super::scheduler::WorkflowScheduler;
use super::spec::WorkflowId;

impl WorkflowScheduler {
    /// Handles the proof that a task of a job has started.
    pub(super) fn begin_job(&mut self, id: WorkflowId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.started) else {
            return;
        };
        job.started = true;
        if job.end.is_none() {
            self.counts.start(&job.flow.queue);
            self.begun.push(id);
        }
    }

    /// Records the jobs that have begun since the last record.
    pub(super) fn record_begun(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.begun) {
            self.last_record += 1;
            out.push(Action::Record(Record::Begun(id)));
        }
    }

    /// Records that a job has begun, if that waits for another record: its host is about to forget
    /// what proves it.
    pub(super) fn record_forgotten(&mut self, id: WorkflowId, out: &mut Vec<Action>) {
        if self.begun.contains(&id) {
            self.record_begun(out);
        }
    }
}
