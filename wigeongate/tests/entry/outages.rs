//! Tests of jobs that are accepted around an outage of the store.

use std::time::Duration;

use futures_util::future::join_all;

use crate::platform::StoreFault;
use crate::{start_deployment, wait_for_owner, wait_until};

/// Longer than the lease of the ownership, and shorter than the time for which the owner goes on
/// without a renewal.
const UNRENEWED: Duration = Duration::from_millis(1_800);

/// What the store does while the ownership is not renewed.
struct Case {
    name: &'static str,
    fault: StoreFault,
}

/// Guards against review/4: jobs that were accepted before the owner's first renewal after an outage
/// never started unless their callers asked for them.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_accepted_before_the_owner_is_renewed_start_without_a_question() {
    let cases = [
        Case {
            name: "renewals come later than jobs",
            fault: StoreFault::RefusesRenewals,
        },
        Case {
            name: "renewals come later than jobs, and the history is lost",
            fault: StoreFault::RefusesRenewalsWithoutHistory,
        },
    ];
    join_all(cases.map(accept_before_renewal)).await;
}

async fn accept_before_renewal(case: Case) {
    let (platform, gates) = start_deployment(2, 2).await;
    wait_for_owner(&platform, gates.len()).await;
    platform.store.set_fault(case.fault);
    tokio::time::sleep(UNRENEWED).await;
    let ids = ["0000000000007001", "0000000000007002"];
    for (gate, id) in gates.iter().zip(ids) {
        assert_eq!(gate.submit(id, 1, 100).await.status, 200, "{}", case.name);
    }
    // The owner polls the store for jobs meanwhile.
    tokio::time::sleep(UNRENEWED).await;
    platform.store.set_fault(StoreFault::None);
    wait_until(case.name, async || {
        let all = ids.iter().all(|id| platform.starts(id).len() == 1);
        all.then_some(())
    })
    .await;
    for id in ids {
        gates[0].wait_state(id, "completed").await;
        assert_eq!(platform.starts(id).len(), 1, "{}", case.name);
    }
}
