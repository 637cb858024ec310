//! Tests of takeovers that are lost before the state is restored, and of the jobs that come meanwhile.

use std::net::TcpListener;

use futures_util::future::join_all;
use serde::Serialize;
use serde_json::Value;
use wigeongate::entry::records::{
    EPOCH_KEY, JOBS_PREFIX, OWNER_KEY, OwnerRecord, RESTORED_KEY, encode,
};
use wigeongate_core::ids::GateId;

use crate::platform::{Platform, StoreFault};
use crate::{Gate, KEY, start_deployment, wait_for_owner, wait_until};

const EPOCH: u64 = 7;

/// The record of an owner as versions stored it that did not count lost takeovers.
#[derive(Serialize)]
struct OlderOwner {
    epoch: u64,
    gate: GateId,
    address: String,
    process: u64,
}

/// The takeovers that were lost before an owner, and the answer to a new job while it restores.
struct Case {
    name: &'static str,
    /// `None` for an owner of a version that did not count them.
    lost: Option<u32>,
    status: u16,
}

/// Guards against jobs that are let in while each owner loses its lease before it has restored the state, and
/// that make the next restore longer still.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_refused_after_three_lost_takeovers_until_an_owner_has_restored() {
    let cases = [
        Case {
            name: "an owner of an earlier version",
            lost: None,
            status: 200,
        },
        Case {
            name: "two lost takeovers",
            lost: Some(2),
            status: 200,
        },
        Case {
            name: "three lost takeovers",
            lost: Some(3),
            status: 503,
        },
    ];
    join_all(cases.map(submit_during_restore)).await;
}

async fn submit_during_restore(case: Case) {
    let platform = Platform::start(0).await;
    platform.configure(1, &[KEY]);
    // An owner that takes connections and answers nothing, as while it restores.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let older = OlderOwner {
        epoch: EPOCH,
        gate: GateId::from("other"),
        address: silent.local_addr().expect("an address").to_string(),
        process: 1,
    };
    let record = match case.lost {
        None => encode(&older),
        Some(lost) => encode(&OwnerRecord {
            epoch: EPOCH,
            gate: older.gate,
            address: older.address,
            process: older.process,
            lost,
        }),
    };
    platform.store.put_bytes(EPOCH_KEY, encode(&EPOCH));
    platform.store.put_bytes(OWNER_KEY, record);
    let gate = Gate::start(&platform, "gate-0").await;
    let seen = format!("wigeongate_lost_takeovers {}", case.lost.unwrap_or(0));
    wait_until(case.name, async || {
        gate.metrics().await.contains(&seen).then_some(())
    })
    .await;

    let id = "000000000000a001";
    let answer = gate.submit(id, 1, 100).await;
    assert_eq!(answer.status, case.status, "{}", case.name);
    if case.status == 200 {
        return;
    }
    assert!(answer.retry_after, "{}", case.name);
    assert_eq!(platform.store.count(JOBS_PREFIX), 0, "{}", case.name);
    // The gate cannot reach the owner, which has written that it restored the state.
    platform.store.put_bytes(RESTORED_KEY, encode(&EPOCH));
    wait_until("jobs are accepted", async || {
        (gate.submit(id, 1, 100).await.status == 200).then_some(())
    })
    .await;
    assert!(gate.metrics().await.contains("wigeongate_lost_takeovers 0"));
}

/// The same with gates that take over one after the other, since the store refuses to show the log.
#[tokio::test(flavor = "multi_thread")]
async fn takeovers_that_cannot_read_the_log_are_counted_until_one_can() {
    let (platform, mut gates) = start_deployment(1, 2).await;
    let owner = wait_for_owner(&platform, gates.len()).await;
    let early = "000000000000a101";
    assert_eq!(gates[owner].submit(early, 1, 100).await.status, 200);
    gates[owner].wait_state(early, "completed").await;
    platform.store.set_fault(StoreFault::RefusesLog);
    drop(gates.remove(owner));
    let gate = &gates[0];
    let mut accepted = Vec::new();
    let mut next = 0xa200_u64;
    let refused = wait_until("jobs are refused", async || {
        next += 1;
        let id = format!("{next:016x}");
        let answer = gate.submit(&id, 1, 100).await;
        if answer.status == 200 {
            accepted.push(id);
            return None;
        }
        assert!(answer.status == 503 && answer.retry_after, "{answer:?}");
        Some(id)
    })
    .await;
    let metrics = gate.metrics().await;
    assert!(
        metrics.contains("wigeongate_takeovers{of=\"read log\"}"),
        "{metrics}"
    );
    assert_eq!(platform.store.count(JOBS_PREFIX), accepted.len() + 1);
    // What was accepted stays accepted.
    assert_eq!(gate.submit(early, 1, 100).await.status, 200);
    let path = format!("/q/{early}");
    let state = gate.call("GET", &path, KEY, &Value::Null).await;
    assert_eq!((state.status, state.retry_after), (503, true));

    platform.store.set_fault(StoreFault::None);
    wait_until("jobs are accepted again", async || {
        (gate.submit(&refused, 1, 100).await.status == 200).then_some(())
    })
    .await;
    for id in accepted.iter().chain([&refused]) {
        gate.wait_state(id, "completed").await;
        assert_eq!(platform.starts(id).len(), 1, "{id}");
    }
}
