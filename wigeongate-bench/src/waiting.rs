//! What waiting work costs the owner: time for jobs that arrive, for each pass and for each end, by the
//! number of occurrences, of open jobs and of steps that wait for advice.
//!
//! What it costs in memory is measured by `held_jobs` among the tests of the core.

use std::sync::Arc;
use std::time::Instant;

use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use wigeongate_core::ids::{GateId, HostId, QueueId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, AdviceCost, AdviceGates, Ended, HostEntry, HostReport, QueueRules, Repeat, Rules,
    RunOutcome, StartOrder, StartResult, StepSpec, Workflow, WorkflowId, WorkflowScheduler,
    WorkflowSettings, WorkflowSpec,
};

/// A time by the wall clock, in milliseconds since 1970.
const WALL_MS: u64 = 1_800_000_000_000;

/// Thousandths of a core of each host.
const HOST_CPU: u64 = 64_000;

/// The passes and ends over which a time is taken.
const ROUNDS: u32 = 50;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct WaitingOptions {
    /// Hosts of the fleet.
    #[bpaf(fallback(1_200))]
    hosts: usize,
}

/// The figures of one size.
#[derive(Debug, Clone, Default, Serialize)]
struct Row {
    what: &'static str,
    count: u32,
    /// Time to add all jobs.
    submit_us: f64,
    /// Time of a pass.
    pass_us: f64,
    /// Time to apply the end of a task.
    end_us: f64,
}

#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    hosts: usize,
    rows: Vec<Row>,
}

fn queue() -> QueueId {
    QueueId::from("bundles")
}

fn rules(needs_advice: bool) -> Rules {
    let advice = AdviceCost {
        call_ms: 20.0,
        host_ms: 1.0,
        valid: Millis(2_500),
    };
    let queue_rules = QueueRules {
        service: "desk".to_owned(),
        attempts: 3,
        stretch: 1_000.0,
        advice: needs_advice.then_some(advice),
        ..QueueRules::default()
    };
    let mut rules = Rules::default();
    rules.queues.insert(queue(), Arc::new(queue_rules));
    rules
}

fn job(id: u64, step: StepSpec, repeat: Option<Repeat>) -> Workflow {
    Workflow {
        id: WorkflowId(id),
        queue: queue(),
        team: None,
        accepted: WALL_MS,
        spec: Arc::new(WorkflowSpec {
            command: "work 500".to_owned(),
            steps: vec![step],
            repeat,
        }),
        rules: Arc::default(),
    }
}

fn step(count: u32, cpu: u64, label: Option<&str>) -> StepSpec {
    StepSpec {
        count,
        requested: Resources {
            cpu,
            memory: 10,
            accelerators: 0,
        },
        estimate: Millis(5_000),
        requires: label.map(str::to_owned),
        ..StepSpec::default()
    }
}

/// A scheduler with its fleet; each host has room for one task of four cores.
struct Fleet {
    scheduler: WorkflowScheduler,
    now: Millis,
    last_end: u64,
}

