//! The gates, the network and the faults around the real leases and schedulers.

mod gates;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wigeongate_core::ids::{HostId, QueueId, ZoneId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    HostEntry, HostLease, Poll, QueueRules, Record, Running, StartLease, StartResult, StepSpec,
    TaskName, Tenure, Workflow, WorkflowId, WorkflowScheduler, WorkflowSpec,
};

use super::executor::{Executor, RunKey};
use super::store::Store;

/// The number of gates.
const GATES: usize = 3;

/// How long a schedule lasts beyond two task leases, in milliseconds.
const DURATION_MS: u64 = 33_000;

/// How long a fault lasts beyond a task lease, in milliseconds.
const FAULT_MS: u64 = 10_000;

/// The time in which faults begin, in milliseconds.
const FAULTS_MS: std::ops::Range<u64> = 2_000..22_000;

/// The longest time until a call without an answer is carried out, in milliseconds.
const LATE_MS: u64 = 12_000;

/// The time between ticks of an owner, in milliseconds.
const TICK_MS: u64 = 50;

/// The time limits of a transaction and of an order, in milliseconds.
const TXN_LIMIT_MS: u64 = 500;
const ORDER_LIMIT_MS: u64 = 700;

/// The delay after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;

/// A part of the rule that a schedule may leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OmittedGuard {
    /// The complete rule.
    None,
    /// No grant ends later than the owner's tenure allows.
    GrantBound,
    /// No start is sent whose run might last longer than that on another boot.
    StartBound,
    /// A start that waits keeps the deadline of the moment at which it was ordered.
    StartDeadline,
    /// A renewal counts from when it was sent.
    RenewalSent,
    /// A new owner counts the ownership's lease of its predecessor.
    InheritedTtl,
    /// A new owner counts the grants of its predecessor.
    InheritedGrant,
    /// A new owner counts the slowest clock.
    InheritedDrift,
    /// The removal of an ownership ends its lease.
    LeaseRevocation,
    /// Calls for an earlier boot may have given the next one a lease.
    RestartLease,
    /// Executors refuse orders of earlier owners.
    Fence,
    /// A poll that may have been carried out counts.
    SentPolls,
    /// A start is ordered only after its record is written.
    WrittenStarts,
}

/// Whether the executor restarts under its identifier, and which calls of earlier times reach the
/// new boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restarts {
    /// It does not restart.
    Never,
    /// Calls that are under way end with the connections of the earlier boot.
    Closed,
    /// Calls reach the next boot within their time limit.
    InTime,
    /// Calls reach the next boot as late as any call is carried out.
    Late,
}

/// Which faults a schedule has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// All of them.
    Mixed,
    /// The calls of the owner are slow, and its zone is cut off as its ownership is removed.
    RemovedAtCut,
    /// The ownership is removed while only the owner reaches the host.
    RemovedNearHost,
    /// The owner is frozen; meanwhile the host restarts, and no other gate reaches it.
    Thaw,
    /// The ownership is removed as its owner loses the store.
    LostStore,
    /// No gate reaches the host for about a task lease.
    LostHost,
}

/// The constants of the deployment, in milliseconds but for the drift, and its faults.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// What the constants are chosen for.
    pub name: &'static str,
    /// How long the ownership lasts after a renewal.
    pub ttl: u64,
    /// The longest lease of a task, also the most that an executor accepts.
    pub task_lease: u64,
    /// The time between renewals.
    pub renewal: u64,
    /// The time limit of a renewal.
    pub renewal_limit: u64,
    /// How long an owner goes on without the store.
    pub goes_on: u64,
    /// How long a poll waits for an end.
    pub poll_wait: u64,
    /// The time limit of a poll beyond its wait.
    pub poll_limit: u64,
    /// How slow the clock of the executor is, in parts per thousand.
    pub drift_per_mille: u64,
    /// The longest time that an order waits for a connection.
    pub order_wait: u64,
    /// The faults.
    pub faults: Faults,
    /// Whether the executor restarts.
    pub restarts: Restarts,
}

/// A seeded random number generator.
#[derive(Debug, Clone)]
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What becomes of a call: when it is carried out and when its answer arrives.
#[derive(Debug, Clone, Copy)]
struct Fate {
    executed: Option<u64>,
    answer_ms: Option<u64>,
}

