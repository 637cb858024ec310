//! Simulates executors and a store around a scheduler, injects faults and checks every start.

mod advice;
mod outages;
mod stored_log;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{GateId, HostId, QueueId, TeamId, ZoneId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostEntry, HostReport, Policies, PollFailure, QueueRules, Record, Refusal,
    Repeat, Rules, RunOutcome, Running, StartOrder, StartResult, StepId, StepSpec, StopOrder,
    TaskName, TeamRules, Workflow, WorkflowId, WorkflowScheduler, WorkflowSettings, WorkflowSpec,
    WorkflowStatus, departing_lease,
};

pub use self::outages::{AWAY_MS, Comeback};
pub use self::stored_log::StoredLog;

/// Duration of a task lease, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// The number of failures after which a task has failed, by the rules that jobs are accepted under.
pub const ATTEMPTS: u32 = 3;

/// The time after which a call without an answer fails, in milliseconds.
const TIMEOUT_MS: u64 = 400;

/// Duration of one simulation step, in milliseconds.
const STEP_MS: u64 = 10;

/// The time between comparisons of the counts of open jobs with all jobs, in milliseconds.
const CHECK_MS: u64 = 500;

/// A seeded random number generator.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

#[derive(Debug, Clone)]
struct Run {
    size: Resources,
    until: u64,
    outcome: RunOutcome,
}

#[derive(Debug)]
struct Executor {
    entry: HostEntry,
    boot_ms: u64,
    fence: u64,
    reachable: bool,
    running: BTreeMap<(TaskName, u32), Run>,
    refused: BTreeMap<TaskName, u32>,
    ended: Vec<Ended>,
    next_end: u64,
    forgotten: u64,
    lease: u64,
    /// Whether its process has ended for good; its successor has another identifier.
    dead: bool,
    /// Whether the registry lists it.
    listed: bool,
}

impl Executor {
    fn new(entry: HostEntry, boot_ms: u64) -> Self {
        Self {
            boot_ms,
            fence: 0,
            reachable: true,
            running: BTreeMap::new(),
            refused: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            forgotten: 0,
            lease: 0,
            dead: false,
            listed: true,
            entry,
        }
    }

    fn used(&self) -> Resources {
        self.running.values().map(|run| run.size).sum()
    }

    fn end(&mut self, key: (TaskName, u32), outcome: RunOutcome) {
        self.running.remove(&key);
        let refused = self.refused.entry(key.0).or_default();
        *refused = (*refused).max(key.1);
        self.ended.push(Ended {
            number: self.next_end,
            task: key.0,
            run: key.1,
            outcome,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }
}

#[derive(Debug, Clone)]
enum Message {
    /// An order and the boot that it was sent to; the boot's connections end with it.
    Start(StartOrder, u64, Resources, u64),
    /// With when it was sent, if it is to be answered.
    Stop(StopOrder, Option<Millis>),
    Poll(HostId),
    Forget(HostId, u64, u64),
    Written(u64),
    /// The end of a call for advice: the step, the hosts that it named, the gate and the duration.
    Advice(StepId, Vec<HostId>, GateId, u64),
    Result(HostId, (TaskName, u32), StartResult),
    Stopped(HostId, (TaskName, u32), Millis),
    Reported(HostId, HostReport),
    PollFailed(HostId, PollFailure),
    /// A task crashes its host.
    Crash(HostId, TaskName),
    /// The process of a host ends.
    Die(HostId),
    /// The executors at an address can be reached again.
    Heal(String),
    /// A host that refused connections can be reached again.
    Accept(HostId),
    /// The successor of a crashed host starts.
    Return(HostId),
    /// The registration of a host expires.
    Unlist(HostId),
    /// A host registers again.
    List(HostId),
}

/// Fault rates, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Orders that get no answer and are carried out late.
    pub late: u64,
    /// Runs that fail.
    pub failing: u64,
    /// Executor crashes per hundred simulation steps.
    pub crash: u64,
    /// Replacements of the owner per hundred simulation steps.
    pub takeover: u64,
}

/// A crash of a host.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The task that caused it.
    pub cause: TaskName,
    /// The other tasks that ran on the host.
    pub neighbours: Vec<TaskName>,
}

