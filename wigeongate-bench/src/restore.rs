//! What a new owner spends on reading and restoring the state of earlier owners.
//!
//! A store in the process holds the keys of a deployment in mid-traffic. The client of the store and
//! the scheduler are those of `serve`; waits for the store are simulated, processor time is measured.

mod pages;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use nix::time::{ClockId, clock_gettime};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    AdviceCost, CheckpointPart, CheckpointSettings, CheckpointWrite, JobFate, LogCheckpoint,
    OwnerView, QueueRules, Record, Rules, StepId, StepSpec, TaskName, Workflow, WorkflowId,
    WorkflowScheduler, WorkflowSettings, WorkflowSpec, WorkflowStatus,
};
use wigeongate_platform::http::HttpClient;
use wigeongate_platform::store::{Item, Store};

use self::pages::Pages;

/// The time between log batches, in milliseconds.
const BATCH_MS: u64 = 25;

/// The time from a record until the owner knows that it is written, in milliseconds.
const WRITTEN_MS: u64 = 40;

/// The time from the end of a job until its key has left those that a new owner reads first, in
/// milliseconds.
const ARCHIVE_MS: u64 = 1_000;

/// How long a job takes on average, in milliseconds.
const JOB_MS: u64 = 8_000;

const HOSTS: u64 = 350;

const STEPS: u16 = 2;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct RestoreOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// Jobs in the store.
    #[bpaf(fallback(3_000))]
    jobs: u64,
    /// Tasks of each job, in two steps.
    #[bpaf(fallback(20))]
    tasks: u32,
    /// Jobs that are open at a time; each takes 8 s on average.
    #[bpaf(fallback(400))]
    open: u64,
    /// Whether the keys of ended jobs stay among those that a new owner reads first.
    keep_ended: bool,
    /// Whether the owner writes no checkpoints.
    whole_log: bool,
    /// The link of the gate, in Mbit/s.
    #[bpaf(fallback(200))]
    link: u64,
    /// The share of a core that the gate has, for the estimate of its time.
    #[bpaf(fallback(0.5))]
    share: f64,
}

#[derive(Debug, Default, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    checkpoint: bool,
    archive: bool,
    parallel: bool,
    link_mbits: u64,
    /// Jobs of the whole history.
    jobs: u64,
    stored_jobs: usize,
    open: usize,
    parts: usize,
    batches: usize,
    records: usize,
    job_kb: usize,
    log_kb: usize,
    pages: usize,
    page_kb: usize,
    /// Transactions for checkpoints and removals.
    transactions: u64,
    written_records: usize,
    logged_records: usize,
    /// Processor time of planning them, on a whole core.
    planning_ms: f64,
    read_cpu_ms: f64,
    decode_jobs_ms: f64,
    restore_jobs_ms: f64,
    decode_log_ms: f64,
    replay_ms: f64,
    finish_ms: f64,
    wait_ms: f64,
    cpu_ms: f64,
    /// The waits and the processor time at the gate's share of a core.
    estimate_ms: f64,
}

/// Measures and prints the figures.
pub fn run(options: &RestoreOptions) -> Result<()> {
    let parts = crate::site::runtime("store", 2)?;
    let history = History::new(options);
    let log = history.log(!options.whole_log);
    let store = Pages::new(&history.stored_jobs(options.keep_ended), &log, options.link);
    let address = parts.block_on(store.spawn());
    for parallel in [false, true] {
        // The first run fills caches and opens the connections.
        for is_warm in [false, true] {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let figures = runtime.block_on(measure(options, address, parallel))?;
            let figures = Figures {
                checkpoint: !options.whole_log,
                archive: !options.keep_ended,
                transactions: log.transactions,
                written_records: log.written,
                logged_records: history.records.len(),
                planning_ms: log.planning_ms,
                ..figures
            };
            if is_warm {
                println!("{}", serde_json::to_string(&figures)?);
            }
        }
    }
    Ok(())
}

/// The processor time of this thread, in milliseconds.
fn cpu_ms() -> f64 {
    let spent = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
    spent.map_or(0.0, |spent| spent.as_secs_f64() * 1e3)
}