/// One gate and, while it is the owner, its state.
#[derive(Debug, Default)]
struct Gate {
    store_cut_until: u64,
    host_cut_until: u64,
    frozen_until: u64,
    /// Until when calls take up to their time limits.
    slow_until: u64,
    /// Counts the ownerships of the gate; tasks of an earlier one are over.
    life: u64,
    owner: Option<Owner>,
}

#[derive(Debug)]
struct Owner {
    epoch: u64,
    lease: u64,
    renewed: u64,
    orders_allowed: bool,
    last_grant: Millis,
    link: HostLease,
    scheduler: WorkflowScheduler,
    is_loaded: bool,
    unwritten: Vec<Record>,
    /// The batch that is being written.
    batch: Option<Vec<Record>>,
    batches: u64,
    written: u64,
}

/// A call to the executor.
#[derive(Debug, Clone, Copy)]
enum HostCall {
    Poll(Poll, u64, bool),
    Start(RunKey, u64),
    Stop(RunKey),
}

/// The ownership of a gate in which something happens.
type Life = (usize, u64);

#[derive(Debug, Clone)]
enum Event {
    Fault,
    Accept(u64),
    Follow(usize),
    Grant(usize, u64),
    TakeOver(usize, u64, u64),
    Won(usize, u64, u64, u64),
    Load(Life),
    Tick(Life),
    Renew(Life),
    StoreRenew(Life, u64, u64, Option<u64>),
    Renewed(Life, u64, Option<bool>),
    Write(Life),
    StoreWrite(Life, (u64, u64), Vec<Record>, Option<u64>),
    Written(Life, Option<bool>),
    PlanPoll(Life, u64, bool),
    Send(Life, HostCall, u64, u64),
    Arrive(Life, HostCall, u64, u64, u64, Option<u64>),
    PollAnswer(Life, HostCall, u64, Option<u64>),
    Polled(Life, HostCall, Result<(u64, u64, Vec<Running>), bool>),
    SendStart(Life, RunKey, Option<StartLease>),
    Started(Life, RunKey, StartResult),
    Stopped(Life, RunKey, u64),
    RemoveOwner,
}

impl Event {
    /// Returns the gate that handles the event; `None` for the store and the host.
    const fn gate(&self) -> Option<usize> {
        match self {
            Self::Fault
            | Self::Accept(_)
            | Self::RemoveOwner
            | Self::Grant(..)
            | Self::TakeOver(..)
            | Self::StoreRenew(..)
            | Self::StoreWrite(..)
            | Self::Arrive(..)
            | Self::PollAnswer(..) => None,
            Self::Follow(gate) | Self::Won(gate, ..) => Some(*gate),
            Self::Load(life)
            | Self::Tick(life)
            | Self::Renew(life)
            | Self::Renewed(life, ..)
            | Self::Write(life)
            | Self::Written(life, ..)
            | Self::PlanPoll(life, ..)
            | Self::Send(life, ..)
            | Self::Polled(life, ..)
            | Self::SendStart(life, ..)
            | Self::Started(life, ..)
            | Self::Stopped(life, ..) => Some(life.0),
        }
    }
}

/// What a schedule did, so that the exploration can be shown to reach what it is for.
#[derive(Debug, Default, Clone, Copy)]
pub struct Reached {
    /// Ownerships that began.
    pub takeovers: u64,
    /// Ownerships that began at a gate that had had one before.
    pub returns: u64,
    /// Runs that were counted as ended without a report while the host was silent.
    pub expiries: u64,
    /// Starts that the executor carried out.
    pub starts: u64,
    /// Calls that were carried out after their time limit.
    pub late_calls: u64,
    /// Restarts of the executor.
    pub restarts: u64,
}

impl std::ops::AddAssign for Reached {
    fn add_assign(&mut self, other: Self) {
        self.takeovers += other.takeovers;
        self.returns += other.returns;
        self.expiries += other.expiries;
        self.starts += other.starts;
        self.late_calls += other.late_calls;
        self.restarts += other.restarts;
    }
}

