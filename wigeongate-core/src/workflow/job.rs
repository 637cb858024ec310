//! The state of accepted jobs.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::crash::{Crash, OLD_MS, YOUNG_MS, is_convicted};
use super::crash_proofs::CrashProof;
use super::evidence::{Evidence, is_proof};
use super::occurrences::Occurrences;
use super::rules::QueueRules;
use super::spec::{RunKey, StepId, StepSpec, TaskName, Workflow};
use super::tasks::Tasks;
use crate::collections::{HashMap, HashSet};
use crate::ids::HostId;
use crate::time::Millis;

/// A job that takes longer than this multiple of its time budget has no value left.
pub const WORTHLESS_FACTOR: f64 = 3.0;

/// Status of a job as shown to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum WorkflowStatus {
    /// No task is known to have started.
    #[display("queued")]
    Queued,
    /// A task has started and the job has not ended.
    #[display("running")]
    Running,
    /// Every task succeeded.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

/// Value of a job to its caller; the smallest rank is scheduled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The job can meet its objective.
    InTime,
    /// The job is late and has part of its value left.
    Late,
    /// The team has submitted more than its share.
    OverShare,
    /// The job is too late to have any value.
    Worthless,
    /// A task of the job was the only suspect when its host crashed.
    Suspected,
}

/// State of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a host.
    #[default]
    Waiting,
    /// Has a planned or ordered run on a host.
    Placed,
    /// Succeeded.
    Done,
}

/// The state of one task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// State of the task.
    pub phase: Phase,
    /// Number of the newest run.
    pub run: u32,
    /// Numbers of the runs that failed; ends reported by different hosts arrive in any order.
    pub failed: Vec<u32>,
    /// Crashes of hosts that may have been its doing.
    pub crashes: Vec<Crash>,
    /// What is known of these crashes.
    pub evidence: Vec<Evidence>,
    /// Whether it has run on since the last of these crashes.
    pub cleared: bool,
    /// The newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Hosts on which its runs hold claims, with the numbers of the runs.
    pub placements: Vec<(HostId, u32)>,
    /// The host of the last failed run.
    pub last_failed_host: Option<HostId>,
    /// Whether a run of it ended without a success.
    pub is_rerun: bool,
}

/// Which hosts may run a step, according to the advice service.
#[derive(Debug, Default)]
pub struct StepAdvice {
    /// Hosts that may run the step, with the ticket and its expiry.
    pub allowed: HashMap<HostId, (Arc<str>, Millis)>,
    /// Hosts that may not run the step.
    pub denied: HashSet<HostId>,
    /// Hosts named in calls that have no answer yet.
    pub pending: HashSet<HostId>,
    /// The earliest time of the next call.
    pub not_before: Millis,
    /// When the last call was answered.
    pub answered: Millis,
}

/// A step of one occurrence.
#[derive(Debug)]
pub struct Step {
    /// The caller's specification.
    pub spec: Arc<StepSpec>,
    /// State of each task.
    pub tasks: Tasks,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of tasks that have not succeeded.
    pub remaining: u32,
    /// Numbers of the gang's runs that failed.
    pub failed: Vec<u32>,
    /// The newest run of the gang of which no member is left; zero for none.
    pub ended_run: u32,
    /// Whether a stop was ordered for every member of the gang's newest run.
    pub gang_stopping: bool,
    /// Advice on the hosts that may run the step.
    pub advice: StepAdvice,
    /// When the step became ready to run.
    pub ready: Option<Millis>,
    /// Since when a task has waited for a host at any time; valid while the step is ready and one
    /// waits.
    pub queued: Millis,
    /// The earliest time of the next start.
    pub not_before: Millis,
}

