//! A clock that the benchmark advances, with workers that play tasks at the core's border.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId, TeamId};
use wigeongate_core::job::{Job, Kind, Outcome};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{
    Action, Event, Phase, Report, Scheduler, Start, TaskControl, TaskReport,
};
use wigeongate_core::time::Millis;

use crate::fleet;

/// How far one step advances the clock.
pub const STEP: Millis = Millis(50);

/// Steps between two ticks of the scheduler.
const TICK_STEPS: u64 = 2;

/// How long an order to stop takes.
const STOP_DELAY: Millis = Millis(20);

/// How long a failing worker takes to fail a task.
const FAIL_DELAY: Millis = Millis(100);

/// When a worker first measures what a task uses.
const USAGE_DELAY: Millis = Millis(2_000);

/// Something that decides what starts where.
pub trait Decider {
    /// Takes an event and appends actions.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl Decider for Scheduler {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Self::handle(self, now, event, actions);
    }
}

/// How the tasks of a job behave.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// How long a task runs; `None` when it runs on.
    pub run: Option<Millis>,
    /// How long its checkpoint takes.
    pub checkpoint: Millis,
    /// What it uses, in hundredths of its declared size.
    pub usage: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            run: None,
            checkpoint: Millis(800),
            usage: 100,
        }
    }
}

/// A running task.
#[derive(Debug, Clone)]
pub struct Played {
    /// The order that started it.
    pub start: Start,
    /// The team of its job.
    pub team: TeamId,
    /// The kind of its job.
    pub kind: Kind,
    /// The declared size of its job's tasks.
    pub declared: Resources,
    since: Millis,
    stopping: bool,
}

impl Played {
    /// Returns whether it was told to stop.
    pub fn stopping(&self) -> bool {
        self.stopping
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Succeed,
    Fail,
    /// It stops; what it did is kept.
    Saved,
    /// It stops; what it did is lost.
    Stopped,
    Usage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Millis,
    seq: u64,
    task: TaskId,
    attempt: Attempt,
    what: What,
}

/// What one job waited for its first start.
#[derive(Debug, Clone)]
pub struct Waited {
    /// The kind of the job.
    pub kind: Kind,
    /// Whether it is urgent.
    pub urgent: bool,
    /// How long it waited.
    pub wait: Millis,
}

/// The simulation.
pub struct Sim {
    /// Time.
    pub now: Millis,
    /// What runs.
    pub running: HashMap<TaskId, Played>,
    /// Accepted jobs that have not ended, with how many tasks wait.
    pub queued: HashMap<JobId, u32>,
    /// Work that was done and lost, in core-seconds of declared size.
    pub lost: f64,
    waiting: u32,
    /// Every job that has not ended.
    pub jobs: HashMap<JobId, Job>,
    /// What each job waited.
    pub waited: Vec<Waited>,
    /// Workers that fail whatever they start.
    pub failing: HashSet<HostId>,
    /// Useful work of tasks that ended well, in core-seconds of what was reserved.
    pub done: f64,
    /// Jobs that ended otherwise than well.
    pub failed_jobs: u64,
    /// Starts so far.
    pub starts: u64,
    /// Starts by worker, for checks of zones.
    pub started_on: Vec<(Millis, HostId)>,
    policy: Policy,
    decider: Box<dyn Decider>,
    plans: HashMap<JobId, Plan>,
    progress: HashMap<TaskId, Millis>,
    /// Jobs whose use was reported, with the largest use.
    measured: HashMap<JobId, Resources>,
    /// Core-seconds of checkpointed attempts.
    kept: HashMap<TaskId, f64>,
    submitted: HashMap<JobId, Millis>,
    reserved: HashMap<HostId, Resources>,
    dues: BinaryHeap<Reverse<Due>>,
    seq: u64,
    steps: u64,
}

impl Sim {
    /// Makes a simulation; every worker reports that it runs nothing.
    pub fn new(policy: Policy, decider: Box<dyn Decider>) -> Self {
        let mut sim = Self {
            now: Millis(1),
            running: HashMap::default(),
            queued: HashMap::default(),
            lost: 0.0,
            waiting: 0,
            jobs: HashMap::default(),
            waited: Vec::new(),
            failing: HashSet::default(),
            done: 0.0,
            failed_jobs: 0,
            starts: 0,
            started_on: Vec::new(),
            policy,
            decider,
            plans: HashMap::default(),
            progress: HashMap::default(),
            kept: HashMap::default(),
            measured: HashMap::default(),
            submitted: HashMap::default(),
            reserved: HashMap::default(),
            dues: BinaryHeap::new(),
            seq: 0,
            steps: 0,
        };
        sim.configure(|_| {});
        let mut hosts: Vec<HostId> = sim.policy.workers.keys().cloned().collect();
        hosts.sort();
        for host in hosts {
            sim.event(Event::Report(fleet::empty_report(host)));
        }
        sim
    }

