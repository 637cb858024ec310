//! What a gate costs its host: processor time, bytes, store calls and memory, by workers and tasks.

mod counted;
mod process;
mod site;

use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, bail};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use self::process::Usage;
use self::site::{Site, SiteSettings};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct ControlOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the gate's pools.
    #[bpaf(fallback(133))]
    workers: u32,
    /// Tasks that run on them.
    #[bpaf(fallback(3_333))]
    tasks: u32,
    /// Tasks that are started a second on top.
    #[bpaf(fallback(8))]
    starts: u32,
    /// How long to measure each size, in seconds.
    #[bpaf(fallback(10))]
    seconds: u64,
    /// Measure only this size, without the slopes.
    single: bool,
}

/// The cost at one size.
#[derive(Debug, Clone, Copy, Serialize)]
struct Cost {
    workers: u32,
    tasks: u32,
    starts: u32,
    /// Hundredths of one core.
    cpu_percent: f64,
    /// Kilobytes a second, both ways, to workers and store.
    kilobytes: f64,
    /// Calls of the store a second, a waiting watch counted as one in all.
    store_calls: f64,
    /// Resident memory in megabytes.
    megabytes: f64,
}

/// What one more worker, task or start a second costs.
#[derive(Debug, Clone, Copy, Serialize)]
struct Slopes {
    cpu_per_worker: f64,
    cpu_per_task: f64,
    cpu_per_start: f64,
    kilobytes_per_worker: f64,
    kilobytes_per_start: f64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    costs: Vec<Cost>,
    slopes: Option<Slopes>,
}

/// Measures and prints the figures.
pub fn run(options: &ControlOptions) -> Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let figures = runtime.block_on(measure(options))?;
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

async fn measure(options: &ControlOptions) -> Result<Figures> {
    let size = |workers, tasks, starts| ControlOptions {
        workers,
        tasks,
        starts,
        ..options.clone()
    };
    let ControlOptions {
        workers,
        tasks,
        starts,
        ..
    } = *options;
    let full = cost(options).await?;
    let mut costs = vec![full];
    let mut slopes = None;
    if !options.single {
        let fewer = cost(&size(workers / 2, tasks, starts)).await?;
        let lighter = cost(&size(workers, tasks / 2, starts)).await?;
        let calmer = cost(&size(workers, tasks, 0)).await?;
        slopes = Some(Slopes {
            cpu_per_worker: per(full.cpu_percent, fewer.cpu_percent, workers - workers / 2),
            cpu_per_task: per(full.cpu_percent, lighter.cpu_percent, tasks - tasks / 2),
            cpu_per_start: per(full.cpu_percent, calmer.cpu_percent, starts),
            kilobytes_per_worker: per(full.kilobytes, fewer.kilobytes, workers - workers / 2),
            kilobytes_per_start: per(full.kilobytes, calmer.kilobytes, starts),
        });
        costs.extend([fewer, lighter, calmer]);
    }
    Ok(Figures {
        bench: "control",
        seed: options.seed,
        costs,
        slopes,
    })
}

fn per(more: f64, less: f64, count: u32) -> f64 {
    (more - less) / f64::from(count.max(1))
}

async fn cost(options: &ControlOptions) -> Result<Cost> {
    let settings = SiteSettings {
        workers: options.workers,
        tasks: options.tasks,
    };
    let site = Site::start(&settings).await?;
    site.fill(options.tasks).await?;
    let before = (Usage::of(site.process())?, site.bytes(), site.store_calls());
    let started = Instant::now();
    let span = Duration::from_secs(options.seconds.max(1));
    while started.elapsed() < span {
        let second = Instant::now();
        if options.starts > 0 {
            site.submit(options.starts, 500).await?;
        }
        sleep(Duration::from_secs(1).saturating_sub(second.elapsed())).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = (Usage::of(site.process())?, site.bytes(), site.store_calls());
    if !site.alive() {
        bail!("the gate has ended");
    }
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    Ok(Cost {
        workers: options.workers,
        tasks: options.tasks,
        starts: options.starts,
        cpu_percent: after.0.cpu.saturating_sub(before.0.cpu).as_secs_f64() / seconds * 100.0,
        kilobytes: rate(before.1, after.1) / 1_000.0,
        store_calls: rate(before.2, after.2),
        megabytes: after.0.resident as f64 / 1e6,
    })
}
