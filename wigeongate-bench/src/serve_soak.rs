//! Gates of `serve`, executors and a store as real processes under faults that overlap, a check that
//! no task runs twice, and one that callers are served after all gates were lost at the end.

mod check;
mod ending;
pub mod executor;
mod faults;
mod http;
mod lines;
mod proxy;
mod site;
mod slow_process;
pub mod store;
mod work;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, bail};
use serde::Serialize;
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};

use self::check::{Break, Run};
use self::ending::{Ending, Recovery};
use self::faults::{Fault, Kind};
use self::site::Site;
use self::work::Jobs;

/// How long jobs may take after the last fault, and again after the end, in seconds.
const SETTLE_S: u64 = 40;

/// What to try.
#[derive(Debug, Clone, Bpaf)]
pub struct ServeSoakOptions {
    /// The seed.
    #[bpaf(fallback(1))]
    seed: u64,
    /// How long jobs are submitted and faults begin.
    #[bpaf(fallback(35))]
    seconds: u64,
    /// Gates.
    #[bpaf(fallback(3))]
    gates: usize,
    /// Executors.
    #[bpaf(fallback(8))]
    executors: usize,
    /// How slow the clocks of half of the executors are, in thousandths.
    #[bpaf(fallback(20))]
    slow: u64,
    /// How many jobs in a hundred are cancelled.
    #[bpaf(fallback(12))]
    cancels: u32,
    /// How many short jobs are submitted a second, beside the others.
    #[bpaf(fallback(0))]
    short: u32,
    /// The share of a core that each gate has after all were lost, in thousandths.
    #[bpaf(fallback(1_000))]
    share: u32,
    /// The kinds of faults, separated by commas; without it all but suspensions.
    #[bpaf(fallback(String::new()))]
    only: String,
    /// The folder in which the logs of a failing play are kept.
    #[bpaf(fallback(PathBuf::from("serve-soak")))]
    logs: PathBuf,
    /// Keeps the logs of a play that holds as well.
    keep: bool,
}

/// The figures of one play.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    seed: u64,
    seconds: u64,
    gates: usize,
    executors: usize,
    faults: BTreeMap<String, usize>,
    jobs: usize,
    accepted: usize,
    completed: usize,
    runs: usize,
    lapsed: usize,
    overlaps: usize,
    after_done: usize,
    /// Accepted jobs that are not known, or are shown as failed or cancelled without cause.
    lost: Vec<String>,
    /// Accepted jobs that have not ended in time.
    open: Vec<String>,
    /// How the gates counted runs as ended without a report, and how often.
    unreported: BTreeMap<String, usize>,
    /// How the first runs of overlaps were counted as ended, and how often.
    proofs: BTreeMap<String, usize>,
    /// How callers were served after all gates were lost at the end.
    recovery: Recovery,
}

/// Returns a time of day as in the logs of gates.
fn time_of_day(unix_ms: u64) -> String {
    let (seconds, ms) = (unix_ms / 1_000 % 86_400, unix_ms % 1_000);
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{ms:03}", seconds % 60)
}

/// Plays and prints the figures; a broken rule is an error.
pub fn run(options: &ServeSoakOptions) -> Result<()> {
    let only = options.only.split(',').filter(|it| !it.is_empty());
    let only: Vec<Kind> = only.map(str::parse).collect::<Result<_>>()?;
    let folder = options.logs.join(format!("seed-{}", options.seed));
    if folder.exists() {
        bail!("the folder {} exists", folder.display());
    }
    std::fs::create_dir_all(&folder)?;
    let faults = faults::draw(options.seed, options.seconds, &only);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let (jobs, ending) = runtime.block_on(async {
        tokio::select! {
            played = play(options, &faults, &folder) => played,
            _ = tokio::signal::ctrl_c() => bail!("the play was ended"),
        }
    })?;
    // The processes end with the runtime.
    drop(runtime);
    let lines = lines::read(&folder.join("runs.jsonl"));
    let runs = check::runs(&lines);
    let breaks = check::breaks(&runs);
    let recovery = ending.recovery(&runs);
    let figures = figures(options, &faults, &jobs, &runs, &breaks, &folder, recovery);
    println!("{}", serde_json::to_string(&figures)?);
    let missed = &figures.recovery.missed;
    if breaks.is_empty() && figures.lost.is_empty() && figures.open.is_empty() && missed.is_empty()
    {
        if options.keep {
            return Ok(());
        }
        std::fs::remove_dir_all(&folder)?;
        return Ok(());
    }
    let only = if options.only.is_empty() {
        String::new()
    } else {
        format!(" --only {}", options.only)
    };
    bail!(
        "broken; logs in {}; wigeongate-bench serve-soak --seed {} --seconds {} --gates {} \
         --executors {} --slow {} --cancels {} --short {} --share {}{only} --logs FOLDER",
        folder.display(),
        options.seed,
        options.seconds,
        options.gates,
        options.executors,
        options.slow,
        options.cancels,
        options.short,
        options.share,
    )
}

