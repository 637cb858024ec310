//! Handling of worker reports, which may arrive late and out of order.

use super::Scheduler;
use super::fleet::{Cause, Lease};
use super::index::WorkerIx;
use super::message::{Action, Phase, Report, TaskReport};
use super::table::Stage;
use crate::collections::HashSet;
use crate::ids::{Attempt, HostId, JobId, TaskId};
use crate::job::Kind;

/// Maximum number of ends of unknown jobs' tasks that are kept until the restore is complete.
const MAX_EARLY_ENDS: usize = 200_000;

impl Scheduler {
    /// Applies a worker's report.
    pub(super) fn handle_report(&mut self, report: &Report, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.find_host(&report.host) else {
            return;
        };
        let stale = self.is_stale(worker, report);
        let full = report.full && !stale;
        let seen: HashSet<TaskId> = if full {
            report.tasks.iter().map(|task| task.task).collect()
        } else {
            HashSet::default()
        };
        for task in &report.tasks {
            self.handle_task_report(worker, task, stale, actions);
        }
        if full {
            self.free_missing(worker, &seen, report.last_order, actions);
            self.mark_settled(worker);
        }
    }

    /// Returns whether a newer report of the same incarnation was seen; records the report as the
    /// newest otherwise.
    fn is_stale(&mut self, worker: WorkerIx, report: &Report) -> bool {
        let newest = &mut self.fleet.slot_mut(worker).newest;
        let current = (report.incarnation, report.seq);
        if report.seq > 0 && current.0 == newest.0 && current.1 < newest.1 {
            return true;
        }
        *newest = current;
        false
    }

    fn mark_settled(&mut self, worker: WorkerIx) {
        let slot = self.fleet.slot_mut(worker);
        if slot.known && slot.settled {
            return;
        }
        slot.known = true;
        slot.settled = true;
        self.refresh_unsettled();
        self.fleet.refresh(worker);
        self.dirty = true;
    }

