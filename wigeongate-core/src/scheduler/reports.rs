//! What workers say, in whatever order it arrives.

use super::Scheduler;
use super::fleet::{Lease, StopCause};
use super::index::WorkerIx;
use super::message::{Action, Phase, Report, TaskReport};
use super::table::Stage;
use crate::collections::HashSet;
use crate::ids::{Attempt, HostId, JobId, TaskId};
use crate::job::Kind;

/// Ends of tasks of unknown jobs that are remembered until the restore is over.
const MAX_EARLY: usize = 200_000;

impl Scheduler {
    /// Takes in a worker's report.
    pub(super) fn report(&mut self, report: &Report, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.find_host(&report.host) else {
            return;
        };
        let late = self.late(worker, report);
        let full = report.full && !late;
        let seen: HashSet<TaskId> = if full {
            report.tasks.iter().map(|task| task.task).collect()
        } else {
            HashSet::default()
        };
        for task in &report.tasks {
            self.task_report(worker, task, late, actions);
        }
        if full {
            self.free_missing(worker, &seen, report.ordered, actions);
            self.know(worker);
        }
    }

    /// Returns whether a newer report of the worker's process was seen.
    fn late(&mut self, worker: WorkerIx, report: &Report) -> bool {
        let newest = &mut self.fleet.slot_mut(worker).last_report;
        let told = (report.incarnation, report.seq);
        if report.seq > 0 && told.0 == newest.0 && told.1 < newest.1 {
            return true;
        }
        *newest = told;
        false
    }

    fn know(&mut self, worker: WorkerIx) {
        let slot = self.fleet.slot_mut(worker);
        if slot.reported_all && slot.settled {
            return;
        }
        slot.reported_all = true;
        slot.settled = true;
        self.settle();
        self.fleet.refresh(worker);
        self.dirty = true;
    }

    /// Frees what the worker did not name although it named everything.
    fn free_missing(
        &mut self,
        worker: WorkerIx,
        seen: &HashSet<TaskId>,
        ordered: u64,
        actions: &mut Vec<Action>,
    ) {
        let missing: Vec<TaskId> = self
            .fleet
            .slot(worker)
            .leases
            .iter()
            .filter(|(task, lease)| lease.order <= ordered && !seen.contains(*task))
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.conclude(worker, task, &Phase::Stopped, actions);
        }
    }

    /// Takes in that nothing of ours runs on a worker any longer.
    pub(super) fn lose(&mut self, host: &HostId, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.find_host(host) else {
            return;
        };
        let slot = self.fleet.slot_mut(worker);
        slot.reported_all = false;
        slot.settled = true;
        let tasks: Vec<TaskId> = slot.leases.keys().copied().collect();
        self.fleet.refresh(worker);
        self.settle();
        self.release_unusable_claims();
        for task in tasks {
            self.conclude(worker, task, &Phase::Stopped, actions);
        }
        self.dirty = true;
    }

    /// Frees the reservation of an attempt that has ended and goes on with its task.
    fn conclude(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        phase: &Phase,
        actions: &mut Vec<Action>,
    ) {
        if let Some(lease) = self.release(worker, task) {
            self.after(worker, task, &lease, phase, actions);
        }
    }

    fn task_report(
        &mut self,
        worker: WorkerIx,
        report: &TaskReport,
        late: bool,
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
                if !late {
                    self.used(worker, task, &report.usage, actions);
                }
            }
            (_, Phase::Running) => {
                if !late {
                    self.adopt(worker, report, actions);
                }
            }
            (Some(attempt), phase) if attempt == report.attempt => {
                self.conclude(worker, task, phase, actions);
            }
            (_, phase) => self.ended_elsewhere(task, report.attempt, phase, actions),
        }
    }

    /// Takes over a task that runs on a worker without our order, or unknown to us.
    fn adopt(&mut self, worker: WorkerIx, report: &TaskReport, actions: &mut Vec<Action>) {
        let task = report.task;
        self.conclude(worker, task, &Phase::Stopped, actions);
        let mut lease = Lease {
            attempt: report.attempt,
            size: report.size,
            team: None,
            kind: Kind::Batch,
            urgent: false,
            order: 0,
            since: self.now,
            stopping: None,
            throttled: false,
        };
        let entry = self.table.get(task.job);
        let known = entry.and_then(|entry| {
            let progress = entry.tasks.get(task.index as usize)?;
            Some((entry, *progress))
        });
        let Some((entry, progress)) = known else {
            self.strays.insert(task, worker);
            self.fleet.reserve(worker, task, lease);
            if self.restored {
                self.stop(worker, task, StopCause::Ended, actions);
            }
            return;
        };
        let told = self.fleet.slot(worker).last_report.1 > 0;
        if !told && report.attempt <= progress.closed {
            return;
        }
        lease.team = Some(entry.team);
        lease.kind = entry.job.kind;
        lease.urgent = entry.job.spec.urgent;
        let waits = matches!(progress.stage, Stage::Queued | Stage::Delayed(_));
        if waits && entry.ended.is_none() {
            self.unqueue(task);
            self.settle_on(worker, task, lease);
            return;
        }
        self.adopt_beside(worker, task, lease, actions);
    }

    /// Reserves for an attempt of a task that is placed elsewhere or has ended, and stops it.
    fn adopt_beside(
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
        self.stop(worker, task, StopCause::Ended, actions);
    }

    /// Takes in the end of an attempt for which nothing is reserved.
    fn ended_elsewhere(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        phase: &Phase,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get_mut(task.job) else {
            if !self.restored && self.early.len() < MAX_EARLY {
                self.early.insert(task, (attempt, phase.clone()));
            }
            return;
        };
        let Some(progress) = entry.tasks.get_mut(task.index as usize) else {
            return;
        };
        progress.attempt = progress.attempt.max(attempt);
        progress.closed = progress.closed.max(attempt);
        let counts = *phase == Phase::Succeeded
            && entry.job.kind != Kind::Service
            && entry.ended.is_none()
            && matches!(progress.stage, Stage::Queued | Stage::Delayed(_));
        if !counts {
            return;
        }
        self.unqueue(task);
        if let Some(entry) = self.table.get_mut(task.job) {
            entry.tasks[task.index as usize].stage = Stage::Done;
            entry.started = true;
            entry.succeeded += 1;
        }
        self.finish_if_done(task.job, actions);
    }

    /// Takes over what was heard of a job's tasks before the job was known.
    pub(super) fn adopt_strays(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let first = TaskId { job: id, index: 0 };
        let last = TaskId {
            job: id,
            index: u32::MAX,
        };
        let strays: Vec<(TaskId, WorkerIx)> = self
            .strays
            .range(first..=last)
            .map(|(task, worker)| (*task, *worker))
            .collect();
        for (task, worker) in strays {
            let Some(lease) = self.fleet.release(worker, task) else {
                continue;
            };
            self.strays.remove(&task);
            let report = TaskReport {
                task,
                attempt: lease.attempt,
                size: lease.size,
                usage: lease.size,
                phase: Phase::Running,
            };
            self.adopt(worker, &report, actions);
        }
        self.adopt_early(id, actions);
    }

    fn adopt_early(&mut self, id: JobId, actions: &mut Vec<Action>) {
        if self.early.is_empty() {
            return;
        }
        let count = self.table.get(id).map_or(0, |entry| entry.tasks.len());
        for index in (0..).take(count) {
            let task = TaskId { job: id, index };
            if let Some((attempt, phase)) = self.early.remove(&task) {
                self.ended_elsewhere(task, attempt, &phase, actions);
            }
        }
    }
}
