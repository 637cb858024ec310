//! The owner's loop, as the gate runs it: feeds events to the scheduler and carries out its actions.

use std::collections::BTreeMap;

use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, HostEntry, HostReport, PollFailure, Proof, StartResult, StoreContact, Tenure,
    WorkflowScheduler,
};

use super::executor::RunKey;
use super::link::{Link, TASK_LEASE_MS};
use super::world::{Event, World};

const TICK_MS: u64 = 50;
const LEASE_TTL_MS: u64 = 1_200;
const RENEWAL_INTERVAL_MS: u64 = 300;
const STORE_OUTAGE_GRACE_MS: u64 = 6_000;
const STORE_RETRY_MS: u64 = 150;
const REGISTRY_INTERVAL_MS: u64 = 200;

/// An event in the owner's queue.
#[derive(Debug)]
pub enum OwnerEvent {
    PollSent(HostId, Millis),
    PollFailed(HostId, PollFailure),
    HostReported(HostId, HostReport),
    StartAnswered(HostId, RunKey, StartResult),
    StopAnswered(HostId, RunKey, Millis, Millis),
    HostsListed(Vec<HostEntry>),
    LogWritten(u64),
}

/// The owner beside its scheduler.
#[derive(Debug, Default)]
pub struct Owner {
    pub scheduler: WorkflowScheduler,
    queue: Vec<OwnerEvent>,
    /// Whether the loop will run.
    woken: bool,
    /// The newest record whose write has begun.
    writing: u64,
    listed: Vec<HostEntry>,
    contact: StoreContact,
    registry_read: Millis,
    renewed: Millis,
    links: BTreeMap<HostId, usize>,
    /// The proofs by which runs were counted as ended.
    pub released: BTreeMap<RunKey, Proof>,
}

impl Owner {
    pub fn new(scheduler: WorkflowScheduler) -> Self {
        Self {
            scheduler,
            ..Self::default()
        }
    }
}

impl World {
    /// Returns the owner's clock.
    pub fn owner_now(&self) -> Millis {
        Millis(self.now + self.jumped)
    }

    /// Adds an event to the owner's queue.
    pub fn notify(&mut self, event: OwnerEvent) {
        self.owner.queue.push(event);
        if !std::mem::replace(&mut self.owner.woken, true) {
            let delay = self.rng.below(3);
            self.after(delay, Event::RunOwner);
        }
    }

    /// Runs the owner's loop once.
    pub fn run_owner(&mut self) {
        self.owner.woken = false;
        let mut actions = Vec::new();
        self.drain(&mut actions);
        self.carry_out(actions);
    }

    /// Handles a tick, which sees every event before it.
    pub fn tick(&mut self) {
        let mut actions = Vec::new();
        self.drain(&mut actions);
        let (now, wall_ms) = (self.owner_now(), self.now);
        let is_fresh = self.owner.contact.is_fresh(self.owner.registry_read, now);
        self.owner.scheduler.set_stale(!is_fresh);
        self.owner.scheduler.tick(now, wall_ms, &mut actions);
        self.carry_out(actions);
        self.after(TICK_MS, Event::Tick);
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        for event in std::mem::take(&mut self.owner.queue) {
            self.handle(event, actions);
        }
    }

    fn handle(&mut self, event: OwnerEvent, out: &mut Vec<Action>) {
        let now = self.owner_now();
        let scheduler = &mut self.owner.scheduler;
        match event {
            OwnerEvent::PollSent(host, until) => scheduler.poll_sent(&host, until),
            OwnerEvent::PollFailed(host, failure) => {
                scheduler.poll_failed(&host, failure, now, out);
            }
            OwnerEvent::HostReported(host, report) => {
                scheduler.apply_report(&host, &report, now, out);
            }
            OwnerEvent::StartAnswered(host, run, result) => {
                scheduler.start_result(&host, run, result, now, out);
            }
            OwnerEvent::StopAnswered(host, run, sent, at) => {
                scheduler.stop_result(&host, run, sent, at);
            }
            OwnerEvent::HostsListed(list) => self.update_hosts(list),
            OwnerEvent::LogWritten(number) => scheduler.records_written(number, now, out),
        }
    }