impl Fleet {
    fn new(hosts: usize, needs_advice: bool) -> Self {
        let now = Millis(1_000);
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(needs_advice)));
        scheduler.set_advice_gates(AdviceGates::new(GateId::from("gate-0"), now));
        scheduler.tick(now, WALL_MS, &mut Vec::new());
        for at in 0..hosts {
            let id = HostId::from(format!("w-{at}"));
            scheduler.list_host(
                HostEntry {
                    id: id.clone(),
                    address: format!("10.0.{}.{}:80", at / 256, at % 256),
                    service: "desk".to_owned(),
                    capacity: Resources {
                        cpu: HOST_CPU,
                        memory: 64_000,
                        accelerators: 0,
                    },
                    labels: vec![if at < 2 { "fast" } else { "usual" }.to_owned()],
                    ..HostEntry::default()
                },
                now,
            );
            let report = HostReport {
                boot_ms: 1,
                sent: now,
                lease: now + Millis(10_000_000),
                ..HostReport::default()
            };
            scheduler.apply_report(&id, &report, now, &mut Vec::new());
        }
        Self {
            scheduler,
            now,
            last_end: 0,
        }
    }

    /// Makes a pass; returns the starts and the time that the pass took, in microseconds.
    fn pass(&mut self) -> (Vec<StartOrder>, f64) {
        self.now += Millis(10);
        let mut actions = Vec::new();
        let wall_ms = WALL_MS + self.now.0;
        self.scheduler.tick(self.now, wall_ms, &mut actions);
        let began = Instant::now();
        self.scheduler.place(self.now, &mut actions);
        let took = micros(began);
        let written = self.scheduler.last_record();
        self.scheduler
            .records_written(written, self.now, &mut actions);
        let orders = actions.into_iter().filter_map(|action| match action {
            Action::Start(order) => Some(order),
            _ => None,
        });
        (orders.collect(), took)
    }

    /// Lets a run that was ordered end; returns the time in microseconds.
    fn end(&mut self, order: &StartOrder) -> f64 {
        let run = (order.task, order.run);
        let started = StartResult::Started;
        let mut actions = Vec::new();
        self.scheduler
            .start_result(&order.host, run, started, self.now, &mut actions);
        self.last_end += 1;
        let report = HostReport {
            boot_ms: 1,
            sent: self.now,
            lease: self.now + Millis(10_000_000),
            ended: vec![Ended {
                number: self.last_end,
                task: order.task,
                run: order.run,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
            }],
            ..HostReport::default()
        };
        let began = Instant::now();
        self.scheduler
            .apply_report(&order.host, &report, self.now, &mut actions);
        micros(began)
    }

    /// Submits jobs, and measures passes and the ends of single tasks.
    fn measure(mut self, what: &'static str, count: u32, jobs: Vec<Workflow>) -> Row {
        let began = Instant::now();
        for job in jobs {
            self.scheduler.submit(job, self.now, Millis::ZERO);
        }
        let submit_us = micros(began);
        let (mut pass_us, mut end_us, mut ends) = (0.0, 0.0, 0);
        for _ in 0..ROUNDS {
            let (orders, took) = self.pass();
            pass_us += took;
            for order in orders.iter().take(4) {
                end_us += self.end(order);
                ends += 1;
            }
        }
        Row {
            what,
            count,
            submit_us,
            pass_us: pass_us / f64::from(ROUNDS),
            end_us: end_us / f64::from(ends.max(1)),
        }
    }
}

fn micros(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6
}

/// Returns jobs that fill the fleet with long tasks, so that the others wait.
fn filling(hosts: usize) -> Workflow {
    let count = u32::try_from(hosts).unwrap_or(u32::MAX);
    job(1, step(count, HOST_CPU, None), None)
}

/// Measures what the number of occurrences of one job costs.
fn occurrences(hosts: usize, count: u32) -> Row {
    let repeat = Repeat {
        first: WALL_MS,
        interval: Millis(0),
        count,
    };
    let repeated = job(2, step(20, 32_000, None), Some(repeat));
    Fleet::new(hosts.min(10), false).measure("occurrences that are due", count, vec![repeated])
}

/// Measures what the number of open jobs costs that wait for a full fleet.
fn open_jobs(hosts: usize, count: u32) -> Row {
    let mut fleet = Fleet::new(hosts, false);
    fleet
        .scheduler
        .submit(filling(hosts), fleet.now, Millis::ZERO);
    fleet.pass();
    let jobs = (0..u64::from(count)).map(|id| job(2 + id, step(2, 4_000, None), None));
    fleet.measure("open jobs beside a full fleet", count, jobs.collect())
}

/// Measures passes over steps that wait for advice on hosts with room.
fn waiting_steps(hosts: usize, count: u32, label: Option<&str>) -> Row {
    let fleet = Fleet::new(hosts, true);
    let jobs = (0..u64::from(count)).map(|id| job(2 + id, step(1, 4_000, label), None));
    let what = match label {
        None => "steps that wait for advice",
        Some("fast") => "steps that two hosts may run",
        Some(_) => "steps that no host may run",
    };
    fleet.measure(what, count, jobs.collect())
}

/// Measures all sizes, and prints a table and a last line of JSON.
pub fn run(options: &WaitingOptions) -> Result<()> {
    let hosts = options.hosts;
    let mut rows = Vec::new();
    for count in [100, 1_000, 10_000] {
        rows.push(occurrences(hosts, count));
    }
    for count in [100, 1_000, 10_000] {
        rows.push(open_jobs(hosts, count));
    }
    for label in [None, Some("fast"), Some("none")] {
        for count in [256, 4_000] {
            rows.push(waiting_steps(hosts, count, label));
        }
    }
    println!("what | count | submit us | pass us | end us");
    for row in &rows {
        println!(
            "{} | {} | {:.0} | {:.0} | {:.1}",
            row.what, row.count, row.submit_us, row.pass_us, row.end_us
        );
    }
    let figures = Figures {
        bench: "waiting",
        hosts,
        rows,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}
