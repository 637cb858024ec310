//! How much of the time units can be acted on while the store is down, against while it is up.
//!
//! The gates are memberships in one process; a step of work is one unit at one moment at which
//! exactly one gate may act on it, and a violation is one at which several may.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_standin::store::Fault;

use crate::members::Fleet;

/// The longest time between two looks at all units, in milliseconds.
const LOOK_MS: u64 = 20;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct OutageOptions {
    /// Gates.
    #[bpaf(fallback(6))]
    gates: usize,
    /// How long the store is up and then down, in seconds.
    #[bpaf(fallback(60))]
    secs: u64,
    /// The ownership lease, in milliseconds.
    #[bpaf(fallback(6_000))]
    lease: u64,
    /// The seed of the moments at which the units are looked at.
    #[bpaf(fallback(1))]
    seed: u64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Done {
    steps: u64,
    looks: u64,
    violations: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    gates: usize,
    secs: u64,
    up: f64,
    down: f64,
    after: f64,
    ratio: f64,
    violations: u64,
}

/// Runs the benchmark.
pub fn run(options: &OutageOptions) -> Result<()> {
    crate::site::runtime("outage", 4)?.block_on(measure(options))
}

async fn measure(options: &OutageOptions) -> Result<()> {
    let fleet = Fleet::start(options.gates, options.lease).await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let span = Duration::from_secs(options.secs);
    let up = watch(&fleet, span, &mut random).await;
    fleet.store.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let down = watch(&fleet, span, &mut random).await;
    fleet.store.set_fault(Fault::default());
    let after = watch(
        &fleet,
        Duration::from_millis(options.lease * 2),
        &mut random,
    )
    .await;
    let share = |done: Done| done.steps as f64 / done.looks.max(1) as f64;
    let report = Report {
        bench: "outage",
        seed: options.seed,
        gates: options.gates,
        secs: options.secs,
        up: share(up),
        down: share(down),
        after: share(after),
        ratio: share(down) / share(up),
        violations: up.violations + down.violations + after.violations,
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

async fn watch(fleet: &Fleet, span: Duration, random: &mut StdRng) -> Done {
    let begun = Instant::now();
    let mut done = Done::default();
    while begun.elapsed() < span {
        for unit in &fleet.units {
            let actors = fleet.actors(unit);
            done.looks += 1;
            done.steps += u64::from(actors == 1);
            done.violations += u64::from(actors > 1);
        }
        let pause = random.random_range(0..LOOK_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    done
}
