//! Learns run times from the ends of runs, and predicts them for objectives and ranks.

use super::host::{Claim, Host};
use super::host_choice::Need;
use super::job::{Job, Phase, Step};
use super::message::{Ended, RunOutcome};
use super::scheduler::WorkflowScheduler;
use super::spec::{RunKey, StepId, StepSpec, Workflow, WorkflowId};
use crate::ids::{HostId, QueueId};
use crate::resources::Resources;
use crate::run_times::{Forecast, RunClass, RunTimes};
use crate::time::Millis;

/// The least time between two updates of the objectives of waiting jobs, in milliseconds. One update
/// computes a forecast for each step of the jobs that may start, which may be thousands.
const REFRESH_MS: u64 = 500;

/// The time within which runs have to be expected to end for their capacity to count for a
/// reservation, in milliseconds. A gang that can be in time waits for about as long.
const SOON_MS: u64 = 1_000;

/// The longest forecast of one step, in milliseconds; sums of forecasts stay far from overflow.
const MAX_STEP_MS: u64 = 1_000_000_000_000;

/// What the runs have shown, and when the waiting jobs were last updated with it.
#[derive(Debug, Default)]
pub(super) struct Forecasts {
    pub(super) run_times: RunTimes,
    refreshed: Millis,
    /// The number of samples at the last update.
    samples: u64,
}

/// A run that ended, and what was expected of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSample {
    /// The queue of its job.
    pub queue: QueueId,
    /// The time from the answer to its start until its end was reported; for a member of a gang, from
    /// the answer to the last start.
    pub ran: Millis,
    /// The caller's estimate.
    pub estimate: Millis,
    /// The median that was predicted at the start.
    pub forecast: Millis,
}

impl RunSample {
    /// Returns by how much the forecast was off, in percent of the run time.
    pub fn forecast_error(&self) -> u64 {
        error_percent(self.forecast, self.ran)
    }

    /// Returns by how much the caller's estimate was off, in percent of the run time.
    pub fn estimate_error(&self) -> u64 {
        error_percent(self.estimate, self.ran)
    }
}

fn error_percent(expected: Millis, ran: Millis) -> u64 {
    expected.0.abs_diff(ran.0).saturating_mul(100) / ran.0.max(1)
}

/// Returns the class of a step's tasks.
fn class_of(flow: &Workflow, spec: &StepSpec) -> RunClass {
    RunClass::new(
        &flow.queue,
        spec.gang,
        flow.team.as_ref(),
        spec.image.as_deref(),
    )
}

impl WorkflowScheduler {
    /// Returns what the finished runs have shown.
    pub const fn run_times(&self) -> &RunTimes {
        &self.forecasts.run_times
    }

    /// Sets what the finished runs have shown to an earlier owner.
    pub fn set_run_times(&mut self, run_times: RunTimes) {
        self.forecasts.run_times = run_times;
    }

    /// Returns the measured and the predicted time of a run that a report lists as ended; `None`
    /// unless it succeeded and its start is known. Has to be called before the report is applied.
    pub fn run_sample(&self, id: &HostId, ended: &Ended, now: Millis) -> Option<RunSample> {
        let key = (ended.task, ended.run);
        if ended.outcome != RunOutcome::Done {
            return None;
        }
        let began = self.began(id, key)?;
        let job = self.jobs.get(&key.0.step.job)?;
        let step = job.step(key.0.step)?;
        let claim = self.hosts.get(id)?.claims.get(&key)?;
        Some(RunSample {
            queue: job.flow.queue.clone(),
            ran: now.since(began),
            estimate: step.spec.estimate,
            forecast: claim.forecast.median,
        })
    }

