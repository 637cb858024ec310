//! The state of the workflow scheduler and the events that change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::advice_gates::AdviceGates;
use super::allowance::Allowances;
use super::crash::Accusation;
use super::crash_proofs::CrashProofs;
use super::ended_jobs::EndedJobs;
use super::evidence::Loss;
use super::host::{Claim, Host, HostEntry, Stage};
use super::isolation::Isolation;
use super::job::{Job, Phase, Step, WorkflowStatus};
use super::job_budget::job_bytes;
use super::job_counts::JobCounts;
use super::message::{Action, Proof, StopOrder};
use super::orphan_runs::OrphanRuns;
use super::placement_pass::Pass;
use super::planned_starts::PlannedStart;
use super::policies::Policies;
use super::restore::{LoggedRun, Record};
use super::rules::{QueueRules, Rules};
use super::run_forecasts::Forecasts;
use super::spec::{RunKey, StepId, TaskName, Workflow, WorkflowId};
use super::speed_choice::SpeedState;
use crate::collections::HashMap;
use crate::ids::{HostId, QueueId, TeamId};
use crate::resources::Resources;
use crate::team_shares::TeamShares;
use crate::time::Millis;
use crate::urgent_room::UrgentRoom;

/// The interval at which a stop is ordered again while the run has not ended, in milliseconds. An
/// order may be carried out seconds late, but the capacity of a run must not stay claimed because
/// its stop order was lost.
const STOP_RETRY_MS: u64 = 400;

/// The delay from the answer to a stop until the host is polled, in milliseconds: in most cases a
/// regular report lists the end of the run sooner.
const POLL_DELAY_MS: u64 = 150;

/// Settings of a [`WorkflowScheduler`].
#[derive(Debug, Clone)]
pub struct WorkflowSettings {
    /// The epoch of this ownership, from 1. Runs of inherited tasks get numbers above those that
    /// any earlier owner used.
    pub epoch: u64,
    /// How long after the takeover runs may go on that earlier owners started on a silent host.
    pub inherited_lease: Millis,
    /// How long the status of a job is kept after its end.
    pub retention: Millis,
    /// The optional policies in force.
    pub policies: Policies,
}

impl Default for WorkflowSettings {
    fn default() -> Self {
        Self {
            epoch: 1,
            inherited_lease: Millis(6_400),
            retention: Millis::from_secs(150),
            policies: Policies::default(),
        }
    }
}

/// How many starts of one task are numbered in each epoch.
const STARTS_PER_EPOCH: u32 = 1_000;

/// The ends of a host up to a number, which it may forget once a record has been written.
#[derive(Debug)]
pub(super) struct PendingForget {
    pub(super) record: u64,
    pub(super) host: HostId,
    pub(super) boot_ms: u64,
    pub(super) number: u64,
}

