//! What jobs take in the memory of their owner.

use std::alloc::System;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cap::Cap;
use wigeongate_core::ids::{HostId, QueueId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostEntry, HostReport, QueueRules, Repeat, Rules, RunOutcome, StartOrder,
    StartResult, StepSpec, Workflow, WorkflowId, WorkflowScheduler, WorkflowSettings, WorkflowSpec,
    WorkflowStatus, job_bytes,
};

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Held by the test that measures; the heap is that of the whole process.
static MEASURING: Mutex<()> = Mutex::new(());

fn measure_alone() -> MutexGuard<'static, ()> {
    MEASURING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A time by the wall clock, in milliseconds since 1970.
const WALL_MS: u64 = 1_800_000_000_000;

/// What a waiting job may take beyond one of a single task, in bytes.
const MAX_EXTRA_BYTES: usize = 4_096;

fn queue() -> QueueId {
    QueueId::from("bundles")
}

fn scheduler() -> WorkflowScheduler {
    let mut rules = Rules::default();
    let queue_rules = QueueRules {
        service: "desk".to_owned(),
        attempts: 3,
        stretch: 2.0,
        ..QueueRules::default()
    };
    rules.queues.insert(queue(), Arc::new(queue_rules));
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), Millis(1_000));
    scheduler.configure(Arc::new(rules));
    scheduler.tick(Millis(1_000), WALL_MS, &mut Vec::new());
    scheduler
}

fn job(id: u64, count: u32, repeat: Option<Repeat>) -> Workflow {
    let step = StepSpec {
        count,
        requested: Resources {
            cpu: 100,
            memory: 10,
            accelerators: 0,
        },
        estimate: Millis(500),
        ..StepSpec::default()
    };
    Workflow {
        id: WorkflowId(id),
        queue: queue(),
        team: None,
        accepted: WALL_MS,
        spec: Arc::new(WorkflowSpec {
            command: "work 500".to_owned(),
            steps: vec![step],
            repeat,
        }),
        rules: Arc::default(),
    }
}

/// Returns a schedule of runs each minute from a time on.
const fn each_minute(first: u64, count: u32) -> Repeat {
    Repeat {
        first,
        interval: Millis(60_000),
        count,
    }
}

/// Returns the bytes that a hundred waiting jobs take for each.
fn bytes_per_job(count: u32, repeat: Option<Repeat>) -> usize {
    let mut scheduler = scheduler();
    let before = HEAP.allocated();
    for id in 0..100 {
        scheduler.submit(job(id, count, repeat), Millis(1_000), Millis::ZERO);
    }
    (HEAP.allocated() - before) / 100
}

struct Case {
    name: &'static str,
    count: u32,
    repeat: Option<Repeat>,
}

/// Guards against gates that exceed their memory, since each task of an accepted job took some of it
/// from the job's acceptance on.
#[test]
fn a_waiting_job_takes_memory_by_its_text_not_by_its_tasks() {
    let _alone = measure_alone();
    let cases = [
        Case {
            name: "many occurrences, none of them due",
            count: 20,
            repeat: Some(each_minute(WALL_MS + 60_000, 10_000)),
        },
        Case {
            name: "more occurrences than any job has had",
            count: 1,
            repeat: Some(each_minute(WALL_MS + 60_000, u32::MAX)),
        },
        Case {
            name: "a wide step",
            count: 10_000,
            repeat: None,
        },
        Case {
            name: "many wide occurrences",
            count: 10_000,
            repeat: Some(each_minute(WALL_MS + 60_000, 10_000)),
        },
    ];
    // The first job of a process allocates what all others share.
    bytes_per_job(1, None);
    let single = bytes_per_job(1, None);
    for case in cases {
        let bytes = bytes_per_job(case.count, case.repeat);
        let most = single + MAX_EXTRA_BYTES;
        assert!(
            bytes <= most,
            "{}: {bytes} bytes, {most} allowed",
            case.name
        );
    }
    // All occurrences are due at once, so that some of them wait for hosts.
    let overdue = bytes_per_job(1, Some(each_minute(WALL_MS - 60_000 * 10_000, 10_000)));
    let waiting = bytes_per_job(1, Some(each_minute(WALL_MS - 60_000 * 100, 100)));
    assert!(
        overdue <= 4 * waiting,
        "10,000 due occurrences take {overdue} bytes, 100 take {waiting}"
    );
}

