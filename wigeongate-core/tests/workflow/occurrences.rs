//! Jobs that run many times, while owners are replaced and hosts crash.

use std::collections::BTreeSet;

use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    CheckpointSettings, Record, Repeat, StepSpec, TaskName, WorkflowId, WorkflowStatus,
};

use super::CORE;
use super::world::{Faults, StoredLog, World, flow, host, rules, step};

/// A job that runs many times, and what happens meanwhile.
struct Case {
    name: &'static str,
    steps: Vec<StepSpec>,
    count: u32,
    /// The time between occurrences, in milliseconds.
    interval: u64,
    faults: Faults,
    /// The times of the takeovers, in milliseconds from the submission.
    takeovers: &'static [u64],
}

impl Case {
    fn play(&self, seed: u64) -> World {
        let hosts = (0..4).map(|at| host(at, 16 * CORE)).collect();
        let rules = rules(1_000, Resources::UNBOUNDED);
        let mut world = World::new(seed, hosts, rules, self.faults);
        let settings = CheckpointSettings {
            interval: Millis(500),
            min_weight: 200,
            idle: Millis(1_000),
            ..CheckpointSettings::default()
        };
        world.enable_checkpoints(settings, 0);
        world.run_ms = 60;
        world.run_for(100);
        let repeat = Repeat {
            first: world.now,
            interval: Millis(self.interval),
            count: self.count,
        };
        world.submit(flow(1, self.steps.clone(), Some(repeat)));
        let submitted = world.now;
        let mut takeovers = self.takeovers.iter().peekable();
        while world.status(1) != Some(WorkflowStatus::Completed) {
            world.run_for(50);
            if takeovers
                .next_if(|at| world.now >= submitted + **at)
                .is_some()
            {
                world.take_over();
            }
            let name = self.name;
            assert!(
                world.now < 300_000,
                "{name}, seed {seed}: the job does not end"
            );
        }
        world
    }

    fn tasks(&self) -> usize {
        let width: u32 = self.steps.iter().map(|step| step.count).sum();
        usize::try_from(self.count * width).unwrap_or(usize::MAX)
    }

    fn check(&self, seed: u64) {
        let world = self.play(seed);
        let name = format!("{}, seed {seed}", self.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
        let mut done: BTreeSet<TaskName> = BTreeSet::new();
        for record in world.records() {
            match record {
                Record::Done(task) => assert!(done.insert(*task), "{name}: {task} is done twice"),
                Record::GangDone(at) => {
                    let count = self.steps[usize::from(at.step)].count;
                    done.extend((0..count).map(|index| TaskName { step: *at, index }));
                }
                _ => {}
            }
        }
        assert_eq!(done.len(), self.tasks(), "{name}");
    }
}

/// Guards against occurrences that are lost, or run again, since only some of them are held in memory.
#[test]
fn each_occurrence_runs_once_however_many_are_due() {
    let after = |count, before| StepSpec {
        after: vec![before],
        ..step(count, CORE)
    };
    let gang = StepSpec {
        gang: true,
        ..step(3, CORE)
    };
    let calm = |name, steps, count, interval| Case {
        name,
        steps,
        count,
        interval,
        faults: Faults::default(),
        takeovers: &[],
    };
    let faults = Faults {
        late: 5,
        failing: 5,
        crash: 20,
        takeover: 0,
    };
    let cases = [
        calm("all are due at once", vec![step(1, CORE)], 3_000, 0),
        calm("overlapping", vec![step(2, CORE), after(1, 0)], 400, 7),
        calm("wide ones", vec![step(300, 20)], 8, 0),
        calm("gangs", vec![gang.clone(), after(2, 0)], 150, 10),
        Case {
            takeovers: &[300, 900, 2_000, 4_100],
            ..calm("takeovers", vec![step(2, CORE), after(1, 0)], 400, 7)
        },
        Case {
            faults,
            takeovers: &[400, 1_500, 3_000],
            ..calm(
                "takeovers and crashes",
                vec![step(2, CORE), after(1, 0)],
                200,
                20,
            )
        },
        Case {
            faults,
            takeovers: &[400, 1_500, 3_000],
            ..calm("gangs, takeovers and crashes", vec![gang], 60, 40)
        },
    ];
    for case in cases {
        for seed in 0..4 {
            case.check(seed);
        }
    }
}

/// Guards against logs that grow with each end of a job that stays open, and with them each restore.
#[test]
fn a_checkpoint_keeps_nothing_of_each_occurrence_that_is_done() {
    let case = Case {
        name: "a job that stays open",
        steps: vec![step(4, CORE)],
        count: 1_500,
        interval: 0,
        faults: Faults::default(),
        takeovers: &[3_000],
    };
    let mut world = case.play(1);
    // Another job keeps the log growing until the next checkpoint.
    world.submit(flow(2, vec![step(200, 20)], None));
    world.run_for(8_000);
    let records = world.stored_log().map_or(0, StoredLog::records);
    assert!(records < 600, "{records} records are read after 6,000 runs");
}

/// Guards against steps that start before the steps that they depend on, in an occurrence whose state
/// was dropped.
#[test]
fn a_job_is_completed_only_after_its_last_occurrence() {
    let hosts = vec![host(0, 16 * CORE)];
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.run_ms = 50;
    world.run_for(100);
    let repeat = Repeat {
        first: world.now,
        interval: Millis(2_000),
        count: 3,
    };
    world.submit(flow(1, vec![step(1, CORE)], Some(repeat)));
    for (after_ms, shown) in [
        (1_000, WorkflowStatus::Running),
        (2_000, WorkflowStatus::Running),
        (2_000, WorkflowStatus::Completed),
    ] {
        world.run_for(after_ms);
        assert_eq!(world.scheduler.status(WorkflowId(1)), Some(shown));
    }
    assert_eq!(world.starts, 3);
}
