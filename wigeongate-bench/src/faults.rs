//! Work done while workers fail everything, sizes are off and cancellations come in waves.

use bpaf::Bpaf;
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::ids::JobId;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Scheduler, SchedulerSettings};
use wigeongate_core::time::Millis;

use crate::baseline::{Baseline, Choice};
use crate::fleet::{self, FleetSettings};
use crate::sim::{Decider, Plan, Sim, ratio, seconds};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct FaultsOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the fleet.
    #[bpaf(fallback(100))]
    workers: u32,
    /// Seconds of simulated time.
    #[bpaf(fallback(300))]
    seconds: u64,
    /// One worker in so many fails whatever it starts.
    #[bpaf(fallback(20))]
    failing: u32,
    /// Jobs in one wave of cancellations.
    #[bpaf(fallback(10_000))]
    wave: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    workers: u32,
    healthy: f64,
    faults: f64,
    of_healthy: f64,
    of_healthy_capacity: f64,
    failed_jobs: u64,
    wave_ms: f64,
    first_fit_of_healthy: f64,
}

/// Seconds between two waves of cancellations.
const WAVE_EVERY: u64 = 60;

/// Measures and prints the figures.
pub fn run(options: &FaultsOptions) -> Result<()> {
    let scheduler = || -> Box<dyn Decider> {
        let settings = SchedulerSettings {
            seed: options.seed,
            ..SchedulerSettings::default()
        };
        Box::new(Scheduler::new(settings))
    };
    let first = || Box::new(Baseline::new(Choice::First, options.seed));
    let healthy = measure(options, false, scheduler());
    let faults = measure(options, true, scheduler());
    let first_healthy = measure(options, false, first());
    let first_faults = measure(options, true, first());
    let left = 1.0 - 1.0 / f64::from(options.failing);
    let of_healthy = ratio(faults.cores, healthy.cores);
    let figures = Figures {
        bench: "faults",
        seed: options.seed,
        workers: options.workers,
        healthy: healthy.cores,
        faults: faults.cores,
        of_healthy,
        of_healthy_capacity: of_healthy / left,
        failed_jobs: faults.failed_jobs,
        wave_ms: faults.wave_ms,
        first_fit_of_healthy: ratio(first_faults.cores, first_healthy.cores),
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

struct Done {
    /// Core-seconds of tasks that ended well, for each second.
    cores: f64,
    failed_jobs: u64,
    wave_ms: f64,
}

fn measure(options: &FaultsOptions, faults: bool, decider: Box<dyn Decider>) -> Done {
    let settings = FleetSettings {
        workers: options.workers,
        teams: 6,
        accelerated: 0,
        ..FleetSettings::default()
    };
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut sim = Sim::new(fleet::policy(&settings), decider);
    if faults {
        let failing = |index: &u32| index.is_multiple_of(options.failing);
        sim.failing = (0..options.workers)
            .filter(failing)
            .map(fleet::host)
            .collect();
    }
    let mut next = 0;
    let mut wave_ms: f64 = 0.0;
    for second in 0..options.seconds {
        while sim.waiting() < 500 {
            next += 1;
            submit(&mut sim, &mut rng, next, faults);
        }
        if faults && (second + 1).is_multiple_of(WAVE_EVERY) {
            wave_ms = wave_ms.max(cancel_wave(&mut sim, &mut rng, &mut next, options.wave));
        }
        for _ in 0..20 {
            sim.step();
        }
    }
    Done {
        cores: sim.done / seconds(sim.now),
        failed_jobs: sim.failed_jobs,
        wave_ms,
    }
}

/// Submits many jobs and cancels them at once; returns the milliseconds that it took.
fn cancel_wave(sim: &mut Sim, rng: &mut SmallRng, next: &mut u64, count: u64) -> f64 {
    let first = *next + 1;
    for _ in 0..count {
        *next += 1;
        submit(sim, rng, *next, true);
    }
    let wave: Vec<JobId> = (first..=*next).map(fleet::job_id).collect();
    let began = std::time::Instant::now();
    for job in wave {
        sim.cancel(job);
    }
    began.elapsed().as_secs_f64() * 1e3
}

fn submit(sim: &mut Sim, rng: &mut SmallRng, next: u64, faults: bool) {
    let cpu = rng.random_range(2..=16) * 250;
    let spec = JobSpec {
        size: Resources {
            cpu,
            memory: cpu,
            accelerators: 0,
        },
        ..JobSpec::default()
    };
    let usage = rng.random_range(25..=400);
    let plan = Plan {
        run: Some(Millis(rng.random_range(2_000..30_000))),
        usage: if faults { usage } else { 100 },
        ..Plan::default()
    };
    let team = fleet::team(rng.random_range(0..6));
    sim.submit(fleet::job(next, team, Kind::Batch, spec), plan);
}
