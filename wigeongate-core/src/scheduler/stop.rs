//! Stopping of tasks in steps: checkpoint, then throttle, then stop at once.

use super::Scheduler;
use super::fleet::{StopCause, StopRequest};
use super::held::HeldAction;
use super::index::WorkerIx;
use super::message::{Action, TaskControl};
use crate::ids::TaskId;
use crate::resources::Resources;
use crate::time::Millis;

/// Interval after which an order to stop at once is repeated.
const STOP_RETRY_INTERVAL: Millis = Millis::from_secs(5);

/// How long an order that a pause holds back waits before the next attempt.
const PAUSE_RETRY_DELAY: Millis = Millis::from_secs(1);

/// What the next attempt reserves where usage exceeded the size, as a percentage of that usage.
const HEADROOM_PERCENT: u64 = 125;

/// Returns `size` with each resource that `usage` exceeds replaced by the usage plus headroom;
/// accelerators stay as they are.
fn corrected_size(size: &Resources, usage: &Resources) -> Resources {
    let correct = |size: u64, usage: u64| {
        if usage > size {
            usage.saturating_mul(HEADROOM_PERCENT) / 100
        } else {
            size
        }
    };
    Resources {
        cpu: correct(size.cpu, usage.cpu),
        memory: correct(size.memory, usage.memory),
        accelerators: size.accelerators,
    }
}

impl Scheduler {
    /// Orders a task to stop at once; does nothing if it was ordered before.
    pub(super) fn stop_now(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        cause: StopCause,
        actions: &mut Vec<Action>,
    ) {
        if self.mark_stopping(worker, task, cause, true) {
            self.pending_stops
                .insert((self.now + STOP_RETRY_INTERVAL, worker, task));
            self.send_control(worker, task, TaskControl::Stop, actions);
        }
    }

    /// Orders a task to write a checkpoint and stop; does nothing if the task is being stopped
    /// already.
    ///
    /// The task is throttled after half the checkpoint grace period and stopped at its end, or
    /// stopped after half the period if it was throttled before.
    pub(super) fn request_stop(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        cause: StopCause,
        actions: &mut Vec<Action>,
    ) {
        if self.mark_stopping(worker, task, cause, false) {
            let half = Millis(self.policy.rules.checkpoint_grace.0 / 2);
            self.pending_stops.insert((self.now + half, worker, task));
            self.send_control(worker, task, TaskControl::Checkpoint, actions);
        }
    }

    /// Marks a lease as being stopped; returns false when there is no lease or an order at least as
    /// strict was given before.
    fn mark_stopping(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        cause: StopCause,
        immediate: bool,
    ) -> bool {
        let now = self.now;
        let Some(lease) = self.fleet.slot_mut(worker).leases.get_mut(&task) else {
            return false;
        };
        let before = lease.stopping;
        if before.is_some_and(|request| request.immediate || !immediate) {
            return false;
        }
        let since = before.map_or(now, |request| request.since);
        lease.stopping = Some(StopRequest {
            cause,
            since,
            immediate,
        });
        let (team, size) = (lease.team, lease.size);
        let was_preempted = before.is_some_and(|request| request.cause == StopCause::Preempted);
        if let Some(team) = team {
            let team = &mut self.teams.all[team];
            if was_preempted {
                team.preempted = team.preempted.saturating_sub(&size);
            }
            if cause == StopCause::Preempted {
                team.preempted += size;
            }
        }
        let counts = self.is_current(worker, task);
        if let Some(entry) = self.table.get_mut(task.job) {
            entry.stopping += u32::from(before.is_none() && counts);
        }
        true
    }

    /// Returns whether the attempt of a task on a worker is its current attempt.
    pub(super) fn is_current(&self, worker: WorkerIx, task: TaskId) -> bool {
        let progress = self
            .table
            .get(task.job)
            .and_then(|entry| entry.tasks.get(task.index as usize));
        progress.is_some_and(|progress| progress.stage == super::table::Stage::Placed(worker))
    }

    fn send_control(
        &self,
        worker: WorkerIx,
        task: TaskId,
        control: TaskControl,
        actions: &mut Vec<Action>,
    ) {
        let slot = self.fleet.slot(worker);
        if let Some(lease) = slot.leases.get(&task) {
            actions.push(Action::Control {
                host: slot.host.clone(),
                task,
                attempt: lease.attempt,
                control,
            });
        }
    }