/// A simulated deployment with its scheduler.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub rng: Rng,
    pub faults: Faults,
    pub scheduler: WorkflowScheduler,
    pub violations: Vec<String>,
    pub starts: u32,
    /// Duration of a task lease, in milliseconds; in force from the next takeover on.
    pub lease_ms: u64,
    /// The optional policies; in force from the next takeover on.
    pub policies: Policies,
    /// The time until the owner notices that a process has broken off a poll, in milliseconds.
    pub break_delay_ms: u64,
    epoch: u64,
    executors: BTreeMap<HostId, Executor>,
    /// Addresses from which calls get no answer.
    cut: BTreeSet<String>,
    /// Hosts that are cut off with refused connections and run on.
    refusing: BTreeSet<HostId>,
    messages: BTreeMap<(u64, u64), (u64, Message)>,
    sent: u64,
    flows: Vec<Workflow>,
    /// The written records, by batch.
    log: Vec<Vec<Record>>,
    /// The same log with checkpoints, from which the next owner restores its state; `None` if the
    /// owner writes none.
    stored_log: Option<StoredLog>,
    /// When no run of an earlier owner can exist any more.
    runs_known_at: u64,
    /// The chance of an ended job to leave the store in each step, in percent.
    pub archived_percent: u64,
    /// The jobs that have left the store.
    archived: BTreeSet<WorkflowId>,
    unwritten: Vec<Record>,
    /// The number of the newest written record of this owner.
    written: u64,
    /// When each record was added.
    pub recorded: Vec<u64>,
    rules: Arc<Rules>,
    done: BTreeSet<TaskName>,
    /// Tasks that crash each host that starts them.
    deadly: BTreeSet<TaskName>,
    /// The crashes of hosts by deadly tasks.
    pub crashes: Vec<Crash>,
    /// The tasks whose jobs were given up for crashes, as the owners reported them.
    pub verdicts: Vec<TaskName>,
    /// Whether the queue was suspected by the last word of the owners.
    pub queue_suspected: bool,
    /// The number of starts that were ordered on hosts whose process had ended.
    pub refused_starts: u32,
    /// The time from the start of a deadly task to the crash, in milliseconds.
    pub crash_delay_ms: u64,
    /// How long runs take, in milliseconds; zero for a time that is drawn for each.
    pub run_ms: u64,
    /// How long the runs of some jobs take, in milliseconds; goes before `run_ms`.
    pub run_times: HashMap<WorkflowId, u64>,
    /// The gates beside the owner that ask for advice.
    pub other_gates: usize,
    /// What becomes of a crashed host.
    pub comeback: Comeback,
    /// The most ends that a report lists.
    pub listed_ends: usize,
    /// Whether a task whose run has ended done must not start again, even if the end is not
    /// acknowledged; holds as long as no lease lapses.
    pub keeps_ends: bool,
    /// How long a write to the log takes, in milliseconds.
    pub write_ms: u64,
    /// The share of the hosts that advice allows for each step, in percent; no call is answered if
    /// it is zero.
    pub allowed_percent: u64,
    failed: HashMap<TaskName, BTreeSet<u32>>,
    gang_failed: HashMap<StepId, BTreeSet<u32>>,
}

pub fn queue() -> QueueId {
    QueueId::from("bundles")
}

pub fn team() -> TeamId {
    TeamId::from("branch")
}

fn queue_rules(attempts: u32) -> Arc<QueueRules> {
    Arc::new(QueueRules {
        service: "desk".to_owned(),
        attempts,
        stretch: 2.0,
        target: Millis(500),
        ..QueueRules::default()
    })
}

pub fn rules(attempts: u32, maximum: Resources) -> Rules {
    let mut rules = Rules {
        version: 1,
        ..Rules::default()
    };
    rules.queues.insert(queue(), queue_rules(attempts));
    rules.teams.insert(
        team(),
        TeamRules {
            weight: 1_000.0,
            maximum,
        },
    );
    rules
}

