//! Goodput at offered loads under and over the capacity, and what a flooding team costs others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::Result;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};
use wigeongate::client::client;
use wigeongate_api::caller::DEADLINE_HEADER;
use wigeongate_config::rules::{Class, Queue};
use wigeongate_core::collections::HashSet;
use wigeongate_core::job::Kind;
use wigeongate_standin::backend::BackendFault;

use crate::path::ratio;
use crate::site::{Site, SiteSettings, runtime};

/// How often requests are sent, in milliseconds.
const TICK_MS: u64 = 2;

/// Offered loads, in parts of 100 of the capacity.
const LOADS: [u64; 5] = [50, 100, 150, 200, 400];

/// The load of each team beside the flooding one, in parts of 100 of the capacity.
const QUIET_LOAD: u64 = 10;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct OverloadOptions {
    /// Gates.
    #[bpaf(fallback(1))]
    gates: usize,
    /// Backend servers.
    #[bpaf(fallback(12))]
    backends: usize,
    /// Slots of each.
    #[bpaf(fallback(4))]
    slots: u32,
    /// How long a request runs, in milliseconds.
    #[bpaf(fallback(40))]
    run_ms: u64,
    /// The deadline of each request, in milliseconds.
    #[bpaf(fallback(400))]
    deadline_ms: u64,
    /// The length of each load, in milliseconds.
    #[bpaf(fallback(2_000))]
    ms: u64,
}

/// The figures of one load.
#[derive(Debug, Serialize)]
struct Line {
    load_percent: u64,
    offered_per_second: u64,
    goodput_per_second: u64,
    not_run: u64,
    unknown: u64,
    p99_ms: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    gates: usize,
    capacity_per_second: u64,
    lines: Vec<Line>,
    goodput_at_4_to_peak: f64,
    quiet_p99_ms: u64,
    flooded_p99_ms: u64,
    flooded_to_quiet: f64,
    retries_of_sends: f64,
}

/// What came of the requests of one team.
struct Tally {
    offered: u64,
    good: u64,
    not_run: u64,
    unknown: u64,
    times: Histogram<u64>,
}

impl Tally {
    fn new() -> Result<Self> {
        Ok(Self {
            offered: 0,
            good: 0,
            not_run: 0,
            unknown: 0,
            times: Histogram::new(3)?,
        })
    }
}

enum End {
    Good(Duration),
    Late,
    NotRun,
    Unknown,
}

