//! The state of accepted jobs.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::host::RunKey;
use super::rules::QueueRules;
use super::spec::{StepSpec, Workflow};
use crate::collections::{HashMap, HashSet};
use crate::ids::HostId;
use crate::time::Millis;

/// A job past this multiple of its objective is worth nothing more.
const WORTHLESS_FACTOR: f64 = 3.0;

/// Where a job stands, as its caller is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum WorkflowStatus {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started and the job has not ended.
    #[display("running")]
    Running,
    /// Every task did its work.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// The caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// What a job is worth to its caller; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It can end inside its objective.
    InTime,
    /// It is late, and worth a part.
    Late,
    /// Its team has handed in more than its share.
    OverShare,
    /// It is too late to be worth anything.
    Worthless,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a host.
    Waiting,
    /// It was ordered on a host.
    Placed,
    /// It did its work.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// The number of its newest start.
    pub run: u32,
    /// The numbers of its runs that failed; ends of hosts come in any order.
    pub failed: Vec<u32>,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// The hosts on which runs of it take room.
    pub placements: Vec<(HostId, u32)>,
    /// Where a run of it failed last.
    pub last_failed_host: Option<HostId>,
}

/// What is known of the hosts that may run a step.
#[derive(Debug, Default)]
pub struct StepAdvice {
    /// Hosts that may, with their ticket and its end.
    pub allowed: HashMap<HostId, (Arc<str>, Millis)>,
    /// Hosts that were named and may not.
    pub denied: HashSet<HostId>,
    /// Hosts that the questions under way name.
    pub pending: HashSet<HostId>,
    /// No question is asked before this.
    pub not_before: Millis,
}

/// A step of an occurrence.
#[derive(Debug)]
pub struct Step {
    /// What was asked for.
    pub spec: StepSpec,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that have not ended well.
    pub remaining: u32,
    /// The numbers of the runs of a gang that failed.
    pub failed: Vec<u32>,
    /// Whether a stop of every member of a gang's newest run was ordered.
    pub gang_stopping: bool,
    /// Which hosts may run it.
    pub advice: StepAdvice,
    /// When it became ready to run.
    pub ready: Option<Millis>,
    /// No start is tried before this.
    pub not_before: Millis,
}

/// One time that the steps run.
#[derive(Debug)]
pub struct Occurrence {
    /// When it is due, in milliseconds since 1970; zero for at once.
    pub due: u64,
    /// The steps.
    pub steps: Vec<Step>,
}

/// An accepted job.
#[derive(Debug)]
pub struct Job {
    /// The job.
    pub flow: Workflow,
    /// The occurrences that have begun or are next.
    pub occurrences: Vec<Occurrence>,
    /// How it ended.
    pub end: Option<WorkflowStatus>,
    /// The number of the record of its end.
    pub end_record: u64,
    /// When it ended.
    pub ended: Millis,
    /// Whether a task has started.
    pub started: bool,
    /// Whether its team had handed in more than its share.
    pub over_share: bool,
    /// Whether an earlier owner may have started tasks of it.
    pub inherited: bool,
    /// When the objective ends, on the director's clock.
    pub objective: Millis,
    /// The time from acceptance to the objective.
    pub time_budget: Millis,
}

impl Job {
    /// Makes a job of which nothing has started.
    pub fn new(flow: Workflow, rules: &QueueRules, now: Millis, age: Millis) -> Self {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times of a day in milliseconds are exact"
        )]
        let time_budget =
            Millis((flow.spec.critical_path().0 as f64 * rules.stretch) as u64) + rules.target;
        let occurrences = (0..flow.spec.occurrences())
            .map(|at| Occurrence::new(&flow, at))
            .collect();
        Self {
            occurrences,
            end: None,
            end_record: 0,
            ended: Millis::ZERO,
            started: false,
            over_share: false,
            inherited: false,
            objective: Millis((now + time_budget).0.saturating_sub(age.0)),
            time_budget,
            flow,
        }
    }

    /// Returns how a job ranks that still runs for so long.
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

    /// Returns the state of a step.
    pub fn step(&self, at: super::StepId) -> Option<&Step> {
        self.occurrences
            .get(usize::try_from(at.occurrence).ok()?)?
            .steps
            .get(usize::from(at.step))
    }

    /// Returns every run that takes room.
    pub fn runs(&self) -> Vec<(HostId, RunKey)> {
        let mut runs = Vec::new();
        for (occurrence, steps) in (0..).zip(&self.occurrences) {
            for (step, state) in (0..).zip(&steps.steps) {
                runs.extend(state.runs(super::StepId {
                    job: self.flow.id,
                    occurrence,
                    step,
                }));
            }
        }
        runs
    }
}

impl Task {
    /// Notes a failed run; returns whether it was not known.
    pub fn record_failure(&mut self, run: u32) -> bool {
        let new = !self.failed.contains(&run);
        if new {
            self.failed.push(run);
            self.run = self.run.max(run);
        }
        new
    }
}

impl Occurrence {
    fn new(flow: &Workflow, at: u32) -> Self {
        let due = flow
            .spec
            .repeat
            .map_or(0, |repeat| repeat.first + u64::from(at) * repeat.interval.0);
        Self {
            due,
            steps: flow.spec.steps.iter().map(Step::new).collect(),
        }
    }

    /// Returns whether every task did its work.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Returns whether the steps before a step are done.
    pub fn is_ready(&self, step: usize) -> bool {
        self.steps[step].spec.after.iter().all(|at| {
            self.steps
                .get(usize::from(*at))
                .is_none_or(|step| step.remaining == 0)
        })
    }
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let task = Task {
            phase: Phase::Waiting,
            run: 0,
            failed: Vec::new(),
            checkpoint: Arc::from(""),
            placements: Vec::new(),
            last_failed_host: None,
        };
        Self {
            tasks: vec![task; usize::try_from(spec.count).unwrap_or_default()],
            waiting: spec.count,
            remaining: spec.count,
            failed: Vec::new(),
            gang_stopping: false,
            advice: StepAdvice::default(),
            ready: None,
            not_before: Millis::ZERO,
            spec: spec.clone(),
        }
    }

    /// Returns a task by its place.
    pub fn task(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(usize::try_from(index).ok()?)
    }

    /// Returns every run that takes room; `at` names this step.
    pub fn runs(&self, at: super::StepId) -> Vec<(HostId, RunKey)> {
        let of_task = |(index, task): (u32, &Task)| {
            let name = super::TaskName { step: at, index };
            let place = move |(host, run): &(HostId, u32)| (host.clone(), (name, *run));
            task.placements.iter().map(place).collect::<Vec<_>>()
        };
        (0..).zip(&self.tasks).flat_map(of_task).collect()
    }

    /// Notes a failed run of a gang; returns whether it was not known.
    pub fn record_failure(&mut self, run: u32) -> bool {
        let new = !self.failed.contains(&run);
        if new {
            self.failed.push(run);
        }
        new
    }

    /// Returns whether the gang or a task of it failed so many times.
    pub fn failure_limit_reached(&self, times: u32) -> bool {
        let reached = |runs: &Vec<u32>| u32::try_from(runs.len()).is_ok_and(|runs| runs >= times);
        reached(&self.failed) || self.tasks.iter().any(|task| reached(&task.failed))
    }

    /// Returns the highest number of a start.
    pub fn last_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or(0)
    }
}