/// State of an accepted job.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent fact of the job"
)]
#[derive(Debug)]
pub struct Job {
    /// The job as it was accepted.
    pub flow: Workflow,
    /// Its occurrences.
    pub occurrences: Occurrences,
    /// Status at the end; `None` while the job is open.
    pub end: Option<WorkflowStatus>,
    /// Number of the record of the end.
    pub end_record: u64,
    /// When the job ended.
    pub ended: Millis,
    /// Whether an answer or a report has proved that a task started.
    pub started: bool,
    /// Whether the team was over its share when it submitted the job.
    pub over_share: bool,
    /// Addresses of the hosts that crashed under a suspected task.
    pub machines: Vec<String>,
    /// When the last of them was known to be lost.
    pub crashed: Millis,
    /// Whether runs of the job were lost with their hosts.
    pub lost_runs: bool,
    /// Number of the newest record of such a loss.
    pub loss_record: u64,
    /// How many runs hold claims; valid once the job has ended.
    pub claimed_runs: usize,
    /// Whether an earlier owner has recorded that no run of the ended job is left.
    pub runs_ended: bool,
    /// Whether an earlier owner may have started tasks of the job.
    pub inherited: bool,
    /// The time by which the job should end, on the scheduler's clock.
    pub objective: Millis,
    /// The time from acceptance to the objective.
    pub time_budget: Millis,
    /// The predicted time from the start of each step of an occurrence until all that depends on it
    /// has ended; empty unless forecasts are in use.
    pub paths: Vec<Millis>,
}

impl Job {
    /// Creates a job without runs; `age` is the time since its acceptance.
    pub fn new(flow: Workflow, rules: &QueueRules, now: Millis, age: Millis) -> Self {
        let time_budget = rules.time_budget(flow.spec.critical_path());
        Self {
            occurrences: Occurrences::new(&flow.spec),
            end: None,
            end_record: 0,
            ended: Millis::ZERO,
            started: false,
            over_share: false,
            machines: Vec::new(),
            crashed: Millis::ZERO,
            lost_runs: false,
            loss_record: 0,
            claimed_runs: 0,
            runs_ended: false,
            inherited: false,
            objective: Millis((now + time_budget).0.saturating_sub(age.0)),
            time_budget,
            paths: Vec::new(),
            flow,
        }
    }

    /// Sets the predicted time from the start of each step to the end of the job, and the objective
    /// that follows from the longest.
    pub fn set_paths(&mut self, paths: Vec<Millis>, rules: &QueueRules) {
        let longest = paths.iter().max().copied().unwrap_or_default();
        let time_budget = rules.time_budget(longest);
        self.objective = (self.objective + time_budget).since(self.time_budget);
        self.time_budget = time_budget;
        self.paths = paths;
    }

    /// Returns the rank of a job that needs the remaining time to end.
    pub fn rank(&self, now: Millis, remaining: Millis) -> Rank {
        let due = now + remaining;
        #[expect(clippy::cast_precision_loss, reason = "times of a day are exact")]
        let worthless = (due.since(self.objective)).0 as f64
            > self.time_budget.0 as f64 * (WORTHLESS_FACTOR - 1.0);
        if worthless {
            Rank::Worthless
        } else if self.over_share {
            Rank::OverShare
        } else if due > self.objective {
            Rank::Late
        } else {
            Rank::InTime
        }
    }

    /// Returns the state of a step of an occurrence that is held.
    pub fn step(&self, at: StepId) -> Option<&Step> {
        let occurrence = self.occurrences.get(at.occurrence)?;
        occurrence.steps.get(usize::from(at.step))
    }

    /// Returns the state of a task of an occurrence that is held.
    pub fn task(&self, name: TaskName) -> Option<&Task> {
        self.step(name.step)?.tasks.get(name.index)
    }

    /// Returns all steps of the occurrences that are held, with their names.
    pub fn steps(&self) -> impl Iterator<Item = (StepId, &Step)> {
        let job = self.flow.id;
        let occurrences = self.occurrences.held();
        occurrences.flat_map(move |(occurrence, steps)| {
            (0..).zip(&steps.steps).map(move |(step, state)| {
                let at = StepId {
                    job,
                    occurrence,
                    step,
                };
                (at, state)
            })
        })
    }

    /// Returns the tasks that have a state of their own, with their names.
    pub fn held_tasks(&self) -> impl Iterator<Item = (TaskName, &Task)> {
        self.steps().flat_map(|(step, state)| {
            let named = move |(index, task)| (TaskName { step, index }, task);
            state.tasks.held().map(named)
        })
    }

