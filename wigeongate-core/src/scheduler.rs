//! Scheduling of tasks onto the workers of a pool.
//!
//! A scheduler serves one pool. It receives timestamped events and returns actions, and it is
//! deterministic: the same seed and events give the same actions.

mod claims;
mod explain;
mod failures;
mod fits;
mod fleet;
mod gangs;
mod health;
mod held;
mod index;
mod large_tasks;
mod lifecycle;
mod message;
mod moves;
mod place;
mod preemption;
mod progress;
mod queues;
mod remote_gangs;
mod reports;
mod rng;
mod stop;
mod table;
mod teams;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use explain::{Explanation, WaitReason};
pub use fits::Unfit;
pub use held::HeldAction;
pub use message::{Action, Event, Phase, Report, Start, TaskControl, TaskReport};
pub use remote_gangs::Reservation;

use self::claims::Claims;
use self::failures::RetryBudget;
use self::fleet::Fleet;
use self::held::HeldActions;
use self::index::WorkerIx;
use self::queues::{Candidate, Queues};
use self::rng::Rng;
use self::table::Table;
use self::teams::Teams;
use crate::collections::HashMap;
use crate::ids::{Attempt, JobId, PoolId, TaskId, TeamId};
use crate::job::JobStatus;
use crate::policy::Policy;
use crate::resources::Resources;
use crate::time::Millis;

/// Interval between sweeps, which form gangs, preempt tasks and move tasks.
const SWEEP_INTERVAL: Millis = Millis(200);

/// The settings of a scheduler.
#[derive(Debug, Clone, Default)]
pub struct SchedulerSettings {
    /// The pool whose workers are used; `None` for every worker of the policy.
    pub pool: Option<PoolId>,
    /// The seed of the random choices.
    pub seed: u64,
    /// Whether no task starts before [`Event::Restored`].
    pub awaits_restore: bool,
}

/// Decides which task starts on which worker of one pool.
#[derive(Debug, Default)]
pub struct Scheduler {
    settings: SchedulerSettings,
    policy: Arc<Policy>,
    now: Millis,
    rng: Rng,
    fleet: Fleet,
    teams: Teams,
    table: Table,
    queues: Queues,
    claims: Claims,
    /// Tasks in stage `Delayed`, by the time at which they are queued again.
    delayed: BTreeSet<(Millis, TaskId)>,
    /// Tasks that were ordered to stop, by the time of the next, stricter order.
    pending_stops: BTreeSet<(Millis, WorkerIx, TaskId)>,
    /// Running tasks whose jobs are not known, and their workers.
    orphans: BTreeMap<TaskId, WorkerIx>,
    /// Attempts that ended before their jobs were known.
    early_ends: HashMap<TaskId, (Attempt, Phase)>,
    restored: bool,
    /// Capacity of the workers that have not settled, an upper bound of what runs there unreported.
    unsettled: Resources,
    /// The number of the newest start order; zero before the first.
    last_order: u64,
    retries: RetryBudget,
    held: HeldActions,
    last_sweep: Millis,
    sweeps: u64,
    /// Whether something changed since the last pass so that more work may be able to start.
    dirty: bool,
    /// Buffer that passes reuse.
    candidates: Vec<Candidate>,
}

impl Scheduler {
    /// Creates a scheduler without policy, workers or jobs.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            rng: Rng::new(settings.seed),
            settings,
            ..Self::default()
        }
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.fleet.now = self.now;
        match event {
            Event::Policy(policy) => self.configure(policy, actions),
            Event::Slices(slices) => {
                self.teams.set_slices(slices);
                self.dirty = true;
            }
            Event::OtherPoolUsage(usage) => {
                self.teams.set_other_usage(usage);
                self.dirty = true;
            }
            Event::Submit(job) => self.submit(job, false, actions),
            Event::Restore(job) => self.submit(job, true, actions),
            Event::RecordedProgress(job, progress) => self.load_progress(job, &progress),
            Event::Restored => self.finish_restore(actions),
            Event::Cancel(job) => self.cancel(job, actions),
            Event::Withdraw(job) => self.withdraw(job),
            Event::Report(report) => self.handle_report(&report, actions),
            Event::WorkerLost(host) => self.handle_worker_lost(&host, actions),
            Event::Tick => self.tick(actions),
        }
        self.start_ready(actions);
    }

    /// Returns whether the last call reached its limit of starts; the next event, such as a tick,
    /// continues.
    pub const fn pending(&self) -> bool {
        self.dirty
    }

    /// Returns the status of a job; `None` when the job is not known.
    pub fn status(&self, job: JobId) -> Option<JobStatus> {
        self.table.get(job).map(table::Entry::status)
    }

    /// Returns the status of every known job.
    pub fn jobs(&self) -> impl Iterator<Item = JobStatus> + '_ {
        self.table.all().map(table::Entry::status)
    }

    /// Returns the resources that a team's tasks reserve in this pool.
    pub fn running(&self, team: &TeamId) -> Resources {
        self.teams
            .find(team)
            .map(|team| team.usage)
            .unwrap_or_default()
    }

    /// Returns the automatic actions that a pause holds back, each with the time since which it
    /// waits.
    pub fn held(&self) -> impl Iterator<Item = (&HeldAction, Millis)> {
        self.held.iter()
    }

    fn configure(&mut self, policy: Arc<Policy>, actions: &mut Vec<Action>) {
        let was_out: Vec<bool> = self.fleet.zones.iter().map(|zone| zone.out).collect();
        let pool = self.settings.pool.clone();
        let ours = policy
            .workers
            .values()
            .map(Arc::as_ref)
            .filter(|worker| pool.as_ref().is_none_or(|pool| *pool == worker.pool));
        self.fleet.configure(&policy, ours);
        self.teams.configure(&policy);
        if !policy.paused {
            self.held.clear();
        }
        self.policy = policy;
        self.reopen_zones(&was_out);
        self.fleet.refresh_all();
        self.refresh_unsettled();
        self.release_unusable_claims();
        self.refuse_unfit(actions);
        self.dirty = true;
    }

    fn finish_restore(&mut self, actions: &mut Vec<Action>) {
        self.restored = true;
        self.early_ends = HashMap::default();
        let orphans: Vec<_> = self.orphans.iter().map(|(task, at)| (*task, *at)).collect();
        for (task, worker) in orphans {
            self.stop_now(worker, task, fleet::StopCause::Ended, actions);
        }
        self.dirty = true;
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.enqueue_due_tasks();
        self.readmit_workers();
        self.escalate_stops(actions);
        self.expire_claims();
        if self.now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = self.now;
        self.sweeps += 1;
        self.table.remove_expired(self.now);
        self.form_gangs(actions);
        self.make_room(actions);
        self.move_tasks(actions);
    }

    /// Recomputes the capacity of the workers that have not settled.
    fn refresh_unsettled(&mut self) {
        self.unsettled = self.fleet.unsettled();
    }

    /// Returns whether an automatic action is allowed; during a pause it is recorded as held back.
    fn allow_automatic(&mut self, action: impl FnOnce() -> HeldAction) -> bool {
        if self.policy.paused {
            self.held.add(action(), self.now);
        }
        !self.policy.paused
    }
}