/// Guards against a budget that is kept while the jobs take more than it.
#[test]
fn what_a_waiting_job_takes_is_bounded_by_what_it_counts_for() {
    let _alone = measure_alone();
    let step = |label: Option<String>| StepSpec {
        count: 10,
        requires: label.clone(),
        affinity: label.clone(),
        image: label,
        ..StepSpec::default()
    };
    let dependent = |index: u16| StepSpec {
        after: (0..index).collect(),
        ..step(None)
    };
    let cases: [(&str, usize, Vec<StepSpec>); 5] = [
        ("a short job", 10, vec![step(None)]),
        ("a long command", 100_000, vec![step(None)]),
        ("long names", 10, vec![step(Some("x".repeat(20_000))); 3]),
        ("many steps", 10, vec![step(None); 1_000]),
        ("many dependencies", 10, (0..300).map(dependent).collect()),
    ];
    for (name, command, steps) in cases {
        let mut scheduler = scheduler();
        scheduler.submit(job(1_000, 1, None), Millis(1_000), Millis::ZERO);
        let before = (HEAP.allocated(), scheduler.held_bytes());
        for id in 0..64 {
            let mut job = job(id, 1, None);
            job.spec = Arc::new(WorkflowSpec {
                command: "x".repeat(command),
                steps: steps.clone(),
                repeat: None,
            });
            scheduler.submit(job, Millis(1_000), Millis::ZERO);
        }
        let taken = HEAP.allocated() - before.0;
        let counted = usize::try_from(scheduler.held_bytes() - before.1).unwrap_or(0);
        assert!(taken <= counted, "{name}: {taken} bytes, {counted} counted");
        assert!(
            counted <= 4 * taken,
            "{name}: {taken} bytes, {counted} counted"
        );
        let one = job_bytes(&job(1_000, 1, None));
        assert!(one < 4_096, "an ordinary job counts for {one} bytes");
    }
}

/// Runs what the scheduler has ordered to its end on the only host; returns the number of starts.
fn run_all(scheduler: &mut WorkflowScheduler, last_end: &mut u64, now: Millis) -> u64 {
    let id = HostId::from("w-0");
    let mut actions = Vec::new();
    scheduler.tick(now, WALL_MS + now.0, &mut actions);
    scheduler.place(now, &mut actions);
    let written = scheduler.last_record();
    scheduler.records_written(written, now, &mut actions);
    let started: Vec<StartOrder> = actions
        .into_iter()
        .filter_map(|action| match action {
            Action::Start(order) => Some(order),
            _ => None,
        })
        .collect();
    let mut ended = Vec::new();
    for order in &started {
        let run = (order.task, order.run);
        scheduler.start_result(&id, run, StartResult::Started, now, &mut Vec::new());
        *last_end += 1;
        ended.push(Ended {
            number: *last_end,
            task: order.task,
            run: order.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
    }
    let report = HostReport {
        boot_ms: 1,
        sent: now,
        lease: now + Millis(60_000),
        ended,
        ..HostReport::default()
    };
    scheduler.apply_report(&id, &report, now, &mut Vec::new());
    let written = scheduler.last_record();
    scheduler.records_written(written, now, &mut Vec::new());
    u64::try_from(started.len()).unwrap_or(u64::MAX)
}

fn list_host(scheduler: &mut WorkflowScheduler, now: Millis) {
    let entry = HostEntry {
        id: HostId::from("w-0"),
        address: "10.0.0.1:8000".to_owned(),
        service: "desk".to_owned(),
        capacity: Resources {
            cpu: 64_000,
            memory: 64_000,
            accelerators: 0,
        },
        ..HostEntry::default()
    };
    scheduler.list_host(entry, now);
    let report = HostReport {
        boot_ms: 1,
        sent: now,
        lease: now + Millis(60_000),
        ..HostReport::default()
    };
    scheduler.apply_report(&HostId::from("w-0"), &report, now, &mut Vec::new());
}

/// Guards against owners that keep a state for each task which is done until its job ends.
#[test]
fn tasks_that_are_done_take_no_memory() {
    let _alone = measure_alone();
    let overdue = Some(each_minute(0, 5_000));
    for (name, count, repeat) in [("a wide step", 10_000, None), ("occurrences", 2, overdue)] {
        let mut scheduler = scheduler();
        let mut now = Millis(1_000);
        list_host(&mut scheduler, now);
        scheduler.submit(job(1, count, repeat), now, Millis::ZERO);
        let (mut starts, mut last_end) = (0, 0);
        let mut peak = 0;
        let before = HEAP.allocated();
        while starts < 10_000 {
            now += Millis(10);
            let started = run_all(&mut scheduler, &mut last_end, now);
            assert!(started > 0, "{name}: nothing starts after {starts} starts");
            starts += started;
            peak = peak.max(HEAP.allocated().saturating_sub(before));
        }
        assert_eq!(starts, 10_000, "{name}");
        let shown = scheduler.status(WorkflowId(1));
        assert_eq!(shown, Some(WorkflowStatus::Completed), "{name}");
        // At most 640 tasks fit at a time.
        assert!(peak < 1 << 20, "{name}: {peak} bytes are held");
    }
}
