//! The workers of the pool: what is reserved on each, and which may be given work.

use std::collections::BTreeMap;

use super::health::Health;
use super::index::{Index, WorkerIx, ZoneIx};
use crate::collections::HashMap;
use crate::ids::{Attempt, HostId, JobId, RackId, TaskId, ZoneId};
use crate::job::Kind;
use crate::policy::{Policy, Worker};
use crate::resources::Resources;
use crate::time::Millis;

use super::teams::TeamIx;

/// Sizes that found no room which are remembered at most.
const MAX_NO_ROOM_SIZES: usize = 32;

/// Why a task was told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopCause {
    /// Its job has ended, or the attempt is not the one that counts.
    Ended,
    /// It makes room for other work.
    Preempted,
    /// It moves to another worker.
    Moved,
    /// It uses more than was reserved.
    OverUsage,
    /// Another task of its gang is gone.
    GangBroken,
}

/// How far the stop of a task has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopRequest {
    /// Why.
    pub(super) cause: StopCause,
    /// When the first order was given.
    pub(super) since: Millis,
    /// Whether the order to stop at once was given.
    pub(super) immediate: bool,
}

/// The reservation of one attempt of a task on a worker.
///
/// Invariant: it stays until the worker says that the attempt ended, or its lease has run out.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    /// The attempt.
    pub(super) attempt: Attempt,
    /// What is reserved.
    pub(super) size: Resources,
    /// The team, when the job is known.
    pub(super) team: Option<TeamIx>,
    /// The kind of its job.
    pub(super) kind: Kind,
    /// Whether its job is urgent.
    pub(super) urgent: bool,
    /// The number of its start order; zero when it was found on the worker.
    pub(super) order: u64,
    /// When it was ordered or found.
    pub(super) since: Millis,
    /// The order to stop it, if one was given.
    pub(super) stopping: Option<StopRequest>,
    /// Whether it was told to run slower.
    pub(super) throttled: bool,
}

/// Free capacity that is kept for a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// The job.
    pub(super) job: JobId,
    /// How much.
    pub(super) size: Resources,
}

/// One worker.
#[derive(Debug)]
pub(super) struct Slot {
    /// Its name.
    pub(super) host: HostId,
    /// What it can carry.
    pub(super) capacity: Resources,
    /// Its availability zone.
    pub(super) zone: ZoneIx,
    /// Its rack.
    pub(super) rack: usize,
    /// Whether the inventory lists it in this pool.
    pub(super) listed: bool,
    /// Whether it has named everything it runs.
    pub(super) reported_all: bool,
    /// Whether it has named everything it runs, or the leases of all that might run there have
    /// run out, since the pool was owned.
    pub(super) settled: bool,
    /// When it may be given work after its zone came back.
    pub(super) usable_from: Millis,
    /// Invariant: the sum of the sizes of `leases`.
    pub(super) reserved: Resources,
    /// Capacity kept for jobs, the oldest first.
    pub(super) holds: Vec<Hold>,
    /// What runs there, or may run there.
    pub(super) leases: BTreeMap<TaskId, Lease>,
    /// Its record of failures.
    pub(super) health: Health,
    /// The incarnation and sequence number of its newest report.
    pub(super) last_report: (u64, u64),
}

impl Slot {
    /// Returns what is neither reserved nor held.
    pub(super) fn free(&self) -> Resources {
        self.holds.iter().fold(self.unreserved(), |free, hold| {
            free.saturating_sub(&hold.size)
        })
    }

    /// Returns what is not reserved.
    pub(super) fn unreserved(&self) -> Resources {
        self.capacity.saturating_sub(&self.reserved)
    }
}

/// An availability zone.
#[derive(Debug)]
pub(super) struct Zone {
    /// Its name.
    pub(super) id: ZoneId,
    /// Whether operators took it out.
    pub(super) out: bool,
}

