//! Tests of owners that write checkpoints of the log, and of those that take over after them.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;

use crate::platform::{Platform, StoreFault};
use crate::{Gate, KEY, wait_for_owner, wait_until};

const JOBS: u64 = 24;

/// Tasks of each job.
const TASKS: u32 = 16;

/// The key of the checkpoint in force.
const HEAD: &str = "wigeongate/checkpoint";

/// How long a fault lasts.
const FAULT: Duration = Duration::from_secs(3);

/// What the store does with the transactions of the owner.
struct Case {
    name: &'static str,
    fault: StoreFault,
}

/// Submits a job until its acceptance is confirmed: a write that takes longer than its timeout is
/// answered with 504, after which callers try again.
pub async fn store_job(gate: &Gate, id: &str, tasks: u32, run_ms: u32) {
    wait_until("the job is stored", async || {
        let status = gate.submit(id, tasks, run_ms).await.status;
        (status == 200).then_some(())
    })
    .await;
}

/// Guards against ended jobs that run again, or answers that change, once a checkpoint has replaced the
/// log, also after transactions whose outcome the owner does not know.
#[tokio::test(flavor = "multi_thread")]
async fn ended_jobs_stay_ended_after_a_checkpoint_and_a_change_of_owner() {
    let cases = [
        Case {
            name: "the store works",
            fault: StoreFault::None,
        },
        Case {
            name: "the store carries out transactions without answering them",
            fault: StoreFault::DropsRemovalAnswers,
        },
        Case {
            name: "the store carries out transactions later",
            fault: StoreFault::DelaysRemovals,
        },
        Case {
            name: "the store refuses transactions",
            fault: StoreFault::KeepsKeys,
        },
    ];
    join_all(cases.map(replace_during)).await;
}

async fn replace_during(case: Case) {
    let platform = Platform::start(4).await;
    platform.configure(1, &[KEY]);
    let mut gates = vec![Gate::start(&platform, "gate-0").await];
    wait_for_owner(&platform, 1).await;
    gates.push(Gate::start(&platform, "gate-1").await);
    platform.store.set_fault(case.fault);
    let id = |at: u64| format!("{:016x}", 0x9000 + at);
    let open = "00000000000090ff";
    store_job(&gates[1], open, 1, 600_000).await;
    for at in 0..JOBS {
        store_job(&gates[1], &id(at), TASKS, 20).await;
    }
    for at in 0..JOBS {
        gates[1].wait_state(&id(at), "completed").await;
    }
    if case.fault != StoreFault::None {
        tokio::time::sleep(FAULT).await;
        platform.store.set_fault(StoreFault::None);
    }
    wait_until(
        "a checkpoint is in force and what it replaces is removed",
        async || {
            let keys = platform.store.keys("wigeongate/log/");
            let is_short = keys.first().is_none_or(|key| !key.ends_with("/00000001"));
            (platform.store.count(HEAD) > 1 && is_short).then_some(())
        },
    )
    .await;
    // Transactions that the store carries out late are carried out before the takeover.
    tokio::time::sleep(FAULT).await;
    // What an owner leaves behind that is lost before it has removed what a checkpoint replaces.
    let left = [
        "wigeongate/log/00000000/00000001",
        "wigeongate/checkpoint/00000000/00000001/00000001",
    ];
    for key in left {
        platform.store.put_bytes(key, vec![0xff; 16]);
    }
    // The owner may have been replaced before, on a busy machine.
    let is_owner = |name: &str| platform.store.contains("wigeongate/owner", name);
    let (owner, other) = if is_owner("gate-1") {
        (1, "gate-0")
    } else {
        (0, "gate-1")
    };
    drop(gates.remove(owner));
    wait_until("the other gate is the owner", async || {
        is_owner(other).then_some(())
    })
    .await;
    let gate = &gates[0];
    for at in (0..JOBS).step_by(4) {
        gate.wait_state(&id(at), "completed").await;
        let path = format!("/q/{}", id(at));
        assert_eq!(
            gate.submit(&id(at), TASKS, 20).await.status,
            200,
            "{}",
            case.name
        );
        let answer = gate.call("DELETE", &path, KEY, &Value::Null).await;
        assert_eq!(answer.status, 200, "{}", case.name);
        gate.wait_state(&id(at), "completed").await;
    }
    gate.wait_state(open, "running").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let starts = |id: &str| platform.starts(id).len();
    for at in 0..JOBS {
        assert_eq!(starts(&id(at)), TASKS as usize, "{}", case.name);
    }
    assert_eq!(starts(open), 1, "{}", case.name);
    for key in left {
        let gone = async || (platform.store.count(key) == 0).then_some(());
        wait_until("what was left behind is removed", gone).await;
    }
}

/// Guards against records that are left out although a later version needs them: it can read a job
/// or a batch that this one cannot.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_with_unreadable_values_stays_as_it_is() {
    let keys = [
        "wigeongate/log/00000000/00000001",
        "wigeongate/job/00000000000090fe",
        HEAD,
    ];
    join_all(keys.map(run_beside_unreadable)).await;
}

async fn run_beside_unreadable(key: &str) {
    let platform = Platform::start(4).await;
    platform.configure(1, &[KEY]);
    platform.store.put_bytes(key, vec![0xff; 16]);
    let gate = Gate::start(&platform, "gate-0").await;
    wait_for_owner(&platform, 1).await;
    let id = |at: u64| format!("{:016x}", 0x9000 + at);
    for at in 0..JOBS {
        store_job(&gate, &id(at), TASKS, 20).await;
    }
    for at in 0..JOBS {
        gate.wait_state(&id(at), "completed").await;
    }
    // Without the value, a checkpoint is written 5 s after the last.
    tokio::time::sleep(Duration::from_millis(5_500) + FAULT).await;
    assert_eq!(
        platform.store.keys(HEAD).len(),
        usize::from(key == HEAD),
        "{key}"
    );
    let log = platform.store.keys("wigeongate/log/");
    let first = log.iter().find(|other| *other != key);
    assert!(
        first.is_some_and(|first| first.ends_with("/00000001")),
        "{key}: {log:?}"
    );
    assert_eq!(platform.store.keys(key).len(), 1);
}