/// What a new owner reads.
#[derive(Debug, Default)]
struct ReadItems {
    jobs: Vec<Item>,
    parts: Vec<Item>,
    batches: Vec<Item>,
    /// The answers of the store, and their bytes.
    pages: usize,
    page_bytes: usize,
}

impl ReadItems {
    async fn read(store: &Store, parallel: bool) -> Result<Self> {
        let pages = Cell::new((0, 0));
        let read = async |prefix| {
            let on_page = |_, bytes| {
                let (count, sum) = pages.get();
                pages.set((count + 1, sum + bytes));
            };
            store.range_pages(prefix, "", on_page).await
        };
        // The head comes first; its value is not needed here.
        store.get("checkpoint").await?;
        let (jobs, parts, batches) = if parallel {
            tokio::try_join!(read("job/"), read("part/"), read("log/"))?
        } else {
            (
                read("job/").await?,
                read("part/").await?,
                read("log/").await?,
            )
        };
        let (pages, page_bytes) = pages.get();
        Ok(Self {
            jobs: jobs.0,
            parts: parts.0,
            batches: batches.0,
            pages,
            page_bytes,
        })
    }

    /// Decodes the checkpoint and the batches after it.
    fn decode_log(&self) -> Result<Vec<CheckpointPart>> {
        let parts = self.parts.iter();
        let parts = parts.map(|item| postcard::from_bytes(&item.value).wrap_err("decoding a part"));
        let batches = self.batches.iter().map(|item| {
            let records = postcard::from_bytes(&item.value).wrap_err("decoding a batch")?;
            Ok(CheckpointPart {
                continues: false,
                batches: vec![records],
            })
        });
        parts.chain(batches).collect()
    }
}

/// Replays the log; returns the number of its records.
fn replay(scheduler: &mut WorkflowScheduler, log: &[CheckpointPart], now: Millis) -> usize {
    let mut records = 0;
    for part in log {
        for (at, batch) in part.batches.iter().enumerate() {
            if at > 0 || !part.continues {
                scheduler.begin_batch();
            }
            records += batch.len();
            for record in batch {
                scheduler.replay(record, now);
            }
        }
    }
    records
}

/// Restores the state as `serve` does, and notes the time of each part.
async fn measure(options: &RestoreOptions, address: SocketAddr, parallel: bool) -> Result<Figures> {
    let store = Store::new(HttpClient::default(), address.to_string(), || Millis(0));
    let (began, start_cpu) = (Instant::now(), cpu_ms());
    let items = ReadItems::read(&store, parallel).await?;
    let mut last = cpu_ms();
    let read_cpu_ms = last - start_cpu;
    let mut lap = || {
        let now = cpu_ms();
        now - std::mem::replace(&mut last, now)
    };
    let jobs = items.jobs.iter();
    let mut flows = jobs
        .map(|item| postcard::from_bytes::<Workflow>(&item.value).wrap_err("decoding a job"))
        .collect::<Result<Vec<_>>>()?;
    let decode_jobs_ms = lap();
    let now = Millis(1_000_000);
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
    scheduler.configure(Arc::new(rules()));
    flows.sort_by_key(|flow| flow.accepted);
    for flow in flows {
        scheduler.restore(flow, now, Millis(1_000));
    }
    let restore_jobs_ms = lap();
    let log = items.decode_log()?;
    let decode_log_ms = lap();
    let records = replay(&mut scheduler, &log, now);
    let replay_ms = lap();
    scheduler.finish_restore(now, &mut Vec::new());
    let finish_ms = lap();
    let spent = last - start_cpu;
    let wait_ms = (began.elapsed().as_secs_f64() * 1e3 - spent).max(0.0);
    let size = |items: &[Item]| items.iter().map(|item| item.value.len()).sum::<usize>() / 1_000;
    Ok(Figures {
        bench: "restore",
        seed: options.seed,
        parallel,
        link_mbits: options.link,
        jobs: options.jobs,
        stored_jobs: items.jobs.len(),
        open: scheduler.open_jobs(),
        parts: items.parts.len(),
        batches: items.batches.len(),
        records,
        job_kb: size(&items.jobs),
        log_kb: size(&items.parts) + size(&items.batches),
        pages: items.pages,
        page_kb: items.page_bytes / 1_000,
        read_cpu_ms,
        decode_jobs_ms,
        restore_jobs_ms,
        decode_log_ms,
        replay_ms,
        finish_ms,
        wait_ms,
        cpu_ms: spent,
        estimate_ms: wait_ms + spent / options.share,
        ..Figures::default()
    })
}

