//! The choice of a backend server, and what each has in flight.
//!
//! Only the owner of a server's lane sends to it, so the slots are counted here alone. After a
//! takeover a server gets nothing until it has refused the previous owner's epoch and said what
//! it still runs of older epochs.

use std::collections::BTreeMap;

use crate::collections::{HashMap, HashSet};
use crate::ids::{BackendId, Epoch, QueueId, RequestId, TeamId, ZoneId};
use crate::time::Millis;

/// The load that a server in another availability zone seems to have besides its own.
const CROSS_ZONE_LOAD: u64 = PER_MILLE / 8;

/// One, in the unit of the load.
const PER_MILLE: u64 = 1_000;

/// Failures in a row after which a server is left out for a while.
const EJECT_FAILURES: u32 = 3;

/// How long a server is left out the first time.
const EJECT_FIRST: Millis = Millis(1_000);

/// How long a server is left out at most.
const EJECT_MAX: Millis = Millis(30_000);

/// Of the servers that serve a queue, one in this many may be left out.
const EJECT_SHARE_DIVISOR: usize = 3;

/// A backend server as the configuration lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Its name.
    pub name: BackendId,
    /// Its lane.
    pub lane: u16,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// The queues it serves; empty for all.
    pub queues: Vec<QueueId>,
}

impl ServerSpec {
    /// Returns whether the server serves a queue.
    pub fn serves(&self, queue: &QueueId) -> bool {
        self.queues.is_empty() || self.queues.contains(queue)
    }
}

/// A request that a server says it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedRequest {
    /// The request.
    pub id: RequestId,
    /// The team whose work it is.
    pub team: TeamId,
}

/// What a server said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// When it was asked.
    pub asked: Millis,
    /// The epoch under which it was asked.
    pub epoch: Epoch,
    /// Whether it wants nothing new.
    pub leaving: bool,
    /// What it runs.
    pub running: Vec<ReportedRequest>,
}

/// A request that this gate does not wait for and the server may still run.
#[derive(Debug, Clone)]
struct Orphan {
    team: TeamId,
    /// When this gate lost sight of it.
    since: Millis,
}

/// How a sent request ended, as far as it says something of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server answered.
    Answered,
    /// The server or the way to it failed, and the request does not run.
    Failed,
    /// The server or the way to it failed, and the request may still run.
    Unknown,
    /// There was no answer in time, and the request may still run.
    TimedOut,
    /// Nothing is known of the server: the caller went away, say.
    Neutral,
}

/// Whether a server may be used under the present ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    /// Its lane belongs to another gate.
    Foreign,
    /// It has not yet answered under this epoch.
    Fencing(Epoch),
    /// It refuses older epochs.
    Open(Epoch),
}

/// Why a server gets nothing new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainReasons {
    /// It says so itself.
    pub own: bool,
    /// The platform's list says so of its host.
    pub host: bool,
    /// Operators took its availability zone out.
    pub zone: bool,
}

impl DrainReasons {
    const fn any(self) -> bool {
        self.own || self.host || self.zone
    }
}

#[derive(Debug)]
struct Server {
    spec: ServerSpec,
    access: Access,
    leaving: DrainReasons,
    /// Requests in flight that this gate waits for.
    in_flight: HashMap<RequestId, TeamId>,
    /// Other requests that may be in flight: those of the previous owner, and given up ones.
    orphans: HashMap<RequestId, Orphan>,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    /// The slots that may be used; fewer than all while it comes back.
    allowed: u32,
}

impl Server {
    fn new(spec: ServerSpec) -> Self {
        Self {
            access: Access::Foreign,
            leaving: DrainReasons::default(),
            in_flight: HashMap::default(),
            orphans: HashMap::default(),
            failures: 0,
            ejections: 0,
            ejected_until: Millis::ZERO,
            allowed: spec.slots,
            spec,
        }
    }