    fn update_hosts(&mut self, list: Vec<HostEntry>) {
        let now = self.owner_now();
        let gone: Vec<HostId> = self
            .owner
            .scheduler
            .hosts()
            .filter(|(host, listed)| *listed && !list.iter().any(|entry| entry.id == host.id))
            .map(|(host, _)| host.id.clone())
            .collect();
        for id in gone {
            self.note(|| format!("owner: {id} is no longer listed"));
            self.owner.scheduler.unlist_host(&id, now);
        }
        for entry in list {
            let machine = self.machine_of(&entry.id);
            if let Some(at) = self.owner.links.get(&entry.id) {
                self.links[*at].set_machine(machine);
            } else {
                let at = self.links.len();
                self.links.push(Link::new(entry.id.clone(), machine));
                self.owner.links.insert(entry.id.clone(), at);
                self.after(0, Event::Poll(at, 0));
            }
            self.owner.scheduler.list_host(entry, now);
        }
        let owner = &mut self.owner;
        for (id, at) in &owner.links {
            self.links[*at].open = owner.scheduler.has_host(id);
        }
        owner.links.retain(|_, at| self.links[*at].open);
    }

    /// Places tasks, carries out actions and begins to write the log.
    pub fn carry_out(&mut self, mut actions: Vec<Action>) {
        let now = self.owner_now();
        let unrenewed = now.since(self.owner.renewed).0;
        let orders_allowed = unrenewed < LEASE_TTL_MS + STORE_OUTAGE_GRACE_MS;
        if self.owner.scheduler.is_dirty() && orders_allowed {
            self.owner.scheduler.place(now, &mut actions);
        }
        for action in actions {
            self.execute(action);
        }
        let newest = self.owner.scheduler.last_record();
        if newest > self.owner.writing {
            self.owner.writing = newest;
            let delay = self.rng.between(5, 40);
            self.after(delay, Event::Write(newest));
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start(order) => {
                self.note(|| {
                    let (task, run) = (order.task, order.run);
                    format!("owner: starts {task} {run} on {}", order.host)
                });
                if let Some(at) = self.owner.links.get(&order.host) {
                    self.order_start(*at, order);
                }
            }
            Action::Stop(order) => {
                if let Some(at) = self.owner.links.get(&order.host) {
                    self.order_stop(*at, order);
                }
            }
            Action::Poll { host } => {
                if let Some(at) = self.owner.links.get(&host) {
                    self.poll(*at, 0, false);
                }
            }
            Action::Forget {
                host,
                boot_ms,
                number,
            } => {
                if let Some(at) = self.owner.links.get(&host) {
                    self.acknowledge(*at, boot_ms, number);
                }
            }
            Action::Released {
                host,
                task,
                run,
                proof,
                ..
            } => {
                self.note(|| format!("owner: {task} {run} on {host} has ended: {proof}"));
                self.owner.released.insert((task, run), proof);
            }
            _ => {}
        }
    }

    /// Writes the log up to a record, once the store answers.
    pub fn write(&mut self, number: u64) {
        if self.is_store_up() {
            self.notify(OwnerEvent::LogWritten(number));
        } else {
            self.after(STORE_RETRY_MS, Event::Write(number));
        }
    }

    /// Renews the ownership, which lets the owner grant leases.
    pub fn renew(&mut self) {
        let now = self.owner_now();
        if self.is_store_up() {
            self.owner.renewed = now;
            let tenure = Tenure {
                ttl: Millis(LEASE_TTL_MS),
                task_lease: Millis(TASK_LEASE_MS),
            };
            self.last_grant = tenure.last_grant(now);
        }
        self.after(RENEWAL_INTERVAL_MS, Event::Renew);
    }

    /// Reads the registry.
    pub fn read_registry(&mut self) {
        let now = self.owner_now();
        if self.is_store_up() {
            self.owner.contact.record_answer(now);
            self.owner.registry_read = now;
            let list: Vec<HostEntry> = self.registered().cloned().collect();
            if list != self.owner.listed {
                self.owner.listed.clone_from(&list);
                self.notify(OwnerEvent::HostsListed(list));
            }
        }
        let delay = REGISTRY_INTERVAL_MS + self.rng.below(50);
        self.after(delay, Event::ReadRegistry);
    }
}
