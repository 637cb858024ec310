//! Tests of how much a new owner reads before it calls executors.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;
use tokio::time::sleep;

use crate::platform::Platform;
use crate::traffic::{Volumes, total};
use crate::{Gate, KEY, start_deployment, wait_until};

/// Short jobs of the smaller deployment; the larger ones run three times as many.
const JOBS: u64 = 300;

/// Jobs that are open all the time.
const OPEN: u64 = 200;

/// Jobs that are submitted at a time.
const AT_ONCE: usize = 20;

/// How long the stored keys must not have changed to count as settled.
const SETTLED: Duration = Duration::from_secs(4);

/// How long a test waits for that at most.
const SETTLE_MAX: Duration = Duration::from_secs(20);

/// The pause between takeovers in a row, shorter than the time for which runs of an earlier owner may
/// be unknown.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(3);

/// The most that a larger deployment's new owner may read, as a multiple of the smaller one's.
const MAX_GROWTH: f64 = 1.3;

/// A deployment that runs three times as many jobs.
struct Case {
    name: &'static str,
    /// Takeovers while the jobs run.
    takeovers: u64,
    /// Takeovers in a row after the last job, before the one whose reads count.
    in_a_row: u64,
}

/// Guards against issue 52: a takeover cost what had been, not what was open.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_new_owner_reads_follows_the_open_jobs() {
    let cases = [
        Case {
            name: "one owner until the end",
            takeovers: 0,
            in_a_row: 0,
        },
        Case {
            name: "several owners on the way",
            takeovers: 4,
            in_a_row: 0,
        },
        Case {
            name: "several owners in a row",
            takeovers: 2,
            in_a_row: 4,
        },
    ];
    let small = Case {
        name: "a third of the jobs",
        takeovers: 0,
        in_a_row: 0,
    };
    let (small, large) = tokio::join!(
        reads_of_new_owner(JOBS, &small),
        join_all(cases.iter().map(|case| reads_of_new_owner(3 * JOBS, case)))
    );
    let limit = total(&small);
    let mut missed = Vec::new();
    for (case, volumes) in cases.iter().zip(&large) {
        let found = total(volumes);
        let is_over = exceeds(found.pages, limit.pages)
            || exceeds(found.keys, limit.keys)
            || exceeds(found.bytes, limit.bytes);
        if is_over {
            missed.push(format!("{}: {found:?} of {volumes:?}", case.name));
        }
    }
    assert!(
        missed.is_empty(),
        "more than {MAX_GROWTH} times {limit:?} of {small:?}: {missed:#?}"
    );
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn exceeds(found: usize, limit: usize) -> bool {
    found as f64 > limit as f64 * MAX_GROWTH
}

/// Two gates that take over from each other.
struct Deployment {
    platform: Platform,
    gates: Vec<Gate>,
}

/// Runs jobs, replaces the owner as the case says, and returns what the last new owner reads.
async fn reads_of_new_owner(jobs: u64, case: &Case) -> Volumes {
    let (platform, gates) = start_deployment(4, 2).await;
    let mut deployment = Deployment { platform, gates };
    deployment.submit_open_jobs().await;
    let portions = case.takeovers + 1;
    for portion in 0..portions {
        if portion > 0 {
            deployment.replace_owner().await;
        }
        let (first, last) = (jobs * portion / portions, jobs * (portion + 1) / portions);
        deployment.run_jobs(first, last).await;
    }
    if case.in_a_row == 0 {
        deployment.settle().await;
    }
    for _ in 0..case.in_a_row {
        deployment.replace_owner().await;
        sleep(TAKEOVER_PAUSE).await;
    }
    deployment.replace_owner().await
}

impl Deployment {
    async fn submit_open_jobs(&self) {
        let job = json!({
            "spec": "600000",
            "steps": [{ "count": 2, "cpu": 20, "mem_mb": 8, "estimate_ms": 600_000 }],
        });
        let submit = async |at: u64| {
            let path = format!("/q/{:016x}", 0xb000 + at);
            wait_until("an open job is accepted", async || {
                let answer = self.gates[0].call("POST", &path, KEY, &job).await;
                (answer.status == 200).then_some(())
            })
            .await;
        };
        let numbers: Vec<u64> = (0..OPEN).collect();
        for batch in numbers.chunks(AT_ONCE) {
            join_all(batch.iter().copied().map(&submit)).await;
        }
    }

    /// Runs the jobs with these numbers to their ends.
    async fn run_jobs(&self, first: u64, last: u64) {
        let id = |at: u64| format!("{:016x}", 0xa_0000 + at);
        let run = async |at: u64| {
            let gate = &self.gates[usize::from(at.is_multiple_of(2))];
            wait_until("the job is accepted", async || {
                (gate.submit(&id(at), 1, 20).await.status == 200).then_some(())
            })
            .await;
            gate.wait_state(&id(at), "completed").await;
        };
        let numbers: Vec<u64> = (first..last).collect();
        for batch in numbers.chunks(AT_ONCE) {
            join_all(batch.iter().copied().map(&run)).await;
        }
    }

    /// Waits until the keys in the store stay as they are.
    async fn settle(&self) {
        let (started, mut changed) = (Instant::now(), Instant::now());
        let mut last = Vec::new();
        while changed.elapsed() < SETTLED && started.elapsed() < SETTLE_MAX {
            let keys = self.platform.store.keys("wigeongate/");
            if keys != last {
                (last, changed) = (keys, Instant::now());
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Kills the owner and starts it again once the other gate has taken over; returns what that gate
    /// had read until it first called an executor.
    async fn replace_owner(&mut self) -> Volumes {
        let owns = |at: &usize| {
            let name = format!("gate-{at}");
            self.platform.store.contains("wigeongate/owner", &name)
        };
        let at = (0..self.gates.len()).find(owns).expect("an owner");
        let (last, _) = self.platform.store.traffic.last_call();
        let killed = Instant::now();
        drop(self.gates.remove(at));
        let called = wait_until("the other gate calls executors", async || {
            let (epoch, called) = self.platform.store.traffic.last_call();
            (epoch > last).then_some(called)
        })
        .await;
        let volumes = self.platform.store.traffic.volumes(killed, called);
        let gate = Gate::start(&self.platform, &format!("gate-{at}")).await;
        self.gates.insert(at, gate);
        volumes
    }
}