    /// Sends the next order to each task whose stop is overdue.
    pub(super) fn escalate_stops(&mut self, actions: &mut Vec<Action>) {
        while let Some((due, worker, task)) = self.pending_stops.first().copied() {
            if due > self.now {
                return;
            }
            self.pending_stops.pop_first();
            if let Some(next) = self.escalate_stop(worker, task, actions) {
                self.pending_stops.insert((next, worker, task));
            }
        }
    }

    /// Sends the next order to one task; returns when the order after it is due, `None` when the
    /// task has ended.
    fn escalate_stop(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        actions: &mut Vec<Action>,
    ) -> Option<Millis> {
        let lease = self.fleet.slot(worker).leases.get(&task)?;
        let request = lease.stopping?;
        let throttled = lease.throttled;
        let held = match request.cause {
            StopCause::Ended | StopCause::GangBroken => None,
            StopCause::Preempted => Some(HeldAction::Preempt(task.job)),
            StopCause::Moved => Some(HeldAction::Move(task)),
            StopCause::OverUsage => Some(HeldAction::LimitUsage(task)),
        };
        if held.is_some_and(|held| !self.allow_automatic(|| held)) {
            return Some(self.now + PAUSE_RETRY_DELAY);
        }
        let end = request.since + self.policy.rules.checkpoint_grace;
        if !request.immediate && !throttled && end > self.now {
            self.send_control(worker, task, TaskControl::Throttle, actions);
            if let Some(lease) = self.fleet.slot_mut(worker).leases.get_mut(&task) {
                lease.throttled = true;
            }
            return Some(end);
        }
        if let Some(lease) = self.fleet.slot_mut(worker).leases.get_mut(&task) {
            lease.stopping = Some(StopRequest {
                immediate: true,
                ..request
            });
        }
        self.send_control(worker, task, TaskControl::Stop, actions);
        Some(self.now + STOP_RETRY_INTERVAL)
    }

    /// Handles the measured usage of a task.
    ///
    /// If it exceeds the reservation, the size of the job's next attempts is corrected. On too much
    /// memory the reservation grows if there is room, else the task is stopped by checkpoint. On
    /// too much CPU alone the task is throttled.
    pub(super) fn handle_usage(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        usage: &Resources,
        actions: &mut Vec<Action>,
    ) {
        let Some(lease) = self.fleet.slot(worker).leases.get(&task) else {
            return;
        };
        let (size, throttled) = (lease.size, lease.throttled);
        if usage.cpu <= size.cpu && usage.memory <= size.memory {
            return;
        }
        self.correct_job_size(task, usage);
        let over = usage.memory > size.memory;
        if over && self.grow_reservation(worker, task, usage) || !over && throttled {
            return;
        }
        if !self.allow_automatic(|| HeldAction::LimitUsage(task)) {
            return;
        }
        if over {
            self.request_stop(worker, task, StopCause::OverUsage, actions);
            return;
        }
        if let Some(lease) = self.fleet.slot_mut(worker).leases.get_mut(&task) {
            lease.throttled = true;
        }
        self.send_control(worker, task, TaskControl::Throttle, actions);
    }

    /// Corrects the size of a job's next attempts, limited to what fits on some worker.
    fn correct_job_size(&mut self, task: TaskId, usage: &Resources) {
        let Some(entry) = self.table.get(task.job) else {
            return;
        };
        let mut size = corrected_size(&entry.size, usage);
        if !self.any_worker_fits(&size) {
            size = self.nearest_fit(&size).max(&entry.size);
        }
        if size != entry.size && entry.ended.is_none() {
            self.resize_job(task.job, size);
        }
    }

    /// Raises the memory reservation of a task if its worker and its team's limit allow it; returns
    /// whether it did.
    fn grow_reservation(&mut self, worker: WorkerIx, task: TaskId, usage: &Resources) -> bool {
        let Some(lease) = self.fleet.slot(worker).leases.get(&task) else {
            return false;
        };
        let Some(team) = lease.team else {
            return false;
        };
        let size = Resources {
            memory: corrected_size(&lease.size, usage).memory,
            ..lease.size
        };
        let more = size.saturating_sub(&lease.size);
        let free = lease.stopping.is_none()
            && more.fits_in(&self.fleet.slot(worker).free())
            && self.within_limit(team, &more);
        if !free {
            return false;
        }
        let slot = self.fleet.slot_mut(worker);
        slot.reserved += more;
        if let Some(lease) = slot.leases.get_mut(&task) {
            lease.size = size;
        }
        self.fleet.refresh(worker);
        self.teams.add(team, &more);
        true
    }
}