    /// Frees the reservations of tasks that a full report does not list, if the worker had received
    /// their start orders.
    fn free_missing(
        &mut self,
        worker: WorkerIx,
        seen: &HashSet<TaskId>,
        last_order: u64,
        actions: &mut Vec<Action>,
    ) {
        let missing: Vec<TaskId> = self
            .fleet
            .slot(worker)
            .leases
            .iter()
            .filter(|(task, lease)| lease.order <= last_order && !seen.contains(*task))
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.finish_attempt(worker, task, &Phase::Stopped, actions);
        }
    }

    /// Ends every attempt on a worker whose task leases expired.
    pub(super) fn handle_worker_lost(&mut self, host: &HostId, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.find_host(host) else {
            return;
        };
        let slot = self.fleet.slot_mut(worker);
        slot.known = false;
        slot.settled = true;
        let tasks: Vec<TaskId> = slot.leases.keys().copied().collect();
        self.fleet.refresh(worker);
        self.refresh_unsettled();
        self.drop_blocked_claims();
        for task in tasks {
            self.finish_attempt(worker, task, &Phase::Stopped, actions);
        }
        self.dirty = true;
    }

    /// Frees the reservation of an attempt that ended and handles the end if the attempt was
    /// current.
    fn finish_attempt(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        phase: &Phase,
        actions: &mut Vec<Action>,
    ) {
        if let Some(lease) = self.release_lease(worker, task) {
            self.handle_attempt_end(worker, task, &lease, phase, actions);
        }
    }

    fn handle_task_report(
        &mut self,
        worker: WorkerIx,
        report: &TaskReport,
        stale: bool,
        actions: &mut Vec<Action>,
    ) {
        let task = report.task;
        let held = self
            .fleet
            .slot(worker)
            .leases
            .get(&task)
            .map(|lease| lease.attempt);
        match (held, &report.phase) {
            (Some(attempt), _) if attempt > report.attempt => {}
            (Some(attempt), Phase::Running) if attempt == report.attempt => {
                if !stale {
                    self.handle_usage(worker, task, &report.usage, actions);
                }
            }
            (_, Phase::Running) => {
                if !stale {
                    self.adopt(worker, report, actions);
                }
            }
            (Some(attempt), phase) if attempt == report.attempt => {
                self.finish_attempt(worker, task, phase, actions);
            }
            (_, phase) => self.handle_unreserved_end(task, report.attempt, phase, actions),
        }
    }

    /// Reserves for a running attempt that was not known to run on this worker.
    ///
    /// If its task waits, the attempt becomes the current one. An attempt of an unknown job is kept
    /// until the restore is complete. Any other attempt is stopped; one that is known to have ended
    /// is ignored if the worker's reports have no sequence numbers.
    fn adopt(&mut self, worker: WorkerIx, report: &TaskReport, actions: &mut Vec<Action>) {
        let task = report.task;
        self.finish_attempt(worker, task, &Phase::Stopped, actions);
        let mut lease = Lease {
            attempt: report.attempt,
            size: report.size,
            team: None,
            kind: Kind::Batch,
            urgent: false,
            order: 0,
            since: self.now,
            pressed: None,
            throttled: false,
        };
        let entry = self.table.get(task.job);
        let known = entry.and_then(|entry| {
            let progress = entry.tasks.get(task.index as usize)?;
            Some((entry, *progress))
        });
        let Some((entry, progress)) = known else {
            self.orphans.insert(task, worker);
            self.fleet.reserve(worker, task, lease);
            if self.restored {
                self.stop_now(worker, task, Cause::Ended, actions);
            }
            return;
        };
        let sequenced = self.fleet.slot(worker).newest.1 > 0;
        if !sequenced && report.attempt <= progress.last_ended {
            return;
        }
        lease.team = Some(entry.team);
        lease.kind = entry.job.kind;
        lease.urgent = entry.job.spec.urgent;
        let waits = matches!(progress.stage, Stage::Queued | Stage::Delayed(_));
        if waits && entry.ended.is_none() {
            self.dequeue_task(task);
            self.record_placement(worker, task, lease);
            return;
        }
        self.stop_duplicate(worker, task, lease, actions);
    }

    /// Reserves for a running attempt of a task that is placed elsewhere or has ended, and stops
    /// it.
    fn stop_duplicate(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        lease: Lease,
        actions: &mut Vec<Action>,
    ) {
        if let Some(team) = lease.team {
            self.teams.add(team, &lease.size);
        }
        self.fleet.reserve(worker, task, lease);
        self.stop_now(worker, task, Cause::Ended, actions);
    }

    /// Handles the end of an attempt without a reservation; a success counts if the task still
    /// waits.
    fn handle_unreserved_end(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        phase: &Phase,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get_mut(task.job) else {
            if !self.restored && self.early_ends.len() < MAX_EARLY_ENDS {
                self.early_ends.insert(task, (attempt, phase.clone()));
            }
            return;
        };
        let Some(progress) = entry.tasks.get_mut(task.index as usize) else {
            return;
        };
        progress.last_attempt = progress.last_attempt.max(attempt);
        progress.last_ended = progress.last_ended.max(attempt);
        let counts = *phase == Phase::Succeeded
            && entry.job.kind != Kind::Service
            && entry.ended.is_none()
            && matches!(progress.stage, Stage::Queued | Stage::Delayed(_));
        if !counts {
            return;
        }
        self.dequeue_task(task);
        if let Some(entry) = self.table.get_mut(task.job) {
            entry.tasks[task.index as usize].stage = Stage::Done;
            entry.started = true;
            entry.succeeded += 1;
        }
        self.finish_if_done(task.job, actions);
    }

    /// Applies what was reported on a job's tasks before the job was known.
    pub(super) fn adopt_orphans(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let first = TaskId { job: id, index: 0 };
        let last = TaskId {
            job: id,
            index: u32::MAX,
        };
        let orphans: Vec<(TaskId, WorkerIx)> = self
            .orphans
            .range(first..=last)
            .map(|(task, worker)| (*task, *worker))
            .collect();
        for (task, worker) in orphans {
            let Some(lease) = self.fleet.free(worker, task) else {
                continue;
            };
            self.orphans.remove(&task);
            let report = TaskReport {
                task,
                attempt: lease.attempt,
                size: lease.size,
                usage: lease.size,
                phase: Phase::Running,
            };
            self.adopt(worker, &report, actions);
        }
        self.apply_early_ends(id, actions);
    }

    fn apply_early_ends(&mut self, id: JobId, actions: &mut Vec<Action>) {
        if self.early_ends.is_empty() {
            return;
        }
        let count = self.table.get(id).map_or(0, |entry| entry.tasks.len());
        for index in (0..).take(count) {
            let task = TaskId { job: id, index };
            if let Some((attempt, phase)) = self.early_ends.remove(&task) {
                self.handle_unreserved_end(task, attempt, &phase, actions);
            }
        }
    }
}
