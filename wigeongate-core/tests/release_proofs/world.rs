//! A simulated deployment of one owner and a few machines, and the check of every start.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeongate_core::ids::{HostId, ZoneId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    HostEntry, TaskName, WorkflowId, WorkflowScheduler, WorkflowSettings,
};

use super::executor::{Process, RunKey, Shutdown};
use super::faults::{Cut, Fault, Kind, Rng, schedule};
use super::jobs::{flow, rules};
use super::link::{Link, Part};
use super::network::{Call, Reply};
use super::owner::Owner;
use super::starts::Violation;

const MACHINES: usize = 5;
const CORES: u64 = 6;
const HEARTBEAT_MS: u64 = 1_500;
const REGISTRATION_MS: u64 = 3 * HEARTBEAT_MS;
const SCAN_INTERVAL_MS: u64 = 100;

/// How long faults begin, in milliseconds.
const FAULTS_UNTIL_MS: u64 = 24_000;

/// The duration of a history, in milliseconds.
const END_MS: u64 = 42_000;

/// The time between jobs, in milliseconds.
const JOB_INTERVAL_MS: u64 = 800;

/// The speed of a slow clock, in parts per thousand.
const SLOW_RATE: u64 = 980;

/// What happens at a time.
#[derive(Debug)]
pub enum Event {
    /// A request reaches its executor.
    Arrive(usize),
    /// An executor answers a call.
    Respond(usize, Box<Reply>),
    /// The owner gets the result of a call.
    Answer(usize, Box<Reply>),
    /// A poll stops waiting for the end of a run at a process.
    WaitEnds(usize, usize),
    /// Runs may have ended at a process.
    Settle(usize),
    Heartbeat(usize),
    Exit(usize),
    ScanRegistry,
    Fault(Fault),
    Submit(u64),
    Cancel(u64),
    /// A link sends its next regular poll.
    Poll(usize, u64),
    AwaitEnds(usize, u64),
    Tick,
    RunOwner,
    Write(u64),
    Renew,
    ReadRegistry,
}

impl Event {
    /// Returns whether the owner's process handles it.
    const fn is_at_owner(&self) -> bool {
        matches!(
            self,
            Self::Answer(..)
                | Self::Submit(_)
                | Self::Cancel(_)
                | Self::Poll(..)
                | Self::AwaitEnds(..)
                | Self::Tick
                | Self::RunOwner
                | Self::Write(_)
                | Self::Renew
                | Self::ReadRegistry
        )
    }

    /// Returns the process that handles it.
    const fn process(&self) -> Option<usize> {
        match self {
            Self::WaitEnds(at, _) | Self::Settle(at) | Self::Heartbeat(at) | Self::Exit(at) => {
                Some(*at)
            }
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Registered {
    entry: HostEntry,
    process: usize,
    seen: u64,
}

/// A simulated deployment.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub rng: Rng,
    pub owner: Owner,
    /// By how much the owner's clock is ahead.
    pub jumped: u64,
    /// The latest end of a lease that may be granted.
    pub last_grant: Millis,
    pub links: Vec<Link>,
    pub calls: Vec<Call>,
    pub processes: Vec<Process>,
    /// The cut between the owner and each machine.
    pub cuts: Vec<Option<Cut>>,
    /// The part of the rule that is left out.
    pub omitted: Option<Part>,
    pub violation: Option<Violation>,
    /// What happened, if it is recorded.
    pub history: Option<Vec<String>>,
    pub starts: usize,
    kinds: Vec<Kind>,
    paused_until: u64,
    store_down_until: u64,
    /// Until when the path of each machine to the store is cut.
    store_cuts: Vec<u64>,
    registry: BTreeMap<HostId, Registered>,
    events: BTreeMap<(u64, u64), Event>,
    sent: u64,
    /// The starts of each task, with their hosts.
    pub started: BTreeMap<TaskName, Vec<(u64, HostId)>>,
    /// Ends as done that were acknowledged in time, with their hosts.
    pub noted: BTreeMap<TaskName, (RunKey, HostId)>,
    /// The jobs whose tasks outlast two leases.
    pub long: Vec<u64>,
}

impl World {
    pub fn new(kinds: &[Kind], seed: u64, omitted: Option<Part>) -> Self {
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), Millis(1_000));
        scheduler.configure(Arc::new(rules()));
        let mut world = Self {
            now: 1_000,
            rng: Rng::new(seed),
            owner: Owner::new(scheduler),
            jumped: 0,
            last_grant: Millis::ZERO,
            links: Vec::new(),
            calls: Vec::new(),
            processes: Vec::new(),
            cuts: vec![None; 2 * MACHINES],
            omitted,
            violation: None,
            history: None,
            starts: 0,
            kinds: kinds.to_vec(),
            paused_until: 0,
            store_down_until: 0,
            store_cuts: vec![0; 2 * MACHINES],
            registry: BTreeMap::new(),
            events: BTreeMap::new(),
            sent: 0,
            started: BTreeMap::new(),
            noted: BTreeMap::new(),
            long: Vec::new(),
        };
        for machine in 0..MACHINES {
            world.boot(machine, None);
        }
        for (at, fault) in schedule(kinds, MACHINES, FAULTS_UNTIL_MS, &mut world.rng) {
            world.after(at.saturating_sub(world.now), Event::Fault(fault));
        }
        for event in [Event::Renew, Event::ReadRegistry, Event::Tick] {
            world.after(1, event);
        }
        world.after(SCAN_INTERVAL_MS, Event::ScanRegistry);
        world.after(500, Event::Submit(1));
        world
    }

