//! Hosts that die with everything on them and return, most under another identifier.

use wigeongate_core::ids::{HostId, ZoneId};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{HostEntry, PollFailure, RunOutcome, TaskName};

use super::{Crash, Executor, Message, World};

/// How long a crashed host is away, in milliseconds.
pub const AWAY_MS: u64 = 3_200;

/// The time from a crash until the registration of the host expires, in milliseconds.
const UNLIST_MS: u64 = 4_500;

/// What becomes of a crashed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comeback {
    /// It returns under another identifier.
    NewId,
    /// It returns under the identifier that it had.
    SameId,
    Never,
}

fn successor(id: &HostId) -> HostId {
    HostId::from(format!("{id}+"))
}

impl World {
    /// Lets a task crash each host that starts it.
    pub fn make_deadly(&mut self, task: TaskName) {
        self.deadly.insert(task);
    }

    /// Returns how many hosts a task has crashed.
    pub fn crashes_by(&self, task: TaskName) -> usize {
        self.crashes.iter().filter(|at| at.cause == task).count()
    }

    /// Returns the hosts of a zone whose processes run.
    pub fn hosts_in_zone(&self, zone: &str) -> Vec<HostId> {
        let zone = ZoneId::from(zone);
        self.executors
            .values()
            .filter(|at| at.entry.zone == zone && !at.dead)
            .map(|at| at.entry.id.clone())
            .collect()
    }

    /// Returns what a poll of a dead host finds at its address.
    pub(super) fn failure_of(&self, id: &HostId) -> PollFailure {
        if self.executors.contains_key(&successor(id)) {
            PollFailure::Replaced
        } else {
            PollFailure::Refused
        }
    }