    fn busy(&self) -> u32 {
        let busy = self.in_flight.len() + self.orphans.len();
        u32::try_from(busy).unwrap_or(u32::MAX)
    }

    fn usable(&self, now: Millis) -> bool {
        matches!(self.access, Access::Open(_)) && !self.leaving.any() && now >= self.ejected_until
    }

    fn free(&self, now: Millis) -> u32 {
        if !self.usable(now) {
            return 0;
        }
        let allowed = self.spec.slots.min(self.allowed);
        allowed.saturating_sub(self.busy())
    }

    fn load(&self, zone: &ZoneId) -> u64 {
        let busy = u64::from(self.busy()) * PER_MILLE / u64::from(self.spec.slots.max(1));
        busy + if self.spec.zone == *zone {
            0
        } else {
            CROSS_ZONE_LOAD
        }
    }
}

/// The order to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub id: RequestId,
    /// The backend server.
    pub server: BackendId,
    /// Its lane.
    pub lane: u16,
    /// The epoch to send under.
    pub epoch: Epoch,
}

/// The backend servers of the lanes that this gate owns.
#[derive(Debug, Default)]
pub struct Routing {
    zone: ZoneId,
    lanes: u16,
    servers: BTreeMap<BackendId, Server>,
    /// How many requests each team may have running across the fleet.
    limits: HashMap<TeamId, u32>,
    /// Requests in flight by lane and team. Invariant: the sum over the lane's servers.
    running: HashMap<(u16, TeamId), u32>,
    /// Whether no server may be left out by itself.
    paused: bool,
    next_index: usize,
}

/// Returns the part of a team's limit that belongs to a lane; the parts sum up to the limit.
pub fn lane_limit(limit: u32, lane: u16, lanes: u16) -> u32 {
    if limit == u32::MAX {
        return limit;
    }
    let lanes = u32::from(lanes.max(1));
    limit / lanes + u32::from(u32::from(lane) < limit % lanes)
}

impl Routing {
    /// Starts without servers, in an availability zone.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Takes the servers of a configuration; those that stay keep their state.
    pub fn configure(&mut self, specs: Vec<ServerSpec>, lanes: u16, zones_out: &HashSet<ZoneId>) {
        self.lanes = lanes;
        let mut old = std::mem::take(&mut self.servers);
        for spec in specs {
            let zone = zones_out.contains(&spec.zone);
            let mut server = match old.remove(&spec.name) {
                Some(kept) if kept.spec.lane == spec.lane => kept,
                _ => Server::new(spec.clone()),
            };
            server.allowed = server.allowed.min(spec.slots).max(1);
            if server.failures == 0 && server.ejections == 0 {
                server.allowed = spec.slots;
            }
            server.spec = spec;
            server.leaving.zone = zone;
            self.servers.insert(server.spec.name.clone(), server);
        }
        self.count_running();
    }

    fn count_running(&mut self) {
        self.running.clear();
        for server in self.servers.values() {
            let orphans = server.orphans.values().map(|orphan| &orphan.team);
            for team in server.in_flight.values().chain(orphans) {
                let key = (server.spec.lane, team.clone());
                *self.running.entry(key).or_default() += 1;
            }
        }
    }

