//! Tests of ended jobs whose keys the store does not remove.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;

use crate::platform::{Platform, StoreFault};
use crate::{Gate, GateBounds, KEY, wait_until};

/// How long the gates of these tests keep ended jobs.
const RETENTION: Duration = Duration::from_secs(31);

/// What happens to the store while jobs expire.
struct Case {
    name: &'static str,
    fault: StoreFault,
    /// Whether the fault begins only when the jobs are archived.
    is_archived: bool,
}

/// Guards against review/2: ended jobs ran again after the store had refused to remove their keys.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_ended_do_not_run_again_when_the_store_keeps_their_keys() {
    let cases = [
        Case {
            name: "the store refuses removals, and callers ask for their jobs",
            fault: StoreFault::KeepsKeys,
            is_archived: false,
        },
        Case {
            name: "the store refuses to remove archived jobs",
            fault: StoreFault::KeepsKeys,
            is_archived: true,
        },
        Case {
            name: "the store refuses removals, and its history is lost",
            fault: StoreFault::KeepsKeysWithoutHistory,
            is_archived: false,
        },
    ];
    join_all(cases.map(expire_during)).await;
}

async fn expire_during(case: Case) {
    let platform = Platform::start(2).await;
    platform.configure(1, &[KEY]);
    let bounds = GateBounds {
        shown_s: 1,
        ..GateBounds::default()
    };
    let gate = Gate::start_with(platform.address, "gate-0", &bounds).await;
    let ids = ["0000000000005001", "0000000000005002"];
    if !case.is_archived {
        platform.store.set_fault(case.fault);
    }
    for id in ids {
        assert_eq!(gate.submit(id, 2, 100).await.status, 200, "{}", case.name);
        gate.wait_state(id, "completed").await;
    }
    if case.is_archived {
        wait_until("the jobs are archived", async || {
            (platform.store.count("wigeongate/ended/") == ids.len()).then_some(())
        })
        .await;
        platform.store.set_fault(case.fault);
    }
    tokio::time::sleep(RETENTION + Duration::from_secs(3)).await;
    let starts = || ids.map(|id| platform.starts(id).len());
    for id in ids {
        gate.call("GET", &format!("/q/{id}"), KEY, &Value::Null)
            .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(starts(), [2, 2], "{}", case.name);
    platform.store.set_fault(StoreFault::None);
    wait_until("the keys are removed", async || {
        let prefixes = ["wigeongate/job/", "wigeongate/ended/", "wigeongate/log/"];
        let left = prefixes.map(|prefix| platform.store.count(prefix));
        (left == [0, 0, 0]).then_some(())
    })
    .await;
    for id in ids {
        let path = format!("/q/{id}");
        let answer = gate.call("GET", &path, KEY, &Value::Null).await;
        assert_eq!(answer.status, 410, "{}", case.name);
    }
    assert_eq!(starts(), [2, 2], "{}", case.name);
}
