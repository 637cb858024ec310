//! More ends on one host than a report lists.

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostReport, Proof, Record, RunOutcome, Running, StartResult, WorkflowStatus,
};

use super::world::{Faults, World, flow, host, rules, step};
use super::{CORE, task};

/// How long a task runs, in milliseconds.
const RUN_MS: u64 = 500;

/// How long each play lasts beyond the runs, in milliseconds.
const REST_MS: u64 = 8_000;

/// Plays of one job whose tasks end at the same moment, each with the owner replaced at another time.
struct Case {
    name: &'static str,
    /// The most ends that a report lists.
    listed: usize,
    tasks: u32,
    /// The times of the takeovers, in milliseconds from the submission; empty for none.
    takeovers: Vec<u64>,
    /// Whether the owner is replaced once more, a page of ends later.
    twice: bool,
    /// Runs that fail, in percent.
    failing: u64,
    write_ms: u64,
}

impl Case {
    fn play(&self, takeover: Option<u64>) -> World {
        let faults = Faults {
            failing: self.failing,
            ..Faults::default()
        };
        let hosts = (0..3).map(|at| host(at, 40 * CORE)).collect();
        let rules = rules(20, Resources::UNBOUNDED);
        let mut world = World::new(1, hosts, rules, faults);
        world.run_ms = RUN_MS;
        world.listed_ends = self.listed;
        world.keeps_ends = true;
        world.write_ms = self.write_ms;
        world.run_for(100);
        world.submit(flow(1, vec![step(self.tasks, 20)], None));
        if let Some(at) = takeover {
            world.run_for(at);
            world.take_over();
            if self.twice {
                world.run_for(110);
                world.take_over();
            }
        }
        let end = RUN_MS + REST_MS;
        while world.now < end || world.status(1) == Some(WorkflowStatus::Running) {
            world.run_for(100);
            assert!(world.now < 20 * end, "{}: the job does not end", self.name);
        }
        world
    }

    fn check(&self, takeover: Option<u64>) {
        let world = self.play(takeover);
        let name = format!("{}, takeover {takeover:?}", self.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
        let shown = world.status(1);
        assert_eq!(shown, Some(WorkflowStatus::Completed), "{name}");
        let mut counts: HashMap<String, usize> = HashMap::default();
        let mut failures = 0;
        for record in world.records() {
            match record {
                Record::Done(task) => *counts.entry(task.to_string()).or_default() += 1,
                Record::Failed(task, run) => {
                    failures += 1;
                    *counts.entry(format!("{task} {run}")).or_default() += 1;
                }
                _ => {}
            }
        }
        let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "{name}: counted twice: {twice:?}");
        assert_eq!(world.starts, self.tasks + failures, "{name}");
    }
}

/// Guards against tasks that start again after they have ended done, since the page of ends that a report
/// lists was taken for all of them.
#[test]
fn no_task_starts_again_while_its_end_waits_for_a_later_report() {
    let case = |name, listed, tasks, takeovers: &[u64]| Case {
        name,
        listed,
        tasks,
        takeovers: takeovers.to_vec(),
        twice: false,
        failing: 0,
        write_ms: 30,
    };
    let around: Vec<u64> = (440..1_600).step_by(10).collect();
    let few: Vec<u64> = (480..900).step_by(60).collect();
    let cases = [
        case("no takeover, one end", 1, 12, &[]),
        case("no takeover, two ends", 2, 12, &[]),
        case("no takeover, 500 ends", 500, 1_750, &[]),
        case("one end", 1, 12, &around),
        case("two ends", 2, 13, &around),
        case("500 ends", 500, 1_750, &few),
        case("exactly one report of ends", 500, 500, &few),
        Case {
            twice: true,
            ..case("two takeovers, two ends", 2, 13, &around)
        },
        Case {
            failing: 40,
            ..case("failures, two ends", 2, 12, &around)
        },
        Case {
            write_ms: 700,
            ..case("a slow store, two ends", 2, 8, &around)
        },
        Case {
            write_ms: 700,
            ..case("a slow store and no takeover", 2, 8, &[])
        },
    ];
    for case in cases {
        if case.takeovers.is_empty() {
            case.check(None);
        }
        for takeover in &case.takeovers {
            case.check(Some(*takeover));
        }
    }
}

/// A report of the boot after the one for which the start of a run was planned.
struct Restart {
    name: &'static str,
    /// The last report: the outcome of the run that it lists, if any.
    listed: Option<RunOutcome>,
    proof: Option<Proof>,
}

/// Guards against a run that counts as lost with an earlier boot while the end that the new one holds waits
/// for a later report.
#[test]
fn a_run_is_lost_with_an_earlier_boot_once_all_ends_are_listed() {
    let cases = [
        Restart {
            name: "the new boot has run it",
            listed: Some(RunOutcome::Done),
            proof: None,
        },
        Restart {
            name: "it was lost",
            listed: None,
            proof: Some(Proof::NewBoot),
        },
    ];
    for case in cases {
        let mut world = World::new(
            1,
            vec![host(0, 8 * CORE)],
            rules(3, Resources::UNBOUNDED),
            Faults::default(),
        );
        world.run_for(100);
        world.submit(flow(1, vec![step(1, CORE)], None));
        let id: HostId = host(0, 8 * CORE).id;
        let (name, run) = (task(1, 0, 0), 1);
        let now = Millis(world.now);
        let owner = &mut world.scheduler;
        let mut actions = Vec::new();
        owner.place(now, &mut actions);
        owner.records_written(owner.last_record(), now, &mut actions);
        owner.start_result(&id, (name, run), StartResult::Started, now, &mut actions);
        let report = |sent: u64, ended: Vec<Ended>, has_more_ends: bool| HostReport {
            boot_ms: 2,
            sent: Millis(now.0 + sent),
            lease: Millis(now.0 + 3_000),
            running: Vec::<Running>::new(),
            ended,
            has_more_ends,
        };
        let end = |number, task, outcome| Ended {
            number,
            task,
            run,
            outcome,
            checkpoint: String::new(),
        };
        let other = end(1, task(9, 0, 0), RunOutcome::Done);
        let first = report(10, vec![other], true);
        owner.apply_report(&id, &first, Millis(now.0 + 11), &mut actions);
        let released = |action: &Action| match action {
            Action::Released { proof, .. } => Some(*proof),
            _ => None,
        };
        assert!(
            actions.iter().all(|it| released(it).is_none()),
            "{}",
            case.name
        );
        let ended = case.listed.map(|outcome| end(2, name, outcome));
        let last = report(20, ended.into_iter().collect(), false);
        owner.apply_report(&id, &last, Millis(now.0 + 21), &mut actions);
        let proof = actions.iter().find_map(released);
        assert_eq!(proof, case.proof, "{}", case.name);
        owner.records_written(owner.last_record(), now, &mut actions);
        let is_completed = owner.status(name.step.job) == Some(WorkflowStatus::Completed);
        assert_eq!(is_completed, case.listed.is_some(), "{}", case.name);
    }
}
