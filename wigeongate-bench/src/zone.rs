//! Work done while an availability zone leaves and returns.

use bpaf::Bpaf;
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::ids::{HostId, ZoneId};
use wigeongate_core::job::{JobSpec, Kind};
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Scheduler, SchedulerSettings};
use wigeongate_core::time::Millis;

use crate::baseline::{Baseline, Choice};
use crate::fleet::{self, FleetSettings};
use crate::sim::{Decider, Plan, Sim, cores, ratio, seconds};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct ZoneOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The workers of the fleet.
    #[bpaf(fallback(50))]
    workers: u32,
    /// The availability zones of the fleet.
    #[bpaf(fallback(3))]
    zones: u32,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    workers: u32,
    zones: u32,
    work: f64,
    late_starts: usize,
    services_down_s: f64,
    full_after_s: Option<f64>,
    first_fit_work: f64,
    first_fit_services_down_s: f64,
}

/// When the zone is taken out, in seconds.
const OUT: u64 = 60;

/// When its hosts go away.
const DEAD: u64 = 90;

/// When it is taken in again.
const IN: u64 = 150;

/// When the run ends.
const END: u64 = 240;

/// The part of the open capacity in use that counts as full.
const FULL: f64 = 0.95;

/// Measures and prints the figures.
pub fn run(options: &ZoneOptions) -> Result<()> {
    let settings = SchedulerSettings {
        seed: options.seed,
        ..SchedulerSettings::default()
    };
    let ours = Zones::new(options, Box::new(Scheduler::new(settings))).measure();
    let first = Baseline::new(Choice::First, options.seed);
    let first = Zones::new(options, Box::new(first)).measure();
    let figures = Figures {
        bench: "zone",
        seed: options.seed,
        workers: options.workers,
        zones: options.zones,
        work: ours.work,
        late_starts: ours.late,
        services_down_s: ours.down,
        full_after_s: ours.full_after,
        first_fit_work: first.work,
        first_fit_services_down_s: first.down,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

struct Outcome {
    work: f64,
    late: usize,
    down: f64,
    full_after: Option<f64>,
}

struct Zones {
    rng: SmallRng,
    sim: Sim,
    policy: Policy,
    zone: ZoneId,
    hosts: Vec<HostId>,
    open: f64,
    in_zone: f64,
    jobs: u64,
    services: u32,
}

impl Zones {
    fn new(options: &ZoneOptions, decider: Box<dyn Decider>) -> Self {
        let settings = FleetSettings {
            workers: options.workers,
            zones: options.zones,
            teams: 6,
            accelerated: 0,
            ..FleetSettings::default()
        };
        let policy = fleet::policy(&settings);
        let zone = ZoneId::from("zone-1");
        let mut hosts: Vec<HostId> = policy
            .workers
            .values()
            .filter(|worker| worker.zone == zone)
            .map(|worker| worker.host.clone())
            .collect();
        hosts.sort();
        let each = cores(&settings.capacity);
        let in_zone = each * f64::from(u32::try_from(hosts.len()).unwrap_or_default());
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            sim: Sim::new(policy.clone(), decider),
            policy,
            zone,
            hosts,
            open: each * f64::from(options.workers),
            in_zone,
            jobs: 0,
            services: options.workers,
        }
    }

    /// Submits a service of three tasks, two of which stay up.
    fn submit_service(&mut self) {
        let spec = JobSpec {
            tasks: 3,
            minimum: 2,
            size: Resources {
                cpu: 4_000,
                memory: 8_192,
                accelerators: 0,
            },
            ..JobSpec::default()
        };
        self.submit(Kind::Service, spec, Plan::default());
    }

    fn submit_batch(&mut self) {
        let cpu = self.rng.random_range(2..=16) * 250;
        let spec = JobSpec {
            size: Resources {
                cpu,
                memory: cpu,
                accelerators: 0,
            },
            ..JobSpec::default()
        };
        let plan = Plan {
            run: Some(Millis(self.rng.random_range(5_000..60_000))),
            ..Plan::default()
        };
        self.submit(Kind::Batch, spec, plan);
    }

    fn submit(&mut self, kind: Kind, spec: JobSpec, plan: Plan) {
        self.jobs += 1;
        let team = fleet::team(self.rng.random_range(0..6));
        let job = fleet::job(self.jobs, team, kind, spec);
        self.sim.submit(job, plan);
    }

    fn feed(&mut self) {
        while self.sim.waiting() < 400 {
            self.submit_batch();
        }
    }

    /// Returns the cores in use by tasks that make progress.
    fn used(&self) -> f64 {
        self.sim
            .running
            .values()
            .filter(|played| !played.stopping())
            .map(|played| cores(&played.declared))
            .sum()
    }

    /// Returns how many services have fewer tasks up than their minimum.
    fn below_minimum(&self) -> u32 {
        let mut up = std::collections::BTreeMap::new();
        for (task, played) in &self.sim.running {
            if played.kind == Kind::Service {
                *up.entry(task.job).or_insert(0_u32) += 1;
            }
        }
        let low = up.values().filter(|up| **up < 2).count();
        let gone = self.services as usize - up.len();
        u32::try_from(low + gone).unwrap_or(u32::MAX)
    }

    fn measure(mut self) -> Outcome {
        for _ in 0..self.services {
            self.submit_service();
        }
        let (mut used, mut could, mut down) = (0.0, 0.0, 0.0);
        let mut full_after = None;
        for second in 0..END {
            self.change(second);
            self.feed();
            let open = if (OUT..IN).contains(&second) {
                self.open - self.in_zone
            } else {
                self.open
            };
            for _ in 0..20 {
                self.sim.step();
                if second < 10 {
                    continue;
                }
                // Work in the zone that leaves may go on for a while; it counts for no more than
                // the remaining capacity.
                used += self.used().min(open);
                could += open;
                down += f64::from(self.below_minimum()) * 0.05;
            }
            let full = second >= IN && self.used() >= FULL * open;
            if full && full_after.is_none() {
                let back = Millis::from_secs(IN);
                full_after = Some(seconds(self.sim.now.since(back)));
            }
        }
        Outcome {
            work: ratio(used - self.sim.lost / 0.05, could),
            late: self.late_starts(),
            down,
            full_after,
        }
    }

    fn change(&mut self, second: u64) {
        let zone = self.zone.clone();
        match second {
            OUT => self.sim.configure(|policy| {
                policy.zones_out.insert(zone);
            }),
            DEAD => {
                for host in self.hosts.clone() {
                    self.sim.kill(&host);
                }
            }
            IN => {
                self.sim.configure(|policy| {
                    policy.zones_out.remove(&zone);
                });
                for host in self.hosts.clone() {
                    self.sim.revive(host);
                }
            }
            _ => {}
        }
    }

    /// Returns how many tasks started in the zone while it was out.
    fn late_starts(&self) -> usize {
        let (out, back) = (Millis::from_secs(OUT), Millis::from_secs(IN));
        self.sim
            .started_on
            .iter()
            .filter(|(at, host)| {
                *at > out + Millis(1) && *at < back && self.policy.workers[host].zone == self.zone
            })
            .count()
    }
}