/// Measures and prints the figures.
pub fn run(options: &OverloadOptions) -> Result<()> {
    let callers = runtime("callers", 3)?;
    let parts = runtime("parts", 2)?;
    let settings = SiteSettings {
        gates: options.gates,
        backends: options.backends,
        slots: options.slots,
        teams: (1..=3).map(|n| (format!("team-{n}"), 1)).collect(),
        queues: vec![Queue {
            name: "work".into(),
            kind: Kind::Request,
            class: Class::Normal,
            idempotent: true,
            deadline_ms: 30_000,
            ..Queue::default()
        }],
        ..SiteSettings::default()
    };
    let figures = callers.block_on(async {
        let site = Site::start(&settings, parts.handle()).await?;
        let figures = measure(options, &site).await;
        site.end();
        figures
    })?;
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

async fn measure(options: &OverloadOptions, site: &Site) -> Result<Figures> {
    let slots = options.backends as u64 * u64::from(options.slots);
    let capacity = slots * 1_000 / options.run_ms;
    let load = Load {
        client: client(),
        gates: site.gates.iter().map(|gate| gate.address).collect(),
        options: options.clone(),
        capacity,
    };
    let equal = |percent: u64| [percent / 3, percent / 3, percent - 2 * (percent / 3)];
    let mut lines = Vec::new();
    load.run(equal(100)).await?;
    for percent in LOADS {
        let tallies = load.run(equal(percent)).await?;
        lines.push(load.line(percent, &tallies)?);
    }
    let quiet = load.run([0, QUIET_LOAD, QUIET_LOAD]).await?;
    let flooded = load.run([400, QUIET_LOAD, QUIET_LOAD]).await?;
    let others = |tallies: &[Tally]| {
        let others = tallies.iter().skip(1);
        let p99 = others.map(|tally| tally.times.value_at_quantile(0.99));
        p99.max().unwrap_or_default()
    };
    let peak = lines.iter().map(|line| line.goodput_per_second).max();
    let last = lines.last().map_or(0, |line| line.goodput_per_second);
    let retries_of_sends = retries(&load, site).await?;
    Ok(Figures {
        bench: "overload",
        gates: options.gates,
        capacity_per_second: capacity,
        goodput_at_4_to_peak: ratio(last, peak.unwrap_or_default()),
        lines,
        quiet_p99_ms: others(&quiet),
        flooded_p99_ms: others(&flooded),
        flooded_to_quiet: ratio(others(&flooded), others(&quiet)),
        retries_of_sends,
    })
}

/// Returns the share of retries among the sends while servers lose answers under overload.
async fn retries(load: &Load, site: &Site) -> Result<f64> {
    let before: Vec<usize> = site
        .servers
        .iter()
        .map(|s| s.backend.runs().len())
        .collect();
    for server in &site.servers {
        server.backend.set_fault(BackendFault {
            cut_every: 3,
            ..BackendFault::default()
        });
    }
    load.run([67, 67, 66]).await?;
    let mut sends = 0;
    let mut requests: HashSet<String> = HashSet::default();
    for (server, before) in site.servers.iter().zip(before) {
        let runs = server.backend.runs().split_off(before);
        sends += runs.len() as u64;
        requests.extend(runs.into_iter().map(|run| run.tag));
        server.backend.set_fault(BackendFault::default());
    }
    Ok(ratio(sends - requests.len() as u64, sends))
}

struct Load {
    client: Client,
    gates: Arc<[SocketAddr]>,
    options: OverloadOptions,
    capacity: u64,
}

impl Load {
    /// Offers so many parts of 100 of the capacity for each team.
    async fn run(&self, percents: [u64; 3]) -> Result<Vec<Tally>> {
        let mut tallies = Vec::new();
        for _ in &percents {
            tallies.push(Tally::new()?);
        }
        let mut tasks: JoinSet<(usize, End)> = JoinSet::new();
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut owed = [0_u64; 3];
        let mut number = 0;
        for _ in 0..self.options.ms / TICK_MS {
            ticks.tick().await;
            for (team, percent) in percents.iter().enumerate() {
                owed[team] += self.capacity * percent * TICK_MS;
                while owed[team] >= 100_000 {
                    owed[team] -= 100_000;
                    number += 1;
                    tallies[team].offered += 1;
                    tasks.spawn(self.request(team, number));
                }
            }
            while let Some(done) = tasks.try_join_next() {
                note(&mut tallies, done?)?;
            }
        }
        while let Some(done) = tasks.join_next().await {
            note(&mut tallies, done?)?;
        }
        Ok(tallies)
    }

    fn request(&self, team: usize, number: usize) -> impl Future<Output = (usize, End)> + use<> {
        let gate = self.gates[number % self.gates.len()];
        let url = format!("http://{gate}/v1/queues/work/requests/run");
        let body = format!("wait {} {}", self.options.run_ms, uuid::Uuid::now_v7());
        let deadline = Duration::from_millis(self.options.deadline_ms);
        let request = self
            .client
            .post(url)
            .bearer_auth(format!("team-{}", team + 1))
            .header(DEADLINE_HEADER, self.options.deadline_ms)
            .body(body);
        async move {
            let started = Instant::now();
            let end = match request.send().await {
                Ok(response) if response.status().is_success() => {
                    let whole = response.bytes().await.is_ok();
                    let took = started.elapsed();
                    if whole && took <= deadline {
                        End::Good(took)
                    } else {
                        End::Late
                    }
                }
                Ok(response) => {
                    let text = response.text().await.unwrap_or_default();
                    if text.contains("not_run") {
                        End::NotRun
                    } else {
                        End::Unknown
                    }
                }
                Err(_) => End::Unknown,
            };
            (team, end)
        }
    }

    fn line(&self, load_percent: u64, tallies: &[Tally]) -> Result<Line> {
        let mut times = Histogram::<u64>::new(3)?;
        for tally in tallies {
            times.add(&tally.times)?;
        }
        let per_second = |count: u64| count * 1_000 / self.options.ms;
        let sum = |field: fn(&Tally) -> u64| tallies.iter().map(field).sum::<u64>();
        Ok(Line {
            load_percent,
            offered_per_second: per_second(sum(|tally| tally.offered)),
            goodput_per_second: per_second(sum(|tally| tally.good)),
            not_run: sum(|tally| tally.not_run),
            unknown: sum(|tally| tally.unknown),
            p99_ms: times.value_at_quantile(0.99),
        })
    }
}

fn note(tallies: &mut [Tally], (team, end): (usize, End)) -> Result<()> {
    let tally = &mut tallies[team];
    match end {
        End::Good(took) => {
            tally.good += 1;
            tally.times.record(u64::try_from(took.as_millis())?)?;
        }
        End::Late => {}
        End::NotRun => tally.not_run += 1,
        End::Unknown => tally.unknown += 1,
    }
    Ok(())
}