/// One schedule of steps and faults.
#[derive(Debug)]
pub struct Model {
    setting: Setting,
    omitted: OmittedGuard,
    rng: Rng,
    /// The share of calls with delays and losses, in percent.
    trouble: u64,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    store: Store,
    host: Executor,
    host_up: u64,
    /// Until when the host carries out calls whose answers get lost.
    mute_until: u64,
    gates: Vec<Gate>,
    /// The runs on a second host, which every owner reaches, and the fence there.
    spare: (BTreeSet<RunKey>, u64),
    /// Runs that an owner has counted as ended.
    ended: BTreeSet<RunKey>,
    /// What the schedule did.
    pub reached: Reached,
    /// The steps, if they are recorded.
    pub trace: Option<Vec<String>>,
    /// The run that existed after it had been counted as ended, and when.
    pub violation: Option<String>,
}

fn running((task, run): RunKey) -> Running {
    Running {
        task,
        run,
        checkpoint: String::new(),
    }
}

fn host_id() -> HostId {
    HostId::from("w-0")
}

fn spare_id() -> HostId {
    HostId::from("w-1")
}

fn rules() -> Arc<QueueRules> {
    Arc::new(QueueRules {
        service: "desk".to_owned(),
        attempts: 3,
        ..QueueRules::default()
    })
}

fn job(id: u64) -> Workflow {
    let step = StepSpec {
        count: 1,
        requested: Resources {
            cpu: 1_000,
            memory: 1_000,
            accelerators: 0,
        },
        estimate: Millis(300),
        ..StepSpec::default()
    };
    Workflow {
        id: WorkflowId(id),
        queue: QueueId::from("looms"),
        team: None,
        accepted: 0,
        spec: Arc::new(WorkflowSpec {
            command: "assemble".to_owned(),
            steps: vec![step],
            repeat: None,
        }),
        rules: rules(),
    }
}

fn entry(id: HostId) -> HostEntry {
    HostEntry {
        address: format!("{id}:8000"),
        id,
        service: "desk".to_owned(),
        zone: ZoneId::from("a"),
        capacity: Resources {
            cpu: 16_000,
            memory: 64_000,
            accelerators: 0,
        },
        ..HostEntry::default()
    }
}

impl Model {
    /// Creates a schedule.
    pub fn new(setting: Setting, omitted: OmittedGuard, seed: u64) -> Self {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        rng.below(2);
        let drift_per_mille = rng.below(setting.drift_per_mille + 1).max(
            // Most schedules are on the slowest clock.
            if rng.chance(75) {
                setting.drift_per_mille
            } else {
                0
            },
        );
        let mut host = Executor::new(drift_per_mille, setting.task_lease);
        host.is_fencing = omitted != OmittedGuard::Fence;
        let mut model = Self {
            setting,
            omitted,
            trouble: [0, 1, 4, 16][usize::try_from(rng.below(4)).unwrap_or(0)],
            rng,
            now: 100,
            queue: BTreeMap::new(),
            queued: 0,
            store: Store::default(),
            host,
            host_up: 0,
            mute_until: 0,
            gates: (0..GATES).map(|_| Gate::default()).collect(),
            spare: (BTreeSet::new(), 0),
            ended: BTreeSet::new(),
            reached: Reached::default(),
            trace: None,
            violation: None,
        };
        for gate in 0..GATES {
            let after = model.rng.below(200);
            model.schedule(after, Event::Follow(gate));
        }
        // What few faults are about happens to running tasks.
        let (latest, faults) = if setting.faults == Faults::Mixed {
            (FAULTS_MS.end, 2 + model.rng.below(5))
        } else {
            (FAULTS_MS.end / 4, 1 + model.rng.below(3))
        };
        for id in 1..=4 {
            let after = model.rng.below(latest);
            model.schedule(after, Event::Accept(id));
        }
        for _ in 0..faults {
            let after = FAULTS_MS.start + model.rng.below(FAULTS_MS.end - FAULTS_MS.start);
            model.schedule(after, Event::Fault);
        }
        model
    }

