//! Waiting time by class while long batch work fills the fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bpaf::Bpaf;
use eyre::Result;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Scheduler, SchedulerSettings};
use wigeongate_core::time::Millis;

use crate::baseline::{Baseline, Choice};
use crate::fleet::{self, FleetSettings};
use crate::sim::{Decider, Plan, STEP, Sim, Waited};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct WaitOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the fleet.
    #[bpaf(fallback(50))]
    workers: u32,
    /// Cores of a worker.
    #[bpaf(fallback(64))]
    cores: u64,
    /// The availability zones.
    #[bpaf(fallback(3))]
    zones: u32,
    /// Workers in a rack.
    #[bpaf(fallback(8))]
    per_rack: u32,
    /// Seconds of simulated time.
    #[bpaf(fallback(300))]
    seconds: u64,
}

/// Waits of one class, in milliseconds.
#[derive(Debug, Serialize)]
struct Class {
    count: u64,
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    workers: u32,
    cores: u64,
    zones: u32,
    classes: BTreeMap<String, Class>,
    thumbnails_unloaded_p50_ms: u64,
    thumbnails_p99_ms: u64,
    thumbnails_ratio: f64,
    first_come: BTreeMap<String, Class>,
}

/// When batch work begins to fill the fleet, in seconds.
const FILL: u64 = 30;

/// Slots of one executor.
const SLOTS: usize = 8;

/// Thumbnails that arrive in one step, for each ten executors.
const THUMBNAILS: u32 = 15;

/// Measures and prints the figures.
pub fn run(options: &WaitOptions) -> Result<()> {
    let settings = SchedulerSettings {
        seed: options.seed,
        ..SchedulerSettings::default()
    };
    let ours = Waits::new(options, Box::new(Scheduler::new(settings))).measure()?;
    let first = Baseline::new(Choice::First, options.seed);
    let first = Waits::new(options, Box::new(first)).measure()?;
    let unloaded = ours.unloaded.value_at_quantile(0.5);
    let loaded = ours.loaded.value_at_quantile(0.99);
    let ratio = |value: u64| u32::try_from(value).map(f64::from);
    let figures = Figures {
        bench: "wait",
        seed: options.seed,
        workers: options.workers,
        cores: options.cores,
        zones: options.zones,
        classes: ours.classes,
        thumbnails_unloaded_p50_ms: unloaded,
        thumbnails_p99_ms: loaded,
        thumbnails_ratio: ratio(loaded)? / ratio(unloaded.max(1))?,
        first_come: first.classes,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

struct Measured {
    classes: BTreeMap<String, Class>,
    unloaded: Histogram<u64>,
    loaded: Histogram<u64>,
}

struct Waits {
    options: WaitOptions,
    rng: SmallRng,
    sim: Sim,
    jobs: u64,
    /// When each slot in use is free again.
    slots: BinaryHeap<Reverse<Millis>>,
}

impl Waits {
    fn new(options: &WaitOptions, decider: Box<dyn Decider>) -> Self {
        let settings = FleetSettings {
            workers: options.workers,
            zones: options.zones,
            per_rack: options.per_rack,
            capacity: Resources {
                cpu: options.cores * 1_000,
                memory: 128 * 1_024,
                accelerators: 0,
            },
            accelerated: 0,
            teams: 6,
        };
        Self {
            options: options.clone(),
            rng: SmallRng::seed_from_u64(options.seed),
            sim: Sim::new(fleet::policy(&settings), decider),
            jobs: 0,
            slots: BinaryHeap::new(),
        }
    }

    fn submit(&mut self, kind: Kind, tasks: u32, cpu: u64, run: Option<Millis>, urgent: bool) {
        let spec = JobSpec {
            tasks,
            urgent,
            minimum: tasks.saturating_sub(1),
            size: Resources {
                cpu,
                memory: cpu,
                accelerators: 0,
            },
            ..JobSpec::default()
        };
        let plan = Plan {
            run,
            ..Plan::default()
        };
        self.jobs += 1;
        let team = fleet::team(self.rng.random_range(0..6));
        self.sim
            .submit(fleet::job(self.jobs, team, kind, spec), plan);
    }

    fn measure(mut self) -> Result<Measured> {
        let mut unloaded = Histogram::new(3)?;
        let mut loaded = Histogram::new(3)?;
        for _ in 0..self.options.workers / 5 {
            self.submit(Kind::Service, 5, 4_000, None, false);
        }
        for second in 0..self.options.seconds {
            if second >= FILL {
                self.load(second);
            }
            for _ in 0..20 {
                self.sim.step();
                let times = if second < FILL {
                    &mut unloaded
                } else {
                    &mut loaded
                };
                for time in thumbnails(&self.sim, &mut self.slots, &mut self.rng) {
                    times.record(time.0)?;
                }
            }
        }
        Ok(Measured {
            classes: classes(&self.sim.waited)?,
            unloaded,
            loaded,
        })
    }

    /// Keeps batch work waiting, with a gang and urgent jobs now and then.
    fn load(&mut self, second: u64) {
        while self.sim.waiting() < 4 * self.options.workers {
            let cpu = self.rng.random_range(2..=16) * 500;
            let run = Millis(self.rng.random_range(10_000..120_000));
            self.submit(Kind::Batch, 1, cpu, Some(run), false);
        }
        if second.is_multiple_of(10) {
            self.submit(Kind::Gang, 6, 8_000, Some(Millis(20_000)), false);
        }
        if second.is_multiple_of(2) {
            self.submit(Kind::Batch, 2, 4_000, Some(Millis(2_000)), true);
        }
    }
}

/// Lets thumbnails arrive at the slots of executors that are up; returns their response times.
fn thumbnails(
    sim: &Sim,
    slots: &mut BinaryHeap<Reverse<Millis>>,
    rng: &mut SmallRng,
) -> Vec<Millis> {
    let executors = sim
        .running
        .values()
        .filter(|played| played.kind == Kind::Service && !played.stopping())
        .count();
    while slots.peek().is_some_and(|free| free.0 <= sim.now) {
        slots.pop();
    }
    let count = THUMBNAILS * u32::try_from(executors).unwrap_or_default() / 10;
    let mut times = Vec::new();
    for _ in 0..count {
        let arrives = sim.now + Millis(rng.random_range(0..STEP.0));
        let run = Millis(rng.random_range(40..160));
        let free = if slots.len() < executors * SLOTS {
            arrives
        } else {
            slots.pop().map_or(arrives, |free| free.0.max(arrives))
        };
        slots.push(Reverse(free + run));
        times.push((free + run).since(arrives));
    }
    times
}

fn classes(waited: &[Waited]) -> Result<BTreeMap<String, Class>> {
    let mut times: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for waited in waited {
        let name = if waited.urgent {
            "urgent".to_owned()
        } else {
            waited.kind.to_string()
        };
        let times = match times.entry(name) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => entry.insert(Histogram::new(3)?),
        };
        times.record(waited.wait.0)?;
    }
    let class = |times: &Histogram<u64>| Class {
        count: times.len(),
        p50_ms: times.value_at_quantile(0.5),
        p99_ms: times.value_at_quantile(0.99),
        max_ms: times.max(),
    };
    Ok(times
        .iter()
        .map(|(name, times)| (name.clone(), class(times)))
        .collect())
}
