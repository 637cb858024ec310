//! Tests of executors that seem to have ended and run on.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::platform::{Link, Platform};
use crate::{Gate, GateBounds, KEY, wait_until};

/// A task lease that outlasts the cuts of these tests, in milliseconds.
const LONG_LEASE_MS: u64 = 6_000;

/// How long a cut lasts, in milliseconds; the leases of its beginning last for 4.5 s at least.
const CUT_MS: u64 = 3_500;

/// How much of their leases runs have left at the end of a cut, in milliseconds.
const LEFT_MS: u64 = 1_200;

/// How long the owner has to notice that an executor drains.
const NOTICE: Duration = Duration::from_millis(500);

async fn start_gate(platform: &Platform) -> Gate {
    platform.configure(1, &[KEY]);
    let bounds = GateBounds {
        task_lease_ms: LONG_LEASE_MS,
        ..GateBounds::default()
    };
    Gate::start_with(platform.address, "gate-0", &bounds).await
}

/// A draining executor that is cut off for less than its task lease.
struct Cut {
    name: &'static str,
    link: Link,
    /// When the registry drops it, in milliseconds from the beginning of the cut.
    unlisted_ms: u64,
}

/// Guards against issue 44: a draining executor that was cut off counted as one that had shut down,
/// and its tasks ran twice.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_draining_executor_that_is_cut_off_run_once() {
    let cases = [
        Cut {
            name: "the cut is noticed when a poll times out, shortly before the entry expires",
            link: Link::Refused,
            unlisted_ms: 3_000,
        },
        Cut {
            name: "the executor loses the store before it loses the gates",
            link: Link::Broken,
            unlisted_ms: 1_200,
        },
    ];
    join_all(cases.iter().enumerate().map(|(at, case)| run_cut(at, case))).await;
}

async fn run_cut(at: usize, case: &Cut) {
    let mut platform = Platform::start(2).await;
    let gate = start_gate(&platform).await;
    let id = format!("{:016x}", 0x4400 + at);
    assert_eq!(gate.submit(&id, 1, 10_000).await.status, 200);
    let first = wait_until("the task starts", async || platform.starts(&id).pop()).await;
    platform.drain_executor(&first.host);
    sleep(NOTICE).await;

    platform.cut_off(&first.host, case.link);
    sleep(Duration::from_millis(case.unlisted_ms)).await;
    platform.unlist_executor(&first.host);
    sleep(Duration::from_millis(CUT_MS - case.unlisted_ms)).await;
    platform.reconnect(&first.host).await;
    platform.relist_executor(&first.host);

    gate.wait_state(&id, "completed").await;
    assert_eq!(platform.starts(&id), [first], "{}", case.name);
}

/// Guards against runs that lapsed on an executor that was back in touch: the poll that was to be
/// followed by an extension of the leases waited for the end of a run.
#[tokio::test(flavor = "multi_thread")]
async fn runs_outlast_a_cut_that_ends_before_their_leases() {
    let mut platform = Platform::start(2).await;
    let gate = start_gate(&platform).await;
    let id = "0000000000004410";
    assert_eq!(gate.submit(id, 1, 10_000).await.status, 200);
    let first = wait_until("the task starts", async || platform.starts(id).pop()).await;
    let before = platform.extensions(&first.host);
    wait_until("the leases are extended", async || {
        (platform.extensions(&first.host) > before).then_some(())
    })
    .await;

    platform.cut_off(&first.host, Link::Broken);
    sleep(Duration::from_millis(LONG_LEASE_MS - LEFT_MS)).await;
    platform.reconnect(&first.host).await;

    gate.wait_state(id, "completed").await;
    assert_eq!(platform.starts(id), [first]);
}
