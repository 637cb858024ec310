//! Opens the occurrences of jobs as they become due, and closes those that are done.
//!
//! A placement pass tries a bounded number of steps, so that no more occurrences have to wait for
//! hosts at a time; the others that are due follow as these start.

use std::ops::RangeInclusive;

use super::job::WorkflowStatus;
use super::message::Action;
use super::placement_pass::MAX_STEPS;
use super::restore::Record;
use super::scheduler::WorkflowScheduler;
use super::spec::{StepId, TaskName, WorkflowId};
use crate::time::Millis;

/// The number of ready steps of all jobs from which on each job opens its occurrences one by one.
const MAX_READY: usize = 16 * MAX_STEPS;

/// Returns the steps of a job that come first and last.
const fn step_range(job: WorkflowId) -> RangeInclusive<StepId> {
    let first = StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    let last = StepId {
        job,
        occurrence: u32::MAX,
        step: u16::MAX,
    };
    first..=last
}

impl WorkflowScheduler {
    /// Opens the occurrences that have become due.
    pub(super) fn open_due(&mut self, now: Millis) {
        while let Some((due, id)) = self.due.first().copied()
            && due <= self.wall_ms
        {
            self.due.pop_first();
            self.open_occurrences(id, now);
        }
    }

    /// Opens occurrences that were due before, as far as others of their jobs have started.
    pub(super) fn open_backlog(&mut self, now: Millis) {
        for id in std::mem::take(&mut self.backlog) {
            self.open_occurrences(id, now);
        }
    }

    /// Opens the occurrences of a job that are due, up to the number of steps that may wait for hosts.
    fn open_occurrences(&mut self, id: WorkflowId, now: Millis) {
        loop {
            let waiting = self.ready.range(step_range(id)).take(MAX_STEPS).count();
            let is_full = waiting >= MAX_STEPS || (waiting > 0 && self.ready.len() >= MAX_READY);
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.end.is_none()) else {
                return;
            };
            let Some(due) = job.occurrences.next_due() else {
                return;
            };
            if due > self.wall_ms {
                self.due.insert((due, id));
                return;
            }
            if is_full {
                self.backlog.insert(id);
                return;
            }
            if let Some(at) = job.occurrences.open_next() {
                self.ready_steps(id, at, now);
            }
        }
    }

    /// Marks the steps of an occurrence that can start as ready, if it is due.
    fn ready_steps(&mut self, id: WorkflowId, at: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.end.is_none()) else {
            return;
        };
        let Some(occurrence) = job.occurrences.get_mut(at) else {
            return;
        };
        if occurrence.due > self.wall_ms {
            return;
        }
        for step in 0..occurrence.steps.len() {
            let is_ready = occurrence.is_ready(step);
            let state = &mut occurrence.steps[step];
            if !is_ready || state.ready.is_some() || state.remaining == 0 {
                continue;
            }
            state.ready = Some(now);
            state.queued = now;
            self.ready.insert(StepId {
                job: id,
                occurrence: at,
                step: u16::try_from(step).unwrap_or(u16::MAX),
            });
            self.dirty = true;
        }
    }

    /// Marks the steps of a job that can start as ready, and ends the job if all steps are done.
    pub(super) fn advance(&mut self, id: WorkflowId, now: Millis, out: &mut Vec<Action>) {
        let held = self.jobs.get(&id).map(|job| job.occurrences.held());
        let held: Vec<u32> = held.into_iter().flatten().map(|(at, _)| at).collect();
        for at in held {
            self.ready_steps(id, at, now);
        }
        self.open_occurrences(id, now);
        self.dirty = true;
        self.complete_job(id, now, out);
    }

    /// Marks the steps as ready that a step which is done has kept waiting, and ends the job if all
    /// steps are done.
    pub(super) fn advance_after(&mut self, at: StepId, now: Millis, out: &mut Vec<Action>) {
        self.ready_steps(at.job, at.occurrence, now);
        self.dirty = true;
        self.complete_job(at.job, now, out);
    }

    fn complete_job(&mut self, id: WorkflowId, now: Millis, out: &mut Vec<Action>) {
        let open = self.jobs.get(&id).filter(|job| job.end.is_none());
        if open.is_some_and(|job| job.occurrences.is_done()) {
            self.end_job(id, WorkflowStatus::Completed, now, out);
        }
    }

    /// Drops the state of a task and of its occurrence if these are done and nothing more has to be known
    /// of them.
    pub(super) fn settle_task(&mut self, name: TaskName, out: &mut Vec<Action>) {
        let StepId {
            job, occurrence, ..
        } = name.step;
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        if let Some(held) = state.occurrences.get_mut(occurrence)
            && let Some(step) = held.steps.get_mut(usize::from(name.step.step))
        {
            step.tasks.settle(name.index);
        }
        if state.occurrences.settle(occurrence) {
            self.record_done(job, out);
        }
    }

    /// Records which occurrences of an open job are done, so that no other record of them has to be kept.
    pub(super) fn record_done(&mut self, id: WorkflowId, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(&id).filter(|job| job.end.is_none());
        let ranges = job.map(|job| job.occurrences.take_unrecorded());
        for range in ranges.into_iter().flatten() {
            let record = Record::OccurrencesDone(id, *range.start(), *range.end());
            self.record(record, out);
        }
    }

    /// Removes the steps of a job from those that may start now or at their due time.
    pub(super) fn remove_steps(&mut self, id: WorkflowId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if let Some(due) = job.occurrences.next_due() {
            self.due.remove(&(due, id));
        }
        self.backlog.remove(&id);
        let range = self.ready.range(step_range(id));
        let steps: Vec<StepId> = range.copied().collect();
        for step in steps {
            self.ready.remove(&step);
        }
    }
}