/// What a search for a worker needs to know.
#[derive(Debug)]
pub(super) struct PlacementQuery<'a> {
    /// The size of the task.
    pub(super) size: Resources,
    /// How many tasks of a service each zone and rack carries; `None` for other kinds.
    pub(super) spread: Option<&'a Spread>,
    /// Workers to take only when there is no other.
    pub(super) avoid: &'a [WorkerIx],
}

/// How many tasks of a job each zone and rack carries.
#[derive(Debug, Default)]
pub(super) struct Spread {
    zones: BTreeMap<ZoneIx, u32>,
    racks: BTreeMap<usize, u32>,
}

impl Spread {
    /// Counts a task in.
    pub(super) fn add(&mut self, slot: &Slot) {
        *self.zones.entry(slot.zone).or_default() += 1;
        *self.racks.entry(slot.rack).or_default() += 1;
    }

    /// Counts a task out.
    pub(super) fn sub(&mut self, slot: &Slot) {
        if let Some(count) = self.zones.get_mut(&slot.zone) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.racks.get_mut(&slot.rack) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many tasks a zone carries.
    pub(super) fn zone(&self, zone: ZoneIx) -> u32 {
        self.zones.get(&zone).copied().unwrap_or_default()
    }

    fn rack(&self, rack: usize) -> u32 {
        self.racks.get(&rack).copied().unwrap_or_default()
    }
}

/// The workers of the pool.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Every worker that was ever listed or reported.
    pub(super) slots: Vec<Slot>,
    /// Every zone that was ever listed.
    pub(super) zones: Vec<Zone>,
    racks: Vec<RackId>,
    by_host: HashMap<HostId, WorkerIx>,
    index: Index,
    /// Sizes for which no worker had room; none of them fits in the index.
    no_room: Vec<Resources>,
    /// Workers whose capacity grew free and that carry holds.
    pub(super) changed_workers: Vec<WorkerIx>,
    /// Whether capacity grew free since the last pass.
    pub(super) capacity_freed: bool,
    /// Time, as of the last event.
    pub(super) now: Millis,
}

impl Fleet {
    /// Returns the place of a worker.
    pub(super) fn find_host(&self, host: &HostId) -> Option<WorkerIx> {
        self.by_host.get(host).copied()
    }

    /// Returns a worker.
    pub(super) fn slot(&self, worker: WorkerIx) -> &Slot {
        &self.slots[worker as usize]
    }

    /// Returns a worker for a change; [`Fleet::refresh`] has to follow.
    pub(super) fn slot_mut(&mut self, worker: WorkerIx) -> &mut Slot {
        &mut self.slots[worker as usize]
    }

    /// Returns the places of all workers.
    pub(super) fn workers(&self) -> impl Iterator<Item = WorkerIx> + use<> {
        0..WorkerIx::try_from(self.slots.len()).unwrap_or(WorkerIx::MAX)
    }

    /// Returns whether a worker may be given work at this time.
    pub(super) fn usable(&self, worker: WorkerIx) -> bool {
        let slot = self.slot(worker);
        slot.listed
            && slot.reported_all
            && slot.usable_from <= self.now
            && !self.zones[slot.zone].out
            && slot.health.accepts_work(!slot.leases.is_empty())
    }

    /// Brings the index up to date with a worker.
    pub(super) fn refresh(&mut self, worker: WorkerIx) {
        let usable = self.usable(worker);
        let slot = &self.slots[worker as usize];
        let free = usable.then(|| slot.free());
        let before = self.index.free(worker).unwrap_or_default();
        self.index
            .set(worker, slot.zone, slot.capacity.accelerators > 0, free);
        if usable && !slot.holds.is_empty() {
            self.changed_workers.push(worker);
        }
        let Some(free) = free else {
            return;
        };
        if !free.fits_in(&before) {
            self.capacity_freed = true;
            self.no_room.retain(|size| !size.fits_in(&free));
        }
    }

