//! An owner that is cut off and the next one agree on when runs of a host are over that only the
//! former reaches.

use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{HostLease, Tenure};

/// How long the ownership lasts after a renewal, in milliseconds.
const TTL_MS: u64 = 1_200;

/// The time between renewals, in milliseconds.
const RENEWAL_MS: u64 = 300;

/// How long a cut owner goes on after its last renewal, in milliseconds.
const GOES_ON_MS: u64 = 7_200;

/// The clock of the executor is 2% slow.
fn executor_clock(now: u64) -> u64 {
    1_000 + now * 98 / 100
}

/// Returns the time at which a reading of that clock is reached.
fn time_of(clock_ms: u64) -> u64 {
    (clock_ms - 1_000).div_ceil(98) * 100
}

/// When the old owner is cut off, how often it polls the host, and when the next one takes over.
struct Case {
    name: &'static str,
    cut: u64,
    poll_ms: u64,
    /// The time from the last renewal of the old owner until the takeover.
    takeover_ms: u64,
}

/// Returns when the host ends its runs at the latest, and when the new owner counts them as ended.
fn ends(case: &Case, task_lease: u64, is_bounded: bool) -> (u64, u64) {
    let tenure = Tenure {
        ttl: Millis(TTL_MS),
        task_lease: Millis(task_lease),
    };
    let mut lease = HostLease::new(Millis(task_lease));
    let (mut renewed, mut granted) = (0, 0);
    for now in (0..case.cut + GOES_ON_MS).step_by(10) {
        if now < case.cut && now % RENEWAL_MS == 0 {
            renewed = now;
        }
        if now > renewed + GOES_ON_MS {
            break;
        }
        if now % case.poll_ms == 0 {
            let last_grant = if is_bounded {
                tenure.last_grant(Millis(renewed))
            } else {
                Millis(u64::MAX)
            };
            let poll = lease.begin_poll(Millis(now), last_grant);
            granted = granted.max(poll.deadline.unwrap_or_default());
            lease.record_answer(poll, 1, executor_clock(now), Millis(now));
        }
    }
    let took_over = renewed + case.takeover_ms;
    let ended = took_over + tenure.inherited_lease().0;
    (time_of(granted), ended)
}

/// Guards against tasks that run twice after the zone of the owner was cut off (TWICE, day zone-cut).
#[test]
fn a_cut_owner_grants_no_lease_for_longer_than_the_next_one_waits() {
    let mut unbounded_violations = 0;
    for task_lease in [2_000, 6_000, 10_000] {
        for poll_ms in [10, 150, 400, 1_500] {
            for cut in (10_000..10_300).step_by(50) {
                for (name, takeover_ms) in
                    [("its lease ends", TTL_MS), ("it is removed at once", 0)]
                {
                    let case = Case {
                        name,
                        cut,
                        poll_ms,
                        takeover_ms,
                    };
                    let (granted, ended) = ends(&case, task_lease, true);
                    assert!(
                        granted <= ended,
                        "{}: cut at {cut}, polls every {poll_ms}: {granted} after {ended}",
                        case.name
                    );
                    let (granted, ended) = ends(&case, task_lease, false);
                    unbounded_violations += u32::from(granted > ended);
                }
            }
        }
    }
    assert!(unbounded_violations > 0, "the bound is not needed");
}

#[test]
fn a_short_outage_of_the_store_ends_no_task() {
    // The last renewal was sent 0.3 s before an outage of 6.5 s, and the next one succeeds up to 1.5 s
    // after it.
    let tenure = Tenure {
        ttl: Millis(TTL_MS),
        task_lease: Millis(6_000),
    };
    let mut lease = HostLease::new(tenure.task_lease);
    let last_grant = tenure.last_grant(Millis(0));
    for now in (0..8_300).step_by(150) {
        let poll = lease.begin_poll(Millis(now), last_grant);
        lease.record_answer(poll, 1, 1_000 + now, Millis(now));
    }
    assert!(lease.confirmed_until() > Millis(8_300));
}
