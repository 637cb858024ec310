//! Hosts whose capacity shrinks under what runs on them, and grows again.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostEntry, HostReport, RunOutcome, StepSpec, WorkflowScheduler, WorkflowSettings,
};

use crate::world::{flow, host, rules, step};
use crate::{CORE, place, starts, task};

/// A host with eight cores on which four tasks of one core run.
struct Fleet {
    scheduler: WorkflowScheduler,
    now: Millis,
    ended: Vec<Ended>,
}

impl Fleet {
    fn new() -> Self {
        let now = Millis(10_000);
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        let mut fleet = Self {
            scheduler,
            now,
            ended: Vec::new(),
        };
        fleet.resize(8);
        let running = flow(1, vec![step(4, CORE)], None);
        fleet.scheduler.submit(running, now, Millis::ZERO);
        place(&mut fleet.scheduler, now, &mut Vec::new());
        fleet
    }

    /// Lists the host with this many cores and applies a report of it.
    fn resize(&mut self, cores: u64) {
        self.scheduler.list_host(host(0, cores * CORE), self.now);
        let report = HostReport {
            boot_ms: 1,
            sent: self.now,
            lease: self.now + Millis(3_000),
            ended: self.ended.clone(),
            ..HostReport::default()
        };
        let id = HostId::from("w-0");
        self.scheduler
            .apply_report(&id, &report, self.now, &mut Vec::new());
    }

    /// Ends tasks of the first job.
    fn end(&mut self, indexes: std::ops::Range<u32>) {
        let ended = indexes.map(|index| Ended {
            number: u64::from(index) + 1,
            task: task(1, 0, index),
            run: 1,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
        self.ended.extend(ended);
    }
}

/// What happens after the host has shrunk, and how many of the new tasks start.
struct Case {
    name: &'static str,
    new: StepSpec,
    /// Cores after the shrinking, and after the rest.
    cores: (u64, u64),
    /// How many tasks of the first job end meanwhile.
    ended: u32,
    starts: usize,
}

#[test]
fn a_host_that_shrank_below_its_load_gets_no_work_until_it_has_drained() {
    let cases = [
        Case {
            name: "the load is above the new capacity",
            new: step(2, CORE),
            cores: (3, 3),
            ended: 0,
            starts: 0,
        },
        Case {
            name: "the load has drained to the new capacity",
            new: step(2, CORE),
            cores: (3, 3),
            ended: 1,
            starts: 0,
        },
        Case {
            name: "the load has drained below the new capacity",
            new: step(2, CORE),
            cores: (3, 3),
            ended: 2,
            starts: 1,
        },
        Case {
            name: "a gang waits until it fits as a whole",
            new: StepSpec {
                gang: true,
                ..step(2, CORE)
            },
            cores: (3, 3),
            ended: 2,
            starts: 0,
        },
        Case {
            name: "the host has grown again",
            new: step(2, CORE),
            cores: (3, 8),
            ended: 0,
            starts: 2,
        },
        Case {
            name: "a task that leaves the processor to others counts with its memory",
            new: StepSpec {
                fills: true,
                ..step(2, CORE)
            },
            cores: (3, 3),
            ended: 0,
            starts: 2,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new();
        let now = fleet.now;
        fleet.resize(case.cores.0);
        let new = flow(2, vec![case.new], None);
        fleet.scheduler.submit(new, now, Millis::ZERO);
        let mut actions = Vec::new();
        place(&mut fleet.scheduler, now, &mut actions);
        fleet.end(0..case.ended);
        fleet.resize(case.cores.1);
        place(&mut fleet.scheduler, now, &mut actions);
        assert_eq!(starts(&actions), case.starts, "{}", case.name);
    }
}

#[test]
fn a_planned_start_is_not_ordered_on_a_host_that_has_shrunk() {
    let mut fleet = Fleet::new();
    let now = fleet.now;
    let new = flow(2, vec![step(4, CORE)], None);
    fleet.scheduler.submit(new, now, Millis::ZERO);
    let mut actions = Vec::new();
    fleet.scheduler.place(now, &mut actions);
    // Four cores are in use and four planned; the host shrinks before the record is written.
    fleet.resize(6);
    let written = fleet.scheduler.last_record();
    fleet.scheduler.records_written(written, now, &mut actions);
    assert_eq!(starts(&actions), 2);
    let released = |action: &&Action| matches!(action, Action::Released { .. });
    assert_eq!(actions.iter().filter(released).count(), 2);
}

/// The boot in the entry of the registry and the one that answers, and how many tasks start.
struct BootCase {
    name: &'static str,
    listed: u64,
    answering: u64,
    starts: usize,
}

/// Guards against starts by the labels and the capacity of an earlier boot.
#[test]
fn no_task_starts_on_a_boot_that_the_registry_does_not_describe() {
    let cases = [
        BootCase {
            name: "the entry is of the boot that answers",
            listed: 2,
            answering: 2,
            starts: 1,
        },
        BootCase {
            name: "the entry is of an earlier boot",
            listed: 1,
            answering: 2,
            starts: 0,
        },
        BootCase {
            name: "the entry names no boot",
            listed: 0,
            answering: 2,
            starts: 1,
        },
    ];
    for case in cases {
        let now = Millis(10_000);
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        let entry = HostEntry {
            boot_ms: case.listed,
            ..host(0, 8 * CORE)
        };
        scheduler.list_host(entry, now);
        let report = HostReport {
            boot_ms: case.answering,
            sent: now,
            lease: now + Millis(3_000),
            ..HostReport::default()
        };
        let mut actions = Vec::new();
        scheduler.apply_report(&HostId::from("w-0"), &report, now, &mut actions);
        let new = flow(2, vec![step(1, CORE)], None);
        scheduler.submit(new, now, Millis::ZERO);
        place(&mut scheduler, now, &mut actions);
        assert_eq!(starts(&actions), case.starts, "{}", case.name);
    }
}
