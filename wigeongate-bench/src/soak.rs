//! Requests under faults, and a check of the history of their sends, runs and answers.

mod callers;
mod check;
mod faults;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, bail};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use wigeongate_config::rules::{Class, Queue};
use wigeongate_core::job::Kind;

use self::callers::Gates;
use self::check::{History, Verdict};
use crate::site::{Site, SiteSettings, runtime};

/// What to try.
#[derive(Debug, Clone, Bpaf)]
pub struct SoakOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// How long requests are sent.
    #[bpaf(fallback(10))]
    seconds: u64,
    /// Gates.
    #[bpaf(fallback(3))]
    gates: usize,
    /// Callers.
    #[bpaf(fallback(12))]
    callers: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    seconds: u64,
    gates: usize,
    faults: Vec<String>,
    #[serde(flatten)]
    verdict: Verdict,
}

/// Tries and prints the figures; a broken promise is an error.
pub fn run(options: &SoakOptions) -> Result<()> {
    let callers = runtime("callers", 2)?;
    let parts = runtime("parts", 2)?;
    let settings = SiteSettings {
        gates: options.gates,
        threads: 1,
        backends: 9,
        slots: 4,
        relays: true,
        teams: (1..=3).map(|n| (format!("team-{n}"), 1)).collect(),
        queues: vec![queue("filings", false), queue("checks", true)],
        lease_ms: 3_000,
    };
    let figures = callers.block_on(async {
        let site = Site::start(&settings, parts.handle()).await?;
        soak(options, site).await
    })?;
    println!("{}", serde_json::to_string(&figures)?);
    if !figures.verdict.broken.is_empty() {
        bail!("{} promises were broken", figures.verdict.broken.len());
    }
    Ok(())
}

fn queue(name: &str, idempotent: bool) -> Queue {
    Queue {
        name: name.into(),
        kind: Kind::Request,
        class: Class::Normal,
        idempotent,
        deadline_ms: 4_000,
        ..Queue::default()
    }
}

async fn soak(options: &SoakOptions, mut site: Site) -> Result<Figures> {
    let gates = Gates::new(site.gates.iter().map(|gate| gate.address).collect());
    let history = Arc::new(History::default());
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..options.callers {
        let rng = SmallRng::seed_from_u64(options.seed.wrapping_mul(1_000) + number);
        tasks.spawn(callers::call(gates.clone(), history.clone(), rng, until));
    }
    let rng = SmallRng::seed_from_u64(options.seed);
    let faults = faults::inject(&mut site, &gates, rng, until).await?;
    while let Some(done) = tasks.join_next().await {
        done?;
    }
    // What was given up may still run; it ends before its runs are counted.
    let quiet = Instant::now() + Duration::from_secs(10);
    while site.servers.iter().any(|s| s.backend.running() > 0) && Instant::now() < quiet {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = site.servers.iter().flat_map(|s| s.backend.runs());
    let verdict = history.check(runs.collect());
    site.end();
    Ok(Figures {
        bench: "soak",
        seed: options.seed,
        seconds: options.seconds,
        gates: options.gates,
        faults,
        verdict,
    })
}