    /// Returns the number of tasks whose turn may have come.
    fn opened_tasks(&self) -> u64 {
        let occurrences = u64::from(self.occurrences.opened().max(1));
        occurrences.saturating_mul(self.flow.spec.tasks())
    }

    /// Returns whether a run of the job may have existed.
    pub fn has_begun(&self) -> bool {
        self.started || self.held_tasks().any(|(_, task)| task.run > 0)
    }

    /// Returns whether a task is to be given up for the crashes under it. A host that was only cut off
    /// may still report, so that only proved ones count.
    pub fn is_guilty(&self, name: TaskName) -> bool {
        self.is_guilty_by(name, |crash| {
            (crash.proof > CrashProof::Open).then_some(*crash)
        })
    }

    /// Returns whether a task is to be given up if all crashes under it turn out to be ones.
    pub fn awaits_proof(&self, name: TaskName) -> bool {
        self.is_guilty_by(name, |crash| {
            Some(Crash {
                proof: CrashProof::Replaced,
                ..*crash
            })
        })
    }

    fn is_guilty_by(&self, name: TaskName, counted: impl Fn(&Crash) -> Option<Crash>) -> bool {
        self.task(name).is_some_and(|task| {
            let crashes: Vec<Crash> = task.crashes.iter().filter_map(counted).collect();
            is_convicted(&crashes, &task.evidence)
                && is_proof(&crashes, &task.evidence, self.opened_tasks())
        })
    }

    /// Drops what only further runs would need.
    pub fn drop_run_state(&mut self) {
        let steps = self.occurrences.held_mut().flat_map(|it| &mut it.steps);
        for step in steps {
            step.advice = StepAdvice::default();
            step.tasks.held_mut().for_each(Task::drop_checkpoint);
        }
    }

    /// Returns whether no run holds a claim.
    pub fn is_settled(&self) -> bool {
        self.held_tasks()
            .all(|(_, task)| task.placements.is_empty())
    }

    /// Returns whether a run that the log shows as started may go on.
    pub fn may_have_runs(&self) -> bool {
        match self.end {
            None => true,
            Some(WorkflowStatus::Completed) => false,
            Some(_) => !self.runs_ended,
        }
    }

    /// Returns whether its records may tell a later owner why hosts were lost.
    pub fn has_evidence(&self) -> bool {
        self.lost_runs || self.held_tasks().any(|(_, task)| !task.crashes.is_empty())
    }

    /// Returns every run that holds a claim.
    pub fn runs(&self) -> Vec<(HostId, RunKey)> {
        let steps = self.steps();
        steps.flat_map(|(at, step)| step.runs(at)).collect()
    }
}

impl Task {
    /// Returns whether the task has to show that it does not crash its host.
    pub fn is_suspect(&self) -> bool {
        let last = self
            .crashes
            .last()
            .filter(|_| !self.cleared && self.phase != Phase::Done);
        last.is_some_and(|last| last.young || self.crashes.len() > 1)
    }

    /// Returns whether the task is a suspect and no other job was when its host crashed.
    pub fn is_sole_suspect(&self) -> bool {
        self.is_suspect() && self.crashes.last().is_some_and(|last| last.sole)
    }

    /// Returns how long a run of the task has to last to clear it, in milliseconds.
    pub fn trial_ms(&self) -> u64 {
        let young = self.crashes.last().is_none_or(|last| last.young);
        if young { YOUNG_MS } else { OLD_MS }
    }

    /// Clears the task after a run that lasted for long enough; returns the runs under which a host
    /// crashed without its doing.
    pub fn clear(&mut self) -> Vec<u32> {
        // A run of half a second says nothing about crashes that come later.
        let trial_ms = self.trial_ms();
        let is_outlived = |crash: &&Crash| crash.young || trial_ms >= OLD_MS;
        let runs: Vec<u32> = self
            .crashes
            .iter()
            .filter(is_outlived)
            .map(|crash| crash.run)
            .collect();
        for run in &runs {
            self.acquit(*run);
        }
        self.cleared = true;
        runs
    }

