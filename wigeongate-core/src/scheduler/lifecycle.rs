//! Life cycle of jobs and tasks, from acceptance to the end.

use super::Scheduler;
use super::fleet::{Cause, Lease};
use super::index::WorkerIx;
use super::message::{Action, Phase, Start};
use super::queues::QueuedJob;
use super::table::{Entry, Stage};
use crate::ids::{JobId, TaskId};
use crate::job::{Job, Kind, Outcome};
use crate::time::Millis;

/// Minimum delay before a task that a worker refused is queued again; a random part of up to the
/// same length is added.
const REFUSAL_DELAY: Millis = Millis(200);

/// Failure reason of a job whose task outgrew every worker.
const TOO_LARGE_REASON: &str = "a task uses more memory than any worker can give it";

/// Maximum number of tasks of a job.
pub(super) const MAX_TASKS: u32 = 100_000;

fn queued_job(entry: &Entry) -> QueuedJob {
    QueuedJob {
        job: entry.job.id,
        team: entry.team,
        seq: entry.seq,
        size: entry.size,
        urgent: entry.job.spec.urgent,
        gang: entry.is_gang(),
    }
}

impl Scheduler {
    /// Adds an accepted job and queues its tasks; a job with more than [`MAX_TASKS`] tasks is
    /// refused.
    pub(super) fn submit(&mut self, job: Job, restored: bool, actions: &mut Vec<Action>) {
        let id = job.id;
        let count = job.spec.tasks;
        let team = self.teams.get_or_add(&job.team);
        if count > MAX_TASKS {
            let reason = format!("a job has at most {MAX_TASKS} tasks");
            let mut job = job;
            job.spec.tasks = 1;
            if self.table.add(job, team, restored, self.now) {
                self.end_job(id, Outcome::Refused(reason), actions);
            }
            return;
        }
        if !self.table.add(job, team, restored, self.now) {
            return;
        }
        self.enqueue_job(id);
        self.adopt_orphans(id, actions);
        self.refuse_if_unfit(id, actions);
        self.dirty = true;
    }

    /// Cancels a job.
    pub(super) fn cancel(&mut self, id: JobId, actions: &mut Vec<Action>) {
        self.end_job(id, Outcome::Cancelled, actions);
    }

    /// Adds a job with ready tasks to the queues.
    fn enqueue_job(&mut self, id: JobId) {
        if let Some(entry) = self.table.get(id) {
            self.queues.insert(&queued_job(entry));
        }
    }

    /// Removes a job from the queues.
    pub(super) fn dequeue_job(&mut self, id: JobId) {
        if let Some(entry) = self.table.get(id) {
            self.queues.remove(&queued_job(entry));
        }
    }

    /// Sets the size that the next attempts of a job reserve.
    pub(super) fn resize_job(&mut self, id: JobId, size: crate::resources::Resources) {
        self.dequeue_job(id);
        if let Some(entry) = self.table.get_mut(id) {
            entry.size = size;
            if !entry.ready.is_empty() {
                self.enqueue_job(id);
            }
        }
    }

    /// Queues a task until a worker has room for it; of an ended job, the task is done.
    pub(super) fn enqueue_task(&mut self, task: TaskId) {
        let now = self.now;
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        let progress = &mut entry.tasks[task.index as usize];
        if entry.ended.is_some() {
            progress.stage = Stage::Done;
            return;
        }
        progress.stage = Stage::Queued;
        if entry.ready.is_empty() {
            entry.waiting_since = now;
        }
        entry.ready.insert(task.index);
        self.enqueue_job(task.job);
        if let Some(claim) = self.claims.all.get(&task.job) {
            self.fleet.touched.extend(&claim.parts);
        }
        self.dirty = true;
    }

    /// Delays a task until `due`, when it is queued; of an ended job, the task is done.
    pub(super) fn delay_task(&mut self, task: TaskId, due: Millis) {
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        let progress = &mut entry.tasks[task.index as usize];
        if entry.ended.is_some() {
            progress.stage = Stage::Done;
            return;
        }
        progress.stage = Stage::Delayed(due);
        entry.delayed += 1;
        self.delayed.insert((due, task));
    }

    /// Removes a queued or delayed task from where it waits; its stage is left for the caller to
    /// set.
    pub(super) fn dequeue_task(&mut self, task: TaskId) {
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        match entry.tasks[task.index as usize].stage {
            Stage::Queued => {
                entry.ready.remove(&task.index);
                if entry.ready.is_empty() {
                    self.dequeue_job(task.job);
                }
            }
            Stage::Delayed(due) => {
                entry.delayed -= 1;
                self.delayed.remove(&(due, task));
            }
            Stage::Placed(_) | Stage::Done => {}
        }
    }

    /// Orders a worker to start the first ready task of a job.
    pub(super) fn start_next(&mut self, id: JobId, worker: WorkerIx, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let Some(index) = entry.ready.first().copied() else {
            return;
        };
        let task = TaskId { job: id, index };
        let attempt = entry.tasks[index as usize].last_attempt + 1;
        let size = entry.size;
        let command = entry.job.spec.command.clone();
        self.last_order += 1;
        let lease = Lease {
            attempt,
            size,
            team: Some(entry.team),
            kind: entry.job.kind,
            urgent: entry.job.spec.urgent,
            order: self.last_order,
            since: self.now,
            pressed: None,
            throttled: false,
        };
        self.dequeue_task(task);
        self.record_placement(worker, task, lease);
        actions.push(Action::Start(Start {
            host: self.fleet.slot(worker).host.clone(),
            task,
            attempt,
            size,
            command,
            order: self.last_order,
        }));
    }

