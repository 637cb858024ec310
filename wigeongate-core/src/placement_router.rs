//! Choice of the pool that takes a job.

use crate::ids::{PoolId, TeamId};
use crate::job::{JobSpec, Kind};
use crate::policy::Policy;
use crate::resources::Resources;

/// One million: parts in the whole.
const PPM: u128 = 1_000_000;

/// A pool as the choice sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolView {
    /// The pool.
    pub pool: PoolId,
    /// What its usable workers carry.
    pub capacity: Resources,
    /// The capacity of its usable workers, one by one.
    pub workers: Vec<Resources>,
    /// What of its capacity is not reserved, as last heard.
    pub free: Resources,
    /// Tasks that wait there, as last heard.
    pub queued: u64,
    /// What the team may have running there.
    pub slice: Resources,
    /// What the team has running there, as last heard.
    pub running: Resources,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// The kind of its queue.
    pub kind: Kind,
}

/// Why no pool can take a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum NoPool {
    /// No pool has an owner.
    #[display("no pool has an owner")]
    NoOwner,
}

/// How good a pool is, best first when compared in reverse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Whether the job can run there at all.
    fits: bool,
    /// Whether the team's slice has room for a first start.
    in_slice: bool,
    /// Whether it can start at once.
    starts_now: bool,
    /// The part of the tightest resource that stays free, in millionths.
    free_ppm: u128,
}

/// Returns the pools in the order in which a job should be offered to them.
pub fn rank(wanted: PlacementRequest<'_>, pools: &[PoolView]) -> Result<Vec<PoolId>, NoPool> {
    let mut ranked: Vec<(Score, &PoolView)> = pools
        .iter()
        .map(|pool| (score(wanted, pool), pool))
        .collect();
    ranked.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| left.pool.cmp(&right.pool)));
    if ranked.is_empty() {
        return Err(NoPool::NoOwner);
    }
    Ok(ranked
        .into_iter()
        .map(|(_, pool)| pool.pool.clone())
        .collect())
}

/// Returns a pool that could start a job at once which waits in `from`, if there is one.
pub fn better_pool(
    wanted: PlacementRequest<'_>,
    from: &PoolId,
    pools: &[PoolView],
) -> Option<PoolId> {
    let best = pools
        .iter()
        .filter(|pool| pool.pool != *from && pool.queued == 0)
        .map(|pool| (score(wanted, pool), pool))
        .filter(|(score, _)| score.fits && score.in_slice && score.starts_now)
        .max_by(|(a, left), (b, right)| a.cmp(b).then_with(|| right.pool.cmp(&left.pool)));
    best.map(|(_, pool)| pool.pool.clone())
}

/// Returns what the usable workers of a pool can carry, one by one.
pub fn worker_capacities(policy: &Policy, pool: &PoolId) -> Vec<Resources> {
    let usable = policy
        .workers
        .values()
        .filter(|worker| worker.pool == *pool && !policy.zones_out.contains(&worker.zone));
    usable.map(|worker| worker.capacity).collect()
}

/// Returns what a team has running among the usage given.
pub fn usage_of<'a>(
    team: &TeamId,
    mut usage: impl Iterator<Item = (&'a TeamId, Resources)>,
) -> Resources {
    usage
        .find(|(name, _)| *name == team)
        .map_or(Resources::ZERO, |(_, running)| running)
}

fn score(wanted: PlacementRequest<'_>, pool: &PoolView) -> Score {
    let PlacementRequest { spec, kind } = wanted;
    let gang = kind == Kind::Gang;
    let together = if gang { spec.tasks.into() } else { 1 };
    let first = spec.size.times(together);
    let all = spec.size.times(spec.tasks.into());
    Score {
        fits: fits_empty(&spec.size, together, &pool.workers),
        in_slice: pool.running.saturating_add(&first).fits_in(&pool.slice),
        starts_now: pool.queued == 0 && first.fits_in(&pool.free),
        free_ppm: free_ppm(&pool.free.saturating_sub(&all), &pool.capacity)
            / u128::from(pool.queued + 1),
    }
}

/// Returns whether empty workers could hold `count` tasks at a time.
fn fits_empty(size: &Resources, count: u64, workers: &[Resources]) -> bool {
    let mut capacity = 0_u64;
    for worker in workers {
        capacity = capacity.saturating_add(tasks_per_worker(size, worker));
        if capacity >= count {
            return true;
        }
    }
    false
}

/// Returns how many tasks of a size a worker could hold.
fn tasks_per_worker(size: &Resources, worker: &Resources) -> u64 {
    let per = |amount: u64, one: u64| amount.checked_div(one).unwrap_or(u64::MAX);
    per(worker.cpu, size.cpu)
        .min(per(worker.memory, size.memory))
        .min(per(worker.accelerators, size.accelerators))
}

/// Returns the part of the tightest resource that is free, in millionths.
fn free_ppm(free: &Resources, capacity: &Resources) -> u128 {
    let part = |free: u64, whole: u64| {
        (u128::from(free) * PPM)
            .checked_div(u128::from(whole))
            .unwrap_or(PPM)
    };
    part(free.cpu, capacity.cpu).min(part(free.memory, capacity.memory))
}
