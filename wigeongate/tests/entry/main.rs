//! Tests of gates that run as separate processes against a simulated platform.

mod archive;
mod cancels;
mod capacity;
mod checkpoint;
mod departures;
mod full_fleet;
#[expect(dead_code, reason = "other tests use more of it")]
mod gate;
mod job_memory;
mod large_store;
mod limits;
mod lost_takeovers;
mod many_ends;
mod outages;
mod platform;
mod restarts;
mod restore_growth;
mod restore_turns;
mod retention;
mod routes;
mod run_times;
#[path = "../../../wigeongate-bench/src/serve_soak/slow_process.rs"]
mod slow_process;
mod stored_records;
mod traffic;
mod waiting_orders;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};

use self::gate::{Gate, GateBounds, KEY, wait_until};
use self::platform::{Platform, StoreFault};

/// Starts a platform with a configuration in force, and gates on it.
async fn start_deployment(executors: usize, gates: usize) -> (Platform, Vec<Gate>) {
    let platform = Platform::start(executors).await;
    platform.configure(1, &[KEY]);
    let mut all = Vec::new();
    for at in 0..gates {
        all.push(Gate::start(&platform, &format!("gate-{at}")).await);
    }
    (platform, all)
}

/// Waits until one of the gates is the owner, and returns its position.
async fn wait_for_owner(platform: &Platform, gates: usize) -> usize {
    wait_until("a gate is the owner", async || {
        let is_owner = |at: &usize| {
            let name = format!("gate-{at}");
            platform.store.contains("wigeongate/owner", &name)
        };
        (0..gates).find(is_owner)
    })
    .await
}

