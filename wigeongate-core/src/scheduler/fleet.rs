//! The workers of the pool: what is reserved on each, and which of them accept work.

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

/// The most sizes without room that are remembered.
const MAX_NO_ROOM_SIZES: usize = 32;

/// Why a task was ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopCause {
    /// Its job has ended, or its attempt is not the current one.
    Ended,
    /// It is preempted to make room for other work.
    Preempted,
    /// It is moved to another worker.
    Moved,
    /// It uses more resources than were reserved.
    OverUsage,
    /// Its gang has lost another task, so the whole gang starts again.
    GangBroken,
}

/// An order to a task to stop that it has not followed yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopRequest {
    /// Why the task has to stop.
    pub(super) cause: StopCause,
    /// When the task was first ordered to stop.
    pub(super) since: Millis,
    /// Whether the task was ordered to stop at once, without a checkpoint.
    pub(super) immediate: bool,
}

/// The reservation of one attempt of a task on a worker.
///
/// Invariant: it stays until the worker reports that the attempt ended, or until its task lease has
/// run out.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    /// Number of the attempt.
    pub(super) attempt: Attempt,
    /// Resources that are reserved.
    pub(super) size: Resources,
    /// The team of the job, if the job is known.
    pub(super) team: Option<TeamIx>,
    /// Kind of the job.
    pub(super) kind: Kind,
    /// Whether the job is urgent.
    pub(super) urgent: bool,
    /// Number of the start order; zero when the attempt was found in a worker's report.
    pub(super) order: u64,
    /// When the start was ordered or the attempt was found.
    pub(super) since: Millis,
    /// The order to stop the task, if one was given.
    pub(super) stopping: Option<StopRequest>,
    /// Whether the task was ordered to run slower.
    pub(super) throttled: bool,
}

/// Capacity of a worker that is kept for one task of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// Job that the capacity is kept for.
    pub(super) job: JobId,
    /// Resources that are kept.
    pub(super) size: Resources,
}

/// The state of one worker.
#[derive(Debug)]
pub(super) struct Slot {
    /// Name of the worker's host.
    pub(super) host: HostId,
    /// Resources that the worker offers to tasks.
    pub(super) capacity: Resources,
    /// Availability zone of the worker.
    pub(super) zone: ZoneIx,
    /// Rack of the worker, as an index into the fleet's racks.
    pub(super) rack: usize,
    /// Whether the inventory lists the worker in this pool.
    pub(super) listed: bool,
    /// Whether the worker has reported every task that it runs.
    pub(super) reported_all: bool,
    /// Whether, since this owner took over the pool, the worker has reported every task that it
    /// runs or the leases of all tasks that might run there have run out.
    pub(super) settled: bool,
    /// When the worker accepts work again after its zone came back; zero at other times.
    pub(super) usable_from: Millis,
    /// Invariant: the sum of the sizes of `leases`.
    pub(super) reserved: Resources,
    /// Capacity that is kept for jobs, the oldest hold first.
    pub(super) holds: Vec<Hold>,
    /// Reservations of the tasks that run or may run on the worker.
    pub(super) leases: BTreeMap<TaskId, Lease>,
    /// Failures of tasks on the worker, and whether it accepts work in spite of them.
    pub(super) health: Health,
    /// Incarnation and sequence number of the newest report.
    pub(super) last_report: (u64, u64),
}

impl Slot {
    /// Returns the resources that are neither reserved nor held.
    pub(super) fn free(&self) -> Resources {
        self.holds.iter().fold(self.unreserved(), |free, hold| {
            free.saturating_sub(&hold.size)
        })
    }

    /// Returns the resources that are not reserved; they may be held.
    pub(super) fn unreserved(&self) -> Resources {
        self.capacity.saturating_sub(&self.reserved)
    }
}

/// An availability zone.
#[derive(Debug)]
pub(super) struct Zone {
    /// Name of the zone.
    pub(super) id: ZoneId,
    /// Whether operators took the zone out of use.
    pub(super) out: bool,
}

/// The criteria of a search for a worker for one task.
#[derive(Debug)]
pub(super) struct PlacementQuery<'a> {
    /// Resources that the task reserves.
    pub(super) size: Resources,
    /// Number of tasks of the service in each zone and rack; `None` for jobs of other kinds.
    pub(super) spread: Option<&'a Spread>,
    /// Workers to choose only when no other has room.
    pub(super) avoid: &'a [WorkerIx],
}

/// The number of tasks of a job in each zone and rack.
#[derive(Debug, Default)]
pub(super) struct Spread {
    zones: BTreeMap<ZoneIx, u32>,
    racks: BTreeMap<usize, u32>,
}

impl Spread {
    /// Adds a task on a worker to the counts.
    pub(super) fn add(&mut self, slot: &Slot) {
        *self.zones.entry(slot.zone).or_default() += 1;
        *self.racks.entry(slot.rack).or_default() += 1;
    }