    /// Reserves resources for the current attempt of a task and marks the task as placed.
    pub(super) fn record_placement(&mut self, worker: WorkerIx, task: TaskId, lease: Lease) {
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        let progress = &mut entry.tasks[task.index as usize];
        progress.stage = Stage::Placed(worker);
        progress.last_attempt = progress.last_attempt.max(lease.attempt);
        entry.placed += 1;
        entry.started = true;
        entry.spread.add(self.fleet.slot(worker));
        self.teams.add(entry.team, &lease.size);
        self.fleet.reserve(worker, task, lease);
    }

    /// Frees the reservation of an attempt that ended; returns it if it was the task's current
    /// attempt.
    ///
    /// The task is then in stage `Done` until the caller queues or delays it again.
    pub(super) fn release_lease(&mut self, worker: WorkerIx, task: TaskId) -> Option<Lease> {
        let lease = self.fleet.free(worker, task)?;
        self.orphans.remove(&task);
        if let Some(team) = lease.team {
            self.teams.sub(team, &lease.size);
            self.uncount_preempted(team, &lease);
        }
        self.dirty = true;
        let entry = self.table.get_mut(task.job)?;
        let progress = entry.tasks.get_mut(task.index as usize)?;
        progress.last_ended = progress.last_ended.max(lease.attempt);
        if progress.stage != Stage::Placed(worker) {
            return None;
        }
        progress.stage = Stage::Done;
        entry.placed -= 1;
        entry.stopping -= u32::from(lease.pressed.is_some());
        entry.spread.sub(self.fleet.slot(worker));
        Some(lease)
    }

    fn uncount_preempted(&mut self, team: usize, lease: &Lease) {
        if lease
            .pressed
            .is_some_and(|pressed| pressed.cause == Cause::Room)
        {
            let team = &mut self.teams.all[team];
            team.preempted = team.preempted.saturating_sub(&lease.size);
        }
    }

    /// Decides what follows the end of a task's current attempt: retry, delay, or the end of the
    /// job.
    pub(super) fn handle_attempt_end(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        lease: &Lease,
        phase: &Phase,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get(task.job) else {
            return;
        };
        if entry.ended.is_some() {
            return;
        }
        match phase {
            Phase::Succeeded => self.succeed(worker, task, lease, actions),
            Phase::Failed(reason) => self.fail(worker, task, lease, reason, actions),
            Phase::Refused(_) => {
                let due = self.now + REFUSAL_DELAY + Millis(self.rng.below(REFUSAL_DELAY.0));
                self.delay_task(task, due);
            }
            Phase::Running | Phase::Stopped if self.exceeds_every_worker(task, lease) => {
                self.end_job(
                    task.job,
                    Outcome::Failed(TOO_LARGE_REASON.to_owned()),
                    actions,
                );
            }
            Phase::Running | Phase::Stopped => self.enqueue_task(task),
        }
        if *phase != Phase::Succeeded {
            self.break_gang(task.job, actions);
        }
    }

    /// Returns whether a task was stopped for outgrowing its reservation and no larger size fits a
    /// worker.
    fn exceeds_every_worker(&self, task: TaskId, lease: &Lease) -> bool {
        let outgrown = lease
            .pressed
            .is_some_and(|pressed| pressed.cause == Cause::Outgrown);
        let size = self.table.get(task.job).map(|entry| entry.size);
        outgrown && size.is_some_and(|size| size.memory <= lease.size.memory)
    }

    fn succeed(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        lease: &Lease,
        actions: &mut Vec<Action>,
    ) {
        self.note_success(worker);
        let Some(entry) = self.table.get_mut(task.job) else {
            return;
        };
        if entry.job.kind == Kind::Service {
            self.restart_service(task, lease);
            return;
        }
        entry.succeeded += 1;
        self.finish_if_done(task.job, actions);
    }

    /// Ends a job as succeeded once all its tasks have succeeded.
    pub(super) fn finish_if_done(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if entry.succeeded as usize == entry.tasks.len() {
            self.end_job(id, Outcome::Succeeded, actions);
        }
    }

    /// Ends a job: removes its waiting tasks from the queues and orders its running tasks to stop.
    pub(super) fn end_job(&mut self, id: JobId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if entry.ended.is_some() {
            return;
        }
        self.drop_claim(id);
        self.dequeue_job(id);
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        entry.ended = Some(outcome.clone());
        entry.ready.clear();
        entry.delayed = 0;
        let mut placed = Vec::new();
        for (index, progress) in (0..).zip(&mut entry.tasks) {
            let task = TaskId { job: id, index };
            match progress.stage {
                Stage::Placed(worker) => placed.push((worker, task)),
                Stage::Delayed(due) => {
                    self.delayed.remove(&(due, task));
                    progress.stage = Stage::Done;
                }
                Stage::Queued | Stage::Done => progress.stage = Stage::Done,
            }
        }
        for (worker, task) in placed {
            self.stop_now(worker, task, Cause::Ended, actions);
        }
        self.table.record_end(id, self.now);
        actions.push(Action::Ended { job: id, outcome });
    }

    /// Queues the delayed tasks that are due.
    pub(super) fn enqueue_due_tasks(&mut self) {
        while let Some((due, task)) = self.delayed.first().copied() {
            if due > self.now {
                return;
            }
            self.delayed.pop_first();
            if let Some(entry) = self.table.get_mut(task.job) {
                entry.delayed = entry.delayed.saturating_sub(1);
            }
            self.enqueue_task(task);
        }
    }
}