/// A request to a gate and the status that it gets.
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    key: &'static str,
    status: u16,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submitted_job_completes_and_requests_get_their_statuses() {
    let (platform, gates) = start_deployment(2, 2).await;
    let id = "00000000000000a1";
    assert_eq!(gates[0].submit(id, 3, 100).await.status, 200);
    // A retry at another gate does not create a second job.
    assert_eq!(gates[1].submit(id, 3, 100).await.status, 200);
    gates[1].wait_state(id, "completed").await;
    assert_eq!(platform.starts(id).len(), 3);

    let cases = [
        Case {
            name: "the state of a job that was never submitted",
            method: "GET",
            path: "/q/00000000000000ff",
            key: KEY,
            status: 410,
        },
        Case {
            name: "cancelling a job that was never submitted",
            method: "DELETE",
            path: "/q/00000000000000ff",
            key: KEY,
            status: 410,
        },
        Case {
            name: "an unknown key",
            method: "GET",
            path: "/q/00000000000000a1",
            key: "key-2",
            status: 401,
        },
        Case {
            name: "an unknown queue",
            method: "GET",
            path: "/other/00000000000000a1",
            key: KEY,
            status: 404,
        },
        Case {
            name: "a body that is not a valid job",
            method: "POST",
            path: "/q/00000000000000a2",
            key: KEY,
            status: 400,
        },
        Case {
            name: "the number of pending jobs",
            method: "GET",
            path: "/q/",
            key: KEY,
            status: 200,
        },
    ];
    for case in cases {
        let answer = gates[0]
            .call(case.method, case.path, case.key, &Value::Null)
            .await;
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelling_a_running_job_stops_it() {
    let (platform, gates) = start_deployment(1, 1).await;
    let id = "00000000000000b1";
    assert_eq!(gates[0].submit(id, 1, 50_000).await.status, 200);
    wait_until("the task starts", async || {
        (platform.starts(id).len() == 1).then_some(())
    })
    .await;
    let path = format!("/q/{id}");
    let answer = gates[0].call("DELETE", &path, KEY, &Value::Null).await;
    assert_eq!(answer.status, 200);
    gates[0].wait_state(id, "cancelled").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_gate_replaces_a_killed_owner_without_running_a_task_twice() {
    let (platform, mut gates) = start_deployment(2, 2).await;
    for at in 0..20 {
        let id = format!("{:016x}", 0xc00 + at);
        assert_eq!(gates[1].submit(&id, 2, 300).await.status, 200);
    }
    // The first gate is the owner, since it started alone.
    drop(gates.remove(0));
    for at in 0..20 {
        let id = format!("{:016x}", 0xc00 + at);
        gates[0].wait_state(&id, "completed").await;
        let mut tasks: Vec<String> = platform
            .starts(&id)
            .into_iter()
            .map(|run| run.task)
            .collect();
        tasks.sort();
        tasks.dedup();
        assert_eq!(
            tasks.len(),
            platform.starts(&id).len(),
            "{id} ran a task twice"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_of_a_lost_executor_runs_again_on_another_host() {
    let (mut platform, gates) = start_deployment(2, 1).await;
    let id = "00000000000000d1";
    assert_eq!(gates[0].submit(id, 1, 1_000).await.status, 200);
    let first = wait_until("the task starts", async || platform.starts(id).pop()).await;
    platform.end_executor(&first.host);
    let next = wait_until("the task starts again", async || {
        platform
            .starts(id)
            .into_iter()
            .find(|run| run.host != first.host)
    })
    .await;
    assert!(next.run > first.run);
    gates[0].wait_state(id, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_store_answers_503_jobs_and_keys_are_refused_with_retry_after() {
    let (platform, gates) = start_deployment(1, 1).await;
    platform.store.set_fault(StoreFault::Busy);
    let answer = gates[0].submit("00000000000000e1", 1, 100).await;
    assert_eq!((answer.status, answer.retry_after), (503, true));
    // Without answers of the store nothing confirms that the keys are still valid.
    wait_until("keys are refused", async || {
        let answer = gates[0].call("GET", "/q/", KEY, &Value::Null).await;
        (answer.status == 503 && answer.retry_after).then_some(())
    })
    .await;
    platform.store.set_fault(StoreFault::None);
    wait_until("keys are accepted again", async || {
        let answer = gates[0].call("GET", "/q/", KEY, &Value::Null).await;
        (answer.status == 200).then_some(())
    })
    .await;
    // The refused job was neither stored nor run.
    assert!(platform.starts("00000000000000e1").is_empty());
    assert_eq!(platform.store.count("wigeongate/job/"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_store_write_gets_no_answer_runs_once() {
    let (platform, gates) = start_deployment(1, 1).await;
    let id = "00000000000000f1";
    platform.store.set_fault(StoreFault::DropsJobAnswers);
    // The gate looks the job up in the store before it answers.
    assert_eq!(gates[0].submit(id, 1, 100).await.status, 200);
    platform.store.set_fault(StoreFault::None);
    assert_eq!(gates[0].submit(id, 1, 100).await.status, 200);
    gates[0].wait_state(id, "completed").await;
    assert_eq!(platform.starts(id).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_refused_by_the_store_is_replaced_before_its_lease_ends() {
    let mut platform = Platform::start(2).await;
    platform.configure(1, &[KEY]);
    let (owner_store, refuses_calls) = platform.open_store_address("owner-store").await;
    let _owner = Gate::start_at(owner_store, "gate-0").await;
    let other = Gate::start(&platform, "gate-1").await;
    // Once a job of the other gate has ended, that gate has registered with the owner.
    assert_eq!(other.submit("0000000000004000", 1, 100).await.status, 200);
    other.wait_state("0000000000004000", "completed").await;
    platform.store.set_fault(StoreFault::KeepsLeases);
    refuses_calls.store(true, Ordering::Relaxed);
    assert_eq!(other.submit("0000000000004001", 2, 100).await.status, 200);
    other.wait_state("0000000000004001", "completed").await;
    assert_eq!(platform.starts("0000000000004001").len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn while_a_store_write_hangs_unsent_jobs_are_refused_and_never_run() {
    let (platform, gates) = start_deployment(1, 1).await;
    platform.store.set_fault(StoreFault::HangsOnJobs);
    let mut next = 0_u64;
    // A write holds 10 jobs; the jobs that wait behind it are never sent to the store.
    let refused = wait_until("a job is refused while a write hangs", async || {
        let first = next;
        next += 40;
        let jobs = (first..next).map(|at| {
            let gate = &gates[0];
            async move {
                let id = format!("{:016x}", 0x2000 + at);
                let answer = gate.submit(&id, 1, 100).await;
                (id, answer)
            }
        });
        let answers = futures_util::future::join_all(jobs).await;
        for (id, answer) in &answers {
            assert!(answer.retry_after, "{id}: {answer:?}");
            assert!(matches!(answer.status, 503 | 504), "{id}: {answer:?}");
        }
        let refused = answers.into_iter().filter(|(_, it)| it.status == 503);
        let ids: Vec<String> = refused.map(|(id, _)| id).collect();
        (!ids.is_empty()).then_some(ids)
    })
    .await;
    platform.store.set_fault(StoreFault::None);
    wait_until("jobs are accepted again", async || {
        let answer = gates[0].submit("0000000000003000", 1, 100).await;
        (answer.status == 200).then_some(())
    })
    .await;
    for id in refused {
        assert!(platform.starts(&id).is_empty(), "{id} ran");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_and_malformed_host_entries_are_ignored() {
    let (platform, gates) = start_deployment(1, 1).await;
    platform.store.put("servers/odd", &json!({ "service": 5 }));
    platform.store.put("servers/odd-2", &json!(["x"]));
    platform.configure(2, &["key-9"]);
    wait_until("the key is refused", async || {
        let answer = gates[0].call("GET", "/q/", KEY, &Value::Null).await;
        (answer.status == 401).then_some(())
    })
    .await;
    // An older configuration does not replace a newer one.
    platform.configure(1, &[KEY]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = gates[0].call("GET", "/q/", KEY, &Value::Null).await;
    assert_eq!(answer.status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_owner_releases_the_ownership_and_exits_with_success() {
    let (platform, mut gates) = start_deployment(1, 2).await;
    let id = "0000000000000101";
    assert_eq!(gates[1].submit(id, 1, 1_500).await.status, 200);
    gates[0].signal(nix::sys::signal::Signal::SIGTERM);
    gates[1].wait_state(id, "completed").await;
    assert_eq!(platform.starts(id).len(), 1);
    let ended = wait_until("the stopped gate ends", async || {
        gates[0].process.try_wait().expect("a status")
    })
    .await;
    assert!(ended.success());
}
