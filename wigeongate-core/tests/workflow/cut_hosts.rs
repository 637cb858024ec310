//! Hosts that are cut off with refused connections, which looks like a crash, and run on.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Crash, CrashRecord, Evidence, HostEntry, HostReport, Record, StepSpec, Workflow, WorkflowId,
    WorkflowScheduler, WorkflowSettings, WorkflowStatus,
};

use super::world::{Comeback, Faults, Rng, World, flow, host, rules, step};
use super::{CORE, task};

const HOSTS: usize = 8;

/// How long a task runs without a cut, in milliseconds.
const RUN_MS: u64 = 14_000;

/// The longest time from a cut until the task has started elsewhere, in milliseconds.
const RESTART_MS: u64 = 12_000;

/// The hosts that one bad task may crash.
const HOSTS_PER_TASK: usize = 3;

/// Drawn days of cuts.
const DAYS: u64 = 24;

/// The time between the looks at a task, in milliseconds.
const LOOK_MS: u64 = 10;

fn deployment(lease_ms: u64) -> World {
    let hosts = (0..HOSTS).map(|at| host(at, 8 * CORE)).collect();
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.lease_ms = lease_ms;
    world.take_over();
    world.run_for(100);
    world
}

/// Cuts of each host that starts a task.
struct Cuts {
    name: &'static str,
    count: usize,
    /// The time from a start to the cut, in milliseconds.
    after_ms: u64,
    /// How long each cut lasts, in milliseconds.
    cut_ms: u64,
    /// When the owner is replaced, in milliseconds after each cut.
    takeovers: &'static [u64],
    /// Whether the registry drops the host during the cut.
    is_unlisted: bool,
}

/// One cut that outlasts the lease of 3 s after the other.
const CUTS: Cuts = Cuts {
    name: "one cut after the other",
    count: 4,
    after_ms: 2_000,
    cut_ms: 5_000,
    takeovers: &[],
    is_unlisted: false,
};