    /// Returns when a run began its work; `None` if that is not known or it resumed earlier work.
    fn began(&self, id: &HostId, key: RunKey) -> Option<Millis> {
        let answered = |id: &HostId, key: RunKey| {
            let claim = self.hosts.get(id)?.claims.get(&key)?;
            claim
                .answered
                .filter(|at| !claim.resumed && *at > Millis::ZERO)
        };
        let step = self.jobs.get(&key.0.step.job)?.step(key.0.step)?;
        if step.spec.long_running {
            return None;
        }
        let own = answered(id, key)?;
        if !step.spec.gang {
            return Some(own);
        }
        // A gang works from when its last member has started.
        let of_run = |(_, (_, run)): &(HostId, RunKey)| *run == key.1;
        let members = step.runs(key.0.step).into_iter().filter(of_run);
        members
            .map(|(host, run)| answered(&host, run))
            .try_fold(own, |latest, at| Some(latest.max(at?)))
    }

    /// Learns from a run that ends, before its claim is released. Failed runs, and members of a gang
    /// that ended with another one, say nothing of the run time.
    pub(super) fn learn_run_time(
        &mut self,
        id: &HostId,
        key: RunKey,
        outcome: RunOutcome,
        now: Millis,
    ) {
        let Some(began) = self.began(id, key) else {
            return;
        };
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let until = if outcome == RunOutcome::Done {
            now
        } else {
            host.reported
        };
        let (at, run) = (key.0.step, until.since(began));
        // Ends that were reported after a silence may be seconds old.
        let Some(job) = self.jobs.get(&at.job).filter(|_| !host.was_silent) else {
            return;
        };
        let Some(step) = job.step(at).filter(|step| is_first_end(step, key)) else {
            return;
        };
        let (class, estimate) = (class_of(&job.flow, &step.spec), step.spec.estimate);
        let is_gang = step.spec.gang;
        let is_counted = !is_gang || key.0.index == 0;
        let run_times = &mut self.forecasts.run_times;
        match outcome {
            RunOutcome::Done => {
                run_times.record(class, estimate, run);
                if !is_gang {
                    self.learn_host_speed(id, key, run, now);
                }
            }
            RunOutcome::Stopped | RunOutcome::Lapsed if is_counted => {
                run_times.record_longer(class, estimate, run);
            }
            _ => {}
        }
    }

    /// Predicts the run time of a task of a step that starts now.
    pub(super) fn forecast(&self, flow: &Workflow, spec: &StepSpec) -> Forecast {
        let class = class_of(flow, spec);
        self.forecasts
            .run_times
            .forecast(class, spec.estimate, Millis::ZERO)
    }

    /// Returns when a task that starts now has ended in nine of ten cases; `None` if forecasts are not
    /// in use or the task lasts.
    pub(super) fn expected_end(
        &self,
        flow: &Workflow,
        spec: &StepSpec,
        now: Millis,
    ) -> Option<Millis> {
        let is_known = self.settings.policies.run_times && !spec.long_running;
        is_known.then(|| now + self.forecast(flow, spec).worst.min(Millis(MAX_STEP_MS)))
    }

    /// Returns the capacity that a step may use on a host: what is free, with what is reserved for a gang
    /// if a task will have ended before the gang can start there.
    pub(super) fn usable(host: &Host, need: &Need<'_>, now: Millis) -> Resources {
        let reservation = host.blocking_reservation(need.step, need.priority, now);
        let ready = reservation.map(|reservation| reservation.ready);
        if !need.gang && need.end.is_some_and(|end| Some(end) <= ready) {
            return host.entry.capacity.saturating_sub(&host.used);
        }
        host.free(need.step, need.priority, now)
    }

    /// Returns how many of the waiting tasks will fit on a host soon; if forecasts are not in use, how
    /// many fit now.
    pub(super) fn tasks_soon(&self, host: &Host, need: &Need<'_>) -> u64 {
        let mut free = host.free(need.step, need.priority, need.now);
        if self.settings.policies.run_times {
            let until = need.now + Millis(SOON_MS);
            let ending = host.claims.values().filter(|claim| {
                claim.expected_end().is_some_and(|end| end <= until) && !claim.is_overdue(need.now)
            });
            free += ending.map(|claim| claim.size).sum();
        }
        self.tasks_in(free, host, need)
    }

