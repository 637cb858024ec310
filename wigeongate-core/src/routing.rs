//! Selection of a backend server, and the requests in flight on each.
//!
//! Only the owner of a server's lane sends to the server, so this gate alone counts its slots.
//! After a takeover a server receives no request until it has rejected the previous owner's epoch
//! and reported which requests of older epochs it still runs.

use std::collections::BTreeMap;

use crate::collections::{HashMap, HashSet};
use crate::ids::{BackendId, Epoch, QueueId, RequestId, TeamId, ZoneId};
use crate::time::Millis;

/// Load added to the actual load of a server in another availability zone.
const CROSS_ZONE_LOAD: u64 = PER_MILLE / 8;

/// Load of a server whose slots are all busy.
const PER_MILLE: u64 = 1_000;

/// Number of consecutive failures after which a server is ejected for a time.
const EJECT_FAILURES: u32 = 3;

/// Duration of the first ejection.
const EJECT_FIRST: Millis = Millis(1_000);

/// Maximum duration of an ejection.
const EJECT_MAX: Millis = Millis(30_000);

/// Of the servers in owned lanes, one in this many may be ejected at a time.
const EJECT_SHARE_DIVISOR: usize = 3;

/// Backend server of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Name of the server.
    pub name: BackendId,
    /// Lane of the server.
    pub lane: u16,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Number of requests that the server runs at a time.
    pub slots: u32,
    /// Queues that the server serves; empty for all.
    pub queues: Vec<QueueId>,
}

impl ServerSpec {
    /// Returns whether the server serves a queue.
    pub fn serves(&self, queue: &QueueId) -> bool {
        self.queues.is_empty() || self.queues.contains(queue)
    }
}

/// Request that a server reports as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Team that submitted the request.
    pub team: TeamId,
}

/// Status report of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// Time at which the report was requested.
    pub asked: Millis,
    /// Epoch under which the report was requested.
    pub epoch: Epoch,
    /// Whether the server accepts no new requests because it is leaving.
    pub leaving: bool,
    /// Requests that the server runs.
    pub running: Vec<ReportedRequest>,
}

/// Request that this gate does not wait for and that the server may still run.
#[derive(Debug, Clone)]
struct Orphan {
    team: TeamId,
    /// Time at which this gate stopped waiting for it; zero if another gate sent it.
    since: Millis,
}

/// End of a sent request, as far as it bears on the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server answered.
    Answered,
    /// The server or the connection to it failed, and the request does not run.
    Failed,
    /// The server or the connection to it failed, and the request may still run.
    Unknown,
    /// There was no answer in time, and the request may still run.
    TimedOut,
    /// The end says nothing about the server; for example, the caller disconnected.
    Neutral,
}

/// Whether a server may be used under the current ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    /// Its lane belongs to another gate.
    Foreign,
    /// The server has not reported under this epoch yet.
    Fencing(Epoch),
    /// The server rejects older epochs.
    Open(Epoch),
}

/// Reasons why a server receives no new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainReasons {
    /// The server reports that it is leaving.
    pub own: bool,
    /// The platform's host list says that its host is leaving.
    pub host: bool,
    /// Operators took its availability zone out of service.
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
    /// Other requests that may be in flight: those of the previous owner, and abandoned ones.
    orphans: HashMap<RequestId, Orphan>,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    /// Number of slots that may be used; fewer than all while the server recovers.
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

/// Assignment of a request to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Identifier of the request.
    pub id: RequestId,
    /// Name of the backend server.
    pub server: BackendId,
    /// Lane of the server.
    pub lane: u16,
    /// Epoch to send the request under.
    pub epoch: Epoch,
}

/// Router for the backend servers of the lanes that this gate owns.
#[derive(Debug, Default)]
pub struct Routing {
    zone: ZoneId,
    lanes: u16,
    servers: BTreeMap<BackendId, Server>,
    /// Maximum number of requests that each team may have running across the fleet.
    limits: HashMap<TeamId, u32>,
    /// Requests in flight by lane and team. Invariant: the sum over the lane's servers.
    running: HashMap<(u16, TeamId), u32>,
    /// Whether automatic ejections are paused.
    paused: bool,
    next_index: usize,
}

/// Returns the part of a team's limit that belongs to a lane; the parts sum to the limit, and
/// `u32::MAX` means unlimited.
pub fn lane_limit(limit: u32, lane: u16, lanes: u16) -> u32 {
    if limit == u32::MAX {
        return limit;
    }
    let lanes = u32::from(lanes.max(1));
    limit / lanes + u32::from(u32::from(lane) < limit % lanes)
}

impl Routing {
    /// Creates a router without servers for a gate in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Applies the servers of a configuration; servers that stay in their lane keep their state.
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

    /// Sets the teams' limits, and whether automatic actions are paused.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (TeamId, u32)>, paused: bool) {
        self.limits = limits.into_iter().collect();
        self.paused = paused;
    }

    /// Sets the epoch of a lane; `None` when another gate owns it.
    ///
    /// After a change of epoch a server of the lane receives no request until it has reported under
    /// the new one.
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

    /// Returns whether this gate owns a lane, according to the last call of `set_epoch`.
    pub fn owns(&self, lane: u16) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| server.spec.lane == lane && server.access != Access::Foreign)
    }

    /// Returns the servers of owned lanes, with the lane and the epoch to request a report under.
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

    /// Returns whether a report is needed soon: the server is not open yet, or it may run requests
    /// that this gate does not wait for.
    pub fn needs_report(&self, name: &BackendId) -> bool {
        self.servers.get(name).is_some_and(|server| {
            matches!(server.access, Access::Fencing(_)) || !server.orphans.is_empty()
        })
    }

    /// Applies the status report of a server; a report under another epoch only sets whether it is
    /// leaving.
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

    /// Sets whether a server's host is leaving, according to the platform's host list.
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

    /// Returns whether a team is below its part of its limit in the lane of a server.
    fn is_under_limit(&self, limit: u32, server: &Server, team: &TeamId) -> bool {
        if limit == u32::MAX {
            return true;
        }
        let lane = server.spec.lane;
        let running = self.running.get(&(lane, team.clone()));
        running.copied().unwrap_or_default() < lane_limit(limit, lane, self.lanes)
    }

    /// Reserves a slot for a request on the least loaded server that has one; servers of equal load
    /// take turns.
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
            .min_by_key(|(index, server)| {
                (server.load(&self.zone), (index + count - turn) % count)
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

    /// Releases the slot of a request.
    ///
    /// With [`Ending::Unknown`] and [`Ending::TimedOut`] it stays occupied until the server reports
    /// that it does not run the request.
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

    /// Returns the number of slots of the usable servers that serve a queue.
    pub fn slots(&self, now: Millis, queue: &QueueId) -> u32 {
        let usable = |server: &&Server| server.usable(now) && server.spec.serves(queue);
        let usable = self.servers.values().filter(usable);
        usable.map(|server| server.spec.slots).sum()
    }

    /// Returns the slots of each owned lane, and the teams that have reached their part of their
    /// limit there.
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

    /// Returns the number of requests in flight in a lane that this gate waits for.
    pub fn in_flight(&self, lane: u16) -> u32 {
        let of_lane = |server: &&Server| server.spec.lane == lane;
        let servers = self.servers.values().filter(of_lane);
        servers
            .map(|server| u32::try_from(server.in_flight.len()).unwrap_or(u32::MAX))
            .sum()
    }
}

/// State of an owned lane.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lane {
    /// Number of free slots.
    pub free: u32,
    /// Number of slots of usable servers.
    pub slots: u32,
    /// Teams that have reached their part of their limit in the lane.
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