fn queue_rules() -> QueueRules {
    QueueRules {
        service: "desk-service".to_owned(),
        priority: 2,
        attempts: 3,
        stretch: 4.0,
        target: Millis(3_000),
        advice: Some(AdviceCost {
            call_ms: 430.0,
            host_ms: 6.0,
            valid: Millis(2_000),
        }),
    }
}

fn rules() -> Rules {
    let mut rules = Rules::default();
    rules
        .queues
        .insert("batch-queue".into(), Arc::new(queue_rules()));
    rules
}

/// The records of a deployment in mid-traffic.
struct History {
    jobs: Vec<Workflow>,
    /// When each job ended, in milliseconds; far in the future for open ones.
    ends: HashMap<WorkflowId, u64>,
    /// The records with their times.
    records: Vec<(u64, Record)>,
    end: u64,
}

impl History {
    fn new(options: &RestoreOptions) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let end = options.jobs * JOB_MS / options.open;
        let mut history = Self {
            jobs: Vec::new(),
            ends: HashMap::default(),
            records: Vec::new(),
            end,
        };
        for number in 0..options.jobs {
            history.add_job(number * JOB_MS / options.open, options.tasks, &mut rng);
        }
        history.records.sort_by_key(|(at, _)| *at);
        history.records.retain(|(at, _)| *at < end);
        history
    }

    /// Adds a job that takes 8 s on average, one in ten of them up to a minute.
    fn add_job(&mut self, accepted: u64, tasks: u32, rng: &mut SmallRng) {
        let id = WorkflowId(rng.random());
        let count = tasks / u32::from(STEPS);
        let step = StepSpec {
            count,
            requested: Resources {
                cpu: 6_900,
                memory: 12_000,
                accelerators: 0,
            },
            estimate: Millis(2_200),
            image: Some("registry.example/team/image:123".to_owned()),
            checkpointing: true,
            ..StepSpec::default()
        };
        let steps = (0..STEPS).map(|at| StepSpec {
            after: if at == 0 { Vec::new() } else { vec![at - 1] },
            ..step.clone()
        });
        self.jobs.push(Workflow {
            id,
            queue: "batch-queue".into(),
            team: Some("team-eleven".into()),
            accepted: 1_790_000_000_000 + accepted,
            spec: Arc::new(WorkflowSpec {
                command: "render --scene 17 --frames 100..200 --quality high".to_owned(),
                steps: steps.collect(),
                repeat: None,
            }),
            rules: Arc::new(queue_rules()),
        });
        let is_long = rng.random_range(0..10) == 0;
        let took = if is_long {
            rng.random_range(10_000..60_000)
        } else {
            rng.random_range(1_000..9_000)
        };
        let at_step = took / u64::from(STEPS);
        for step in 0..STEPS {
            let began = accepted + at_step * u64::from(step);
            for index in 0..count {
                let name = TaskName {
                    step: StepId {
                        job: id,
                        occurrence: 0,
                        step,
                    },
                    index,
                };
                let host = format!("exec-{:05}-a", rng.random_range(0..HOSTS));
                let start = began + rng.random_range(0..at_step / 2);
                let run = Record::StartedOn(name, 1, HostId::from(host), 1_789_000_000_000);
                self.records.push((start, run));
                let done = rng.random_range(start + 1..began + at_step);
                self.records.push((done, Record::Done(name)));
            }
        }
        let began = accepted + at_step / 2;
        self.records.push((began, Record::Begun(id)));
        self.ends.insert(id, accepted + took);
        let ended = Record::Ended(id, WorkflowStatus::Completed);
        self.records.push((accepted + took, ended));
    }

    /// Returns the jobs under the keys that a new owner reads first.
    fn stored_jobs(&self, keeps_ended: bool) -> Vec<&Workflow> {
        let is_stored = |flow: &&Workflow| keeps_ended || !self.is_archived(flow.id, self.end);
        self.jobs.iter().filter(is_stored).collect()
    }

    fn is_archived(&self, job: WorkflowId, now: u64) -> bool {
        let end = self.ends.get(&job);
        end.is_some_and(|end| end + ARCHIVE_MS < now)
    }

    /// Returns the stored log, and what its checkpoints have cost.
    fn log(&self, checkpoints: bool) -> StoredLog {
        let mut log = StoredLog::default();
        let mut checkpoint = LogCheckpoint::new(CheckpointSettings::default());
        let mut ends: Vec<(u64, WorkflowId)> =
            self.ends.iter().map(|(job, end)| (*end, *job)).collect();
        ends.sort_unstable();
        let (mut from, mut archived) = (0, 0);
        for (number, now) in (0..self.end).step_by(BATCH_MS as usize).enumerate() {
            let due = |(at, _): &&(u64, Record)| *at < now;
            let batch: Vec<Record> = self.records[from..]
                .iter()
                .take_while(due)
                .map(|(_, record)| record.clone())
                .collect();
            from += batch.len();
            if batch.is_empty() {
                continue;
            }
            let key = format!("log/{:08x}/{number:08x}", 1);
            log.batches.insert(key.clone(), batch.clone());
            if !checkpoints {
                continue;
            }
            let view = View { history: self, now };
            let gone = ends[archived..].iter();
            let gone: Vec<WorkflowId> = gone
                .take_while(|(end, _)| end + ARCHIVE_MS < now)
                .map(|(_, job)| *job)
                .collect();
            archived += gone.len();
            let started = cpu_ms();
            checkpoint.add_batch(&key, batch);
            checkpoint.forget_jobs(&gone);
            let write = checkpoint.next_write(&view, Millis(now)).cloned();
            log.planning_ms += cpu_ms() - started;
            if let Some(write) = write {
                log.transactions += 1;
                checkpoint.finish_write(&log.apply(write));
            }
            if let Some(keys) = checkpoint.begin_removal(Millis(now)) {
                log.transactions += 1;
                for key in keys {
                    log.batches.remove(&key);
                    log.parts.remove(&key);
                }
                checkpoint.finish_removal(true);
            }
        }
        log.finish();
        log
    }
}