    /// Takes over the workers of a policy; returns the zones that came back.
    pub(super) fn configure<'a>(
        &mut self,
        policy: &Policy,
        listed: impl Iterator<Item = &'a Worker>,
    ) {
        for slot in &mut self.slots {
            slot.listed = false;
        }
        let mut listed: Vec<&Worker> = listed.collect();
        listed.sort_by(|one, other| one.host.cmp(&other.host));
        for worker in listed {
            self.list(worker);
        }
        for zone in &mut self.zones {
            zone.out = policy.zones_out.contains(&zone.id);
        }
    }

    /// Forgets sizes that found no room and brings the whole index up to date.
    pub(super) fn refresh_all(&mut self) {
        self.no_room.clear();
        self.capacity_freed = true;
        for worker in self.workers() {
            self.refresh(worker);
        }
    }

    /// Returns the place of a worker, listing it if need be.
    fn list(&mut self, worker: &Worker) {
        let zone = self.zone_ix(&worker.zone);
        let rack = self.rack_ix(&worker.rack);
        let at = if let Some(at) = self.by_host.get(&worker.host) {
            *at
        } else {
            self.add(worker.host.clone(), zone, rack)
        };
        let slot = &mut self.slots[at as usize];
        slot.listed = true;
        slot.capacity = worker.capacity;
        slot.zone = zone;
        slot.rack = rack;
    }

    fn add(&mut self, host: HostId, zone: ZoneIx, rack: usize) -> WorkerIx {
        let at = WorkerIx::try_from(self.slots.len()).unwrap_or(WorkerIx::MAX);
        self.by_host.insert(host.clone(), at);
        self.slots.push(Slot {
            host,
            capacity: Resources::ZERO,
            zone,
            rack,
            listed: false,
            reported_all: false,
            settled: false,
            usable_from: Millis::ZERO,
            reserved: Resources::ZERO,
            holds: Vec::new(),
            leases: BTreeMap::new(),
            health: Health::default(),
            last_report: (0, 0),
        });
        at
    }

    fn zone_ix(&mut self, id: &ZoneId) -> ZoneIx {
        let found = self.zones.iter().position(|zone| zone.id == *id);
        found.unwrap_or_else(|| {
            self.zones.push(Zone {
                id: id.clone(),
                out: false,
            });
            self.zones.len() - 1
        })
    }

    fn rack_ix(&mut self, id: &RackId) -> usize {
        let found = self.racks.iter().position(|rack| rack == id);
        found.unwrap_or_else(|| {
            self.racks.push(id.clone());
            self.racks.len() - 1
        })
    }

    /// Returns whether a search for `size` is known to find nothing.
    pub(super) fn full_for(&self, size: &Resources) -> bool {
        self.no_room.iter().any(|known| known.fits_in(size))
    }

    /// Returns the worker that suits best, or `None` when none has room.
    pub(super) fn choose(&mut self, query: &PlacementQuery<'_>) -> Option<WorkerIx> {
        if self.full_for(&query.size) {
            return None;
        }
        let found = match query.spread {
            Some(spread) => self.choose_spread(query, spread),
            None => self.choose_packed(query),
        };
        if found.is_none() {
            self.record_no_room(query.size);
        }
        found
    }

    fn record_no_room(&mut self, size: Resources) {
        self.no_room.retain(|known| !size.fits_in(known));
        if self.no_room.len() < MAX_NO_ROOM_SIZES {
            self.no_room.push(size);
        }
    }

    /// Takes the fullest worker of any zone.
    fn choose_packed(&self, query: &PlacementQuery<'_>) -> Option<WorkerIx> {
        let mut best: Option<(u64, WorkerIx)> = None;
        for (zone, state) in self.zones.iter().enumerate() {
            if state.out {
                continue;
            }
            self.index.search(zone, &query.size, |worker, free| {
                let score = self.score(worker, free, query);
                if best.is_none_or(|best| (score, worker) < best) {
                    best = Some((score, worker));
                }
            });
        }
        best.map(|(_, worker)| worker)
    }

    /// Takes the zone, then the rack, that carries the fewest tasks of the job.
    fn choose_spread(&self, query: &PlacementQuery<'_>, spread: &Spread) -> Option<WorkerIx> {
        let mut zones: Vec<ZoneIx> = (0..self.zones.len())
            .filter(|zone| !self.zones[*zone].out)
            .collect();
        zones.sort_by_key(|zone| (spread.zone(*zone), *zone));
        for zone in zones {
            let mut best: Option<(u32, u64, WorkerIx)> = None;
            self.index.search(zone, &query.size, |worker, free| {
                let rack = spread.rack(self.slot(worker).rack);
                let order = (rack, self.score(worker, free, query), worker);
                if best.is_none_or(|best| order < best) {
                    best = Some(order);
                }
            });
            if let Some((_, _, worker)) = best {
                return Some(worker);
            }
        }
        None
    }

    /// Ranks a worker: what would be left, and how unevenly, in thousandths of its capacity.
    fn score(&self, worker: WorkerIx, free: &Resources, query: &PlacementQuery<'_>) -> u64 {
        const AVOID_PENALTY: u64 = 1_000_000;
        const ACCELERATOR_PENALTY: u64 = 100_000;
        let slot = self.slot(worker);
        let left = free.saturating_sub(&query.size);
        let cpu = left.cpu * 1_000 / slot.capacity.cpu.max(1);
        let memory = left.memory * 1_000 / slot.capacity.memory.max(1);
        let mut score = cpu + memory + 2 * cpu.abs_diff(memory);
        if query.avoid.contains(&worker) {
            score += AVOID_PENALTY;
        }
        if query.size.accelerators == 0 && slot.capacity.accelerators > 0 {
            score += ACCELERATOR_PENALTY;
        }
        score
    }

    /// Keeps capacity of a worker for a job.
    pub(super) fn hold(&mut self, worker: WorkerIx, hold: Hold) {
        self.slot_mut(worker).holds.push(hold);
        self.refresh(worker);
    }

    /// Gives back the oldest hold of a job on a worker.
    pub(super) fn release_hold(&mut self, worker: WorkerIx, job: JobId) {
        let slot = self.slot_mut(worker);
        if let Some(index) = slot.holds.iter().position(|hold| hold.job == job) {
            slot.holds.remove(index);
            self.refresh(worker);
        }
    }

    /// Returns how many holds of a job on a worker are covered by what is not reserved, counting
    /// older holds first.
    pub(super) fn covered_holds(&self, worker: WorkerIx, job: JobId) -> u32 {
        if !self.usable(worker) {
            return 0;
        }
        let slot = self.slot(worker);
        let mut free = slot.unreserved();
        let mut covered = 0;
        for hold in &slot.holds {
            let Some(left) = free.checked_sub(&hold.size) else {
                if hold.job == job {
                    return covered;
                }
                free = free.saturating_sub(&hold.size);
                continue;
            };
            free = left;
            covered += u32::from(hold.job == job);
        }
        covered
    }

    /// Reserves for a lease.
    pub(super) fn reserve(&mut self, worker: WorkerIx, task: TaskId, lease: Lease) {
        let slot = self.slot_mut(worker);
        slot.reserved += lease.size;
        if let Some(old) = slot.leases.insert(task, lease) {
            slot.reserved = slot.reserved.saturating_sub(&old.size);
        }
        self.refresh(worker);
    }

    /// Frees the reservation of a task.
    pub(super) fn release(&mut self, worker: WorkerIx, task: TaskId) -> Option<Lease> {
        let slot = self.slot_mut(worker);
        let lease = slot.leases.remove(&task)?;
        slot.reserved = slot.reserved.saturating_sub(&lease.size);
        self.refresh(worker);
        Some(lease)
    }

    /// Returns the capacity of listed workers that may run what is not known.
    pub(super) fn unsettled(&self) -> Resources {
        self.slots
            .iter()
            .filter(|slot| slot.listed && !slot.settled)
            .fold(Resources::ZERO, |sum, slot| {
                sum.saturating_add(&slot.capacity)
            })
    }
}
