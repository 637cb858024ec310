//! Orders that the owner does not send.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    HostReport, PollFailure, Refusal, StartResult, WorkflowScheduler, WorkflowSettings,
};

use super::world::{flow, host, rules, step};
use super::{CORE, place, starts, task};

/// The jobs whose orders wait when a poll fails.
const JOBS: u64 = 4;

/// What becomes of the orders, and how many jobs start after the next report.
struct Case {
    refusal: Refusal,
    starts: usize,
}

/// Guards against a pause of hosts that have failed in nothing but one poll.
#[test]
fn orders_that_wait_behind_a_failed_poll_are_no_failures_of_the_host() {
    let cases = [
        Case {
            refusal: Refusal::Held,
            starts: 4,
        },
        Case {
            refusal: Refusal::NotSent,
            starts: 0,
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let now = Millis(10_000);
        let id = HostId::from("w-0");
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        scheduler.list_host(host(0, 8 * CORE), now);
        let mut actions = Vec::new();
        let report = |sent: Millis| HostReport {
            boot_ms: 1,
            sent,
            lease: sent + Millis(3_000),
            ..HostReport::default()
        };
        scheduler.apply_report(&id, &report(now), now, &mut actions);
        for job in 1..=JOBS {
            scheduler.submit(flow(job, vec![step(1, CORE)], None), now, Millis::ZERO);
        }
        place(&mut scheduler, now, &mut actions);
        scheduler.poll_failed(&id, PollFailure::NoAnswer, now, &mut actions);
        for job in 1..=JOBS {
            let result = StartResult::Refused(case.refusal);
            scheduler.start_result(&id, (task(job, 0, 0), 1), result, now, &mut actions);
        }
        let later = now + Millis(200);
        scheduler.apply_report(&id, &report(later), later, &mut actions);
        actions.clear();
        place(&mut scheduler, later, &mut actions);
        if starts(&actions) != case.starts {
            failed.push((case.refusal, starts(&actions)));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