    /// Runs the schedule until its end or the first violation.
    pub fn run(&mut self) {
        let end = DURATION_MS + 2 * self.setting.task_lease;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end || self.violation.is_some() {
                return;
            }
            self.now = at;
            let thaw = event.gate().map_or(0, |gate| self.gates[gate].frozen_until);
            if thaw > at {
                // What happens to a frozen gate happens in any order when it thaws.
                let after = thaw - at + self.rng.below(3);
                self.schedule(after, event);
                continue;
            }
            self.handle(event);
            self.check();
        }
    }

    fn log(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:6} {}", text()));
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.queued += 1;
        self.queue.insert((self.now + after, self.queued), event);
    }

    fn check(&mut self) {
        let (ended, now) = (&self.ended, self.now);
        let spare: Vec<TaskName> = self.spare.0.iter().map(|(task, _)| *task).collect();
        for (task, run) in self.host.runs(now) {
            let fault = if ended.contains(&(task, run)) {
                "it was counted as ended"
            } else if spare.contains(&task) {
                "the task was started elsewhere"
            } else {
                continue;
            };
            self.violation = Some(format!(
                "run {run} of {task} exists at {now} ms after {fault}"
            ));
        }
    }

    /// Chooses what becomes of a call with a time limit.
    fn fate(&mut self, gate: usize, is_cut: bool, limit: u64) -> Fate {
        if is_cut {
            return Fate {
                executed: None,
                answer_ms: None,
            };
        }
        let is_slow = self.gates[gate].slow_until > self.now;
        if is_slow {
            let executed = self.rng.below(20);
            return Fate {
                executed: Some(executed),
                answer_ms: Some(self.rng.below(limit - executed)),
            };
        }
        if !self.rng.chance(self.trouble) {
            return Fate {
                executed: Some(1 + self.rng.below(4)),
                answer_ms: Some(1 + self.rng.below(4)),
            };
        }
        let (executed, answer_ms) = match self.rng.below(100) {
            0..45 => {
                let executed = self.rng.below(limit);
                (Some(executed), Some(self.rng.below(limit - executed)))
            }
            45..75 => (Some(self.rng.below(limit + 1)), None),
            75..88 => (None, None),
            _ => (Some(limit + self.rng.below(LATE_MS - limit)), None),
        };
        self.reached.late_calls += u64::from(executed.is_some_and(|at| at > limit));
        Fate {
            executed,
            answer_ms,
        }
    }

    fn owner(&mut self, life: Life) -> Option<&mut Owner> {
        let gate = &mut self.gates[life.0];
        if gate.life == life.1 {
            gate.owner.as_mut()
        } else {
            None
        }
    }

    fn store_is_cut(&self, gate: usize) -> bool {
        self.gates[gate].store_cut_until > self.now
    }

    fn tenure(&self) -> Tenure {
        Tenure {
            ttl: Millis(self.setting.ttl),
            task_lease: Millis(self.setting.task_lease),
        }
    }

    fn last_grant(&self, renewed: u64) -> Millis {
        if self.omitted == OmittedGuard::GrantBound {
            return Millis(u64::MAX);
        }
        self.tenure().last_grant(Millis(renewed))
    }

    /// Returns how long a new owner counts the runs of a silent host as running.
    fn inherited_lease(&self) -> Millis {
        let whole = self.tenure().inherited_lease();
        let ttl = Millis(self.setting.ttl);
        // The tenure states the bound of a grant once; its parts follow from that.
        let grant = self.tenure().last_grant(Millis::ZERO).since(ttl);
        let slowest = Millis(grant.0 + grant.0 * 21 / 1_000);
        match self.omitted {
            OmittedGuard::InheritedTtl => whole.since(ttl),
            OmittedGuard::InheritedGrant => whole.since(grant),
            OmittedGuard::InheritedDrift => whole.since(slowest.since(grant)),
            _ => whole,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault => self.fault(),
            Event::Accept(id) => self.store.jobs.push(job(id)),
            Event::Follow(gate) => self.follow(gate),
            Event::Grant(..)
            | Event::TakeOver(..)
            | Event::StoreRenew(..)
            | Event::StoreWrite(..)
            | Event::RemoveOwner => self.call_store(event),
            Event::Won(gate, sent, lease, epoch) => self.begin_ownership(gate, sent, lease, epoch),
            Event::Load(life) => self.load(life),
            Event::Tick(life) => self.tick(life),
            Event::Renew(life) => self.renew(life),
            Event::Renewed(life, sent, result) => self.renewed(life, sent, result),
            Event::Write(life) => self.write(life),
            Event::Written(life, result) => self.written(life, result),
            Event::PlanPoll(life, wait_ms, is_extra) => self.plan_poll(life, wait_ms, is_extra),
            Event::Send(life, call, planned, boot) => self.send(life, call, planned, boot),
            Event::Arrive(life, call, epoch, planned, boot, answer_ms) => {
                self.arrive(life, call, (epoch, planned, boot), answer_ms);
            }
            Event::PollAnswer(life, call, boot, answer_ms) => {
                // The connections of a boot end with it.
                let result = if self.host.boot == boot && self.now >= self.host_up {
                    let clock = self.host.clock(self.now);
                    Ok((boot, clock, self.host.runs(self.now).map(running).collect()))
                } else {
                    Err(false)
                };
                if let Some(after) = answer_ms {
                    self.schedule(after, Event::Polled(life, call, result));
                }
            }
            Event::Polled(life, call, result) => self.polled(life, call, result),
            Event::SendStart(life, run, planned) => self.send_start(life, run, planned),
            Event::Started(life, run, result) => {
                let now = Millis(self.now);
                let mut actions = Vec::new();
                let Some(owner) = self.owner(life) else {
                    return;
                };
                let id = host_id();
                let is_fenced = owner
                    .scheduler
                    .start_result(&id, run, result, now, &mut actions);
                self.execute(life, actions);
                if is_fenced {
                    self.end_ownership(life);
                }
            }
            Event::Stopped(life, run, sent) => {
                let now = Millis(self.now);
                if let Some(owner) = self.owner(life) {
                    owner
                        .scheduler
                        .stop_result(&host_id(), run, Millis(sent), now);
                }
            }
        }
    }

    /// Carries out a call to the store.
    fn call_store(&mut self, event: Event) {
        match event {
            Event::Grant(gate, sent) if self.store.is_up(self.now) => {
                let lease = self.store.grant(self.now, self.setting.ttl);
                let fate = self.fate(gate, self.store_is_cut(gate), TXN_LIMIT_MS);
                if let Some(executed) = fate.executed {
                    self.schedule(executed, Event::TakeOver(gate, sent, lease));
                }
            }
            Event::TakeOver(gate, sent, lease) => {
                let is_up = self.store.is_up(self.now);
                let epoch = is_up.then(|| self.store.take_over(lease, self.now));
                // The answer may get lost.
                if let Some(epoch) = epoch.flatten()
                    && !self.rng.chance(5)
                {
                    let after = self.rng.below(20);
                    self.schedule(after, Event::Won(gate, sent, lease, epoch));
                }
            }
            Event::StoreRenew(life, lease, sent, answer_ms) => {
                if self.store.is_up(self.now) {
                    let renewed = self.store.renew(lease, self.now, self.setting.ttl);
                    if let Some(after) = answer_ms {
                        self.schedule(after, Event::Renewed(life, sent, Some(renewed)));
                    }
                } else if answer_ms.is_some() {
                    let after = self.setting.renewal_limit.saturating_sub(self.now - sent);
                    self.schedule(after, Event::Renewed(life, sent, None));
                }
            }
            Event::StoreWrite(life, batch, records, answer_ms) => {
                let is_up = self.store.is_up(self.now);
                let written = is_up.then(|| self.store.write(batch, &records, self.now));
                if let Some(after) = answer_ms {
                    self.schedule(after, Event::Written(life, written));
                }
            }
            Event::RemoveOwner if self.store.is_up(self.now) => {
                let ends_lease = self.omitted != OmittedGuard::LeaseRevocation;
                self.store.remove_owner(ends_lease);
            }
            _ => {}
        }
    }

    fn fault(&mut self) {
        let owner = self.gates.iter().position(|gate| gate.owner.is_some());
        let random = usize::try_from(self.rng.below(GATES as u64)).unwrap_or(0);
        let gate = match owner {
            Some(owner) if self.rng.chance(85) => owner,
            _ => random,
        };
        let lease = self.setting.task_lease;
        let until = self.now
            + if self.setting.faults == Faults::Mixed {
                500 + self.rng.below(FAULT_MS + lease)
            } else {
                lease + self.rng.below(FAULT_MS)
            };
        let kind = match self.setting.faults {
            Faults::Mixed => self.rng.below(100),
            Faults::RemovedAtCut if self.rng.chance(50) => 50,
            Faults::RemovedAtCut => 0,
            Faults::RemovedNearHost => 39,
            Faults::Thaw => 100,
            Faults::LostStore => 55,
            Faults::LostHost => 45,
        };
        match kind {
            0..50 | 100 => self.cut_host(kind, gate, until),
            _ => self.disturb(kind, gate, until),
        }
    }

    /// Lets other gates than one not reach the host.
    fn cut_others(&mut self, gate: usize, until: u64) {
        for (at, other) in self.gates.iter_mut().enumerate() {
            if at != gate {
                other.host_cut_until = other.host_cut_until.max(until);
            }
        }
    }

    /// Cuts gates off from the host.
    fn cut_host(&mut self, kind: u64, gate: usize, until: u64) {
        match kind {
            100 => {
                self.log(|| format!("gate {gate} is frozen until {until}, the host restarts"));
                self.gates[gate].frozen_until = until;
                self.cut_others(gate, until + FAULT_MS);
                self.reached.restarts += 1;
                self.host.restart(self.now);
            }
            39 => {
                self.log(|| format!("only gate {gate} reaches the host until {until}"));
                self.cut_others(gate, until);
                self.schedule(0, Event::RemoveOwner);
            }
            0..39 => {
                // The zone of the gate and the host is cut off.
                self.log(|| format!("gate {gate} and the host are cut off until {until}"));
                let cut = &mut self.gates[gate];
                cut.store_cut_until = cut.store_cut_until.max(until);
                self.cut_others(gate, until);
                if kind == 0 || self.rng.chance(50) {
                    // A gate in the zone removes the ownership with its last call.
                    let after = self.rng.below(if self.rng.clone().chance(50) {
                        10
                    } else {
                        self.setting.ttl
                    });
                    self.schedule(after, Event::RemoveOwner);
                }
            }
            40..45 => {
                self.mute_until = until + FAULT_MS;
                let until = self.mute_until;
                self.log(|| format!("answers of the host get lost until {until}"));
                let after = self.rng.below(self.mute_until - self.now);
                self.schedule(after, Event::Fault);
            }
            _ => {
                self.log(|| format!("no gate reaches the host until {until}"));
                for other in &mut self.gates {
                    other.host_cut_until = other.host_cut_until.max(until);
                }
            }
        }
    }

    /// Disturbs the store, the host or one gate.
    fn disturb(&mut self, kind: u64, gate: usize, until: u64) {
        match kind {
            50..55 => {
                self.log(|| format!("the calls of gate {gate} are slow, then a fault follows"));
                self.gates[gate].slow_until = self.now + 3_000;
                let after = 300 + self.rng.below(2_500);
                self.schedule(after, Event::Fault);
            }
            55..60 => {
                self.log(|| format!("gate {gate} does not reach the store until {until}"));
                self.gates[gate].store_cut_until = until;
                if self.setting.faults == Faults::LostStore {
                    self.schedule(0, Event::RemoveOwner);
                }
            }
            60..72 => {
                self.log(|| format!("gate {gate} is frozen until {until}"));
                self.gates[gate].frozen_until = until;
            }
            72..84 if self.setting.restarts != Restarts::Never => {
                let down = self.rng.below(2_500) * self.rng.below(2);
                self.log(|| format!("the host restarts within {down} ms"));
                self.reached.restarts += 1;
                self.host_up = self.now + down;
                self.host.restart(self.host_up);
            }
            84..92 => {
                self.log(|| "the ownership is removed".to_owned());
                self.schedule(0, Event::RemoveOwner);
            }
            _ => {
                let down = 200 + self.rng.below(9_000);
                let pauses = self.rng.chance(50);
                self.log(|| format!("the store is down for {down} ms, leases pause: {pauses}"));
                self.store.fail(self.now, down, pauses);
            }
        }
    }
}
