//! Placement of tasks on the workers of a pool.
//!
//! A scheduler serves one pool. It takes events with a time and returns actions, and it does the
//! same for the same seed and events.

mod claims;
mod explain;
mod failures;
mod fair;
mod fits;
mod fleet;
mod foreign;
mod gangs;
mod health;
mod held;
mod index;
mod large;
mod lifecycle;
mod message;
mod moves;
mod place;
mod preemption;
mod progress;
mod queues;
mod reports;
mod rng;
mod stop;
mod table;
mod teams;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use explain::{Explanation, Wait};
pub use fits::Unfit;
pub use foreign::Reservation;
pub use held::HeldAction;
pub use message::{Action, Event, Phase, Report, Start, TaskControl, TaskReport};

use self::claims::Claims;
use self::failures::RetryBudget;
use self::fleet::Fleet;
use self::held::Held;
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

/// How often the slower decisions are made: moves, room for work that is due, gangs.
const SWEEP_INTERVAL: Millis = Millis(200);

/// The settings of a scheduler.
#[derive(Debug, Clone, Default)]
pub struct SchedulerSettings {
    /// The pool whose workers it places on; `None` for every worker of the policy.
    pub pool: Option<PoolId>,
    /// The seed of its random choices.
    pub seed: u64,
    /// Whether nothing starts before [`Event::Restored`].
    pub awaits_restore: bool,
}

/// Decides what starts where in one pool.
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
    /// Tasks that wait for their time.
    delayed: BTreeSet<(Millis, TaskId)>,
    /// Tasks that were told to stop, by the time of the next order to them.
    pending_stops: BTreeSet<(Millis, WorkerIx, TaskId)>,
    /// Workers that run tasks of jobs that are not known.
    orphans: BTreeMap<TaskId, WorkerIx>,
    /// Ends of tasks whose jobs were not known yet.
    early_ends: HashMap<TaskId, (Attempt, Phase)>,
    restored: bool,
    /// What may run on workers that have not settled.
    unsettled: Resources,
    /// The number of the newest start order.
    last_order: u64,
    retries: RetryBudget,
    held: Held,
    last_sweep: Millis,
    sweeps: u64,
    /// Whether something changed that may let work start.
    dirty: bool,
    /// Reused by passes.
    candidates: Vec<Candidate>,
}

impl Scheduler {
    /// Makes a scheduler that knows of nothing yet.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            rng: Rng::new(settings.seed),
            settings,
            ..Self::default()
        }
    }

    /// Takes an event at a time and appends what has to be done to `actions`.
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

    /// Returns whether more work could start at once than one call starts; a tick goes on.
    pub const fn pending(&self) -> bool {
        self.dirty
    }

    /// Returns where a job stands.
    pub fn status(&self, job: JobId) -> Option<JobStatus> {
        self.table.get(job).map(table::Entry::status)
    }

    /// Returns every job it knows.
    pub fn jobs(&self) -> impl Iterator<Item = JobStatus> + '_ {
        self.table.all().map(table::Entry::status)
    }

    /// Returns what a team has running in this pool.
    pub fn running(&self, team: &TeamId) -> Resources {
        self.teams
            .find(team)
            .map(|team| team.usage)
            .unwrap_or_default()
    }

    /// Returns the automatic actions that the pause holds back, with the time since when.
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
        self.drop_blocked_claims();
        self.refuse_unfit(actions);
        self.dirty = true;
    }

    fn finish_restore(&mut self, actions: &mut Vec<Action>) {
        self.restored = true;
        self.early_ends = HashMap::default();
        let orphans: Vec<_> = self.orphans.iter().map(|(task, at)| (*task, *at)).collect();
        for (task, worker) in orphans {
            self.stop_now(worker, task, fleet::Cause::Ended, actions);
        }
        self.dirty = true;
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.enqueue_due_tasks();
        self.wake_workers();
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

    /// Notes a change in what may run unknown to the scheduler.
    fn refresh_unsettled(&mut self) {
        self.unsettled = self.fleet.unsettled();
    }

    /// Returns whether an automatic action may be taken; notes it as held back when not.
    fn allow_automatic(&mut self, action: impl FnOnce() -> HeldAction) -> bool {
        if self.policy.paused {
            self.held.add(action(), self.now);
        }
        !self.policy.paused
    }
}
