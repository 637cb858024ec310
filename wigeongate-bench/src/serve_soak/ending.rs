//! The end of a play: all gates are lost at once and start again, and have to serve in time.

use std::time::Duration;

use eyre::Result;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use super::check::Run;
use super::lines::steady_ms;
use super::site::Site;
use super::slow_process::SlowProcesses;
use super::work::{self, Jobs};

/// How long after the restart callers have to be served, in milliseconds: the `recover_s` of the
/// platform's sites.
const RECOVER_MS: u64 = 12_000;

/// Jobs that are open when the gates are lost, beside those of the play.
const HELD: u64 = 24;

/// How long these jobs run before the gates are lost.
const HELD_FOR: Duration = Duration::from_millis(500);

/// The pause between new jobs after the restart.
const SUBMIT_PAUSE: Duration = Duration::from_millis(500);

/// The numbers of the first held and of the first new job.
const FIRST_HELD: u64 = 0x2000_0000;
const FIRST_NEW: u64 = 0x3000_0000;

/// What happened at the end of a play.
#[derive(Debug)]
pub struct Ending {
    /// Jobs that a new owner restores when the gates were lost.
    stored: usize,
    /// Archived jobs in the store then.
    archived: usize,
    /// Batches of the log there.
    batches: usize,
    /// When all gates had been started again, on the steady clock in milliseconds.
    restarted: u64,
    held: Vec<String>,
    /// Jobs that were submitted after the restart, and whether they were accepted.
    new: Vec<(String, bool)>,
}

/// How callers were served after the restart, within the bound.
#[derive(Debug, Serialize)]
pub struct Recovery {
    stored: usize,
    archived: usize,
    batches: usize,
    /// From the restart to the first start of a task, in milliseconds.
    first_start_ms: Option<u64>,
    /// Jobs that were held open, and those of them of which a task started.
    held: usize,
    went_on: usize,
    /// New jobs, and those that were accepted and that ended.
    submitted: usize,
    accepted: usize,
    ended: usize,
    /// What callers were to see and did not.
    pub missed: Vec<&'static str>,
}

/// Kills all gates at the same moment, starts them again with a share of a core each, and submits jobs
/// until the bound.
pub async fn lose_gates(site: &Site, jobs: &Jobs, seed: u64, share: f64) -> Result<Ending> {
    // The second step needs the next owner.
    let step = |after: &[u32]| json!({ "count": 1, "cpu": 200, "mem_mb": 16, "estimate_ms": 1_000, "after": after });
    let body = json!({ "spec": "1000 2000", "steps": [step(&[]), step(&[0])] });
    let held: Vec<String> = (0..HELD)
        .map(|at| work::job_id(seed, FIRST_HELD + at))
        .collect();
    let calls = (0..).zip(&held);
    join_all(calls.map(|(number, id)| work::call(site, jobs, id, &body, None, number))).await;
    sleep(HELD_FOR).await;
    let stored = site.count("wigeongate/job/").await;
    let archived = site.count("wigeongate/ended/").await;
    let batches = site.count("wigeongate/log/").await;
    site.restart_gates().await?;
    let restarted = steady_ms();
    let slow = (share < 1.0).then(|| SlowProcesses::start(site.gate_ids(), share));
    let until = Instant::now() + Duration::from_millis(RECOVER_MS);
    let body = json!({
        "spec": "200 400",
        "steps": [{ "count": 1, "cpu": 200, "mem_mb": 16, "estimate_ms": 300 }],
    });
    let mut new = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = work::job_id(seed, FIRST_NEW + number);
        let pause = Instant::now() + SUBMIT_PAUSE;
        let is_accepted = work::submit_once(site, jobs, &id, &body, number).await;
        new.push((id, is_accepted));
        sleep_until(pause).await;
    }
    drop(slow);
    Ok(Ending {
        stored,
        archived,
        batches,
        restarted,
        held,
        new,
    })
}

impl Ending {
    /// Returns how callers were served, by the runs of the executors.
    pub fn recovery(&self, runs: &[Run]) -> Recovery {
        let is_in_time = |at: u64| (self.restarted..=self.restarted + RECOVER_MS).contains(&at);
        let has = |id: &str, is: &dyn Fn(&Run) -> bool| {
            let mut of_job = runs.iter().filter(|run| run.task.starts_with(id));
            of_job.any(is)
        };
        let has_started = |id: &&String| has(id, &|run| is_in_time(run.start));
        let has_ended = |id: &str| {
            has(id, &|run| {
                run.how == "done" && run.end.is_some_and(is_in_time)
            })
        };
        let first_start = runs.iter().map(|run| run.start);
        let first_start = first_start.filter(|start| *start >= self.restarted).min();
        let went_on = self.held.iter().filter(has_started).count();
        let accepted = || self.new.iter().filter(|(_, is_accepted)| *is_accepted);
        let ended = accepted().filter(|(id, _)| has_ended(id)).count();
        let mut missed = Vec::new();
        // As for the platform, a quarter tells service from none.
        if went_on * 4 < self.held.len() {
            missed.push("open jobs go on");
        }
        if ended == 0 {
            missed.push("a new job is accepted, starts and ends");
        }
        Recovery {
            stored: self.stored,
            archived: self.archived,
            batches: self.batches,
            first_start_ms: first_start.map(|start| start - self.restarted),
            held: self.held.len(),
            went_on,
            submitted: self.new.len(),
            accepted: accepted().count(),
            ended,
            missed,
        }
    }
}
