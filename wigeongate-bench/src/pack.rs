//! How much work is packed on a full fleet, against packing it anew offline.

use bpaf::Bpaf;
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Scheduler, SchedulerSettings};
use wigeongate_core::time::Millis;

use crate::baseline::{Baseline, Choice};
use crate::fleet::{self, FleetSettings};
use crate::sim::{Decider, Plan, Sim, ratio};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct PackOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the fleet.
    #[bpaf(fallback(100))]
    workers: u32,
    /// Seconds of simulated time.
    #[bpaf(fallback(120))]
    seconds: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    workers: u32,
    packed: f64,
    worst: f64,
    first_fit: f64,
    random_fit: f64,
}

/// Seconds before the first sample.
const WARM_UP: u64 = 30;

/// Tasks that wait, for each worker.
const BACKLOG: u32 = 8;

/// Measures and prints the figures.
pub fn run(options: &PackOptions) -> Result<()> {
    let settings = SchedulerSettings {
        seed: options.seed,
        ..SchedulerSettings::default()
    };
    let scheduler = measure(options, Box::new(Scheduler::new(settings)));
    let first = measure(
        options,
        Box::new(Baseline::new(Choice::First, options.seed)),
    );
    let random = measure(
        options,
        Box::new(Baseline::new(Choice::Random, options.seed)),
    );
    let figures = Figures {
        bench: "pack",
        seed: options.seed,
        workers: options.workers,
        packed: scheduler.0,
        worst: scheduler.1,
        first_fit: first.0,
        random_fit: random.0,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

/// Returns the mean and the worst of accepted work as a part of the bound.
fn measure(options: &PackOptions, decider: Box<dyn Decider>) -> (f64, f64) {
    let settings = FleetSettings {
        workers: options.workers,
        teams: 6,
        ..FleetSettings::default()
    };
    let policy = fleet::policy(&settings);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut sim = Sim::new(policy.clone(), decider);
    let mut next = 0;
    let mut samples = Vec::new();
    let backlog = BACKLOG * options.workers;
    for second in 0..options.seconds {
        while sim.waiting() < backlog {
            next += 1;
            submit(&mut sim, &mut rng, next);
        }
        for _ in 0..20 {
            sim.step();
        }
        if second >= WARM_UP && second.is_multiple_of(5) {
            samples.push(sample(&sim, &policy, &settings.capacity));
        }
    }
    let worst = samples.iter().copied().fold(f64::INFINITY, f64::min);
    let count = u32::try_from(samples.len()).unwrap_or(1);
    (samples.iter().sum::<f64>() / f64::from(count), worst)
}

/// Submits a job of a drawn shape whose declared size is up to four times off.
fn submit(sim: &mut Sim, rng: &mut SmallRng, next: u64) {
    let gib = 1_024;
    let shape = rng.random_range(0..100);
    let (cpu, memory, accelerators, tasks, kind) = match shape {
        0..50 => (
            rng.random_range(2..16) * 250,
            rng.random_range(1..8) * gib,
            0,
            1,
            Kind::Batch,
        ),
        50..70 => (
            rng.random_range(1..4) * 1_000,
            rng.random_range(8..32) * gib,
            0,
            1,
            Kind::Batch,
        ),
        70..85 => (
            rng.random_range(8..24) * 1_000,
            rng.random_range(8..48) * gib,
            0,
            1,
            Kind::Batch,
        ),
        85..92 => (
            rng.random_range(32..56) * 1_000,
            rng.random_range(32..96) * gib,
            0,
            1,
            Kind::Batch,
        ),
        92..97 => (
            rng.random_range(2..8) * 1_000,
            8 * gib,
            rng.random_range(1..4),
            1,
            Kind::Batch,
        ),
        _ => (4_000, 8 * gib, 0, rng.random_range(2..8), Kind::Gang),
    };
    let off = rng.random_range(25..=400);
    let declared = Resources {
        cpu: cpu * off / 100,
        memory: memory * off / 100,
        accelerators,
    };
    let spec = JobSpec {
        tasks,
        size: Resources {
            accelerators,
            ..declared.min(&FleetSettings::default().capacity)
        },
        ..JobSpec::default()
    };
    let plan = Plan {
        run: Some(Millis(rng.random_range(5_000..60_000))),
        usage: cpu * 100 / spec.size.cpu.max(1),
        ..Plan::default()
    };
    let team = fleet::team(rng.random_range(0..6));
    sim.submit(fleet::job(next, team, kind, spec), plan);
}

/// Returns what runs as a part of what best-fit-decreasing packs of all that runs or waits.
fn sample(sim: &Sim, policy: &Policy, most: &Resources) -> f64 {
    let whole: Resources = policy.workers.values().map(|worker| worker.capacity).sum();
    let mut sizes: Vec<Resources> = sim
        .running
        .values()
        .map(|played| played.start.size)
        .collect();
    let packed: f64 = sizes.iter().map(|size| worth(size, &whole)).sum();
    for (id, count) in &sim.queued {
        if let Some(job) = sim.jobs.get(id) {
            let size = sim.known_size(job, most);
            sizes.extend((0..*count).map(|_| size));
        }
    }
    ratio(packed, bound(sizes, policy, &whole))
}

/// Packs sizes in falling order, each where the least is left, and returns what was packed.
fn bound(mut sizes: Vec<Resources>, policy: &Policy, whole: &Resources) -> f64 {
    let mut free: Vec<Resources> = policy
        .workers
        .values()
        .map(|worker| worker.capacity)
        .collect();
    sizes.sort_by(|one, other| worth(other, whole).total_cmp(&worth(one, whole)));
    let mut packed = 0.0;
    for size in sizes {
        let best = free
            .iter_mut()
            .filter(|free| size.fits_in(free))
            .min_by(|one, other| worth(one, whole).total_cmp(&worth(other, whole)));
        if let Some(best) = best {
            *best = best.saturating_sub(&size);
            packed += worth(&size, whole);
        }
    }
    packed
}

/// Returns the parts of the fleet's processors and memory that a size takes, added.
#[allow(clippy::cast_precision_loss)]
fn worth(size: &Resources, whole: &Resources) -> f64 {
    let part = |amount: u64, whole: u64| ratio(amount as f64, whole as f64);
    part(size.cpu, whole.cpu) + part(size.memory, whole.memory)
}
