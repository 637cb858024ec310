//! Tests how starts depend on the records that this owner and earlier ones wrote.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, HostEntry, HostReport, Record, WorkflowId, WorkflowScheduler, WorkflowSettings,
};

use crate::world::{flow, host, rules, step};
use crate::{CORE, starts, task};

/// The records of an earlier owner about a task, and how many of its tasks the next owner starts at
/// once.
struct InheritedCase {
    name: &'static str,
    records: Vec<Record>,
    starts: usize,
}

#[test]
fn inherited_work_starts_unless_it_was_ordered_on_a_silent_host() {
    let now = Millis(10_000);
    let silent = HostId::from("w-1");
    let cases = [
        InheritedCase {
            name: "never ordered",
            records: Vec::new(),
            starts: 1,
        },
        InheritedCase {
            name: "ordered on the silent host",
            records: vec![Record::Started(task(6, 0, 0), 1, silent.clone())],
            starts: 0,
        },
    ];
    for case in cases {
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        let mut actions = Vec::new();
        scheduler.restore(flow(6, vec![step(1, CORE)], None), now, Millis::ZERO);
        for record in &case.records {
            scheduler.replay(record, now);
        }
        scheduler.finish_restore(now, &mut actions);
        scheduler.list_host(host(0, 8 * CORE), now);
        scheduler.list_host(host(1, 8 * CORE), now);
        let report = |at: Millis| HostReport {
            boot_ms: 1,
            sent: at,
            lease: at + Millis(3_000),
            ..HostReport::default()
        };
        let report_and_place = |scheduler: &mut WorkflowScheduler, at: Millis| {
            let mut actions = Vec::new();
            scheduler.poll_sent(&silent, Millis::ZERO);
            scheduler.apply_report(&HostId::from("w-0"), &report(at), at, &mut actions);
            scheduler.tick(at, 0, &mut actions);
            scheduler.place(at, &mut actions);
            scheduler.records_written(scheduler.last_record(), at, &mut actions);
            starts(&actions)
        };
        for ms in [0, 1_000, 6_000] {
            let started = report_and_place(&mut scheduler, now + Millis(ms));
            let expected = if ms == 0 { case.starts } else { 0 };
            assert_eq!(started, expected, "{} after {ms} ms", case.name);
        }
        // The lease of any run on the silent host has expired.
        let started = report_and_place(&mut scheduler, now + Millis(6_500));
        assert_eq!(started, 1 - case.starts, "{}", case.name);
    }
}

#[test]
fn a_start_is_ordered_once_its_record_is_written() {
    let now = Millis(10_000);
    let later = now + Millis(30);
    let cancel: fn(&mut WorkflowScheduler, Millis) = |scheduler, now| {
        scheduler.cancel(WorkflowId(5), now, &mut Vec::new());
    };
    let drain: fn(&mut WorkflowScheduler, Millis) = |scheduler, now| {
        let entry = host(0, 8 * CORE);
        scheduler.list_host(
            HostEntry {
                draining: true,
                ..entry
            },
            now,
        );
    };
    for (name, change, ordered) in [
        ("nothing changes", None, 1),
        ("the job is cancelled", Some(cancel), 0),
        ("the host drains", Some(drain), 0),
    ] {
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        scheduler.list_host(host(0, 8 * CORE), now);
        let report = HostReport {
            boot_ms: 1,
            sent: now,
            lease: now + Millis(3_000),
            ..HostReport::default()
        };
        let mut actions = Vec::new();
        scheduler.apply_report(&HostId::from("w-0"), &report, now, &mut actions);
        scheduler.submit(flow(5, vec![step(1, CORE)], None), now, Millis::ZERO);
        scheduler.place(now, &mut actions);
        assert_eq!(starts(&actions), 0, "{name}");
        let record = scheduler.last_record();
        if let Some(change) = change {
            change(&mut scheduler, later);
        }
        actions.clear();
        scheduler.records_written(record - 1, later, &mut actions);
        assert_eq!(starts(&actions), 0, "{name}");
        scheduler.records_written(record, later, &mut actions);
        assert_eq!(starts(&actions), ordered, "{name}");
        let stops = actions.iter().filter(|it| matches!(it, Action::Stop(_)));
        assert_eq!(stops.count(), 0, "{name}");
    }
}