    /// Returns whether it holds more than whether it is done: runs, failures, or what is suspected.
    pub fn has_history(&self) -> bool {
        !self.placements.is_empty() || !self.crashes.is_empty() || !self.evidence.is_empty()
    }

    /// Returns whether it is done and nothing more has to be known of it. Runs that ended without a
    /// success may turn out to go on.
    pub fn is_settled(&self) -> bool {
        self.phase == Phase::Done && !self.is_rerun && self.failed.is_empty() && !self.has_history()
    }

    /// Drops the checkpoint, which no further run needs.
    pub fn drop_checkpoint(&mut self) {
        self.checkpoint = Arc::default();
    }

    /// Records a proof that the host of a run has crashed; returns whether it is stronger than those
    /// before.
    pub fn prove_crash(&mut self, run: u32, proof: CrashProof) -> bool {
        let mut weaker = self.crashes.iter_mut().filter(|crash| crash.proof < proof);
        let crash = weaker.find(|crash| crash.run == run);
        crash.is_some_and(|crash| {
            crash.proof = proof;
            true
        })
    }

    /// Returns the crash of the host of a run.
    pub fn crash(&self, run: u32) -> Option<&Crash> {
        self.crashes.iter().find(|crash| crash.run == run)
    }

    /// Takes back that the host of a run crashed under it.
    pub fn acquit(&mut self, run: u32) {
        self.crashes.retain(|crash| crash.run != run);
        self.evidence.retain(|evidence| evidence.run != run);
    }

    /// Records a failed run; returns whether it is new.
    pub fn record_failure(&mut self, run: u32) -> bool {
        let new = !self.failed.contains(&run);
        if new {
            self.failed.push(run);
            self.run = self.run.max(run);
        }
        new
    }
}

impl Step {
    /// Creates the state of a step of which nothing has started.
    pub fn new(spec: &Arc<StepSpec>) -> Self {
        Self {
            tasks: Tasks::new(spec.count),
            waiting: spec.count,
            remaining: spec.count,
            failed: Vec::new(),
            ended_run: 0,
            gang_stopping: false,
            advice: StepAdvice::default(),
            ready: None,
            queued: Millis::ZERO,
            not_before: Millis::ZERO,
            spec: Arc::clone(spec),
        }
    }

    /// Returns the task at an index.
    pub fn task(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(index)
    }

    /// Returns every run that holds a claim; `at` identifies this step.
    pub fn runs(&self, at: StepId) -> Vec<(HostId, RunKey)> {
        let of_task = |(index, task): (u32, &Task)| {
            let name = TaskName { step: at, index };
            let place = move |(host, run): &(HostId, u32)| (host.clone(), (name, *run));
            task.placements.iter().map(place).collect::<Vec<_>>()
        };
        self.tasks.held().flat_map(of_task).collect()
    }

    /// Records a failed run of the gang; returns whether it is new.
    pub fn record_failure(&mut self, run: u32) -> bool {
        let new = !self.failed.contains(&run);
        if new {
            self.failed.push(run);
        }
        new
    }

    /// Returns whether the gang or one of its tasks has failed at least this many times.
    pub fn failure_limit_reached(&self, times: u32) -> bool {
        let reached = |runs: &Vec<u32>| u32::try_from(runs.len()).is_ok_and(|runs| runs >= times);
        reached(&self.failed) || self.tasks.held().any(|(_, task)| reached(&task.failed))
    }

    /// Gives all members of a gang the number of its newest run.
    pub fn align_runs(&mut self) {
        let run = self.last_run();
        for index in 0..self.spec.count {
            if let Some(task) = self.tasks.get_mut(index) {
                task.run = run;
            }
        }
    }

    /// Returns the highest run number of the tasks.
    pub fn last_run(&self) -> u32 {
        self.tasks
            .held()
            .map(|(_, task)| task.run)
            .max()
            .unwrap_or(0)
    }
}
