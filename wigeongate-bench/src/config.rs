//! The time from an operator's change to its being in force in every gate.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_config::change::Change;

use crate::members::{Fleet, Member, at_rank};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct ConfigOptions {
    /// Gates.
    #[bpaf(fallback(9))]
    gates: usize,
    /// Changes.
    #[bpaf(fallback(100))]
    changes: usize,
    /// The seed of the gates that are asked and of the pauses between the changes.
    #[bpaf(fallback(1))]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    gates: usize,
    changes: usize,
    in_force_ms_p50: f64,
    in_force_ms_p99: f64,
    known_ms_p50: f64,
    known_ms_p99: f64,
}

/// Runs the benchmark.
pub fn run(options: &ConfigOptions) -> Result<()> {
    crate::site::runtime("config", 4)?.block_on(measure(options))
}

async fn measure(options: &ConfigOptions) -> Result<()> {
    let fleet = Fleet::start(options.gates, 6_000).await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let (mut in_force, mut known) = (Vec::new(), Vec::new());
    for round in 0..options.changes {
        let asked = random.random_range(0..options.gates);
        let asked: &Member = fleet.gates[asked]
            .as_ref()
            .ok_or_else(|| eyre!("every gate is there"))?;
        let change = if round % 2 == 0 {
            Change::Pause
        } else {
            Change::Resume
        };
        let begun = Instant::now();
        let revision = asked.configurations.change(change, None).await?;
        let has = |gate: &Member| gate.configurations.live().configuration.revision >= revision;
        fleet.wait_until(|fleet| fleet.present().all(has)).await?;
        in_force.push(begun.elapsed().as_secs_f64() * 1e3);
        fleet
            .wait_until(|_| asked.members.in_force(revision))
            .await?;
        known.push(begun.elapsed().as_secs_f64() * 1e3);
        let pause = random.random_range(0..100);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    in_force.sort_by(f64::total_cmp);
    known.sort_by(f64::total_cmp);
    let report = Report {
        bench: "config",
        seed: options.seed,
        gates: options.gates,
        changes: options.changes,
        in_force_ms_p50: at_rank(&in_force, 0.5),
        in_force_ms_p99: at_rank(&in_force, 0.99),
        known_ms_p50: at_rank(&known, 0.5),
        known_ms_p99: at_rank(&known, 0.99),
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
