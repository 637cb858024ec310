//! The time of one decision, at several sizes of fleet.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::Result;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Action, Event, Phase, Scheduler, SchedulerSettings, Start};
use wigeongate_core::time::Millis;

use crate::fleet::{self, FleetSettings};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct DecideOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the fleet.
    #[bpaf(fallback(1_200))]
    workers: u32,
    /// Tasks that run; 25 a worker when it is not given.
    tasks: Option<u32>,
    /// Jobs that wait for room; only a full fleet keeps them waiting.
    #[bpaf(fallback(0))]
    waiting: u32,
    /// Decisions to measure.
    #[bpaf(fallback(20_000))]
    decisions: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    workers: u32,
    running: usize,
    waiting: u32,
    decisions: u64,
    p50_us: f64,
    p99_us: f64,
    p999_us: f64,
    per_second: f64,
    scan_p50_us: f64,
}

/// Measures and prints the figures.
pub fn run(options: &DecideOptions) -> Result<()> {
    let mut bench = Bench::new(options);
    bench.fill();
    let figures = bench.measure()?;
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

struct Bench {
    options: DecideOptions,
    rng: SmallRng,
    scheduler: Scheduler,
    settings: FleetSettings,
    running: Vec<Start>,
    jobs: u64,
    now: Millis,
}

impl Bench {
    fn new(options: &DecideOptions) -> Self {
        let settings = FleetSettings {
            workers: options.workers,
            ..FleetSettings::default()
        };
        Self {
            options: options.clone(),
            rng: SmallRng::seed_from_u64(options.seed),
            scheduler: Scheduler::new(SchedulerSettings {
                seed: options.seed,
                ..SchedulerSettings::default()
            }),
            settings,
            running: Vec::new(),
            jobs: 0,
            now: Millis(1),
        }
    }

    fn handle(&mut self, event: Event) -> Duration {
        let mut actions = Vec::new();
        let before = Instant::now();
        self.scheduler.handle(self.now, event, &mut actions);
        let spent = before.elapsed();
        for action in actions {
            if let Action::Start(start) = action {
                self.running.push(start);
            }
        }
        spent
    }

    fn fill(&mut self) {
        let policy = fleet::policy(&self.settings).into();
        self.handle(Event::Policy(policy));
        for index in 0..self.settings.workers {
            self.handle(Event::Report(fleet::empty_report(fleet::host(index))));
        }
        let tasks = self.options.tasks.unwrap_or(25 * self.settings.workers);
        while self.running.len() < tasks as usize {
            let before = self.running.len();
            self.submit();
            if self.running.len() == before {
                break;
            }
        }
        for _ in 0..self.options.waiting {
            self.submit();
        }
    }

    /// Submits one job of one task of a drawn size; about 2.5 of 64 cores on average.
    fn submit(&mut self) -> Duration {
        let cpu = self.rng.random_range(1..=20) * 200;
        let size = Resources {
            cpu,
            memory: cpu * self.rng.random_range(1..=3) + 64,
            accelerators: 0,
        };
        let team = fleet::team(self.rng.random_range(0..self.settings.teams));
        let kind = if self.rng.random_range(0..5) == 0 {
            Kind::Service
        } else {
            Kind::Batch
        };
        let spec = JobSpec {
            size,
            ..JobSpec::default()
        };
        self.jobs += 1;
        self.handle(Event::Submit(fleet::job(self.jobs, team, kind, spec)))
    }

    /// Ends one running task and submits one job, again and again.
    fn measure(&mut self) -> Result<Figures> {
        let running = self.running.len();
        let mut times = Histogram::<u64>::new(3)?;
        let mut total = Duration::ZERO;
        let half = self.options.decisions / 2;
        for turn in 0..half {
            self.now = Millis(1_000 + turn);
            let place = self.rng.random_range(0..self.running.len());
            let start = self.running.swap_remove(place);
            let report = fleet::task_report(&start, Phase::Succeeded);
            for spent in [self.handle(Event::Report(report)), self.submit()] {
                total += spent;
                times.record(u64::try_from(spent.as_nanos())?)?;
            }
        }
        let scan = self.scan()?;
        let micros = |nanos: u64| Duration::from_nanos(nanos).as_secs_f64() * 1e6;
        let decisions = half * 2;
        Ok(Figures {
            bench: "decide",
            seed: self.options.seed,
            workers: self.settings.workers,
            running,
            waiting: self.options.waiting,
            decisions,
            p50_us: micros(times.value_at_quantile(0.5)),
            p99_us: micros(times.value_at_quantile(0.99)),
            p999_us: micros(times.value_at_quantile(0.999)),
            per_second: f64::from(u32::try_from(decisions)?) / total.as_secs_f64(),
            scan_p50_us: micros(scan),
        })
    }

    /// The baseline: the first worker in order of name with room, without an index.
    fn scan(&mut self) -> Result<u64> {
        let policy = fleet::policy(&self.settings);
        let mut free: Vec<_> = (0..self.settings.workers)
            .map(|index| policy.workers[&fleet::host(index)].capacity)
            .collect();
        let mut times = Histogram::<u64>::new(3)?;
        for _ in 0..self.options.decisions / 2 {
            let cpu = self.rng.random_range(1..=20) * 200;
            let size = Resources {
                cpu,
                memory: cpu,
                accelerators: 0,
            };
            let before = Instant::now();
            let found = free.iter().position(|free| size.fits_in(free));
            times.record(u64::try_from(before.elapsed().as_nanos())?)?;
            match found {
                Some(place) => free[place] = free[place].saturating_sub(&size),
                None => free.fill(self.settings.capacity),
            }
        }
        Ok(times.value_at_quantile(0.5))
    }
}
