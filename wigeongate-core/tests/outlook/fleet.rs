//! A simulated fleet with an owner and gates, on which callers submit jobs of three queues.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wigeongate_core::ids::{GateId, HostId, QueueId, TeamId};
use wigeongate_core::outlook::{
    AdmissionControl, Forecaster, OUTLOOK_INTERVAL_MS, OUTLOOK_VALID_MS, RefusalReason,
};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostEntry, HostReport, QueueRules, Record, Rules, RunOutcome, Running,
    StartResult, StepSpec, TaskName, TeamRules, Workflow, WorkflowId, WorkflowScheduler,
    WorkflowSettings, WorkflowSpec, WorkflowStatus,
};

const CORE: u64 = 1_000;

/// The time between two steps of the simulation, in milliseconds.
const TICK_MS: u64 = 10;

/// The time from a decision to accept until the owner knows the job, in milliseconds.
const STORE_MS: u64 = 20;

/// The time between two summaries of the scheduler's state, in milliseconds.
const SUMMARY_MS: u64 = 100;

/// How long an owner is absent when it is lost, in milliseconds.
const TAKEOVER_MS: u64 = 3_000;

/// A queue and the jobs that it usually gets.
pub struct Queue {
    pub name: &'static str,
    pub priority: u32,
    pub stretch: f64,
    pub target_ms: u64,
    /// Usual number of jobs a second.
    pub rate: f64,
    pub tasks: u32,
    pub millicores: u64,
    pub run_ms: u64,
    pub gang: bool,
    /// Value of a job in time.
    pub value: f64,
}

/// The queues of deployment A of docs/design/contention.md, with a seventh of its jobs: 89% of the
/// fleet are in use.
pub const QUEUES: [Queue; 3] = [
    Queue {
        name: "quick",
        priority: 0,
        stretch: 1.5,
        target_ms: 275,
        rate: 15.7,
        tasks: 3,
        millicores: 9_900,
        run_ms: 800,
        gang: false,
        value: 0.38,
    },
    Queue {
        name: "wide",
        priority: 1,
        stretch: 2.2,
        target_ms: 1_000,
        rate: 0.82,
        tasks: 16,
        millicores: 18_000,
        run_ms: 6_200,
        gang: true,
        value: 8.9,
    },
    Queue {
        name: "batch",
        priority: 2,
        stretch: 4.0,
        target_ms: 3_000,
        rate: 2.6,
        tasks: 25,
        millicores: 6_900,
        run_ms: 2_200,
        gang: false,
        value: 1.75,
    },
];

/// The number of hosts, of 64 cores each.
pub const HOSTS: usize = 50;

/// The number of teams; each submits the same part of every queue.
pub const TEAMS: u64 = 10;

/// More than usual of a queue's or a team's jobs for a while.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    pub queue: Option<&'static str>,
    pub team: Option<u64>,
    pub factor: f64,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// What goes wrong, and with what the deployment runs.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub admission: bool,
    pub gates: usize,
    pub bursts: Vec<Burst>,
    /// The callers' estimates as a multiple of the run times.
    pub estimate: f64,
    /// The memory of each task in MiB for each core.
    pub memory: u64,
    /// How many hosts are gone from when on.
    pub lost_hosts: (usize, u64),
    /// When the owner is lost; the next one starts without the forecaster's state.
    pub owner_lost: Option<u64>,
    /// The gate that gets no answers from the owner during the bursts.
    pub cut_gate: Option<usize>,
    /// Until when callers submit new jobs, and when the scenario ends.
    pub calls_ms: u64,
    pub until_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            admission: true,
            gates: 6,
            bursts: Vec::new(),
            estimate: 1.0,
            memory: 100,
            lost_hosts: (0, 0),
            owner_lost: None,
            cut_gate: None,
            calls_ms: 40_000,
            until_ms: 70_000,
        }
    }
}

/// What became of the jobs of a scenario.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Outcome {
    /// Value earned.
    pub value: f64,
    /// Jobs submitted.
    pub jobs: u32,
    /// Accepted jobs of each queue that ended worthless, counted from their acceptance: a gate does not
    /// know when a refused job was first sent.
    pub worthless: BTreeMap<&'static str, u32>,
    /// Refusals of each queue.
    pub refusals: BTreeMap<&'static str, u32>,
    /// Refusals of teams over their share.
    pub over_share: u32,
    /// Refusals of teams without a burst of their own.
    pub of_others: u32,
    /// Refusals by a gate that had no answer of the owner for longer than an outlook is valid.
    pub blind: u32,
    /// Refusals while hosts had had room for the job for longer than an outlook takes to arrive, and
    /// none of its queue had waited.
    pub with_room: u32,
    /// Gates and queues for which a job is refused at the end, when nothing runs.
    pub refusing: u32,
}