/// Decides which tasks start on which hosts of a deployment.
#[derive(Debug, Default)]
pub struct WorkflowScheduler {
    pub(super) settings: WorkflowSettings,
    pub(super) rules: Arc<Rules>,
    pub(super) hosts: HashMap<HostId, Host>,
    /// Open jobs, and ended ones until they are archived.
    pub(super) jobs: HashMap<WorkflowId, Job>,
    /// Counts of the open jobs; valid once the restore is finished.
    pub(super) counts: JobCounts,
    /// A bound on the bytes that the open jobs take, without what has started. Ended ones leave soon.
    pub(super) held_bytes: u64,
    /// Archived jobs.
    pub(super) ended_jobs: EndedJobs,
    /// Jobs that have ended since the archive asked, with the times of their ends.
    pub(super) recent_ends: Vec<(Millis, WorkflowId)>,
    /// Jobs that have begun and have no record of it yet.
    pub(super) begun: Vec<WorkflowId>,
    /// Steps with waiting tasks that may start.
    pub(super) ready: BTreeSet<StepId>,
    /// Jobs that each team may still submit within its share.
    pub(super) allowances: Allowances,
    /// Capacity that the runs of each team use.
    pub(super) usage: HashMap<TeamId, Resources>,
    /// Usage of each team against its fair share; empty without the policy.
    pub(super) shares: TeamShares,
    /// How full each service is; empty without the policy.
    pub(super) urgent: UrgentRoom,
    /// When this owner took over.
    pub(super) took_over: Millis,
    /// Starts whose records are not written yet, in the order of the records.
    pub(super) planned: VecDeque<PlannedStart>,
    /// Runs named in the log and their hosts, collected during the replay.
    pub(super) logged_runs: HashMap<RunKey, LoggedRun>,
    /// Number of the log batch that is replayed.
    pub(super) batch: u32,
    /// Open jobs with tasks that may have crashed a host.
    pub(super) suspects: BTreeSet<WorkflowId>,
    /// Crashes whose suspects have not been cleared or given up, the oldest first.
    pub(super) accusations: VecDeque<Accusation>,
    /// Lost processes of which it is not known whether they have crashed.
    pub(super) crash_proofs: CrashProofs,
    /// Hosts that were lost of late, in the order in which that was seen.
    pub(super) losses: Vec<Loss>,
    /// Hosts that the log shows as lost and their services, collected during the replay.
    pub(super) logged_losses: BTreeMap<HostId, String>,
    /// Queues whose jobs crash their hosts.
    pub(super) isolation: Isolation,
    /// Runs reported for jobs that are not known yet, with their hosts.
    pub(super) orphan_runs: OrphanRuns,
    /// Number of the newest record.
    pub(super) last_record: u64,
    /// Number of the newest record that has been written.
    pub(super) last_written: u64,
    /// Ends that hosts may forget once the record with the given number is written.
    pub(super) pending_forgets: Vec<PendingForget>,
    /// Jobs whose next occurrence is not due, with its due time in milliseconds since 1970.
    pub(super) due: BTreeSet<(u64, WorkflowId)>,
    /// Jobs with occurrences that are due and not opened, since enough others wait for hosts.
    pub(super) backlog: BTreeSet<WorkflowId>,
    pub(super) wall_ms: u64,
    /// The gates that can call the advice service.
    pub(super) advice_gates: AdviceGates,
    /// Hosts that advice has allowed and hosts that it was asked about, for each queue.
    pub(super) advice_totals: HashMap<QueueId, (u32, u32)>,
    /// Whether the views of the store that starts rest on are too old.
    pub(super) is_stale: bool,
    /// Whether something has changed that may let tasks start.
    pub(super) dirty: bool,
    pub(super) pass: Pass,
    /// Run times that runs have shown.
    pub(super) forecasts: Forecasts,
    /// Speeds of the hosts that runs have shown.
    pub(super) speeds: SpeedState,
}

impl WorkflowScheduler {
    /// Creates a scheduler for an owner that took over at `now`.
    pub fn new(settings: WorkflowSettings, now: Millis) -> Self {
        Self {
            ended_jobs: EndedJobs::new(settings.retention),
            settings,
            took_over: now,
            ..Self::default()
        }
    }

    /// Applies a version of the configuration.
    pub fn configure(&mut self, rules: Arc<Rules>) {
        self.rules = rules;
        let rules = &self.rules;
        self.allowances
            .retain(|team| rules.teams.contains_key(team));
        self.advice_totals
            .retain(|queue, _| rules.queues.contains_key(queue));
        self.dirty = true;
    }

    /// Sets the gates that can call the advice service.
    pub fn set_advice_gates(&mut self, gates: AdviceGates) {
        self.advice_gates = gates;
    }

    /// Returns the gates that can call the advice service.
    pub const fn advice_gates(&self) -> &AdviceGates {
        &self.advice_gates
    }

    /// Returns how many steps of the last placement pass need an advice call that no gate could begin.
    pub const fn waiting_for_gate(&self) -> u64 {
        self.pass.waiting_for_gate
    }

    /// Returns the gates that can call the advice service, to record greetings and ended calls.
    pub const fn advice_gates_mut(&mut self) -> &mut AdviceGates {
        &mut self.advice_gates
    }

    /// Sets whether the views of the store that starts rest on are too old. No task starts while they
    /// are.
    pub const fn set_stale(&mut self, is_stale: bool) {
        self.is_stale = is_stale;
    }

