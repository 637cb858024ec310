//! The time from the crash of a gate until the others may act on all of its units.
//!
//! The gates are memberships in one process and the crash is the end of all their tasks.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::ids::Unit;

use crate::members::{Fleet, at_rank};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct TakeoverOptions {
    /// Gates.
    #[bpaf(fallback(6))]
    gates: usize,
    /// Crashes; a new gate joins after each.
    #[bpaf(fallback(3))]
    crashes: usize,
    /// The ownership lease, in milliseconds.
    #[bpaf(fallback(6_000))]
    lease: u64,
    /// The seed of the gates that crash and of when.
    #[bpaf(fallback(1))]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    gates: usize,
    crashes: usize,
    lease_ms: u64,
    first_ms_p50: f64,
    all_ms_p50: f64,
    all_ms_max: f64,
    within_target: bool,
}

/// The time above the lease that a takeover may take, in milliseconds.
const TARGET_EXTRA_MS: f64 = 2_000.0;

/// Runs the benchmark.
pub fn run(options: &TakeoverOptions) -> Result<()> {
    crate::site::runtime("takeover", 4)?.block_on(measure(options))
}

async fn measure(options: &TakeoverOptions) -> Result<()> {
    let mut fleet = Fleet::start(options.gates, options.lease).await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let (mut first, mut all) = (Vec::new(), Vec::new());
    for _ in 0..options.crashes {
        let pause = random.random_range(0..options.lease / 3);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let crashing = random.random_range(0..options.gates);
        let gone = fleet.gates[crashing].take();
        let gone = gone.ok_or_else(|| eyre!("every gate is there"))?;
        let view = wigeongate::cluster::Cluster::view(gone.members.as_ref());
        let units: Vec<Unit> = view.owned.keys().cloned().collect();
        let begun = Instant::now();
        gone.members.abort();
        let owned = |fleet: &Fleet, unit: &Unit| fleet.actors(unit) == 1;
        fleet
            .wait_until(|f| units.iter().any(|unit| owned(f, unit)))
            .await?;
        first.push(begun.elapsed().as_secs_f64() * 1e3);
        fleet
            .wait_until(|f| units.iter().all(|unit| owned(f, unit)))
            .await?;
        all.push(begun.elapsed().as_secs_f64() * 1e3);
        let joined = fleet.join()?;
        fleet.gates[crashing] = Some(joined);
        fleet.wait_until(Fleet::is_settled).await?;
    }
    first.sort_by(f64::total_cmp);
    all.sort_by(f64::total_cmp);
    let slowest = at_rank(&all, 1.0);
    let report = Report {
        bench: "takeover",
        seed: options.seed,
        gates: options.gates,
        crashes: options.crashes,
        lease_ms: options.lease,
        first_ms_p50: at_rank(&first, 0.5),
        all_ms_p50: at_rank(&all, 0.5),
        all_ms_max: slowest,
        within_target: slowest <= options.lease as f64 + TARGET_EXTRA_MS,
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