pub fn step(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        count,
        requested: Resources {
            cpu,
            memory: 1_000,
            accelerators: 0,
        },
        estimate: Millis(300),
        ..StepSpec::default()
    }
}

pub fn flow(id: u64, steps: Vec<StepSpec>, repeat: Option<Repeat>) -> Workflow {
    Workflow {
        id: WorkflowId(id),
        queue: queue(),
        team: Some(team()),
        accepted: 0,
        spec: Arc::new(WorkflowSpec {
            command: "assemble".to_owned(),
            steps,
            repeat,
        }),
        rules: queue_rules(ATTEMPTS),
    }
}

pub fn host(at: usize, cpu: u64) -> HostEntry {
    HostEntry {
        id: HostId::from(format!("w-{at}")),
        address: format!("10.0.0.{at}:8000"),
        service: "desk".to_owned(),
        zone: ZoneId::from(["a", "b", "c"][at % 3]),
        capacity: Resources {
            cpu,
            memory: 64_000,
            accelerators: 0,
        },
        labels: vec!["kind-a".to_owned(), format!("rack-{}", at / 2)],
        ..HostEntry::default()
    }
}

impl World {
    pub fn new(seed: u64, hosts: Vec<HostEntry>, rules: Rules, faults: Faults) -> Self {
        let mut world = Self {
            now: 1_000,
            rng: Rng::new(seed),
            faults,
            scheduler: WorkflowScheduler::default(),
            violations: Vec::new(),
            starts: 0,
            lease_ms: LEASE_MS,
            policies: Policies::default(),
            break_delay_ms: 1,
            epoch: 0,
            executors: BTreeMap::new(),
            cut: BTreeSet::new(),
            refusing: BTreeSet::new(),
            messages: BTreeMap::new(),
            sent: 0,
            flows: Vec::new(),
            log: Vec::new(),
            stored_log: None,
            runs_known_at: 0,
            archived_percent: 0,
            archived: BTreeSet::new(),
            unwritten: Vec::new(),
            written: 0,
            recorded: Vec::new(),
            rules: Arc::new(rules),
            done: BTreeSet::new(),
            deadly: BTreeSet::new(),
            crashes: Vec::new(),
            verdicts: Vec::new(),
            queue_suspected: false,
            refused_starts: 0,
            crash_delay_ms: 10,
            run_ms: 0,
            run_times: HashMap::default(),
            other_gates: advice::OTHER_GATES,
            comeback: Comeback::NewId,
            listed_ends: usize::MAX,
            keeps_ends: false,
            write_ms: 30,
            allowed_percent: 0,
            failed: HashMap::default(),
            gang_failed: HashMap::default(),
        };
        for entry in hosts {
            let id = entry.id.clone();
            world.executors.insert(id, Executor::new(entry, 1));
        }
        world.take_over();
        world
    }

