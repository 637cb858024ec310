//! Stopping tasks: by checkpoint, then throttled, then at once.

use super::Scheduler;
use super::fleet::{StopCause, StopRequest};
use super::held::HeldAction;
use super::index::WorkerIx;
use super::message::{Action, Pressure};
use crate::ids::TaskId;
use crate::resources::Resources;
use crate::time::Millis;

/// How long after an order to stop it is given again.
const REPEAT: Millis = Millis::from_secs(5);

/// How long a held-back order waits before it is looked at again.
const HELD_BACK: Millis = Millis::from_secs(1);

/// What the next attempt reserves above the largest use seen, in hundredths.
const HEADROOM: u64 = 125;

/// Returns the use with headroom, where it is above the size.
fn corrected(size: &Resources, usage: &Resources) -> Resources {
    let correct = |size: u64, usage: u64| {
        if usage > size {
            usage.saturating_mul(HEADROOM) / 100
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
    /// Orders a task to stop at once.
    pub(super) fn stop(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        cause: StopCause,
        actions: &mut Vec<Action>,
    ) {
        if self.mark(worker, task, cause, true) {
            self.presses.insert((self.now + REPEAT, worker, task));
            self.order(worker, task, Pressure::Stop, actions);
        }
    }

    /// Orders a task to write a checkpoint and stop.
    pub(super) fn press(
        &mut self,
        worker: WorkerIx,
        task: TaskId,
        cause: StopCause,
        actions: &mut Vec<Action>,
    ) {
        if self.mark(worker, task, cause, false) {
            let half = Millis(self.policy.rules.checkpoint_grace.0 / 2);
            self.presses.insert((self.now + half, worker, task));
            self.order(worker, task, Pressure::Checkpoint, actions);
        }
    }

    /// Marks a lease as told to stop; returns false when it was told as much before.
    fn mark(&mut self, worker: WorkerIx, task: TaskId, cause: StopCause, stop: bool) -> bool {
        let now = self.now;
        let Some(lease) = self.fleet.slot_mut(worker).leases.get_mut(&task) else {
            return false;
        };
        let before = lease.stopping;
        if before.is_some_and(|request| request.immediate || !stop) {
            return false;
        }
        let since = before.map_or(now, |request| request.since);
        lease.stopping = Some(StopRequest {
            cause,
            since,
            immediate: stop,
        });
        let (team, size) = (lease.team, lease.size);
        let was_room = before.is_some_and(|request| request.cause == StopCause::Preempted);
        if let Some(team) = team {
            let team = &mut self.teams.all[team];
            if was_room {
                team.pressed = team.pressed.saturating_sub(&size);
            }
            if cause == StopCause::Preempted {
                team.pressed += size;
            }
        }
        let counts = self.current(worker, task);
        if let Some(entry) = self.table.get_mut(task.job) {
            entry.pressed += u32::from(before.is_none() && counts);
        }
        true
    }

    /// Returns whether the attempt of a task on a worker is the one that counts.
    pub(super) fn current(&self, worker: WorkerIx, task: TaskId) -> bool {
        let progress = self
            .table
            .get(task.job)
            .and_then(|entry| entry.tasks.get(task.index as usize));
        progress.is_some_and(|progress| progress.stage == super::table::Stage::Placed(worker))
    }

    fn order(&self, worker: WorkerIx, task: TaskId, pressure: Pressure, actions: &mut Vec<Action>) {
        let slot = self.fleet.slot(worker);
        if let Some(lease) = slot.leases.get(&task) {
            actions.push(Action::Press {
                host: slot.host.clone(),
                task,
                attempt: lease.attempt,
                pressure,
            });
        }
    }

    /// Gives the next orders to tasks that were told to stop and have not.
    pub(super) fn press_on(&mut self, actions: &mut Vec<Action>) {
        while let Some((due, worker, task)) = self.presses.first().copied() {
            if due > self.now {
                return;
            }
            self.presses.pop_first();
            if let Some(next) = self.press_further(worker, task, actions) {
                self.presses.insert((next, worker, task));
            }
        }
    }

    /// Gives the next order to one task; returns when the one after is due.
    fn press_further(
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
        if held.is_some_and(|held| !self.automatic(|| held)) {
            return Some(self.now + HELD_BACK);
        }
        let end = request.since + self.policy.rules.checkpoint_grace;
        if !request.immediate && !throttled && end > self.now {
            self.order(worker, task, Pressure::Throttle, actions);
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
        self.order(worker, task, Pressure::Stop, actions);
        Some(self.now + REPEAT)
    }

    /// Takes in what a task uses: corrects the size of the next attempt, and holds down what
    /// outgrew its reservation.
    pub(super) fn used(
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
        self.correct(task, usage);
        let over = usage.memory > size.memory;
        if over && self.grow(worker, task, usage) || !over && throttled {
            return;
        }
        if !self.automatic(|| HeldAction::LimitUsage(task)) {
            return;
        }
        if over {
            self.press(worker, task, StopCause::OverUsage, actions);
            return;
        }
        if let Some(lease) = self.fleet.slot_mut(worker).leases.get_mut(&task) {
            lease.throttled = true;
        }
        self.order(worker, task, Pressure::Throttle, actions);
    }

    /// Corrects the size of a job's next attempts, to what some worker can carry.
    fn correct(&mut self, task: TaskId, usage: &Resources) {
        let Some(entry) = self.table.get(task.job) else {
            return;
        };
        let mut size = corrected(&entry.size, usage);
        if !self.any_worker_fits(&size) {
            size = self.nearest_fit(&size).max(&entry.size);
        }
        if size != entry.size && entry.ended.is_none() {
            self.resize(task.job, size);
        }
    }

    /// Reserves more for a task if its worker and its team's limit have room.
    fn grow(&mut self, worker: WorkerIx, task: TaskId, usage: &Resources) -> bool {
        let Some(lease) = self.fleet.slot(worker).leases.get(&task) else {
            return false;
        };
        let Some(team) = lease.team else {
            return false;
        };
        let size = Resources {
            memory: corrected(&lease.size, usage).memory,
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
