//! Ends jobs, and shows callers and the archive how they have ended.

use super::archive::JobEnd;
use super::ended_jobs::EndedJobs;
use super::host::Host;
use super::job::WorkflowStatus;
use super::job_budget::job_bytes;
use super::log_checkpoint::JobFate;
use super::message::Action;
use super::restore::Record;
use super::scheduler::WorkflowScheduler;
use super::spec::WorkflowId;
use crate::time::Millis;

impl WorkflowScheduler {
    /// Ends a job and stops its remaining runs.
    pub(super) fn end_job(
        &mut self,
        id: WorkflowId,
        status: WorkflowStatus,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let number = self.record(Record::Ended(id, status), out);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.end.is_none() {
            self.counts.end(job);
            self.held_bytes = self.held_bytes.saturating_sub(job_bytes(&job.flow));
        }
        job.end = Some(status);
        job.end_record = number;
        job.ended = now;
        job.drop_run_state();
        let runs = job.runs();
        job.claimed_runs = runs.len();
        let has_begun = job.has_begun();
        self.recent_ends.push((now, id));
        self.remove_steps(id);
        for (host, run) in runs {
            self.stop_run(&host, run, now, out);
        }
        if has_begun {
            self.record_runs_ended(id, out);
        }
    }

    /// Records that no run of a cancelled or failed job is left, once that is so. The log shows the starts
    /// of its tasks, but not the ends of those that were stopped.
    pub(super) fn record_runs_ended(&mut self, id: WorkflowId, out: &mut Vec<Action>) {
        let is_over = self.jobs.get(&id).is_some_and(|job| {
            let is_broken_off = job.end.is_some_and(|end| end != WorkflowStatus::Completed);
            is_broken_off && job.claimed_runs == 0
        });
        if is_over {
            self.record(Record::RunsEnded(id), out);
        }
    }

    /// Returns the status of a job; an end counts only once its record is written.
    pub fn status(&self, id: WorkflowId) -> Option<WorkflowStatus> {
        let Some(job) = self.jobs.get(&id) else {
            return self.ended_jobs.status(id);
        };
        Some(match job.end {
            Some(status) if job.end_record <= self.last_written => status,
            _ if job.started => WorkflowStatus::Running,
            _ => WorkflowStatus::Queued,
        })
    }

    /// Returns what the records of a job in the log still matter for.
    pub fn job_fate(&self, id: WorkflowId) -> JobFate {
        let Some(job) = self.jobs.get(&id) else {
            return JobFate::Removed;
        };
        // A loss names its host by the start, which is kept until the loss is written.
        let last = job.end_record.max(job.loss_record);
        let has_ended = job.end.is_some() && self.is_written(last);
        if has_ended && job.is_settled() {
            JobFate::Ended
        } else {
            JobFate::Open
        }
    }

    /// Returns whether a job is open, or has ended and is not archived yet.
    pub fn has_job(&self, id: WorkflowId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Returns whether and how a job has ended, for the archive.
    pub fn job_end(&self, id: WorkflowId) -> JobEnd {
        let Some(job) = self.jobs.get(&id) else {
            return JobEnd::Unknown;
        };
        match job.end {
            Some(status) if self.is_written(job.end_record) && job.is_settled() => JobEnd::Ended {
                status,
                at: job.ended,
                has_evidence: job.has_evidence(),
            },
            _ => JobEnd::Pending,
        }
    }

    /// Takes the jobs that have ended since the last call, with the times of their ends.
    pub fn take_ends(&mut self) -> Vec<(Millis, WorkflowId)> {
        std::mem::take(&mut self.recent_ends)
    }

    /// Returns whether no run of an earlier owner may be unknown: every listed host has answered, or
    /// the leases that earlier owners granted have expired.
    pub fn runs_known(&self, now: Millis) -> bool {
        let lease_over = now > self.took_over + self.settings.inherited_lease;
        let is_listed = |host: &Host| host.listed;
        lease_over || (self.hosts.values().any(is_listed) && self.unknown_hosts() == 0)
    }

    /// Keeps nothing but the status of ended jobs, since the store holds nothing else of them.
    pub fn archive_jobs(&mut self, jobs: &[WorkflowId], now: Millis) {
        for id in jobs {
            if let Some(job) = self.jobs.remove(id)
                && let Some(status) = job.end
            {
                let age = now.since(job.ended);
                self.ended_jobs.add(*id, status, now, age);
            }
        }
    }

    /// Returns the archived jobs.
    pub const fn ended_jobs(&self) -> &EndedJobs {
        &self.ended_jobs
    }

    /// Returns the archived jobs, to add those that the store holds and to remove expired ones.
    pub const fn ended_jobs_mut(&mut self) -> &mut EndedJobs {
        &mut self.ended_jobs
    }
}