/// A job as its caller sees it.
struct Call {
    first_sent: u64,
    queue: usize,
    flow: Workflow,
    gate: usize,
}

pub struct Fleet {
    scenario: Scenario,
    now: u64,
    /// Random numbers for new jobs; the same ones whatever becomes of earlier jobs.
    arrivals: Rng,
    /// Random numbers for gates and delays.
    choices: Rng,
    scheduler: WorkflowScheduler,
    forecaster: Forecaster,
    gates: Vec<AdmissionControl>,
    rules: Arc<Rules>,
    /// Calls by the time at which they reach a gate.
    calls: BTreeMap<(u64, u64), Call>,
    next_call: u64,
    /// Accepted jobs by the time at which the owner hears of them.
    stored: BTreeMap<(u64, WorkflowId), (usize, Workflow)>,
    /// When each accepted job was first sent and accepted, and its queue.
    accepted: BTreeMap<WorkflowId, (u64, u64, usize)>,
    /// Runs by the time of their end.
    ends: BTreeSet<(u64, HostId, TaskName, u32)>,
    running: BTreeMap<(HostId, TaskName, u32), Resources>,
    reported: BTreeMap<HostId, Vec<Ended>>,
    /// Runs that have ended on each host, ever.
    ended_runs: u64,
    /// Since when hosts have had room for a job of each queue while none of it waited.
    roomy: [Option<u64>; QUEUES.len()],
    /// When each gate last sent a call that the owner answered with an outlook.
    heard: Vec<u64>,
    outcome: Outcome,
}

#[derive(Debug)]
struct Rng(u64);

impl Rng {
    fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a fraction of one.
    fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        #[expect(clippy::cast_precision_loss, reason = "a random fraction")]
        let fraction = (self.0 >> 11) as f64 / (1_u64 << 53) as f64;
        fraction
    }
}

fn queue_rules(queue: &Queue) -> Arc<QueueRules> {
    Arc::new(QueueRules {
        service: "desk".to_owned(),
        priority: queue.priority,
        attempts: 3,
        stretch: queue.stretch,
        target: Millis(queue.target_ms),
        advice: None,
    })
}

fn team(at: u64) -> TeamId {
    TeamId::from(format!("team-{at}"))
}

fn rules() -> Rules {
    let usual: f64 = QUEUES.iter().map(|queue| queue.rate).sum();
    #[expect(clippy::cast_precision_loss, reason = "a few teams")]
    let weight = usual / TEAMS as f64 * 1.4;
    let maximum = Resources::UNBOUNDED;
    let queues = QUEUES.iter();
    let teams = (0..TEAMS).map(|at| (team(at), TeamRules { weight, maximum }));
    Rules {
        version: 1,
        queues: queues
            .map(|queue| (QueueId::from(queue.name), queue_rules(queue)))
            .collect(),
        teams: teams.collect(),
        ..Rules::default()
    }
}

fn host_id(at: usize) -> HostId {
    HostId::from(format!("w-{at:03}"))
}