    /// Takes the teams' limits, and whether automatic actions are held back.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (TeamId, u32)>, paused: bool) {
        self.limits = limits.into_iter().collect();
        self.paused = paused;
    }

    /// Takes the epoch of a lane, `None` when another gate owns it.
    ///
    /// A new epoch closes the lane's servers until each has answered under it.
    pub fn set_epoch(&mut self, lane: u16, epoch: Option<Epoch>) {
        let of_lane = |server: &&mut Server| server.spec.lane == lane;
        for server in self.servers.values_mut().filter(of_lane) {
            let same = match server.access {
                Access::Foreign => None,
                Access::Fencing(known) | Access::Open(known) => Some(known),
            };
            if same != epoch {
                server.access = epoch.map_or(Access::Foreign, Access::Fencing);
            }
        }
    }

    /// Returns whether this gate owns a lane, as far as it was told.
    pub fn owns(&self, lane: u16) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| server.spec.lane == lane && server.access != Access::Foreign)
    }

    /// Returns the servers of owned lanes with the epoch to ask them under.
    pub fn owned(&self) -> impl Iterator<Item = (&BackendId, u16, Epoch)> {
        self.servers
            .values()
            .filter_map(|server| match server.access {
                Access::Foreign => None,
                Access::Fencing(epoch) | Access::Open(epoch) => {
                    Some((&server.spec.name, server.spec.lane, epoch))
                }
            })
    }

    /// Returns whether a server is to be asked soon: it is closed, or runs what others sent.
    pub fn needs_report(&self, name: &BackendId) -> bool {
        self.servers.get(name).is_some_and(|server| {
            matches!(server.access, Access::Fencing(_)) || !server.orphans.is_empty()
        })
    }

    /// Takes what a server said of itself.
    pub fn apply_report(&mut self, name: &BackendId, report: &ServerReport) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.leaving.own = report.leaving;
        match server.access {
            Access::Fencing(known) if known == report.epoch => {
                server.access = Access::Open(known);
            }
            Access::Open(known) if known == report.epoch => {}
            _ => return,
        }
        server
            .orphans
            .retain(|_, orphan| orphan.since >= report.asked);
        for running in &report.running {
            if !server.in_flight.contains_key(&running.id) {
                let team = running.team.clone();
                let since = Millis::ZERO;
                let orphan = server.orphans.entry(running.id);
                orphan.or_insert(Orphan { team, since });
            }
        }
        self.count_running();
    }

    /// Takes what the platform's list says of a server's host.
    pub fn set_host_leaving(&mut self, name: &BackendId, leaving: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.leaving.host = leaving;
        }
    }

    /// Returns whether a request of `team` for `queue` could start now.
    pub fn can_start(&self, now: Millis, team: &TeamId, queue: &QueueId) -> bool {
        let limit = self.limit_of(team);
        self.servers.values().any(|server| {
            server.spec.serves(queue)
                && server.free(now) > 0
                && self.is_under_limit(limit, server, team)
        })
    }

    fn limit_of(&self, team: &TeamId) -> u32 {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Returns whether a team is under its part of its limit in the lane of a server.
    fn is_under_limit(&self, limit: u32, server: &Server, team: &TeamId) -> bool {
        if limit == u32::MAX {
            return true;
        }
        let lane = server.spec.lane;
        let running = self.running.get(&(lane, team.clone()));
        running.copied().unwrap_or_default() < lane_limit(limit, lane, self.lanes)
    }

    /// Takes a slot for a request, on the least loaded server that has one.
    pub fn choose(
        &mut self,
        now: Millis,
        id: RequestId,
        team: &TeamId,
        queue: &QueueId,
    ) -> Option<Assignment> {
        let limit = self.limit_of(team);
        let count = self.servers.len();
        let turn = self.next_index % count.max(1);
        let best = self
            .servers
            .values()
            .enumerate()
            .filter(|(_, server)| server.spec.serves(queue) && server.free(now) > 0)
            .filter(|(_, server)| self.is_under_limit(limit, server, team))
            .min_by_key(|(place, server)| {
                (server.load(&self.zone), (place + count - turn) % count)
            })?;
        let name = best.1.spec.name.clone();
        self.next_index = best.0 + 1;
        self.take(&name, id, team)
    }

    fn take(&mut self, name: &BackendId, id: RequestId, team: &TeamId) -> Option<Assignment> {
        let server = self.servers.get_mut(name)?;
        let Access::Open(epoch) = server.access else {
            return None;
        };
        let lane = server.spec.lane;
        server.in_flight.insert(id, team.clone());
        *self.running.entry((lane, team.clone())).or_default() += 1;
        Some(Assignment {
            id,
            server: name.clone(),
            lane,
            epoch,
        })
    }

    /// Gives a slot back.
    ///
    /// With `Unknown` it stays taken until the server says that it does not run the request.
    pub fn release(&mut self, now: Millis, chosen: &Assignment, ending: Ending) {
        let may_eject = self.may_eject(now);
        let Some(server) = self.servers.get_mut(&chosen.server) else {
            return;
        };
        let Some(team) = server.in_flight.remove(&chosen.id) else {
            return;
        };
        match ending {
            Ending::Answered => record_success(server),
            Ending::Failed | Ending::Unknown => record_failure(server, now, may_eject),
            Ending::TimedOut | Ending::Neutral => {}
        }
        if matches!(ending, Ending::Unknown | Ending::TimedOut) {
            server
                .orphans
                .insert(chosen.id, Orphan { team, since: now });
        } else {
            decrement(&mut self.running, &(chosen.lane, team));
        }
    }

    fn may_eject(&self, now: Millis) -> bool {
        let known = self
            .servers
            .values()
            .filter(|s| s.access != Access::Foreign);
        let (out, all) = known.fold((0, 0), |(out, all), server| {
            (out + usize::from(now < server.ejected_until), all + 1)
        });
        !self.paused && out < (all / EJECT_SHARE_DIVISOR).max(usize::from(all > 1))
    }

    /// Returns the usable slots that serve a queue.
    pub fn slots(&self, now: Millis, queue: &QueueId) -> u32 {
        let usable = |server: &&Server| server.usable(now) && server.spec.serves(queue);
        let usable = self.servers.values().filter(usable);
        usable.map(|server| server.spec.slots).sum()
    }

    /// Returns the free slots of each owned lane, and whether a team has reached its part there.
    pub fn lanes(&self, now: Millis) -> BTreeMap<u16, Lane> {
        let mut lanes: BTreeMap<u16, Lane> = BTreeMap::new();
        for server in self.servers.values() {
            if server.access == Access::Foreign {
                continue;
            }
            let lane = lanes.entry(server.spec.lane).or_default();
            lane.free += server.free(now);
            if server.usable(now) {
                lane.slots += server.spec.slots;
            }
        }
        for (number, lane) in &mut lanes {
            let at_limit = |(team, limit): &(&TeamId, &u32)| {
                let running = self.running.get(&(*number, (*team).clone()));
                running.copied().unwrap_or_default() >= lane_limit(**limit, *number, self.lanes)
            };
            let full = self.limits.iter().filter(at_limit);
            lane.full = full.map(|(team, _)| team.clone()).collect();
            lane.full.sort();
        }
        lanes
    }

    /// Returns how many requests of this gate are in flight in a lane.
    pub fn in_flight(&self, lane: u16) -> u32 {
        let of_lane = |server: &&Server| server.spec.lane == lane;
        let servers = self.servers.values().filter(of_lane);
        servers
            .map(|server| u32::try_from(server.in_flight.len()).unwrap_or(u32::MAX))
            .sum()
    }
}

/// How an owned lane stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lane {
    /// Free slots.
    pub free: u32,
    /// Slots of usable servers.
    pub slots: u32,
    /// Teams that have reached their part of their limit here.
    pub full: Vec<TeamId>,
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(key);
        }
    }
}

fn record_success(server: &mut Server) {
    server.failures = 0;
    if server.allowed < server.spec.slots {
        server.allowed += 1;
    } else {
        server.ejections = 0;
    }
}

fn record_failure(server: &mut Server, now: Millis, may_eject: bool) {
    server.failures += 1;
    if server.failures < EJECT_FAILURES || !may_eject || now < server.ejected_until {
        return;
    }
    let span = EJECT_FIRST.0 << server.ejections.min(8);
    server.ejected_until = now + Millis(span.min(EJECT_MAX.0));
    server.ejections += 1;
    server.failures = 0;
    server.allowed = 1;
}
