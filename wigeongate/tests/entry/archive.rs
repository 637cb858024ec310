//! Tests of callers who ask for ended jobs while these are archived and the owner changes.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::Value;
use wigeongate::entry::records::{EndedRecord, encode};
use wigeongate_core::workflow::WorkflowStatus;

use crate::checkpoint::store_job;
use crate::platform::{Platform, StoreFault};
use crate::{Gate, KEY, start_deployment, wait_until};

/// How long callers keep asking around a takeover.
const TAKEOVER: Duration = Duration::from_secs(4);

/// What happens to the store from before the ends until after the takeover.
struct Case {
    name: &'static str,
    fault: StoreFault,
}

/// Guards against ended jobs that run again, or are forgotten, while they are archived.
#[tokio::test(flavor = "multi_thread")]
async fn ended_jobs_are_answered_alike_before_and_after_a_takeover() {
    let cases = [
        Case {
            name: "no fault",
            fault: StoreFault::None,
        },
        Case {
            name: "moves get no answer",
            fault: StoreFault::DropsRemovalAnswers,
        },
        Case {
            name: "moves are carried out late",
            fault: StoreFault::DelaysRemovals,
        },
        Case {
            name: "moves are refused, so that the next owner finds the jobs as an earlier version \
                   leaves them",
            fault: StoreFault::KeepsKeys,
        },
        Case {
            name: "the next owner cannot read what is archived",
            fault: StoreFault::HidesArchive,
        },
    ];
    join_all(cases.map(take_over_during)).await;
}

/// An ended job and its state.
struct EndedJob {
    id: &'static str,
    state: &'static str,
    starts: usize,
}

const JOBS: [EndedJob; 2] = [
    EndedJob {
        id: "000000000000b001",
        state: "completed",
        starts: 2,
    },
    EndedJob {
        id: "000000000000b002",
        state: "cancelled",
        starts: 1,
    },
];

async fn take_over_during(case: Case) {
    let (platform, mut gates) = start_deployment(2, 2).await;
    platform.store.set_fault(case.fault);
    let [done, cancelled] = JOBS;
    store_job(&gates[0], done.id, 2, 100).await;
    store_job(&gates[0], cancelled.id, 1, 50_000).await;
    wait_until("the task starts", async || {
        (platform.starts(cancelled.id).len() == 1).then_some(())
    })
    .await;
    let path = format!("/q/{}", cancelled.id);
    wait_until("the job is cancelled", async || {
        let answer = gates[0].call("DELETE", &path, KEY, &Value::Null).await;
        (answer.status == 200).then_some(())
    })
    .await;
    gates[0].wait_state(done.id, "completed").await;
    for gate in &gates {
        wait_until("the owner answers", async || {
            ask(gate, case.name).await.then_some(())
        })
        .await;
    }
    // The first gate is the owner, since it started alone.
    drop(gates.remove(0));
    let began = Instant::now();
    while began.elapsed() < TAKEOVER {
        ask(&gates[0], case.name).await;
    }
    wait_until("the next owner answers", async || {
        ask(&gates[0], case.name).await.then_some(())
    })
    .await;
    platform.store.set_fault(StoreFault::None);
    wait_until("the jobs are archived", async || {
        let count = |prefix| platform.store.count(prefix);
        (count("wigeongate/job/") == 0 && count("wigeongate/ended/") == 2).then_some(())
    })
    .await;
    wait_until("the owner answers for archived jobs", async || {
        ask(&gates[0], case.name).await.then_some(())
    })
    .await;
    for job in JOBS {
        assert_eq!(platform.starts(job.id).len(), job.starts, "{}", case.name);
    }
}

/// Asks a gate for the ended jobs in every way; returns whether it has answered each call. Until there
/// is an owner, it may say that the caller is to come back, and nothing else.
async fn ask(gate: &Gate, name: &str) -> bool {
    let mut is_answered = true;
    for job in JOBS {
        let path = format!("/q/{}", job.id);
        let submitted = gate.submit(job.id, 2, 100).await;
        let cancelled = gate.call("DELETE", &path, KEY, &Value::Null).await;
        let shown = gate.call("GET", &path, KEY, &Value::Null).await;
        for answer in [&submitted, &cancelled, &shown] {
            let is_put_off = matches!(answer.status, 503 | 504) && answer.retry_after;
            assert!(answer.status == 200 || is_put_off, "{name}: {answer:?}");
            is_answered &= answer.status == 200;
        }
        let state = format!("{{\"state\":\"{}\"}}", job.state);
        assert!(
            shown.status != 200 || shown.body == state,
            "{name}: {shown:?}"
        );
    }
    is_answered
}

/// Guards against takeovers that cost what has been: a new owner reads all accepted jobs.
#[tokio::test(flavor = "multi_thread")]
async fn only_open_jobs_stay_among_the_accepted_ones() {
    let platform = Platform::start(2).await;
    platform.configure(1, &[KEY]);
    // What this version cannot read is left alone.
    let unreadable = "wigeongate/ended/000000000000bfff";
    platform.store.put_bytes(unreadable, vec![255]);
    let gate = Gate::start(&platform, "gate-0").await;
    let (open, ended) = (3, 60);
    let ids = (0..open + ended).map(|at| format!("{:016x}", 0xc000 + at));
    let ids: Vec<String> = ids.collect();
    for (at, id) in ids.iter().enumerate() {
        let run_ms = if at < open { 50_000 } else { 50 };
        store_job(&gate, id, 1, run_ms).await;
    }
    for id in &ids[open..] {
        gate.wait_state(id, "completed").await;
    }
    wait_until("the ended jobs are archived", async || {
        let accepted = platform.store.keys("wigeongate/job/");
        let is_open = |key: &String| ids[..open].iter().any(|id| key.ends_with(id));
        (accepted.len() == open && accepted.iter().all(is_open)).then_some(())
    })
    .await;
    assert_eq!(platform.store.count("wigeongate/ended/"), ended + 1);
    assert_eq!(
        platform.store.value(unreadable).map(|it| it.0),
        Some(vec![255])
    );
    for id in &ids[open..] {
        gate.wait_state(id, "completed").await;
        assert_eq!(platform.starts(id).len(), 1, "{id}");
    }
}

/// More archived jobs than the store returns in one page.
const OLD_JOBS: u64 = 1_200;

/// Guards against an age that begins anew with each owner, and against pages that are not read.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_owner_removes_what_was_archived_when_its_time_is_over() {
    let platform = Platform::start(1).await;
    platform.configure(1, &[KEY]);
    let key = |id: u64| format!("wigeongate/ended/{id:016x}");
    let store = |id: u64, ended_ms: u64| {
        let status = WorkflowStatus::Failed;
        let record = EndedRecord { status, ended_ms };
        platform.store.put_bytes(&key(id), encode(&record));
    };
    for id in 0..OLD_JOBS {
        store(id, 1_000);
    }
    // The clock of the earlier owner may have been ahead.
    store(OLD_JOBS, u64::MAX);
    let gate = Gate::start(&platform, "gate-0").await;
    wait_until("the old ends are removed", async || {
        (platform.store.count("wigeongate/ended/") == 1).then_some(())
    })
    .await;
    gate.wait_state(&format!("{OLD_JOBS:016x}"), "failed").await;
    let path = format!("/q/{:016x}", 7);
    let answer = gate.call("GET", &path, KEY, &Value::Null).await;
    assert_eq!(answer.status, 410);
}