    /// Replaces the owner; records that were not written are lost.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.unwritten.clear();
        self.written = 0;
        let mut actions = Vec::new();
        self.scheduler = self.restored(&mut actions);
        self.reopen_log();
        self.set_up_gates();
        let listed = self.executors.values().filter(|at| at.listed);
        let ids: Vec<HostId> = listed.map(|at| at.entry.id.clone()).collect();
        for id in ids {
            self.send(1, Message::Poll(id));
        }
        self.carry_out(actions);
    }

    /// Returns an owner of the current epoch that has read the written records.
    pub fn restored(&self, actions: &mut Vec<Action>) -> WorkflowScheduler {
        match &self.stored_log {
            Some(log) => self.restored_from(log.read().iter(), actions),
            None => self.restored_from(self.log.iter(), actions),
        }
    }

    fn restored_from<'a>(
        &self,
        log: impl Iterator<Item = &'a Vec<Record>>,
        actions: &mut Vec<Action>,
    ) -> WorkflowScheduler {
        let now = Millis(self.now);
        let settings = WorkflowSettings {
            epoch: self.epoch,
            inherited_lease: Millis(self.lease_ms + 300),
            policies: self.policies,
            ..WorkflowSettings::default()
        };
        let mut scheduler = WorkflowScheduler::new(settings, now);
        scheduler.configure(Arc::clone(&self.rules));
        scheduler.tick(now, self.now, actions);
        let is_stored = |flow: &&Workflow| !self.archived.contains(&flow.id);
        for flow in self.flows.iter().filter(is_stored) {
            scheduler.restore(flow.clone(), now, Millis::ZERO);
        }
        for batch in log {
            scheduler.begin_batch();
            for record in batch {
                scheduler.replay(record, now);
            }
        }
        scheduler.finish_restore(now, actions);
        for executor in self.executors.values().filter(|at| at.listed) {
            scheduler.list_host(executor.entry.clone(), now);
        }
        scheduler
    }

    fn send(&mut self, delay: u64, message: Message) {
        self.reply(self.epoch, delay, message);
    }

    /// Sends the answer to a message of an epoch.
    fn reply(&mut self, epoch: u64, delay: u64, message: Message) {
        self.sent += 1;
        self.messages
            .insert((self.now + delay, self.sent), (epoch, message));
    }

    /// Applies a version of the configuration.
    pub fn configure(&mut self, rules: Rules) {
        self.rules = Arc::new(rules);
        self.scheduler.configure(Arc::clone(&self.rules));
    }

    /// Stores a job and submits it to the owner.
    pub fn submit(&mut self, flow: Workflow) {
        self.flows.push(flow.clone());
        self.scheduler.submit(flow, Millis(self.now), Millis::ZERO);
    }

    pub fn cancel(&mut self, id: u64) {
        let mut actions = Vec::new();
        self.scheduler
            .cancel(WorkflowId(id), Millis(self.now), &mut actions);
        self.carry_out(actions);
    }

    pub fn crash(&mut self, id: &HostId) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.running.clear();
            executor.refused.clear();
            executor.ended.clear();
            executor.next_end = 1;
            executor.forgotten = 0;
            executor.fence = 0;
            executor.boot_ms += 1;
        }
    }

    /// Returns the records that the owners have written.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.log.iter().flatten()
    }

    /// Returns the hosts on which a task runs.
    pub fn hosts_running(&self, task: TaskName) -> Vec<&HostId> {
        self.executors
            .values()
            .filter(|at| at.running.keys().any(|(other, _)| *other == task))
            .map(|at| &at.entry.id)
            .collect()
    }

    /// Ends a run at its executor with an outcome.
    pub fn end_run(&mut self, task: TaskName, outcome: RunOutcome) {
        for executor in self.executors.values_mut() {
            let run = executor.running.keys().find(|(other, _)| *other == task);
            if let Some(key) = run.copied() {
                executor.end(key, outcome);
                record_failure(&mut self.failed, key, outcome);
            }
        }
    }

    /// Disconnects an executor, or reconnects it.
    pub fn set_reachable(&mut self, id: &HostId, reachable: bool) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.reachable = reachable;
        }
        if reachable {
            self.send(1, Message::Poll(id.clone()));
        }
    }

    pub fn status(&self, id: u64) -> Option<WorkflowStatus> {
        self.scheduler.status(WorkflowId(id))
    }

    /// Advances the simulation by a number of milliseconds.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.finish_runs();
        if self.rng.below(10_000) < self.faults.crash {
            let at = self
                .rng
                .below(u64::try_from(self.executors.len()).unwrap_or(1));
            let at = usize::try_from(at).unwrap_or(0);
            let id = self.executors.keys().nth(at).cloned();
            self.crash(&id.expect("the executor exists"));
        }
        if self.rng.below(10_000) < self.faults.takeover {
            self.take_over();
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (epoch, message) = entry.remove();
            self.deliver(epoch, message);
        }
        let mut actions = Vec::new();
        let now = Millis(self.now);
        self.greet_gates();
        self.scheduler.tick(now, self.now, &mut actions);
        self.scheduler.place(now, &mut actions);
        // Acknowledges the ends that led to no record.
        let written = self.written;
        self.scheduler.records_written(written, now, &mut actions);
        self.carry_out(actions);
        self.write_checkpoint();
        if self.now.is_multiple_of(CHECK_MS) {
            self.check_counts();
        }
        if self.now.is_multiple_of(50) {
            let ids: Vec<HostId> = self.executors.keys().cloned().collect();
            for id in ids {
                self.send(1, Message::Poll(id));
            }
        }
    }

    /// Compares the counts of open jobs with the statuses. While records are not written, a job that
    /// has ended is shown as open.
    fn check_counts(&mut self) {
        if !self.scheduler.is_written(self.scheduler.last_record()) {
            return;
        }
        let (mut open, mut queued) = (0, BTreeMap::new());
        for flow in &self.flows {
            let queue = queued.entry(&flow.queue).or_default();
            match self.scheduler.status(flow.id) {
                Some(WorkflowStatus::Queued) => (open, *queue) = (open + 1, *queue + 1),
                Some(WorkflowStatus::Running) => open += 1,
                _ => {}
            }
        }
        let is_right =
            |(queue, count): (&&QueueId, &usize)| self.scheduler.queued_jobs(queue) == *count;
        let counted = self.scheduler.open_jobs();
        if counted != open || !queued.iter().all(is_right) {
            let (now, queued) = (self.now, format!("{queued:?}"));
            self.violations.push(format!(
                "{now}: {open} open jobs, counted {counted}; {queued}"
            ));
        }
    }

    fn finish_runs(&mut self) {
        for executor in self.executors.values_mut() {
            let ready: Vec<_> = executor
                .running
                .iter()
                .filter(|(_, run)| run.until <= self.now)
                .map(|(key, run)| (*key, run.outcome))
                .collect();
            for (key, outcome) in ready {
                executor.end(key, outcome);
                record_failure(&mut self.failed, key, outcome);
            }
            if executor.lease < self.now {
                let keys: Vec<_> = executor.running.keys().copied().collect();
                for key in keys {
                    executor.end(key, RunOutcome::Lapsed);
                }
            }
        }
    }

    fn deliver(&mut self, epoch: u64, message: Message) {
        let now = Millis(self.now);
        let current = epoch == self.epoch;
        let mut actions = Vec::new();
        match message {
            Message::Start(order, answer, size, boot_ms) => {
                if self.executors[&order.host].boot_ms == boot_ms {
                    self.start(epoch, order, answer, size);
                } else if answer > 0 {
                    let key = (order.task, order.run);
                    self.reply(
                        epoch,
                        1,
                        Message::Result(order.host, key, StartResult::Unknown),
                    );
                }
            }
            Message::Stop(order, answered) => self.stop(epoch, order, answered),
            Message::Poll(id) => self.poll(epoch, id),
            Message::Forget(id, boot_ms, number) => {
                let executor = self.executors.get_mut(&id).expect("the host is known");
                let is_cut =
                    self.cut.contains(&executor.entry.address) || self.refusing.contains(&id);
                if executor.reachable
                    && !is_cut
                    && executor.boot_ms == boot_ms
                    && epoch >= executor.fence
                {
                    executor.forgotten = executor.forgotten.max(number);
                    for ended in executor.ended.iter().filter(|end| end.number <= number) {
                        if ended.outcome == RunOutcome::Done {
                            self.done.insert(ended.task);
                        }
                    }
                }
            }
            Message::Written(number) if current => {
                let batch = std::mem::take(&mut self.unwritten);
                if let Some(log) = &mut self.stored_log {
                    log.add_batch(batch.clone());
                }
                self.log.push(batch);
                self.written = number;
                self.scheduler.records_written(number, now, &mut actions);
            }
            Message::Advice(step, hosts, gate, cost_ms) if current => {
                self.advise(step, &hosts, &gate, cost_ms);
            }
            Message::Result(id, key, result) if current => {
                self.scheduler
                    .start_result(&id, key, result, now, &mut actions);
            }
            Message::Stopped(id, key, sent) if current => {
                self.scheduler.stop_result(&id, key, sent, now);
            }
            Message::Reported(id, report) if current => {
                self.scheduler.apply_report(&id, &report, now, &mut actions);
            }
            Message::PollFailed(id, failure) if current => {
                self.scheduler.poll_failed(&id, failure, now, &mut actions);
            }
            Message::Crash(id, task) => self.crash_by_task(&id, task),
            Message::Die(id) => self.die(&id),
            Message::Heal(address) => self.heal(&address),
            Message::Accept(id) => self.accept_connections(&id),
            Message::Return(id) => self.start_successor(&id),
            Message::Unlist(id) => self.unlist(&id),
            Message::List(id) => self.list(&id),
            _ => {}
        }
        self.carry_out(actions);
    }

    fn stop(&mut self, epoch: u64, order: StopOrder, answered: Option<Millis>) {
        let executor = self
            .executors
            .get_mut(&order.host)
            .expect("the host is known");
        let is_cut = self.cut.contains(&executor.entry.address)
            || self.refusing.contains(&executor.entry.id);
        if !executor.reachable || is_cut || epoch < executor.fence {
            return;
        }
        executor.fence = executor.fence.max(epoch);
        let key = (order.task, order.run);
        if executor.running.contains_key(&key) {
            executor.end(key, RunOutcome::Stopped);
        } else {
            let refused = executor.refused.entry(key.0).or_default();
            *refused = (*refused).max(key.1);
        }
        if let Some(sent) = answered {
            self.reply(epoch, 1, Message::Stopped(order.host, key, sent));
        }
    }

    /// Returns the next owner once it and the live one have heard all hosts.
    pub fn informed_next_owner(&mut self) -> WorkflowScheduler {
        let mut next = self.restored(&mut Vec::new());
        // A report says nothing of orders from the moment of its poll.
        let (sent, now) = (Millis(self.now + 1), Millis(self.now + 2));
        let ids: Vec<HostId> = self.executors.keys().cloned().collect();
        for id in ids {
            let report = self.report_of(&id, sent);
            let mut actions = Vec::new();
            self.scheduler.apply_report(&id, &report, now, &mut actions);
            self.carry_out(actions);
            next.apply_report(&id, &report, now, &mut Vec::new());
        }
        next
    }

    fn poll(&mut self, epoch: u64, id: HostId) {
        let now = Millis(self.now);
        let executor = self.executors.get_mut(&id).expect("the host is known");
        if self.cut.contains(&executor.entry.address) {
            let silence = Message::PollFailed(id, PollFailure::NoAnswer);
            self.reply(epoch, TIMEOUT_MS, silence);
            return;
        }
        if executor.dead {
            let failure = self.failure_of(&id);
            self.reply(epoch, 1, Message::PollFailed(id, failure));
            return;
        }
        if self.refusing.contains(&id) {
            self.reply(epoch, 1, Message::PollFailed(id, PollFailure::Refused));
            return;
        }
        if !executor.reachable || epoch < executor.fence {
            return;
        }
        executor.fence = epoch;
        let lease_ms = if executor.entry.draining {
            departing_lease(Millis(self.lease_ms)).0
        } else {
            self.lease_ms
        };
        executor.lease = executor.lease.max(self.now + lease_ms);
        let unacknowledged = |ended: &&Ended| ended.number > executor.forgotten;
        let ended = executor.ended.iter().filter(unacknowledged);
        let ended: Vec<Ended> = ended.take(self.listed_ends).cloned().collect();
        let report = HostReport {
            boot_ms: executor.boot_ms,
            sent: now,
            has_more_ends: ended.len() >= self.listed_ends,
            lease: Millis(self.now + lease_ms + 20),
            running: executor
                .running
                .keys()
                .map(|(task, run)| Running {
                    task: *task,
                    run: *run,
                    checkpoint: String::new(),
                })
                .collect(),
            ended,
        };
        self.reply(epoch, 1, Message::Reported(id, report));
    }

    fn start(&mut self, epoch: u64, order: StartOrder, answer: u64, size: Resources) {
        let key = (order.task, order.run);
        let executor = self
            .executors
            .get_mut(&order.host)
            .expect("the host is known");
        if self.cut.contains(&executor.entry.address) {
            let unknown = Message::Result(order.host, key, StartResult::Unknown);
            self.reply(epoch, TIMEOUT_MS, unknown);
            return;
        }
        if executor.dead || self.refusing.contains(&order.host) {
            self.refused_starts += 1;
            if answer > 0 {
                let refused = StartResult::Refused(Refusal::NotSent);
                self.reply(epoch, 1, Message::Result(order.host, key, refused));
            }
            return;
        }
        if !executor.reachable {
            return;
        }
        let refusal = if epoch < executor.fence {
            Some(Refusal::Fence)
        } else if executor
            .refused
            .get(&key.0)
            .is_some_and(|run| *run >= key.1)
        {
            Some(Refusal::Old)
        } else {
            None
        };
        executor.fence = executor.fence.max(epoch);
        if refusal.is_none() && !executor.running.contains_key(&key) {
            self.check_start(&order, size);
            let failing = self.rng.chance(self.faults.failing);
            let drawn_ms = 100 + self.rng.below(500);
            let run_ms = if let Some(run_ms) = self.run_times.get(&order.task.step.job) {
                *run_ms
            } else if self.run_ms > 0 {
                self.run_ms
            } else {
                drawn_ms
            };
            let until = self.now + run_ms;
            let long_running = self.spec(order.task).is_some_and(|spec| spec.long_running);
            // A deadly run does not end before it crashes its host.
            let long_running = long_running || self.deadly.contains(&order.task);
            let executor = self
                .executors
                .get_mut(&order.host)
                .expect("the host is known");
            executor.running.insert(
                key,
                Run {
                    size,
                    until: if long_running { u64::MAX } else { until },
                    outcome: if failing {
                        RunOutcome::Failed
                    } else {
                        RunOutcome::Done
                    },
                },
            );
            self.starts += 1;
            if self.deadly.contains(&order.task) {
                let crash = Message::Crash(order.host.clone(), order.task);
                self.send(self.crash_delay_ms, crash);
            }
        }
        if answer > 0 {
            let result = refusal.map_or(StartResult::Started, StartResult::Refused);
            self.reply(epoch, 1, Message::Result(order.host, key, result));
        }
    }

    fn spec(&self, task: TaskName) -> Option<&StepSpec> {
        self.flows
            .iter()
            .find(|flow| flow.id == task.step.job)
            .and_then(|flow| flow.spec.steps.get(usize::from(task.step.step)))
    }

    /// Records a violation for each rule that a start breaks.
    fn check_start(&mut self, order: &StartOrder, size: Resources) {
        let task = order.task;
        let executor = &self.executors[&order.host];
        if !(executor.used() + size).fits_in(&executor.entry.capacity) {
            self.violations
                .push(format!("{}: {task} exceeds the host's capacity", self.now));
        }
        if !self.hosts_running(task).is_empty() {
            self.violations
                .push(format!("{}: {task} runs twice at the same time", self.now));
        }
        let spec = self.spec(task).cloned().unwrap_or_default();
        let is_done = self.done.contains(&task) || (self.keeps_ends && self.is_ended_done(task));
        if is_done && !spec.gang {
            self.violations
                .push(format!("{}: {task} starts after it was done", self.now));
        }
        for before in &spec.after {
            let earlier = self.flows.iter().find(|flow| flow.id == task.step.job);
            let count = earlier.map_or(0, |flow| flow.spec.steps[usize::from(*before)].count);
            let gang = earlier.is_some_and(|flow| flow.spec.steps[usize::from(*before)].gang);
            let ended = (0..count).filter(|index| {
                let name = TaskName {
                    step: StepId {
                        step: *before,
                        ..task.step
                    },
                    index: *index,
                };
                self.done.contains(&name) || self.is_ended_done(name)
            });
            let ended = ended.count();
            let enough = if gang { 1 } else { count as usize };
            if ended < enough {
                self.violations
                    .push(format!("{}: {task} starts before step {before}", self.now));
            }
        }
        let in_force = self.rules.queues.get(&queue());
        let attempts = in_force.map_or(ATTEMPTS, |rules| rules.attempts) as usize;
        let failures = if spec.gang {
            self.gang_failed.get(&task.step).map_or(0, BTreeSet::len)
        } else {
            self.failed.get(&task).map_or(0, BTreeSet::len)
        };
        if failures >= attempts && !spec.long_running {
            self.violations.push(format!(
                "{}: {task} starts after {failures} failures",
                self.now
            ));
        }
        let used: Resources = self.executors.values().map(Executor::used).sum();
        let maximum = self.rules.teams[&team()].maximum;
        if !(used + size).fits_in(&maximum) {
            self.violations
                .push(format!("{}: {task} exceeds the team's limit", self.now));
        }
    }

    fn is_ended_done(&self, name: TaskName) -> bool {
        let is_written = |record| self.log.iter().any(|batch| batch.contains(&record));
        is_written(Record::Done(name))
            || is_written(Record::GangDone(name.step))
            || self.unwritten.contains(&Record::Done(name))
            || self.executors.values().any(|executor| {
                executor
                    .ended
                    .iter()
                    .any(|ended| ended.task == name && ended.outcome == RunOutcome::Done)
            })
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(order) => {
                    let spec = self.spec(order.task);
                    let size = spec.map_or(Resources::ZERO, StepSpec::demand);
                    let boot_ms = self.executors[&order.host].boot_ms;
                    if self.rng.chance(self.faults.late) {
                        let key = (order.task, order.run);
                        let host = order.host.clone();
                        self.send(700, Message::Result(host, key, StartResult::Unknown));
                        let delay = 100 + self.rng.below(2_000);
                        self.send(delay, Message::Start(order, 0, size, boot_ms));
                    } else {
                        self.send(2, Message::Start(order, 1, size, boot_ms));
                    }
                }
                Action::Stop(order) => {
                    let late = self.rng.chance(self.faults.late);
                    let delay = if late { 1_500 } else { 2 };
                    self.send(
                        delay,
                        Message::Stop(order, (!late).then_some(Millis(self.now))),
                    );
                }
                Action::Advise {
                    step,
                    hosts,
                    cost_ms,
                    gate,
                } => self.send(cost_ms + 5, Message::Advice(step, hosts, gate.id, cost_ms)),
                Action::Record(record) => {
                    self.unwritten.push(record);
                    self.recorded.push(self.now);
                    let number = self.scheduler.last_record();
                    self.send(self.write_ms, Message::Written(number));
                }
                Action::Verdict { task, .. } => self.verdicts.push(task),
                Action::Returned { task, run, .. } => {
                    let violation =
                        format!("run {run} of {task} goes on after it counted as ended");
                    self.violations.push(violation);
                }
                // Orders are sent at once here.
                Action::Withdraw { .. }
                | Action::Released { .. }
                | Action::HostLost { .. }
                | Action::LossSettled { .. }
                | Action::Acquitted { .. } => {}
                Action::QueueSuspected { suspected, .. } => self.queue_suspected = suspected,
                Action::Poll { host } => self.send(1, Message::Poll(host)),
                Action::Forget {
                    host,
                    boot_ms,
                    number,
                } => {
                    self.send(1, Message::Forget(host, boot_ms, number));
                }
            }
        }
    }
}

fn record_failure(
    failed: &mut HashMap<TaskName, BTreeSet<u32>>,
    (task, run): (TaskName, u32),
    outcome: RunOutcome,
) {
    if outcome == RunOutcome::Failed {
        failed.entry(task).or_default().insert(run);
    }
}