    pub fn has(&self, kind: Kind) -> bool {
        self.kinds.contains(&kind)
    }

    pub fn after(&mut self, delay: u64, event: Event) {
        self.sent += 1;
        self.events.insert((self.now + delay, self.sent), event);
    }

    /// Records what happens, if a history is kept.
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(history) = &mut self.history {
            history.push(format!("{:>6} {}", self.now, line()));
        }
    }

    /// Plays the history to its end or to the first violation.
    pub fn play(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END_MS || self.violation.is_some() {
                return;
            }
            self.now = at;
            if event.is_at_owner() && self.paused_until > at {
                // Timers and answers that are due at the end of a pause come in any order.
                let delay = self.paused_until - at + self.rng.below(4);
                self.after(delay, event);
                continue;
            }
            let process = event.process().map(|process| &self.processes[process]);
            let frozen_until = process.map_or(0, |process| process.frozen_until);
            if frozen_until > at {
                self.after(frozen_until - at, event);
                continue;
            }
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Respond(id, reply) => self.deliver(id, reply),
            Event::Answer(id, reply) => self.settle_call(id, *reply),
            Event::WaitEnds(at, id) => self.wait_ends(at, id),
            Event::Settle(at) => {
                self.processes[at].settle(self.now);
                self.answer_waiting(at);
            }
            Event::Heartbeat(at) => {
                if self.processes[at].up {
                    self.register(at);
                    self.after(HEARTBEAT_MS, Event::Heartbeat(at));
                }
            }
            Event::Exit(at) => self.exit(at),
            Event::ScanRegistry => {
                if self.is_store_up() {
                    let now = self.now;
                    self.registry
                        .retain(|_, it| now.saturating_sub(it.seen) < REGISTRATION_MS);
                }
                self.after(SCAN_INTERVAL_MS, Event::ScanRegistry);
            }
            Event::Fault(fault) => self.inject(fault),
            Event::Submit(id) => self.submit(id),
            Event::Cancel(id) => {
                let mut actions = Vec::new();
                let now = self.owner_now();
                self.owner
                    .scheduler
                    .cancel(WorkflowId(id), now, &mut actions);
                self.carry_out(actions);
            }
            Event::Poll(link, wait_ms) => self.poll(link, wait_ms, true),
            Event::AwaitEnds(link, awaits) => self.await_ends(link, awaits),
            Event::Tick => self.tick(),
            Event::RunOwner => self.run_owner(),
            Event::Write(number) => self.write(number),
            Event::Renew => self.renew(),
            Event::ReadRegistry => self.read_registry(),
        }
    }

    fn submit(&mut self, id: u64) {
        let count = 1 + u32::try_from(self.rng.below(3)).unwrap_or(0);
        let now = self.owner_now();
        self.owner
            .scheduler
            .submit(flow(id, count), now, Millis::ZERO);
        if self.rng.chance(60) {
            self.long.push(id);
        }
        if self.rng.chance(30) {
            let delay = self.rng.between(200, 9_000);
            self.after(delay, Event::Cancel(id));
        }
        self.after(JOB_INTERVAL_MS, Event::Submit(id + 1));
    }

    /// Starts a process on a machine.
    fn boot(&mut self, machine: usize, id: Option<HostId>) {
        let at = self.processes.len();
        let id = id.unwrap_or_else(|| HostId::from(format!("w-{machine}-{at}")));
        let is_slow = self.has(Kind::SlowClock) && self.rng.chance(60);
        let rate = if is_slow { SLOW_RATE } else { 1_000 };
        self.note(|| format!("{id} starts"));
        self.processes
            .push(Process::new(id, machine, self.now, rate));
        self.register(at);
        let delay = self.rng.below(HEARTBEAT_MS);
        self.after(delay, Event::Heartbeat(at));
    }

    /// Returns the newest process of a machine that is up.
    fn process_on(&self, machine: usize) -> Option<usize> {
        (0..self.processes.len())
            .rev()
            .find(|at| self.processes[*at].up && self.processes[*at].machine == machine)
    }

    /// Returns the process that accepts connections at the address of a machine.
    pub fn listener(&self, machine: usize) -> Option<usize> {
        self.process_on(machine)
            .filter(|at| self.processes[*at].listening)
    }

    /// Returns the machine on which the newest process of a host started.
    pub fn machine_of(&self, id: &HostId) -> usize {
        let mut processes = self.processes.iter();
        let process = processes.rfind(|process| process.id == *id);
        process.map_or(0, |process| process.machine)
    }

    pub const fn is_store_up(&self) -> bool {
        self.store_down_until <= self.now
    }

    fn reaches_store(&self, machine: usize) -> bool {
        self.is_store_up() && self.store_cuts[machine] <= self.now
    }

    pub fn registered(&self) -> impl Iterator<Item = &HostEntry> {
        self.registry.values().map(|registered| &registered.entry)
    }

    /// Writes the registration of a process, if it reaches the store.
    fn register(&mut self, at: usize) {
        let (now, is_reached) = (self.now, self.reaches_store(self.processes[at].machine));
        let process = &mut self.processes[at];
        if !is_reached {
            return;
        }
        let announced = process.shutdown.as_mut().filter(|it| !it.announced);
        let exits_after = announced.map(|shutdown| {
            shutdown.announced = true;
            shutdown.serves_ms
        });
        let entry = HostEntry {
            id: process.id.clone(),
            address: format!("10.0.0.{}:8000", process.machine),
            service: "desk".to_owned(),
            zone: ZoneId::from("a"),
            draining: process.shutdown.is_some(),
            capacity: Resources {
                cpu: CORES * 1_000,
                memory: 64_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            boot_ms: process.boot_ms,
        };
        let registered = Registered {
            entry,
            process: at,
            seen: now,
        };
        self.registry.insert(process.id.clone(), registered);
        if let Some(serves_ms) = exits_after.filter(|it| *it < END_MS) {
            self.after(serves_ms, Event::Exit(at));
        }
    }

    /// Ends a process that removes its registration as it exits.
    fn exit(&mut self, at: usize) {
        if !self.processes[at].up {
            return;
        }
        self.end_process(at);
        let process = &self.processes[at];
        let is_own = |it: &Registered| it.process == at;
        if self.reaches_store(process.machine) && self.registry.get(&process.id).is_some_and(is_own)
        {
            self.registry.remove(&process.id);
        }
    }

    fn end_process(&mut self, at: usize) {
        let process = &mut self.processes[at];
        process.settle(self.now);
        process.up = false;
        process.listening = false;
        process.waiting.clear();
        let (id, machine) = (process.id.clone(), process.machine);
        self.note(|| format!("{id} ends"));
        if self.is_reachable(machine) {
            self.break_connections(|process| process == at);
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.note(|| format!("owner: fault {fault:?}"));
        match fault {
            Fault::Drain { machine, serves_ms } => {
                if let Some(at) = self.process_on(machine) {
                    self.processes[at].shutdown = Some(Shutdown {
                        serves_ms,
                        announced: false,
                    });
                    self.register(at);
                }
            }
            Fault::CutOff { machine, cut } => {
                self.cuts[machine] = Some(cut);
                if cut.resets {
                    let on_machine: Vec<bool> = self
                        .processes
                        .iter()
                        .map(|process| process.machine == machine)
                        .collect();
                    self.break_connections(|process| on_machine[process]);
                }
            }
            Fault::StoreCutOff { machine, until } => self.store_cuts[machine] = until,
            Fault::StoreDown { until, expires } => {
                self.store_down_until = until;
                if !expires {
                    for registered in self.registry.values_mut() {
                        registered.seen += until - self.now;
                    }
                }
            }
            Fault::CloseListener { machine, lasts_ms } => {
                if let Some(at) = self.process_on(machine) {
                    self.processes[at].listening = false;
                    self.after(lasts_ms, Event::Exit(at));
                }
            }
            Fault::Succeed { machine } => self.boot(machine, None),
            Fault::End { machine } => {
                if let Some(at) = self.process_on(machine) {
                    self.end_process(at);
                }
            }
            Fault::Return { machine, keeps_id } => {
                if self.process_on(machine).is_none() {
                    let last = self.processes.iter().rev();
                    let id = last
                        .filter(|it| it.machine == machine && keeps_id)
                        .map(|it| it.id.clone())
                        .next();
                    self.boot(machine, id);
                }
            }
            Fault::Move { machine } => {
                if let Some(at) = self.process_on(machine).filter(|at| *at < MACHINES) {
                    let id = self.processes[at].id.clone();
                    self.end_process(at);
                    self.boot(machine, None);
                    self.boot(machine + MACHINES, Some(id));
                }
            }
            Fault::Pause { until } => self.paused_until = until,
            Fault::StandStill { machine, until } => {
                if let Some(at) = self.process_on(machine) {
                    self.processes[at].frozen_until = until;
                }
            }
            Fault::Suspend { ms } => self.jumped += ms,
        }
    }
}