    /// Removes a task on a worker from the counts.
    pub(super) fn sub(&mut self, slot: &Slot) {
        if let Some(count) = self.zones.get_mut(&slot.zone) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.racks.get_mut(&slot.rack) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of tasks in a zone.
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
    /// Every worker that the inventory has ever listed, by [`WorkerIx`].
    pub(super) slots: Vec<Slot>,
    /// Every zone that the inventory has ever listed, by [`ZoneIx`].
    pub(super) zones: Vec<Zone>,
    racks: Vec<RackId>,
    by_host: HashMap<HostId, WorkerIx>,
    index: Index,
    /// Sizes for which no worker had room.
    ///
    /// Invariant: none of them fits on a worker of the index.
    no_room: Vec<Resources>,
    /// Workers with holds that have changed since the last pass, so that claims may start there.
    pub(super) changed_workers: Vec<WorkerIx>,
    /// Whether the free capacity of some worker has grown since the last pass.
    pub(super) capacity_freed: bool,
    /// Time, as of the last event.
    pub(super) now: Millis,
}

impl Fleet {
    /// Returns the index of the worker on a host.
    pub(super) fn find_host(&self, host: &HostId) -> Option<WorkerIx> {
        self.by_host.get(host).copied()
    }

    /// Returns the state of a worker.
    pub(super) fn slot(&self, worker: WorkerIx) -> &Slot {
        &self.slots[worker as usize]
    }

    /// Returns the state of a worker for a change; the caller has to call [`Fleet::refresh`] after
    /// it.
    pub(super) fn slot_mut(&mut self, worker: WorkerIx) -> &mut Slot {
        &mut self.slots[worker as usize]
    }

    /// Returns the indexes of all workers.
    pub(super) fn workers(&self) -> impl Iterator<Item = WorkerIx> + use<> {
        0..WorkerIx::try_from(self.slots.len()).unwrap_or(WorkerIx::MAX)
    }

    /// Returns whether a worker accepts work at this time.
    pub(super) fn usable(&self, worker: WorkerIx) -> bool {
        let slot = self.slot(worker);
        slot.listed
            && slot.reported_all
            && slot.usable_from <= self.now
            && !self.zones[slot.zone].out
            && slot.health.accepts_work(!slot.leases.is_empty())
    }

    /// Updates the index after a change of a worker.
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

    /// Applies the workers of a policy and the zones that it takes out.
    ///
    /// New workers get their indexes in the order of their hosts, so that the same events give the
    /// same indexes.
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

    /// Forgets the sizes that found no room and updates the index for every worker.
    pub(super) fn refresh_all(&mut self) {
        self.no_room.clear();
        self.capacity_freed = true;
        for worker in self.workers() {
            self.refresh(worker);
        }
    }

    /// Marks a worker as listed and applies its inventory entry; adds the worker if it is new.
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

    /// Returns whether an earlier search has shown that no worker has room for `size`.
    pub(super) fn full_for(&self, size: &Resources) -> bool {
        self.no_room.iter().any(|known| known.fits_in(size))
    }

    /// Returns the best worker for a task, or `None` when no worker has room.
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

    /// Remembers that no worker has room for a size, in place of the larger sizes that this
    /// implies.
    fn record_no_room(&mut self, size: Resources) {
        self.no_room.retain(|known| !size.fits_in(known));
        if self.no_room.len() < MAX_NO_ROOM_SIZES {
            self.no_room.push(size);
        }
    }

    /// Returns the worker with the best score in any zone that is not out, which packs workers
    /// tightly.
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

    /// Returns a worker in the zone, then the rack, with the fewest tasks of the job.
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

    /// Returns the score of a worker, where the lowest is the best.
    ///
    /// It is the processors and memory that would be left free, plus twice their difference, each
    /// in thousandths of the worker's capacity. Penalties put workers to avoid behind all others,
    /// and keep tasks without accelerators off workers that have some.
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

    /// Adds a hold to a worker.
    pub(super) fn hold(&mut self, worker: WorkerIx, hold: Hold) {
        self.slot_mut(worker).holds.push(hold);
        self.refresh(worker);
    }

    /// Removes the oldest hold of a job from a worker.
    pub(super) fn release_hold(&mut self, worker: WorkerIx, job: JobId) {
        let slot = self.slot_mut(worker);
        if let Some(index) = slot.holds.iter().position(|hold| hold.job == job) {
            slot.holds.remove(index);
            self.refresh(worker);
        }
    }

    /// Returns how many holds of a job on a worker are covered by unreserved capacity.
    ///
    /// Older holds are covered first; a worker that accepts no work covers none.
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

    /// Adds the reservation of a task, in place of an earlier one of the same task.
    pub(super) fn reserve(&mut self, worker: WorkerIx, task: TaskId, lease: Lease) {
        let slot = self.slot_mut(worker);
        slot.reserved += lease.size;
        if let Some(old) = slot.leases.insert(task, lease) {
            slot.reserved = slot.reserved.saturating_sub(&old.size);
        }
        self.refresh(worker);
    }

    /// Removes the reservation of a task and returns it.
    pub(super) fn release(&mut self, worker: WorkerIx, task: TaskId) -> Option<Lease> {
        let slot = self.slot_mut(worker);
        let lease = slot.leases.remove(&task)?;
        slot.reserved = slot.reserved.saturating_sub(&lease.size);
        self.refresh(worker);
        Some(lease)
    }

    /// Returns the capacity of the listed workers that may run tasks which are not known.
    pub(super) fn unsettled(&self) -> Resources {
        self.slots
            .iter()
            .filter(|slot| slot.listed && !slot.settled)
            .fold(Resources::ZERO, |sum, slot| {
                sum.saturating_add(&slot.capacity)
            })
    }
}
