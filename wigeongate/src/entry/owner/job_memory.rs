//! Shares the owner's memory for jobs among the gates, and reads the jobs that had to wait for it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use eyre::Result;
use tracing::info;
use wigeongate_core::ids::GateId;
use wigeongate_core::workflow::{RoomRequest, WorkflowId};

use super::super::deferred;
use super::super::stored_job::FoundJob;
use super::Owner;

impl Owner {
    /// Allots a gate its part of the memory for accepted jobs, or more if it wants that.
    pub(super) fn allot_room(&mut self, gate: &GateId, request: &RoomRequest) -> u64 {
        let held = self.scheduler.held_bytes() + self.intake.deferred().bytes();
        self.budget.allot(gate, request, held, self.shared.now())
    }

    /// Allots this gate its part of the memory for accepted jobs, and reports the budget.
    pub(super) fn renew_room(&mut self) {
        let shared = Arc::clone(&self.shared);
        let request = shared.room().request(0);
        let room = self.allot_room(&shared.settings.gate, &request);
        shared.room().install(room);
        let metrics = &shared.metrics;
        metrics.set_gauge("job_bytes", self.scheduler.held_bytes());
        metrics.set_gauge("job_bytes_budget", self.budget.bytes());
        let deferred = self.intake.deferred().len();
        metrics.set_gauge("jobs_deferred", u64::try_from(deferred).unwrap_or(u64::MAX));
    }

    /// Reads deferred jobs from the store as far as there is memory for them.
    pub(super) fn read_deferred(&mut self) {
        if !self.lease_current.load(Ordering::Relaxed) {
            return;
        }
        let held = self.scheduler.held_bytes();
        let left = self.shared.settings.job_bytes().saturating_sub(held);
        let is_idle = self.scheduler.open_jobs() == 0;
        for id in self.intake.deferred_mut().begin_reads(left, is_idle) {
            deferred::read(&self.shared, &self.events, id);
        }
    }

    /// Adds a deferred job that was read.
    pub(super) fn add_deferred(&mut self, id: WorkflowId, found: Result<Option<FoundJob>>) {
        match found {
            Ok(Some(FoundJob::Accepted(job))) if self.lease_current.load(Ordering::Relaxed) => {
                self.add_job(*job);
            }
            Ok(Some(FoundJob::Accepted(_))) => self.intake.deferred_mut().fail_read(id),
            Ok(Some(FoundJob::Ended(_)) | None) => {
                self.intake.deferred_mut().remove(id);
            }
            Err(error) => {
                info!(job = %id, error = format!("{error:#}"),
                    "owner: a deferred job cannot be read; trying again.");
                self.intake.deferred_mut().fail_read(id);
                return;
            }
        }
        self.read_deferred();
    }
}
