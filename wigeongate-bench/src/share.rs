//! How near teams come to their shares, and how fast a lent share comes back.

use std::collections::BTreeMap;

use bpaf::Bpaf;
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::ids::TeamId;
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Scheduler, SchedulerSettings};
use wigeongate_core::time::Millis;

use crate::baseline::{Baseline, Choice};
use crate::fleet::{self, FleetSettings};
use crate::sim::{Decider, Plan, Sim, cores, ratio};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct ShareOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the fleet.
    #[bpaf(fallback(200))]
    workers: u32,
    /// The teams.
    #[bpaf(fallback(6))]
    teams: u32,
    /// Seconds of simulated time.
    #[bpaf(fallback(600))]
    seconds: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    workers: u32,
    teams: u32,
    windows: usize,
    mean: f64,
    worst: f64,
    back_s: Option<f64>,
    first_come_mean: f64,
    first_come_worst: f64,
}

/// Seconds in a window.
const WINDOW: u64 = 60;

/// Seconds before the first window.
const WARM_UP: u64 = 60;

/// Tasks a second steps.
const STEPS: u64 = 20;

/// Measures and prints the figures.
pub fn run(options: &ShareOptions) -> Result<()> {
    let scheduler = || {
        let settings = SchedulerSettings {
            seed: options.seed,
            ..SchedulerSettings::default()
        };
        Box::new(Scheduler::new(settings))
    };
    let ours = Shares::new(options, scheduler()).measure();
    let first = Shares::new(
        options,
        Box::new(Baseline::new(Choice::First, options.seed)),
    );
    let first = first.measure();
    let figures = Figures {
        bench: "share",
        seed: options.seed,
        workers: options.workers,
        teams: options.teams,
        windows: ours.windows,
        mean: ours.mean,
        worst: ours.worst,
        back_s: Shares::new(options, scheduler()).come_back(),
        first_come_mean: first.mean,
        first_come_worst: first.worst,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

/// Distances from the shares, as parts of the fleet.
struct Distance {
    windows: usize,
    mean: f64,
    worst: f64,
}

struct Shares {
    options: ShareOptions,
    rng: SmallRng,
    sim: Sim,
    fleet: f64,
    jobs: u64,
}

impl Shares {
    fn new(options: &ShareOptions, decider: Box<dyn Decider>) -> Self {
        let settings = FleetSettings {
            workers: options.workers,
            teams: options.teams,
            accelerated: 0,
            ..FleetSettings::default()
        };
        Self {
            options: options.clone(),
            rng: SmallRng::seed_from_u64(options.seed),
            sim: Sim::new(fleet::policy(&settings), decider),
            fleet: cores(&settings.capacity) * f64::from(options.workers),
            jobs: 0,
        }
    }

    /// Submits a job; returns the cores that it wants.
    fn submit(&mut self, team: u32, run: Millis) -> f64 {
        let cpu = self.rng.random_range(2..=16) * 250;
        let spec = JobSpec {
            tasks: self.rng.random_range(1..=4),
            size: Resources {
                cpu,
                memory: cpu,
                accelerators: 0,
            },
            ..JobSpec::default()
        };
        let plan = Plan {
            run: Some(run),
            ..Plan::default()
        };
        let wanted = cores(&spec.size) * f64::from(spec.tasks);
        self.jobs += 1;
        let job = fleet::job(self.jobs, fleet::team(team), Kind::Batch, spec);
        self.sim.submit(job, plan);
        wanted
    }

    fn second(&mut self) {
        for _ in 0..STEPS {
            self.sim.step();
        }
    }

    /// Returns the cores that each team uses and wants, by team.
    fn demand(&self) -> (Vec<f64>, Vec<f64>) {
        let place: BTreeMap<TeamId, usize> = (0..self.options.teams)
            .map(|at| (fleet::team(at), at as usize))
            .collect();
        let mut used = vec![0.0; self.options.teams as usize];
        for played in self.sim.running.values() {
            used[place[&played.team]] += cores(&played.declared);
        }
        let mut wanted = used.clone();
        for (id, count) in &self.sim.queued {
            if let Some(job) = self.sim.jobs.get(id) {
                wanted[place[&job.team]] += cores(&job.spec.size) * f64::from(*count);
            }
        }
        (used, wanted)
    }

    /// Teams burst and fall silent; the fleet stays full.
    fn measure(mut self) -> Distance {
        let teams = self.options.teams as usize;
        let mut bursting: Vec<bool> = (0..teams).map(|at| at % 2 == 0).collect();
        let (mut used, mut due) = (vec![0.0; teams], vec![0.0; teams]);
        let mut distances = Vec::new();
        for second in 0..self.options.seconds {
            let (_, wanted) = self.demand();
            for at in 0..self.options.teams {
                if self.rng.random_range(0..45) == 0 {
                    bursting[at as usize] ^= true;
                }
                self.feed(at, bursting[at as usize], wanted[at as usize]);
            }
            self.second();
            let (now, wanted) = self.demand();
            let fair = fair(&wanted, self.fleet);
            for at in 0..teams {
                used[at] += now[at];
                due[at] += fair[at];
            }
            if (second + 1).is_multiple_of(WINDOW) {
                if second >= WARM_UP {
                    let whole = self.fleet * 60.0;
                    let distance = |at: usize| ratio((used[at] - due[at]).abs(), whole);
                    distances.extend((0..teams).map(distance));
                }
                used.fill(0.0);
                due.fill(0.0);
            }
        }
        let count = u32::try_from(distances.len()).unwrap_or(1);
        Distance {
            windows: distances.len() / teams,
            mean: distances.iter().sum::<f64>() / f64::from(count),
            worst: distances.iter().copied().fold(0.0, f64::max),
        }
    }

    /// Lets a bursting team want up to twice its share, and a silent one little.
    fn feed(&mut self, team: u32, bursting: bool, wanted: f64) {
        let share = self.fleet / f64::from(self.options.teams);
        let level = if bursting { 2.0 * share } else { 0.3 * share };
        let mut missing = level - wanted;
        while missing > 0.0 {
            let run = Millis(self.rng.random_range(5_000..60_000));
            missing -= self.submit(team, run);
        }
    }

    /// Submits jobs that want so many cores in all.
    fn fill(&mut self, team: u32, mut missing: f64, run: Millis) {
        while missing > 0.0 {
            missing -= self.submit(team, run);
        }
    }

    fn used_by(&self, team: u32) -> f64 {
        self.demand().0[team as usize]
    }

    /// Returns how many seconds it takes until a team that comes back has 95% of its share of a
    /// fleet that the others fill with long tasks.
    fn come_back(mut self) -> Option<f64> {
        const LONG: Millis = Millis::from_secs(3_600);
        let share = self.fleet / f64::from(self.options.teams);
        for team in 1..self.options.teams {
            self.fill(team, 2.0 * share, LONG);
        }
        for _ in 0..20 {
            self.second();
        }
        self.fill(0, 1.2 * share, LONG);
        let began = self.sim.now;
        for _ in 0..1_200 {
            self.sim.step();
            if self.used_by(0) >= 0.95 * share {
                return Some(crate::sim::seconds(self.sim.now.since(began)));
            }
        }
        None
    }
}

/// Returns what each team is due: all rise alike, none above what it wants.
fn fair(wanted: &[f64], fleet: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by(|one, other| wanted[*one].total_cmp(&wanted[*other]));
    let mut due = vec![0.0; wanted.len()];
    let mut left = fleet;
    let mut teams = u32::try_from(wanted.len()).unwrap_or(1);
    for at in order {
        due[at] = wanted[at].min(left / f64::from(teams));
        left -= due[at];
        teams -= 1;
    }
    due
}