fn host(at: usize) -> HostEntry {
    HostEntry {
        id: host_id(at),
        address: format!("10.0.{at}.1:8000"),
        service: "desk".to_owned(),
        zone: "a".into(),
        capacity: Resources {
            cpu: 64 * CORE,
            memory: 256_000,
            accelerators: 0,
        },
        ..HostEntry::default()
    }
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let rules = Arc::new(rules());
        let mut fleet = Self {
            now: 10_000,
            arrivals: Rng::new(scenario.seed),
            choices: Rng::new(scenario.seed + 1_000),
            scheduler: WorkflowScheduler::default(),
            forecaster: Forecaster::default(),
            gates: (0..scenario.gates)
                .map(|_| AdmissionControl::default())
                .collect(),
            rules,
            calls: BTreeMap::new(),
            next_call: 0,
            stored: BTreeMap::new(),
            accepted: BTreeMap::new(),
            ends: BTreeSet::new(),
            running: BTreeMap::new(),
            reported: BTreeMap::new(),
            ended_runs: 0,
            roomy: [None; QUEUES.len()],
            heard: vec![0; scenario.gates],
            outcome: Outcome::default(),
            scenario,
        };
        fleet.scheduler = WorkflowScheduler::new(WorkflowSettings::default(), Millis(fleet.now));
        fleet.scheduler.configure(Arc::clone(&fleet.rules));
        for at in 0..HOSTS {
            fleet.scheduler.list_host(host(at), Millis(fleet.now));
        }
        fleet
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Outcome {
        let start = self.now;
        while self.now < start + self.scenario.until_ms {
            self.step(self.now - start);
            self.now += TICK_MS;
        }
        self.outcome.refusing = self.count_refusing();
        self.outcome
    }

    /// Returns for how many gates and queues a job would be refused now.
    fn count_refusing(&mut self) -> u32 {
        let flows: Vec<Workflow> = (0..QUEUES.len())
            .map(|queue| self.job(queue, 0, WorkflowId(u64::MAX)))
            .collect();
        let now = Millis(self.now);
        let gates = self.gates.iter_mut();
        let refusals = gates.flat_map(|gate| {
            let decide = |flow| gate.decide(flow, now).refusal.is_some();
            flows.iter().map(decide).collect::<Vec<bool>>()
        });
        refusals.map(u32::from).sum()
    }

    fn step(&mut self, at: u64) {
        if at < self.scenario.calls_ms {
            self.submit_new(at);
        }
        self.answer_calls();
        let owned = self
            .scenario
            .owner_lost
            .is_none_or(|lost| at < lost || at >= lost + TAKEOVER_MS);
        if self.scenario.owner_lost == Some(at) {
            self.forecaster = Forecaster::default();
        }
        self.end_runs();
        if owned {
            self.deliver_stored();
            self.report_hosts(at);
            if at.is_multiple_of(50) {
                self.place();
                self.watch_room();
            }
            self.send_outlooks(at);
        }
    }

    /// Lets callers send the jobs that are new in this step.
    fn submit_new(&mut self, at: u64) {
        for (queue, of) in QUEUES.iter().enumerate() {
            for team in 0..TEAMS {
                let is_on = |burst: &&Burst| {
                    burst.queue.is_none_or(|name| name == of.name)
                        && burst.team.is_none_or(|of| of == team)
                        && (burst.from_ms..burst.until_ms).contains(&at)
                };
                let bursts = self.scenario.bursts.iter().filter(is_on);
                let factor: f64 = bursts.map(|burst| burst.factor).product();
                #[expect(clippy::cast_precision_loss, reason = "a few teams, short steps")]
                let expected = of.rate * factor * TICK_MS as f64 / 1_000.0 / TEAMS as f64;
                if self.arrivals.draw() < expected {
                    self.send_new(queue, team);
                }
            }
        }
    }

    fn send_new(&mut self, queue: usize, by: u64) {
        self.outcome.jobs += 1;
        let flow = self.job(queue, by, WorkflowId(u64::from(self.outcome.jobs)));
        let call = Call {
            first_sent: self.now,
            queue,
            flow,
            gate: 0,
        };
        self.send(call, self.now);
    }

    /// Returns a new job of a queue by a team.
    fn job(&self, queue: usize, by: u64, id: WorkflowId) -> Workflow {
        let of = &QUEUES[queue];
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times of seconds"
        )]
        let estimate = (of.run_ms as f64 * self.scenario.estimate) as u64;
        let step = StepSpec {
            count: of.tasks,
            requested: self.size(of),
            estimate: Millis(estimate),
            gang: of.gang,
            ..StepSpec::default()
        };
        let name = QueueId::from(of.name);
        Workflow {
            id,
            rules: Arc::clone(&self.rules.queues[&name]),
            queue: name,
            team: Some(team(by)),
            accepted: self.now,
            spec: Arc::new(WorkflowSpec {
                command: "assemble".to_owned(),
                steps: vec![step],
                repeat: None,
            }),
        }
    }

    fn size(&self, queue: &Queue) -> Resources {
        Resources {
            cpu: queue.millicores,
            memory: queue.millicores * self.scenario.memory / CORE,
            accelerators: 0,
        }
    }

    /// Sends a call through a random gate.
    fn send(&mut self, call: Call, at: u64) {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few gates"
        )]
        let gate = (self.choices.draw() * self.scenario.gates as f64) as usize;
        self.next_call += 1;
        self.calls
            .insert((at, self.next_call), Call { gate, ..call });
    }

    fn answer_calls(&mut self) {
        while let Some(entry) = self.calls.first_entry()
            && entry.key().0 <= self.now
        {
            let call = entry.remove();
            self.answer(call);
        }
    }

    fn answer(&mut self, mut call: Call) {
        let now = Millis(self.now);
        call.flow.accepted = self.now;
        if !self.scenario.admission {
            self.accept(call);
            return;
        }
        let gate = &mut self.gates[call.gate];
        let decision = gate.decide(&call.flow, now);
        let Some(refusal) = decision.refusal else {
            gate.begin(&call.flow, decision.over_share, now);
            self.accept(call);
            return;
        };
        gate.record_refusal(&call.flow.queue, now);
        let queue = &QUEUES[call.queue];
        *self.outcome.refusals.entry(queue.name).or_default() += 1;
        let is_over = refusal.reason == RefusalReason::OverShare;
        self.outcome.over_share += u32::from(is_over);
        let bursts = &self.scenario.bursts;
        let is_hot = |burst: &Burst| burst.team.is_none_or(|at| call.flow.team == Some(team(at)));
        self.outcome.of_others += u32::from(!bursts.iter().any(is_hot));
        let heard = self.heard[call.gate];
        self.outcome.blind += u32::from(self.now - heard > OUTLOOK_VALID_MS);
        let roomy = self.roomy[call.queue];
        let is_old = |since: u64| self.now - since > OUTLOOK_INTERVAL_MS + SUMMARY_MS;
        self.outcome.with_room += u32::from(roomy.is_some_and(is_old));
        let delay_s = refusal.retry_after(self.choices.draw());
        let retry = self.now + delay_s * 1_000;
        // A caller gives up when the job is worthless.
        if retry - call.first_sent < 3 * budget_ms(queue) {
            self.send(call, retry);
        }
    }

    fn accept(&mut self, call: Call) {
        let id = call.flow.id;
        self.accepted
            .insert(id, (call.first_sent, self.now, call.queue));
        let name = QUEUES[call.queue].name;
        *self.outcome.worthless.entry(name).or_default() += 1;
        self.stored
            .insert((self.now + STORE_MS, id), (call.gate, call.flow));
    }

    /// Returns whether the tasks of a job fit on the hosts, and none of its queue wait.
    fn has_room(&self, queue: usize) -> bool {
        let of = &QUEUES[queue];
        if self.scheduler.queued_jobs(&QueueId::from(of.name)) > 0 {
            return false;
        }
        let mut used: BTreeMap<&HostId, Resources> = BTreeMap::new();
        for ((host, _, _), size) in &self.running {
            *used.entry(host).or_default() += *size;
        }
        let at = self.now - 10_000;
        let hosts = (0..HOSTS).filter(|host| !self.is_lost(*host, at));
        let slots = hosts.map(|index| {
            let used = used.get(&host_id(index)).copied().unwrap_or_default();
            host(index)
                .capacity
                .saturating_sub(&used)
                .count(&self.size(of))
        });
        slots.sum::<u64>() >= u64::from(of.tasks)
    }

    /// Notes for which queues hosts have room.
    fn watch_room(&mut self) {
        for queue in 0..QUEUES.len() {
            let since = self.roomy[queue].unwrap_or(self.now);
            self.roomy[queue] = self.has_room(queue).then_some(since);
        }
    }

    fn deliver_stored(&mut self) {
        let now = Millis(self.now);
        while let Some(entry) = self.stored.first_entry()
            && entry.key().0 <= self.now
        {
            let (gate, flow) = entry.remove();
            let id = flow.id;
            let age = Millis(self.now - flow.accepted);
            if self.scheduler.submit(flow, now, age)
                && let Some((origin, flow)) = self.scheduler.submitted_job(id)
            {
                self.forecaster.record_arrival(&origin, flow, now);
            }
            self.gates[gate].settle(id, now);
        }
    }

    fn is_lost(&self, host: usize, at: u64) -> bool {
        let (lost, from) = self.scenario.lost_hosts;
        host < lost && at >= from
    }

    fn end_runs(&mut self) {
        while let Some((at, host, task, run)) = self.ends.first().cloned()
            && at <= self.now
        {
            self.ends.pop_first();
            if self.running.remove(&(host.clone(), task, run)).is_none() {
                continue;
            }
            self.ended_runs += 1;
            self.reported.entry(host).or_default().push(Ended {
                number: self.ended_runs,
                task,
                run,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
            });
        }
    }

    /// Hosts report when a run has ended, and otherwise each second.
    fn report_hosts(&mut self, at: u64) {
        let (lost, from) = self.scenario.lost_hosts;
        if at == from {
            for host in (0..lost).map(host_id) {
                self.running.retain(|(on, _, _), _| *on != host);
                self.reported.remove(&host);
            }
        }
        let mut actions = Vec::new();
        for index in 0..HOSTS {
            if self.is_lost(index, at) {
                continue;
            }
            let id = host_id(index);
            let has_ended = self.reported.get(&id).is_some_and(|ends| !ends.is_empty());
            if !has_ended && !at.is_multiple_of(1_000) {
                continue;
            }
            let running = self.running.keys().filter(|(host, _, _)| *host == id);
            let report = HostReport {
                boot_ms: 1,
                sent: Millis(self.now),
                lease: Millis(self.now + 4_000),
                running: running
                    .map(|(_, task, run)| Running {
                        task: *task,
                        run: *run,
                        checkpoint: String::new(),
                    })
                    .collect(),
                ended: self.reported.remove(&id).unwrap_or_default(),
                ..HostReport::default()
            };
            let now = Millis(self.now);
            self.scheduler.poll_sent(&id, report.lease);
            self.scheduler.apply_report(&id, &report, now, &mut actions);
        }
        self.execute(actions);
    }

    fn place(&mut self) {
        let now = Millis(self.now);
        let mut actions = Vec::new();
        self.scheduler.tick(now, self.now, &mut actions);
        self.scheduler.place(now, &mut actions);
        if self.now.is_multiple_of(SUMMARY_MS) {
            let loads = self.scheduler.service_loads(now);
            self.forecaster.update(loads, now);
        }
        self.execute(actions);
    }

    fn execute(&mut self, mut actions: Vec<Action>) {
        let now = Millis(self.now);
        let last = self.scheduler.last_record();
        self.scheduler.records_written(last, now, &mut actions);
        for action in actions {
            match action {
                Action::Start(order) => {
                    let at = order.task.step;
                    let Some((origin, spec, waited)) = self.scheduler.started_step(at, now) else {
                        continue;
                    };
                    let size = spec.requested;
                    self.forecaster.record_start(&origin, spec, waited, now);
                    let (_, _, queue) = self.accepted[&at.job];
                    let key = (order.host.clone(), order.task, order.run);
                    let until = self.now + QUEUES[queue].run_ms;
                    self.ends.insert((until, key.0.clone(), key.1, key.2));
                    self.running.insert(key, size);
                    self.scheduler.start_result(
                        &order.host,
                        (order.task, order.run),
                        StartResult::Started,
                        now,
                        &mut Vec::new(),
                    );
                }
                Action::Record(Record::Ended(job, WorkflowStatus::Completed)) => {
                    self.earn(job);
                }
                _ => {}
            }
        }
    }

    fn earn(&mut self, job: WorkflowId) {
        let (first_sent, accepted, queue) = self.accepted[&job];
        let queue = &QUEUES[queue];
        if self.now - accepted <= 3 * budget_ms(queue) {
            *self.outcome.worthless.entry(queue.name).or_default() -= 1;
        }
        let took = self.now - first_sent;
        self.outcome.value += if took <= budget_ms(queue) {
            queue.value
        } else if took <= 3 * budget_ms(queue) {
            0.2 * queue.value
        } else {
            0.0
        };
    }

    fn send_outlooks(&mut self, at: u64) {
        let now = Millis(self.now);
        let in_burst = self
            .scenario
            .bursts
            .iter()
            .any(|burst| (burst.from_ms..burst.until_ms + 10_000).contains(&at));
        for (index, gate) in (0_u64..).zip(&mut self.gates) {
            if !(at + index * 50).is_multiple_of(OUTLOOK_INTERVAL_MS) {
                continue;
            }
            if in_burst && self.scenario.cut_gate == usize::try_from(index).ok() {
                continue;
            }
            let offered = gate.take_offered();
            let id = GateId::from(format!("gate-{index}"));
            let outlook = self.forecaster.outlook(&id, &offered, &self.rules, now);
            if let Some(outlook) = outlook {
                gate.install(outlook, now);
                self.heard[usize::try_from(index).unwrap_or_default()] = self.now;
            }
        }
    }
}

/// Returns the time from the first send of a job to its objective, in milliseconds.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of seconds"
)]
pub fn budget_ms(queue: &Queue) -> u64 {
    (queue.run_ms as f64 * queue.stretch) as u64 + queue.target_ms
}