    /// Returns whether something has changed that may let tasks start.
    pub const fn is_dirty(&self) -> bool {
        self.dirty && !self.is_stale
    }

    /// Returns the capacity of a host as last read, and how much of it is claimed.
    pub fn load(&self, id: &HostId) -> Option<(Resources, Resources)> {
        let host = self.hosts.get(id)?;
        Some((host.entry.capacity, host.used))
    }

    /// Adds or updates a host that the registry lists.
    pub fn list_host(&mut self, entry: HostEntry, now: Millis) {
        self.dirty = true;
        if let Some(host) = self.hosts.get_mut(&entry.id) {
            host.listed = true;
            host.entry = entry;
        } else {
            let id = entry.id.clone();
            self.hosts.insert(id.clone(), Host::new(entry, now));
            self.isolate_successor(&id, now);
        }
    }

    /// Marks a host as no longer listed in the registry.
    pub fn unlist_host(&mut self, id: &HostId, now: Millis) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.listed = false;
            host.unlisted = now;
        }
    }

    /// Handles that a poll is sent which lets the tasks of a host run until the given time. The
    /// executor may carry it out although no answer arrives, or arrives late.
    pub fn poll_sent(&mut self, id: &HostId, runs_until: Millis) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.runs_until = host.runs_until.max(runs_until);
        }
    }

    /// Returns whether a host is listed or still has a state here.
    pub fn has_host(&self, id: &HostId) -> bool {
        self.hosts.contains_key(id)
    }

    /// Returns the known hosts and whether the registry lists each.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostEntry, bool)> {
        self.hosts.values().map(|host| (&host.entry, host.listed))
    }

    /// Adds an accepted job and returns whether it is new; `age` is the time since its acceptance.
    pub fn submit(&mut self, flow: Workflow, now: Millis, age: Millis) -> bool {
        let id = flow.id;
        let queue = flow.queue.clone();
        if !self.insert_job(flow, now, age) {
            return false;
        }
        self.counts.add(&queue);
        for (host, run) in self.orphan_runs.take(id) {
            let step = self.jobs.get(&id).and_then(|job| job.step(run.0.step));
            if let Some(spec) = step.map(|step| &step.spec)
                && let Some(host) = self.hosts.get_mut(&host)
            {
                host.describe_claim(run, spec);
            }
            self.attach(&host, run);
            if self.claim(&host, run).is_some_and(|claim| claim.confirmed) {
                self.begin_job(id);
            }
        }
        self.advance(id, now, &mut Vec::new());
        true
    }

    /// Adds a job that an earlier owner may have tried to start.
    pub(super) fn submit_inherited(&mut self, flow: Workflow, now: Millis, age: Millis) {
        let id = flow.id;
        self.submit(flow, now, age);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.inherited = true;
        }
    }

    /// Adds a job of which no step may start yet; returns whether it is new.
    pub(super) fn insert_job(&mut self, mut flow: Workflow, now: Millis, age: Millis) -> bool {
        let id = flow.id;
        if self.jobs.contains_key(&id) || self.ended_jobs.status(id).is_some() {
            return false;
        }
        let rules = Arc::clone(self.rules_of(&flow));
        if flow.rules == rules {
            // Jobs of a queue share one copy of its rules.
            flow.rules = Arc::clone(&rules);
        }
        let over_share = self.allowances.exceeds_share(&flow, &self.rules.teams);
        let mut job = Job {
            over_share,
            ..Job::new(flow, &rules, now, age)
        };
        self.apply_forecasts(&mut job);
        self.held_bytes += job_bytes(&job.flow);
        self.jobs.insert(id, job);
        true
    }

    /// Cancels a job. Returns the number of the record after whose write the caller may be
    /// answered, or `None` for an unknown job.
    pub fn cancel(&mut self, id: WorkflowId, now: Millis, out: &mut Vec<Action>) -> Option<u64> {
        if self.ended_jobs.status(id).is_some() {
            // The record of its end was written before it was archived.
            return Some(0);
        }
        let job = self.jobs.get(&id)?;
        if job.end.is_none() {
            self.end_job(id, WorkflowStatus::Cancelled, now, out);
        }
        Some(self.jobs.get(&id)?.end_record)
    }

    /// Returns the number of accepted jobs of a queue that are not known to have started.
    pub fn queued_jobs(&self, queue: &QueueId) -> usize {
        self.counts.queued(queue)
    }

    /// Returns the number of teams, queues and unknown jobs of which something is kept, with the names
    /// of their gauges.
    pub fn kept_sizes(&self) -> [(&'static str, usize); 4] {
        [
            ("kept_team_usages", self.usage.len()),
            ("kept_team_allowances", self.allowances.len()),
            ("kept_advice_shares", self.advice_totals.len()),
            ("kept_unknown_jobs", self.orphan_runs.len()),
        ]
    }

    /// Returns a bound on the bytes that the open jobs take, without what has started.
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of jobs that have not ended.
    pub const fn open_jobs(&self) -> usize {
        self.counts.open()
    }

    /// Handles that every record up to a number has been written: orders the starts and forgets the
    /// ends that waited for it.
    pub fn records_written(&mut self, number: u64, now: Millis, out: &mut Vec<Action>) {
        self.last_written = self.last_written.max(number);
        self.order_written(now, out);
        let written = self.last_written;
        self.pending_forgets.retain(|forget| {
            let ready = forget.record <= written;
            if ready {
                out.push(Action::Forget {
                    host: forget.host.clone(),
                    boot_ms: forget.boot_ms,
                    number: forget.number,
                });
            }
            !ready
        });
    }

    /// Returns whether a record has been written.
    pub const fn is_written(&self, number: u64) -> bool {
        number <= self.last_written
    }

    /// Returns the number of the newest record.
    pub const fn last_record(&self) -> u64 {
        self.last_record
    }

    /// Returns the number of listed hosts that have not reported to this owner.
    pub fn unknown_hosts(&self) -> usize {
        let unknown = |host: &&Host| host.listed && !host.answered;
        self.hosts.values().filter(unknown).count()
    }

    /// Returns the rules of a job's queue: those in force, or those under which the job was accepted
    /// if the configuration no longer has the queue.
    pub(super) fn rules_of<'a>(&'a self, flow: &'a Workflow) -> &'a Arc<QueueRules> {
        self.rules.queues.get(&flow.queue).unwrap_or(&flow.rules)
    }

    /// Returns the priority of a job's queue; zero is the most urgent.
    pub fn priority(&self, flow: &Workflow) -> u32 {
        self.rules_of(flow).priority
    }

    /// Handles everything that is due by time alone; `wall_ms` is the wall clock in milliseconds
    /// since 1970.
    pub fn tick(&mut self, now: Millis, wall_ms: u64, out: &mut Vec<Action>) {
        self.wall_ms = wall_ms;
        self.open_due(now);
        self.judge_losses(now, out);
        self.settle_registered(now, out);
        self.expire_hosts(now, out);
        self.clear_suspects(now, out);
        self.update_isolation(now, out);
        self.retry_stops(now, out);
        self.withdraw_starts(now, out);
        self.forget_hosts();
        self.scan_speeds(now);
        self.dirty = true;
    }

    /// Ends all runs on hosts whose task leases have expired.
    fn expire_hosts(&mut self, now: Millis, out: &mut Vec<Action>) {
        let dead: Vec<HostId> = self
            .hosts
            .values()
            .filter(|host| {
                let runs_until = if host.answered {
                    host.runs_until
                } else {
                    // Earlier owners may have granted leases that are not known here.
                    host.runs_until
                        .max(self.took_over + self.settings.inherited_lease)
                };
                (host.answered || !host.claims.is_empty()) && runs_until < now
            })
            .map(|host| host.entry.id.clone())
            .collect();
        for id in dead {
            self.release_expired(&id, now, out);
            if let Some(host) = self.hosts.get_mut(&id) {
                host.forget_report();
            }
        }
    }

    /// Ends every run on a host whose leases have all expired.
    fn release_expired(&mut self, id: &HostId, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let runs: Vec<RunKey> = host.claims.keys().copied().collect();
        if host.failing.is_some_and(|failing| failing.ended.is_some()) {
            self.lose_runs(id, runs, Proof::LeaseExpired, now, out);
            return;
        }
        for run in runs {
            self.release(id, run, Proof::LeaseExpired, now, out);
        }
    }

    fn retry_stops(&mut self, now: Millis, out: &mut Vec<Action>) {
        for (id, host) in &mut self.hosts {
            for ((task, run), claim) in &mut host.claims {
                let stopping = matches!(claim.stage, Stage::Uncertain | Stage::Stopping);
                if stopping && now.since(claim.ordered).0 >= STOP_RETRY_MS {
                    claim.ordered = now;
                    out.push(Action::Stop(StopOrder {
                        host: id.clone(),
                        task: *task,
                        run: *run,
                    }));
                }
            }
            let awaits_poll = |claim: &Claim| {
                matches!(claim.stage, Stage::Uncertain | Stage::Stopping)
                    && claim
                        .stop_answered
                        .is_some_and(|stop_answered| now.since(stop_answered).0 >= POLL_DELAY_MS)
            };
            if host.claims.values().any(awaits_poll) && now.since(host.polled).0 >= POLL_DELAY_MS {
                host.polled = now;
                out.push(Action::Poll { host: id.clone() });
            }
        }
    }

    fn forget_hosts(&mut self) {
        self.hosts
            .retain(|_, host| host.listed || host.answered || !host.claims.is_empty());
    }

    pub(super) fn record(&mut self, record: Record, out: &mut Vec<Action>) -> u64 {
        self.record_begun(out);
        self.last_record += 1;
        out.push(Action::Record(record));
        self.last_record
    }

    /// Returns the state of a step, whose occurrence is held from now on; `None` if it is done.
    pub(super) fn step_of(job: &mut Job, at: StepId) -> Option<&mut Step> {
        let occurrence = job.occurrences.open(at.occurrence)?;
        occurrence.steps.get_mut(usize::from(at.step))
    }

    pub(super) fn step(&mut self, at: StepId) -> Option<&mut Step> {
        self.jobs
            .get_mut(&at.job)
            .and_then(|job| Self::step_of(job, at))
    }

    /// Returns the number below all runs that this owner starts for the tasks of a job.
    pub(super) fn first_start(&self, job: &Job) -> u32 {
        if !job.inherited {
            return 0;
        }
        let earlier = u32::try_from(self.settings.epoch.saturating_sub(1)).unwrap_or(u32::MAX);
        earlier.saturating_mul(STARTS_PER_EPOCH)
    }

    /// Returns the capacity claim of a run on a host.
    pub(super) fn claim(&mut self, id: &HostId, run: RunKey) -> Option<&mut Claim> {
        self.hosts.get_mut(id)?.claims.get_mut(&run)
    }

    /// Orders a stop of a run, unless one was ordered before.
    pub(super) fn stop_run(
        &mut self,
        id: &HostId,
        run: RunKey,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(claim) = self.claim(id, run) else {
            return;
        };
        let planned = claim.stage == Stage::Planned;
        if matches!(claim.stage, Stage::Uncertain | Stage::Stopping) {
            return;
        }
        claim.stage = Stage::Stopping;
        claim.ordered = now;
        if planned {
            // The claim is released without an order when the start's record is written.
            return;
        }
        out.push(Action::Stop(StopOrder {
            host: id.clone(),
            task: run.0,
            run: run.1,
        }));
    }

    /// Returns the state of a task.
    pub(super) fn task(&mut self, name: TaskName) -> Option<&mut super::job::Task> {
        self.step(name.step)?.task(name.index)
    }

    /// Puts a task back in the waiting state if none of its runs holds a claim.
    pub(super) fn requeue_task(&mut self, name: TaskName, now: Millis) {
        let Some(job) = self.jobs.get_mut(&name.step.job) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        let Some(step) = Self::step_of(job, name.step) else {
            return;
        };
        let Some(task) = step.task(name.index) else {
            return;
        };
        if task.phase == Phase::Placed && task.placements.is_empty() {
            task.phase = Phase::Waiting;
            if step.waiting == 0 {
                step.queued = now;
            }
            step.waiting += 1;
            self.ready.insert(name.step);
            self.dirty = true;
        }
    }
}
