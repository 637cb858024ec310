//! Runs that hosts report for jobs that are not known.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Ended, HostReport, RunOutcome, Running, WorkflowScheduler, WorkflowSettings,
};

use super::world::{flow, host, rules, step};
use super::{CORE, place, starts, task};

/// When the owner of these tests takes over.
const START: Millis = Millis(10_000);

fn scheduler() -> WorkflowScheduler {
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), START);
    scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
    scheduler
}

fn report(scheduler: &mut WorkflowScheduler, report: HostReport, now: Millis) {
    let id = HostId::from("w-0");
    let report = HostReport {
        boot_ms: 1,
        sent: now,
        lease: now + Millis(3_000),
        ..report
    };
    scheduler.apply_report(&id, &report, now, &mut Vec::new());
}

/// What a host that runs a task of an unknown job reports next, and how many tasks start on it.
struct OrphanCase {
    name: &'static str,
    /// Whether the job becomes known: its step takes one core.
    is_submitted: bool,
    is_ended: bool,
    starts: usize,
}

/// Guards against hosts that are overcommitted by runs whose size is not known any more.
#[test]
fn a_run_of_an_unknown_job_uses_all_of_its_host() {
    let cases = [
        OrphanCase {
            name: "the run goes on",
            is_submitted: false,
            is_ended: false,
            starts: 0,
        },
        OrphanCase {
            name: "the run has ended",
            is_submitted: false,
            is_ended: true,
            starts: 4,
        },
        OrphanCase {
            name: "its job is submitted",
            is_submitted: true,
            is_ended: false,
            starts: 3,
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let mut scheduler = scheduler();
        scheduler.list_host(host(0, 4 * CORE), START);
        let running = Running {
            task: task(1, 0, 0),
            run: 1,
            checkpoint: String::new(),
        };
        let state = HostReport {
            running: vec![running],
            ..HostReport::default()
        };
        report(&mut scheduler, state.clone(), START);
        if case.is_submitted {
            let job = flow(1, vec![step(1, CORE)], None);
            scheduler.submit(job, START, Millis::ZERO);
        }
        let now = START + Millis(100);
        let ended = Ended {
            task: task(1, 0, 0),
            run: 1,
            number: 1,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        };
        let state = if case.is_ended {
            HostReport {
                ended: vec![ended],
                ..HostReport::default()
            }
        } else {
            state
        };
        report(&mut scheduler, state, now);
        scheduler.submit(flow(2, vec![step(6, CORE)], None), now, Millis::ZERO);
        let mut actions = Vec::new();
        place(&mut scheduler, now, &mut actions);
        if starts(&actions) != case.starts {
            failed.push((case.name, starts(&actions)));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
