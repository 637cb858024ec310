//! Selection of the pool that a job is placed in.

use crate::ids::{PoolId, TeamId};
use crate::job::{JobSpec, Kind};
use crate::policy::Policy;
use crate::resources::Resources;

/// Parts per million in the whole.
const PPM: u128 = 1_000_000;

/// State of a pool, as far as the selection needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolView {
    /// Name of the pool.
    pub pool: PoolId,
    /// Total capacity of the usable workers.
    pub capacity: Resources,
    /// Capacity of each usable worker.
    pub workers: Vec<Resources>,
    /// Capacity that is not reserved, as last reported.
    pub free: Resources,
    /// Number of tasks that wait in the pool, as last reported.
    pub queued: u64,
    /// Resources that the team may have running in the pool.
    pub slice: Resources,
    /// Resources that the team has running in the pool, as last reported.
    pub running: Resources,
}

/// Job that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Specification of the job.
    pub spec: &'a JobSpec,
    /// Kind of the job's queue.
    pub kind: Kind,
}

/// Reason why no pool can take a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum NoPool {
    /// No pool has an owner.
    #[display("no pool has an owner")]
    NoOwner,
}

/// Suitability of a pool for a job; the greatest score is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Whether the job can run in the pool at all.
    fits: bool,
    /// Whether the team's slice has room for a first start: one task, or all tasks of a gang.
    in_slice: bool,
    /// Whether the job can start immediately.
    starts_now: bool,
    /// Part of the scarcer resource that stays free, in millionths, divided by one more than the
    /// number of waiting tasks.
    free_ppm: u128,
}

/// Returns the pools in the order in which a job should be offered to them, or [`NoPool`] when
/// `pools` is empty.
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

/// Returns the best pool that could immediately start a job that waits in `from`.
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

/// Returns the capacity of each usable worker of a pool.
pub fn worker_capacities(policy: &Policy, pool: &PoolId) -> Vec<Resources> {
    let usable = policy
        .workers
        .values()
        .filter(|worker| worker.pool == *pool && !policy.zones_out.contains(&worker.zone));
    usable.map(|worker| worker.capacity).collect()
}

/// Returns the resources that a team has running, according to `usage`.
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

/// Returns whether empty workers could hold `count` tasks of a size at the same time.
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

/// Returns how many tasks of a size an empty worker could hold.
fn tasks_per_worker(size: &Resources, worker: &Resources) -> u64 {
    let per = |amount: u64, one: u64| amount.checked_div(one).unwrap_or(u64::MAX);
    per(worker.cpu, size.cpu)
        .min(per(worker.memory, size.memory))
        .min(per(worker.accelerators, size.accelerators))
}

/// Returns the free part of the scarcer of processor and memory, in millionths.
fn free_ppm(free: &Resources, capacity: &Resources) -> u128 {
    let part = |free: u64, whole: u64| {
        (u128::from(free) * PPM)
            .checked_div(u128::from(whole))
            .unwrap_or(PPM)
    };
    part(free.cpu, capacity.cpu).min(part(free.memory, capacity.memory))
}