    /// Changes the policy and puts it in force.
    pub fn configure(&mut self, change: impl FnOnce(&mut Policy)) {
        change(&mut self.policy);
        self.event(Event::Policy(self.policy.clone().into()));
    }

    /// Submits a job whose tasks behave as planned.
    pub fn submit(&mut self, job: Job, plan: Plan) {
        let id = job.id;
        self.plans.insert(id, plan);
        self.submitted.insert(id, self.now);
        self.wait(id, job.spec.tasks);
        self.jobs.insert(id, job.clone());
        self.event(Event::Submit(job));
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: JobId) {
        self.event(Event::Cancel(job));
    }

    /// Ends everything on a worker, which is silent until [`Sim::revive`].
    pub fn kill(&mut self, host: &HostId) {
        let mut lost: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, played)| played.start.host == *host)
            .map(|(task, _)| *task)
            .collect();
        lost.sort_unstable();
        for task in lost {
            self.lose(task);
            self.remove(task);
            self.wait(task.job, 1);
        }
        self.event(Event::WorkerLost(host.clone()));
    }

    /// Lets a worker report that it runs nothing.
    pub fn revive(&mut self, host: HostId) {
        self.event(Event::Report(fleet::empty_report(host)));
    }

    /// Returns what is known of the size of a job's next task: what was declared, or a quarter
    /// more than what was measured if that is more, as far as `most` goes.
    pub fn known_size(&self, job: &Job, most: &Resources) -> Resources {
        let declared = job.spec.size;
        let Some(usage) = self.measured.get(&job.id) else {
            return declared;
        };
        let larger = |declared: u64, usage: u64| {
            if usage > declared {
                usage * 5 / 4
            } else {
                declared
            }
        };
        let size = Resources {
            cpu: larger(declared.cpu, usage.cpu),
            memory: larger(declared.memory, usage.memory),
            accelerators: declared.accelerators,
        };
        size.min(most).max(&declared)
    }

    /// Advances the clock by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        while let Some(Reverse(due)) = self.dues.peek().copied() {
            if due.at > self.now {
                break;
            }
            self.dues.pop();
            self.fall_due(due);
        }
        if self.steps.is_multiple_of(TICK_STEPS) {
            self.event(Event::Tick);
        }
    }

    /// Returns how many tasks wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    fn fall_due(&mut self, due: Due) {
        let Some(played) = self.running.get(&due.task) else {
            return;
        };
        if played.start.attempt != due.attempt {
            return;
        }
        let played = played.clone();
        let job = due.task.job;
        let phase = match due.what {
            What::Usage => {
                self.report_usage(&played);
                return;
            }
            What::Succeed if played.stopping => return,
            What::Succeed => {
                let kept = self.kept.remove(&due.task).unwrap_or_default();
                let ran = seconds(self.now.since(played.since));
                self.done += kept + cores(&played.start.size) * ran;
                Phase::Succeeded
            }
            What::Fail => Phase::Failed("the program returned 1".to_owned()),
            What::Saved | What::Stopped => Phase::Stopped,
        };
        if due.what == What::Saved {
            let ran = self.now.since(played.since + self.plans[&job].checkpoint);
            *self.progress.entry(due.task).or_default() += ran;
            *self.kept.entry(due.task).or_default() += cores(&played.start.size) * seconds(ran);
        }
        if due.what == What::Stopped {
            self.lose(due.task);
        }
        self.remove(due.task);
        if phase != Phase::Succeeded && self.jobs.contains_key(&job) {
            self.wait(job, 1);
        }
        self.event(Event::Report(fleet::task_report(&played.start, phase)));
    }

    fn wait(&mut self, job: JobId, tasks: u32) {
        *self.queued.entry(job).or_default() += tasks;
        self.waiting += tasks;
    }

    /// Counts what a task did since it started as lost.
    fn lose(&mut self, task: TaskId) {
        if let Some(played) = self.running.get(&task)
            && played.kind != Kind::Service
        {
            self.lost += cores(&played.declared) * seconds(self.now.since(played.since));
        }
    }

    fn remove(&mut self, task: TaskId) {
        if let Some(played) = self.running.remove(&task)
            && let Some(reserved) = self.reserved.get_mut(&played.start.host)
        {
            *reserved = reserved.saturating_sub(&played.start.size);
        }
    }

    fn report_usage(&mut self, played: &Played) {
        let percent = self.plans[&played.start.task.job].usage;
        let usage = Resources {
            cpu: played.declared.cpu * percent / 100,
            memory: played.declared.memory * percent / 100,
            accelerators: played.declared.accelerators,
        };
        self.measured.insert(played.start.task.job, usage);
        let task = TaskReport {
            task: played.start.task,
            attempt: played.start.attempt,
            size: played.start.size,
            usage,
            phase: Phase::Running,
        };
        self.event(Event::Report(Report {
            host: played.start.host.clone(),
            tasks: vec![task],
            ..Report::default()
        }));
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.decider.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.start(start),
            Action::Control {
                task,
                attempt,
                control,
                ..
            } => self.press(task, attempt, control),
            Action::Ended { job, outcome } => {
                let waited = self.queued.remove(&job).unwrap_or_default();
                self.waiting = self.waiting.saturating_sub(waited);
                self.jobs.remove(&job);
                if !matches!(outcome, Outcome::Succeeded | Outcome::Cancelled) {
                    self.failed_jobs += 1;
                }
            }
        }
    }

    fn start(&mut self, start: Start) {
        let id = start.task.job;
        let job = self.jobs[&id].clone();
        let host = start.host.clone();
        let reserved = self.reserved.entry(host.clone()).or_default();
        *reserved += start.size;
        let capacity = &self.policy.workers[&host].capacity;
        assert!(reserved.fits_in(capacity), "worker {host} is overcommitted");
        self.starts += 1;
        self.started_on.push((self.now, host.clone()));
        if let Some(at) = self.submitted.remove(&id) {
            self.waited.push(Waited {
                kind: job.kind,
                urgent: job.spec.urgent,
                wait: self.now.since(at),
            });
        }
        if let Some(queued) = self.queued.get_mut(&id) {
            *queued = queued.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
        }
        let (task, attempt) = (start.task, start.attempt);
        let plan = self.plans[&id];
        let ran = self.progress.get(&task).copied().unwrap_or_default();
        let played = Played {
            start,
            team: job.team,
            kind: job.kind,
            declared: job.spec.size,
            since: self.now,
            stopping: false,
        };
        self.running.insert(task, played);
        if self.failing.contains(&host) {
            self.due(FAIL_DELAY, task, attempt, What::Fail);
        } else if let Some(run) = plan.run {
            self.due(run.since(ran), task, attempt, What::Succeed);
        }
        if plan.usage != 100 {
            self.due(USAGE_DELAY, task, attempt, What::Usage);
        }
    }

    fn press(&mut self, task: TaskId, attempt: Attempt, control: TaskControl) {
        let Some(played) = self.running.get_mut(&task) else {
            return;
        };
        if played.start.attempt != attempt {
            return;
        }
        match control {
            TaskControl::Throttle => {}
            TaskControl::Checkpoint => {
                played.stopping = true;
                let delay = self.plans[&task.job].checkpoint;
                self.due(delay, task, attempt, What::Saved);
            }
            TaskControl::Stop => {
                played.stopping = true;
                self.due(STOP_DELAY, task, attempt, What::Stopped);
            }
        }
    }

    fn due(&mut self, delay: Millis, task: TaskId, attempt: Attempt, what: What) {
        self.seq += 1;
        self.dues.push(Reverse(Due {
            at: self.now + delay,
            seq: self.seq,
            task,
            attempt,
            what,
        }));
    }
}

/// Returns the processors of a size, in cores.
#[allow(clippy::cast_precision_loss)]
pub fn cores(size: &Resources) -> f64 {
    size.cpu as f64 / 1_000.0
}

/// Returns a span in seconds.
#[allow(clippy::cast_precision_loss)]
pub fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

/// Returns `part` of `whole`, or zero.
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