/// The owner of a history at a time.
struct View<'a> {
    history: &'a History,
    now: u64,
}

impl OwnerView for View<'_> {
    fn fate(&self, job: WorkflowId) -> JobFate {
        match self.history.ends.get(&job) {
            Some(end) if end + ARCHIVE_MS < self.now => JobFate::Removed,
            Some(end) if end + WRITTEN_MS < self.now => JobFate::Ended,
            _ => JobFate::Open,
        }
    }

    fn has_host(&self, _: &HostId) -> bool {
        true
    }

    fn runs_known(&self) -> bool {
        true
    }
}

/// The log in the store, and what its checkpoints have cost.
#[derive(Debug, Default)]
struct StoredLog {
    batches: BTreeMap<String, Vec<Record>>,
    parts: BTreeMap<String, CheckpointPart>,
    /// The key of the newest batch that the checkpoint in force covers, and the prefix of its parts.
    covered: String,
    prefix: String,
    transactions: u64,
    written: usize,
    /// Processor time of planning, in milliseconds.
    planning_ms: f64,
}

impl StoredLog {
    /// Carries a write out; returns its key.
    fn apply(&mut self, write: CheckpointWrite) -> String {
        match write {
            CheckpointWrite::Part(number, at, part) => {
                let key = format!("part/{number:08x}/{at:08x}");
                self.written += part.batches.iter().map(Vec::len).sum::<usize>();
                self.parts.insert(key.clone(), part);
                key
            }
            CheckpointWrite::Head(number, covered, _) => {
                self.covered = covered;
                self.prefix = format!("part/{number:08x}/");
                "checkpoint".to_owned()
            }
        }
    }

    /// Leaves only what a new owner reads.
    fn finish(&mut self) {
        let (covered, prefix) = (&self.covered, &self.prefix);
        self.batches.retain(|key, _| key > covered);
        self.parts.retain(|key, _| key.starts_with(prefix));
    }
}