async fn play(
    options: &ServeSoakOptions,
    faults: &[Fault],
    folder: &Path,
) -> Result<(Jobs, Ending)> {
    let started = Site::start(folder, options.gates, options.executors, options.slow).await;
    let site = Arc::new(started?);
    let jobs = Arc::new(Jobs::default());
    let begin = Instant::now();
    let until = begin + Duration::from_secs(options.seconds);
    let watched = Arc::clone(&site);
    let restarts = tokio::spawn(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            for gate in &watched.gates {
                // A gate that a fault has killed is started again by that fault.
                if gate.has_ended() {
                    sleep(Duration::from_secs(3)).await;
                    let _ = gate.restart();
                }
            }
        }
    });
    let callers = tokio::spawn(work::submit(
        Arc::clone(&site),
        Arc::clone(&jobs),
        options.seed,
        options.cancels,
        until,
    ));
    let short = tokio::spawn(work::submit_short(
        Arc::clone(&site),
        Arc::clone(&jobs),
        options.seed,
        options.short,
        until,
    ));
    let mut running = tokio::task::JoinSet::new();
    for fault in faults {
        sleep_until(begin + Duration::from_millis(fault.at)).await;
        running.spawn(faults::inject(Arc::clone(&site), *fault));
    }
    while let Some(done) = running.join_next().await {
        done??;
    }
    callers.await?;
    short.await?;
    // A backlog of the play is no measure of how service returns.
    work::settle(&site, &jobs, Instant::now() + Duration::from_secs(SETTLE_S)).await;
    let share = f64::from(options.share) / 1e3;
    let ending = ending::lose_gates(&site, &jobs, options.seed, share).await?;
    let until = Instant::now() + Duration::from_secs(SETTLE_S);
    work::settle(&site, &jobs, until).await;
    restarts.abort();
    let _ = restarts.await;
    let jobs = Arc::try_unwrap(jobs).map_err(|_| eyre::eyre!("jobs are still in use"))?;
    Ok((jobs, ending))
}

fn figures(
    options: &ServeSoakOptions,
    faults: &[Fault],
    jobs: &Jobs,
    runs: &[Run],
    breaks: &[Break],
    folder: &Path,
    recovery: Recovery,
) -> Figures {
    let mut by_kind = BTreeMap::new();
    for fault in faults {
        *by_kind.entry(fault.kind.to_string()).or_default() += 1;
    }
    let mut proofs = BTreeMap::new();
    let logs = gate_logs(folder);
    let mut unreported = BTreeMap::new();
    for (_, line) in logs.iter().filter(|(_, line)| is_unreported(line)) {
        *unreported.entry(proof_of(line)).or_default() += 1;
    }
    for it in breaks {
        let proof = print_break(it, &logs);
        *proofs.entry(proof).or_default() += 1;
    }
    let all = jobs.all();
    let accepted = || all.iter().filter(|(_, job)| job.accepted);
    let named = |is: &dyn Fn(&work::Job) -> bool| {
        let found = accepted().filter(|(_, job)| is(job));
        found
            .map(|(id, job)| format!("{id} {}", job.state))
            .collect()
    };
    Figures {
        bench: "serve-soak",
        seed: options.seed,
        seconds: options.seconds,
        gates: options.gates,
        executors: options.executors,
        faults: by_kind,
        jobs: all.len(),
        accepted: accepted().count(),
        completed: accepted()
            .filter(|(_, job)| job.state == "completed")
            .count(),
        runs: runs.len(),
        lapsed: runs.iter().filter(|run| run.how == "lapsed").count(),
        overlaps: breaks.iter().filter(|it| !it.after_done).count(),
        after_done: breaks.iter().filter(|it| it.after_done).count(),
        lost: named(&|job| {
            let has_ended = matches!(job.state.as_str(), "410" | "failed" | "cancelled");
            has_ended && !job.cancelled
        }),
        open: named(&|job| {
            !matches!(
                job.state.as_str(),
                "410" | "failed" | "cancelled" | "completed"
            )
        }),
        unreported,
        proofs,
        recovery,
    }
}

/// Returns the lines about single runs in the logs of all gates, with the names of the gates.
fn gate_logs(folder: &Path) -> Vec<(String, Value)> {
    let mut found = Vec::new();
    for number in 0.. {
        let name = format!("gate-{number}");
        let Ok(text) = std::fs::read_to_string(folder.join(format!("{name}.log"))) else {
            break;
        };
        let lines = text.lines().filter_map(|line| {
            let line: Value = serde_json::from_str(line).ok()?;
            Some((name.clone(), line))
        });
        found.extend(lines);
    }
    found
}

fn is_unreported(line: &Value) -> bool {
    let message = line["message"].as_str().unwrap_or_default();
    message.contains("ended without a report")
}

fn proof_of(line: &Value) -> String {
    line["proof"].as_str().unwrap_or("?").to_owned()
}

/// Prints a break with the lines of the gates about its first run; returns the proof by which that
/// was counted as ended.
fn print_break(it: &Break, logs: &[(String, Value)]) -> String {
    let show = |run: &Run| {
        let end = run.end.map_or("-".to_owned(), |end| {
            time_of_day(run.unix + end.saturating_sub(run.start))
        });
        let polled = run.unix + run.polled.0.saturating_sub(run.start);
        format!(
            "run {} on {} start {} end {end} {} noted {} last poll {}",
            run.number,
            run.host,
            time_of_day(run.unix),
            run.how,
            run.noted,
            time_of_day(polled),
        )
    };
    let what = if it.after_done {
        "started after its end as done"
    } else {
        "two runs at once"
    };
    eprintln!(
        "{what}: {} [{}] [{}]",
        it.first.task,
        show(&it.first),
        show(&it.second)
    );
    let mut proof = "none".to_owned();
    for (gate, line) in logs {
        let is_of_task = line["task"].as_str() == Some(&it.first.task);
        if !is_of_task || !is_unreported(line) {
            continue;
        }
        eprintln!("  {gate} {line}");
        if line["run"].as_u64() == Some(it.first.number) {
            proof = proof_of(line);
        }
    }
    proof
}