    /// Ends the process of a host; a successor starts later.
    pub fn kill_host(&mut self, id: &HostId) {
        self.break_gangs(id);
        self.crash(id);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.dead = true;
            executor.reachable = false;
        }
        // The process breaks off the poll that it holds.
        let broken = Message::PollFailed(id.clone(), PollFailure::NoAnswer);
        self.send(self.break_delay_ms, broken);
        if self.comeback != Comeback::Never {
            self.send(AWAY_MS, Message::Return(id.clone()));
        }
        if self.comeback != Comeback::SameId {
            self.send(UNLIST_MS, Message::Unlist(id.clone()));
        }
    }

    /// Cuts a host off for a while; its process ends behind the cut.
    pub fn crash_behind_cut(&mut self, id: &HostId, crash_after: u64, cut_ms: u64) {
        let address = self.executors[id].entry.address.clone();
        self.cut.insert(address.clone());
        self.send(crash_after, Message::Die(id.clone()));
        self.send(cut_ms, Message::Heal(address));
    }

    /// Ends the process of a host in a while.
    pub fn crash_later(&mut self, id: &HostId, after: u64) {
        self.send(after, Message::Die(id.clone()));
    }

    pub(super) fn die(&mut self, id: &HostId) {
        if !self.executors[id].dead {
            self.kill_host(id);
        }
    }

    pub(super) fn heal(&mut self, address: &str) {
        self.cut.remove(address);
    }

    /// Returns the hosts whose processes run.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let live = self.executors.values().filter(|at| !at.dead);
        live.map(|at| at.entry.id.clone()).collect()
    }

    /// Ends the other members of the gangs on a host, which wait for each other.
    fn break_gangs(&mut self, id: &HostId) {
        let runs: Vec<_> = self.executors[id].running.keys().copied().collect();
        let is_gang = |task| self.spec(task).is_some_and(|spec| spec.gang);
        let gangs: Vec<_> = runs
            .into_iter()
            .filter(|(task, _)| is_gang(*task))
            .collect();
        for (member, run) in gangs {
            for other in self.executors.values_mut().filter(|at| at.entry.id != *id) {
                let is_member =
                    |(task, other): &(TaskName, u32)| task.step == member.step && *other == run;
                let ended: Vec<_> = other.running.keys().copied().filter(is_member).collect();
                for key in ended {
                    other.end(key, RunOutcome::Broken);
                }
            }
        }
    }

    /// Cuts a host off with refused connections for a while; it runs on and stays registered.
    pub fn cut_off_refusing(&mut self, id: &HostId, ms: u64) {
        self.refusing.insert(id.clone());
        // The cut breaks the poll that the host holds.
        let broken = Message::PollFailed(id.clone(), PollFailure::NoAnswer);
        self.send(self.break_delay_ms, broken);
        self.send(ms, Message::Accept(id.clone()));
    }

    /// Lets the registration of a host expire, as that of a crashed one does, until it is back after a
    /// while.
    pub fn lapse_registration(&mut self, id: &HostId, ms: u64) {
        self.send(UNLIST_MS, Message::Unlist(id.clone()));
        self.send(ms, Message::List(id.clone()));
    }

    pub(super) fn list(&mut self, id: &HostId) {
        let executor = self.executors.get_mut(id).expect("the host is known");
        executor.listed = true;
        let entry = executor.entry.clone();
        self.scheduler.list_host(entry, Millis(self.now));
    }

    /// Returns whether a host is cut off with refused connections.
    pub fn is_refusing(&self, id: &HostId) -> bool {
        self.refusing.contains(id)
    }

    pub(super) fn accept_connections(&mut self, id: &HostId) {
        self.refusing.remove(id);
    }

    /// Lets polls of a host that runs on be refused for a while.
    pub fn refuse_connections(&mut self, id: &HostId, ms: u64) {
        self.executors
            .get_mut(id)
            .expect("the host is known")
            .reachable = false;
        let end = self.now + ms;
        while self.now < end {
            let now = Millis(self.now);
            let mut actions = Vec::new();
            let refused = PollFailure::Refused;
            self.scheduler.poll_failed(id, refused, now, &mut actions);
            self.carry_out(actions);
            self.run_for(50);
        }
        self.set_reachable(id, true);
    }

    /// Lets a host announce its shutdown and cuts it off; its polls are refused, its registration
    /// expires, and it runs on.
    pub fn cut_draining_host(&mut self, id: &HostId, ms: u64) {
        let executor = self.executors.get_mut(id).expect("the host is known");
        executor.entry.draining = true;
        executor.reachable = false;
        let entry = executor.entry.clone();
        self.scheduler.list_host(entry, Millis(self.now));
        self.send(UNLIST_MS, Message::Unlist(id.clone()));
        let end = self.now + ms;
        while self.now < end {
            let (now, refused) = (Millis(self.now), PollFailure::Refused);
            let mut actions = Vec::new();
            self.scheduler.poll_failed(id, refused, now, &mut actions);
            self.carry_out(actions);
            self.run_for(50);
        }
    }

    /// Returns the identifiers of all jobs.
    pub fn submitted(&self) -> impl Iterator<Item = u64> {
        self.flows.iter().map(|flow| flow.id.0)
    }

    /// Lets a host announce its shutdown and leave for good after a while.
    pub fn shut_down_host(&mut self, id: &HostId, after_ms: u64) {
        let executor = self.executors.get_mut(id).expect("the host is known");
        executor.entry.draining = true;
        let entry = executor.entry.clone();
        self.scheduler.list_host(entry, Millis(self.now));
        self.run_for(after_ms);
        self.crash(id);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.dead = true;
            executor.reachable = false;
        }
        self.unlist(id);
    }

    pub(super) fn crash_by_task(&mut self, id: &HostId, cause: TaskName) {
        let Some(executor) = self.executors.get(id).filter(|at| !at.dead) else {
            return;
        };
        let running = executor.running.keys().map(|(task, _)| *task);
        self.crashes.push(Crash {
            cause,
            neighbours: running.filter(|task| *task != cause).collect(),
        });
        self.kill_host(id);
    }

    pub(super) fn start_successor(&mut self, id: &HostId) {
        if self.comeback == Comeback::SameId {
            let executor = self.executors.get_mut(id).expect("the host is known");
            executor.dead = false;
            self.set_reachable(id, true);
            return;
        }
        let old = &self.executors[id].entry;
        let entry = HostEntry {
            id: successor(id),
            ..old.clone()
        };
        let id = entry.id.clone();
        self.executors
            .insert(id.clone(), Executor::new(entry.clone(), 1));
        self.scheduler.list_host(entry, Millis(self.now));
        self.send(1, Message::Poll(id));
    }

    pub(super) fn unlist(&mut self, id: &HostId) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.listed = false;
        }
        self.scheduler.unlist_host(id, Millis(self.now));
    }
}