impl Cuts {
    fn play(&self) {
        let mut world = deployment(3_000);
        world.run_ms = RUN_MS;
        world.submit(flow(1, vec![step(1, CORE)], None));
        for _ in 0..self.count {
            let mut waited = 0;
            let host = loop {
                let running = world.hosts_running(task(1, 0, 0));
                let mut reachable = running.into_iter().filter(|host| !world.is_refusing(host));
                if let Some(host) = reachable.next().cloned() {
                    break host;
                }
                assert!(waited < RESTART_MS, "{}: no start", self.name);
                assert_ne!(
                    world.status(1),
                    Some(WorkflowStatus::Failed),
                    "{}",
                    self.name
                );
                world.run_for(LOOK_MS);
                waited += LOOK_MS;
            };
            world.run_for(self.after_ms);
            world.cut_off_refusing(&host, self.cut_ms);
            if self.is_unlisted {
                world.lapse_registration(&host, self.cut_ms);
            }
            let mut passed = 0;
            for at in self.takeovers {
                world.run_for(at - passed);
                world.take_over();
                passed = *at;
            }
        }
        world.run_for(RESTART_MS + RUN_MS);
        let shown = world.status(1);
        assert_eq!(shown, Some(WorkflowStatus::Completed), "{}", self.name);
        assert!(world.verdicts.is_empty(), "{}", self.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", self.name);
    }
}

/// Guards against innocent jobs shown as failed after cuts that outlast the leases.
#[test]
fn no_job_is_given_up_for_cuts_with_refused_connections() {
    let cases = [
        CUTS,
        Cuts {
            name: "right after the starts",
            after_ms: 30,
            ..CUTS
        },
        Cuts {
            name: "cuts that overlap",
            cut_ms: 40_000,
            ..CUTS
        },
        Cuts {
            name: "right after the starts, cuts that overlap",
            after_ms: 30,
            cut_ms: 40_000,
            ..CUTS
        },
        Cuts {
            name: "the registry loses the hosts as well",
            cut_ms: 8_000,
            is_unlisted: true,
            ..CUTS
        },
        Cuts {
            name: "the registry loses the hosts as well, and so does each owner",
            count: 3,
            cut_ms: 8_000,
            takeovers: &[7_500],
            is_unlisted: true,
            ..CUTS
        },
        Cuts {
            name: "right after the starts, the registry loses the hosts as well, cuts that overlap",
            after_ms: 30,
            cut_ms: 12_000,
            is_unlisted: true,
            ..CUTS
        },
        Cuts {
            name: "right after the starts, the registry and two owners lose the hosts as well",
            after_ms: 30,
            cut_ms: 12_000,
            takeovers: &[500, 2_500],
            is_unlisted: true,
            ..CUTS
        },
        Cuts {
            name: "the owner is lost before the leases expire",
            takeovers: &[1_000],
            ..CUTS
        },
        Cuts {
            name: "the owner is lost after the leases have expired",
            takeovers: &[4_500],
            ..CUTS
        },
        Cuts {
            name: "two owners are lost, right after the starts, cuts that overlap",
            after_ms: 30,
            cut_ms: 60_000,
            takeovers: &[500, 2_500],
            ..CUTS
        },
    ];
    for case in cases {
        case.play();
    }
}

/// How long drawn cuts go on, in milliseconds.
const TROUBLE_MS: u64 = 40_000;

/// The longest drawn cut, in milliseconds.
const MAX_CUT_MS: u64 = 12_000;

/// How long a host stays registered from the beginning of a cut from the registry, in milliseconds.
const REGISTERED_MS: u64 = 5_000;

/// The most hosts that drawn cuts hold off at once.
const MOST_CUT: usize = 2;

/// Cuts the hosts of a job's first task off, unless too many are.
fn cut_job(world: &mut World, rng: &mut Rng, job: u64) {
    let hosts: Vec<HostId> = (world.hosts_running(task(job, 0, 0)).into_iter())
        .cloned()
        .collect();
    for host in hosts {
        let all = world.live_hosts();
        let count = all.iter().filter(|id| world.is_refusing(id)).count();
        if count >= MOST_CUT || world.is_refusing(&host) {
            continue;
        }
        let ms = 1_000 + rng.below(MAX_CUT_MS - 1_000);
        world.cut_off_refusing(&host, ms);
        if ms > REGISTERED_MS && rng.chance(50) {
            world.lapse_registration(&host, ms);
        }
    }
}

/// Guards against innocent jobs shown as failed after any cuts of few hosts.
#[test]
fn no_job_is_given_up_on_drawn_days_of_cuts() {
    let mut wrong = Vec::new();
    for seed in 0..DAYS {
        let mut rng = Rng::new(seed + 3_000);
        let mut world = deployment(3_000 + 1_000 * (seed % 4));
        let end = world.now + TROUBLE_MS;
        let mut jobs = 0;
        while world.now < end {
            if jobs < 2 || rng.chance(10) {
                jobs += 1;
                let count = u32::try_from(1 + rng.below(3)).unwrap_or(1);
                let run_ms = 500 + rng.below(RUN_MS);
                world.run_times.insert(WorkflowId(jobs), run_ms);
                let cpu = CORE * (1 + rng.below(8));
                world.submit(flow(jobs, vec![step(count, cpu)], None));
            }
            let longest = if rng.chance(70) { 400 } else { 3_000 };
            world.run_for(30 + rng.below(longest));
            // Few jobs meet most cuts.
            cut_job(&mut world, &mut rng, 1 + seed % 3 + jobs / 8);
            if seed % 2 == 1 && rng.chance(4) {
                world.take_over();
            }
        }
        world.run_for(90_000);
        for job in 1..=jobs {
            let shown = world.status(job);
            if shown != Some(WorkflowStatus::Completed) {
                wrong.push(format!("seed {seed}, job {job}: {shown:?}"));
            }
        }
        let violations = world.violations.iter();
        wrong.extend(violations.map(|it| format!("seed {seed}: {it}")));
    }
    let count = wrong.len();
    wrong.truncate(12);
    assert!(wrong.is_empty(), "{count} in all:\n{}", wrong.join("\n"));
}

/// Guards against false reports of tasks that ran twice: a run of a task that is done was not known to the
/// next owner.
#[test]
fn a_second_run_of_a_done_task_is_stopped_by_the_next_owner() {
    let mut world = deployment(3_000);
    world.run_ms = 2_500;
    world.submit(flow(1, vec![step(1, CORE)], None));
    world.run_for(2_000);
    let first = world.hosts_running(task(1, 0, 0))[0].clone();
    // The first run ends behind the cut, before its lease.
    world.cut_off_refusing(&first, 4_000);
    world.run_for(3_500);
    let second = world.hosts_running(task(1, 0, 0))[0].clone();
    assert_ne!(first, second);
    world.cut_off_refusing(&second, 1_500);
    world.run_for(1_000);
    assert_eq!(world.status(1), Some(WorkflowStatus::Completed));
    assert_eq!(world.hosts_running(task(1, 0, 0)), [&second]);
    world.take_over();
    world.run_for(1_000);
    assert!(world.hosts_running(task(1, 0, 0)).is_empty());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against jobs that go back and forth between hosts that are cut off again and again.
#[test]
fn a_task_that_lost_its_host_starts_on_another_machine() {
    let mut world = deployment(3_000);
    world.run_ms = RUN_MS;
    world.submit(flow(1, vec![step(1, CORE)], None));
    let mut seen: Vec<String> = Vec::new();
    for _ in 0..3 {
        world.run_for(2_000);
        let host = world.hosts_running(task(1, 0, 0))[0].clone();
        assert!(!seen.contains(&host.to_string()), "{seen:?}, {host}");
        world.cut_off_refusing(&host, 3_500);
        seen.push(host.to_string());
        world.run_for(4_500);
    }
}

/// Guards against runs that are suspected of a crash that turned out to be a cut.
#[test]
fn neighbours_are_not_suspected_of_the_crash_of_a_host_that_went_on() {
    let mut world = deployment(3_000);
    world.run_ms = RUN_MS;
    // One task on each host.
    world.submit(flow(1, vec![step(8, 5 * CORE)], None));
    world.run_for(2_000);
    world.submit(flow(2, vec![step(1, CORE)], None));
    world.run_for(50);
    let cut = world.hosts_running(task(2, 0, 0))[0].clone();
    world.cut_off_refusing(&cut, 1_000);
    world.run_for(3_000);
    let suspected: Vec<u64> = world
        .records()
        .filter_map(|record| match record {
            Record::CrashedOn(record, ..) => Some(record.task.step.job.0),
            _ => None,
        })
        .collect();
    assert_eq!(suspected, [2]);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against neighbours that crash hosts for good without ever being given up, since the registry had
/// proved the crash before they were suspected.
#[test]
fn a_crash_that_the_registry_proved_counts_for_those_who_are_suspected_later() {
    let mut hosts: Vec<HostEntry> = (0..HOSTS).map(|at| host(at, 8 * CORE)).collect();
    for entry in &mut hosts[..2] {
        entry.labels.push("left".to_owned());
    }
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.comeback = Comeback::Never;
    world.run_ms = RUN_MS;
    world.run_for(100);
    let on_left = |cpu: u64| StepSpec {
        requires: Some("left".to_owned()),
        ..step(1, cpu)
    };
    world.submit(flow(1, vec![on_left(5 * CORE)], None));
    world.run_for(100);
    let lost = world.hosts_running(task(1, 0, 0))[0].clone();
    // Keeps the suspect waiting until the registry has proved the crash.
    world.submit(flow(3, vec![on_left(8 * CORE)], None));
    world.run_for(2_000);
    world.submit(flow(2, vec![on_left(CORE)], None));
    world.run_for(50);
    world.kill_host(&lost);
    world.run_for(10_000);
    assert_eq!(proved_jobs(&world), [2]);
    world.run_for(6_000);
    assert_eq!(proved_jobs(&world), [2, 1]);
}

/// Returns the jobs under whose tasks crashes are proved, in the order of the records.
fn proved_jobs(world: &World) -> Vec<u64> {
    let proved = world.records().filter_map(|record| match record {
        Record::CrashProved(task, ..) => Some(task.step.job.0),
        _ => None,
    });
    proved.collect()
}

/// Guards against a queue that stays suspected of crashes that turned out to be cuts.
#[test]
fn a_queue_is_not_suspected_of_crashes_of_hosts_that_went_on() {
    let hosts = (0..24).map(|at| host(at, 8 * CORE)).collect();
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    world.run_ms = RUN_MS;
    world.run_for(100);
    for job in 1..=3 {
        let accepted = world.now;
        let flow = flow(job, vec![step(1, 8 * CORE)], None);
        world.submit(Workflow { accepted, ..flow });
        world.run_for(60);
        let host = world.hosts_running(task(job, 0, 0))[0].clone();
        world.cut_off_refusing(&host, 2_000);
        world.run_for(300);
    }
    assert!(
        world.queue_suspected,
        "the queue is suspected during the cuts"
    );
    world.run_for(2_000);
    assert!(!world.queue_suspected);
}

/// Guards against bad tasks that cost a host for each lease, since no proof of a crash was awaited.
#[test]
fn a_bad_task_costs_three_hosts_if_these_never_return() {
    for takeovers in [false, true] {
        for crash_delay_ms in [10, 400] {
            let name = format!("takeovers {takeovers}, {crash_delay_ms} ms");
            let mut world = deployment(6_000);
            let bad = task(1, 0, 1);
            world.make_deadly(bad);
            world.comeback = Comeback::Never;
            world.crash_delay_ms = crash_delay_ms;
            world.submit(flow(1, vec![step(3, CORE)], None));
            let mut crashes = 0;
            for _ in 0..400 {
                world.run_for(100);
                if takeovers && world.crashes.len() > crashes {
                    world.take_over();
                }
                crashes = world.crashes.len();
            }
            let hosts = world.crashes_by(bad);
            assert!(hosts <= HOSTS_PER_TASK, "{name}: {hosts} hosts");
            let shown = world.status(1);
            assert_eq!(shown, Some(WorkflowStatus::Failed), "{name}");
            assert_eq!(world.violations, Vec::<String>::new(), "{name}");
        }
    }
}

/// Two crashes as a version before wrote them, and what the hosts answer to the next owner.
struct Logged {
    name: &'static str,
    /// The boots that the hosts answer with.
    answers: [u64; 2],
    shown: WorkflowStatus,
}

/// Guards against jobs that a new owner gives up for crashes that are recorded without a proof.
#[test]
fn recorded_crashes_count_once_the_next_owner_has_a_proof() {
    let cases = [
        Logged {
            name: "both hosts went on",
            answers: [5, 5],
            shown: WorkflowStatus::Running,
        },
        Logged {
            name: "one host went on",
            answers: [6, 5],
            shown: WorkflowStatus::Running,
        },
        Logged {
            name: "both hosts have crashed",
            answers: [6, 6],
            shown: WorkflowStatus::Failed,
        },
    ];
    for case in cases {
        let now = Millis(1_000);
        let mut owner = WorkflowScheduler::new(WorkflowSettings::default(), now);
        owner.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        owner.restore(flow(1, vec![step(1, CORE)], None), now, Millis::ZERO);
        let bad = task(1, 0, 0);
        for (run, at) in [(1, 0), (2, 1)] {
            let HostEntry { id, address, .. } = host(at, 8 * CORE);
            let crash = Crash {
                run,
                sole: true,
                young: true,
                ..Crash::default()
            };
            let crash = CrashRecord {
                task: bad,
                crash,
                machine: address,
            };
            let evidence = Evidence {
                run,
                host: id.clone(),
                age: Millis(10),
                unanswered: false,
                explained: true,
                beside: 0,
                unexplained: 0,
                chance_ppb: 200,
            };
            owner.begin_batch();
            owner.replay(&Record::StartedOn(bad, run, id, 5), now);
            owner.replay(&Record::Crashed(crash), now);
            owner.replay(&Record::Weighed(bad, evidence), now);
            owner.replay(&Record::Lost(bad, run), now);
        }
        let mut actions = Vec::new();
        owner.finish_restore(now, &mut actions);
        for at in 0..HOSTS {
            owner.list_host(host(at, 8 * CORE), now);
        }
        owner.tick(now, 0, &mut actions);
        assert_ne!(
            owner.status(bad.step.job),
            Some(WorkflowStatus::Failed),
            "{}: nothing is proved",
            case.name
        );
        for (at, boot_ms) in case.answers.into_iter().enumerate() {
            let report = HostReport {
                boot_ms,
                sent: Millis(1_100),
                lease: Millis(4_000),
                ..HostReport::default()
            };
            let id = host(at, 8 * CORE).id;
            owner.apply_report(&id, &report, Millis(1_200), &mut actions);
        }
        owner.records_written(owner.last_record(), Millis(1_300), &mut actions);
        let shown = owner.status(bad.step.job);
        let is_failed = shown == Some(WorkflowStatus::Failed);
        let expected = case.shown == WorkflowStatus::Failed;
        assert_eq!(is_failed, expected, "{}: {shown:?}", case.name);
    }
}