    /// Predicts the time from the start of each step until all that depends on it has ended.
    fn paths(&self, flow: &Workflow) -> Vec<Millis> {
        let steps = &flow.spec.steps;
        let mut paths = vec![Millis::ZERO; steps.len()];
        for (at, spec) in steps.iter().enumerate().rev() {
            let expected = if spec.long_running {
                spec.estimate
            } else {
                self.forecast(flow, spec).median
            };
            paths[at] += expected.min(Millis(MAX_STEP_MS));
            let path = paths[at];
            for before in &spec.after {
                let before = usize::from(*before);
                if before < at {
                    paths[before] = paths[before].max(path);
                }
            }
        }
        paths
    }

    /// Sets the objective of a job and its remaining times by the forecasts, if these are in use.
    pub(super) fn apply_forecasts(&self, job: &mut Job) {
        if !self.settings.policies.run_times {
            return;
        }
        let paths = self.paths(&job.flow);
        let rules = self.rules_of(&job.flow).clone();
        job.set_paths(paths, &rules);
    }

    /// Updates the objectives of the jobs that may start, if runs have ended since the last update.
    pub(super) fn refresh_forecasts(&mut self, now: Millis) {
        let samples = self.forecasts.run_times.samples();
        if !self.settings.policies.run_times
            || samples == self.forecasts.samples
            || now.since(self.forecasts.refreshed).0 < REFRESH_MS
        {
            return;
        }
        self.forecasts.refreshed = now;
        self.forecasts.samples = samples;
        let mut jobs: Vec<WorkflowId> = self.ready.iter().map(|step| step.job).collect();
        jobs.dedup();
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let paths = self.paths(&job.flow);
            let rules = self.rules_of(&job.flow).clone();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.set_paths(paths, &rules);
            }
        }
    }
}

/// Returns whether the task of a run, or its gang, had not ended before.
fn is_first_end(step: &Step, (name, _): RunKey) -> bool {
    let task = step.tasks.get(name.index);
    step.remaining > 0 && task.is_some_and(|task| task.phase != Phase::Done)
}

impl Host {
    /// Returns when an amount is expected to be free, by the medians of the runs. Those that are
    /// overdue may end at any moment, and so may those of earlier owners.
    pub(super) fn ready_for(&self, size: Resources, now: Millis) -> Millis {
        let mut ends: Vec<(Millis, Resources)> = self
            .claims
            .values()
            .filter(|claim| !claim.lasting)
            .map(|claim| {
                let end = claim.expected_end().filter(|_| !claim.is_overdue(now));
                (end.unwrap_or(now).max(now), claim.size)
            })
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        let mut free = self.entry.capacity.saturating_sub(&self.used);
        let mut ready = now;
        for (end, freed) in ends {
            if size.fits_in(&free) {
                break;
            }
            free += freed;
            ready = end;
        }
        ready
    }
}

impl Claim {
    /// Returns when the run is expected to end; `None` if its start is not known.
    pub(super) fn expected_end(&self) -> Option<Millis> {
        let began = self.answered.filter(|at| *at > Millis::ZERO);
        Some(began? + self.forecast.median.min(Millis(MAX_STEP_MS)))
    }

    /// Returns whether the run has taken longer than nine in ten of its class.
    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        let ran = self.answered.map(|began| now.since(began));
        ran.is_some_and(|ran| ran > self.forecast.worst)
    }
}

impl Job {
    /// Returns the time that a step and all that depends on it are expected to take.
    pub(super) fn remaining(&self, at: StepId, spec: &StepSpec) -> Millis {
        let path = self.paths.get(usize::from(at.step));
        path.copied().unwrap_or(spec.estimate)
    }
}
