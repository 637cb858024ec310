//! Verdicts on tasks whose hosts crash for reasons of their own.

use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::WorkflowStatus;

use super::world::{AWAY_MS, Comeback, Faults, Rng, World, flow, host, rules, step};
use super::{CORE, task};

/// The hosts of each deployment.
const HOSTS: usize = 24;

/// How long hosts crash in a day, in milliseconds.
const TROUBLE_MS: u64 = 15_000;

/// The interval between two jobs, in milliseconds.
const ARRIVAL_MS: u64 = 30;

/// One innocent job in fewer than this many may be given up.
const JOBS_PER_ERROR: usize = 10_000;

/// The hosts that one bad task may crash on a quiet fleet.
const QUIET_HOSTS: usize = 3;

/// The hosts that one bad task may crash while others crash for reasons of their own.
const FAILING_HOSTS: usize = 6;

/// How the hosts of a day crash for reasons of their own.
#[derive(Debug, Clone, Copy)]
struct Day {
    name: &'static str,
    /// The mean time between two moments at which hosts crash, in milliseconds; zero for never.
    interval_ms: u64,
    /// The share of the hosts that crash at each such moment, in percent; zero for one host.
    percent: u64,
    /// The time over which the crashes of one moment spread, in milliseconds.
    spread_ms: u64,
    /// Whether only the hosts of one zone crash.
    one_zone: bool,
    /// Whether the hosts are cut off as they crash, so that orders get no answer.
    behind_cut: bool,
    /// The mean time between two changes of the owner, in milliseconds; zero for none.
    takeover_ms: u64,
}

const QUIET: Day = Day {
    name: "no host crashes",
    interval_ms: 0,
    percent: 0,
    spread_ms: 0,
    one_zone: false,
    behind_cut: false,
    takeover_ms: 0,
};

const DAYS: [Day; 9] = [
    QUIET,
    Day {
        name: "now and then a host",
        interval_ms: 2_000,
        ..QUIET
    },
    Day {
        name: "one host after the other",
        interval_ms: 150,
        ..QUIET
    },
    Day {
        name: "one host after the other and changes of the owner",
        interval_ms: 300,
        takeover_ms: 2_500,
        ..QUIET
    },
    Day {
        name: "groups",
        interval_ms: 2_500,
        percent: 30,
        spread_ms: 800,
        ..QUIET
    },
    Day {
        name: "zones",
        interval_ms: 3_000,
        percent: 80,
        spread_ms: 400,
        one_zone: true,
        ..QUIET
    },
    Day {
        name: "a third behind cuts",
        interval_ms: 3_500,
        percent: 33,
        spread_ms: 500,
        behind_cut: true,
        ..QUIET
    },
    Day {
        name: "a third behind cuts and changes of the owner",
        interval_ms: 3_500,
        percent: 33,
        spread_ms: 500,
        behind_cut: true,
        takeover_ms: 3_000,
        ..QUIET
    },
    Day {
        name: "four fifths behind cuts",
        interval_ms: 5_000,
        percent: 80,
        spread_ms: 900,
        behind_cut: true,
        takeover_ms: 6_000,
        ..QUIET
    },
];

impl Day {
    /// Draws a day; on the worst ones a fifth of the hosts stays up.
    fn draw(rng: &mut Rng) -> Self {
        let percent = if rng.chance(40) {
            0
        } else {
            10 + rng.below(71)
        };
        let least_ms = if percent == 0 { 100 } else { 1_500 };
        Self {
            name: "drawn",
            interval_ms: least_ms + rng.below(4_000),
            percent,
            spread_ms: rng.below(1_500),
            one_zone: rng.chance(25),
            behind_cut: rng.chance(50),
            takeover_ms: if rng.chance(50) {
                2_000 + rng.below(6_000)
            } else {
                0
            },
        }
    }

    /// Lets hosts crash that are drawn at random.
    fn strike(self, world: &mut World, rng: &mut Rng) {
        let zone = ["a", "b", "c"][usize::try_from(rng.below(3)).unwrap_or(0)];
        let mut hosts = if self.one_zone {
            world.hosts_in_zone(zone)
        } else {
            world.live_hosts()
        };
        let count = if self.percent == 0 {
            1
        } else {
            hosts.len() * usize::try_from(self.percent).unwrap_or(0) / 100
        };
        for _ in 0..count.min(hosts.len()) {
            let at = rng.below(u64::try_from(hosts.len()).unwrap_or(1));
            let id = hosts.swap_remove(usize::try_from(at).unwrap_or(0));
            let after = rng.below(self.spread_ms + 1);
            if self.behind_cut {
                let cut_ms = after + 300 + rng.below(3_500);
                world.crash_behind_cut(&id, after, cut_ms);
            } else {
                world.crash_later(&id, after);
            }
        }
    }

    /// Plays a day on which each job is innocent, but for one bad task if `bad`.
    fn play(self, seed: u64, bad: bool) -> World {
        let hosts = (0..HOSTS).map(|at| host(at, 8 * CORE)).collect();
        let rules = rules(3, Resources::UNBOUNDED);
        let mut world = World::new(seed, hosts, rules, Faults::default());
        let mut rng = Rng::new(seed + 1_000);
        if seed.is_multiple_of(2) {
            world.comeback = Comeback::SameId;
        }
        world.run_for(100);
        let due = |rng: &mut Rng, mean_ms: u64| mean_ms > 0 && rng.below(mean_ms) < 10;
        let end = world.now + TROUBLE_MS;
        let mut job = 100;
        while world.now < end {
            if world.now % ARRIVAL_MS < 10 {
                let count = u32::try_from(1 + rng.below(4)).unwrap_or(1);
                world.submit(flow(job, vec![step(count, CORE)], None));
                job += 1;
            }
            if bad && world.now >= end - TROUBLE_MS / 2 && world.status(1).is_none() {
                world.make_deadly(task(1, 0, 0));
                world.submit(flow(1, vec![step(2, CORE)], None));
            }
            if due(&mut rng, self.interval_ms) {
                self.strike(&mut world, &mut rng);
            }
            if due(&mut rng, self.takeover_ms) {
                world.take_over();
            }
            world.run_for(10);
        }
        world.run_for(20_000);
        world
    }
}

/// Returns the days of the table, and as many that are drawn at random.
fn days() -> Vec<Day> {
    let mut rng = Rng::new(36);
    let drawn = DAYS.map(|_| Day::draw(&mut rng));
    DAYS.into_iter().chain(drawn).collect()
}

fn innocent(world: &World) -> Vec<u64> {
    world.submitted().filter(|job| *job >= 100).collect()
}

#[test]
fn innocent_jobs_are_not_given_up_while_hosts_crash_for_reasons_of_their_own() {
    let mut given_up = Vec::new();
    let mut jobs = 0;
    for day in days() {
        for seed in 0..8 {
            let world = day.play(seed, false);
            let all = innocent(&world);
            jobs += all.len();
            for job in all {
                if world.status(job) == Some(WorkflowStatus::Failed) {
                    given_up.push((day, seed, job));
                }
            }
        }
    }
    assert!(
        given_up.len() * JOBS_PER_ERROR < jobs,
        "{} of {jobs}: {given_up:?}",
        given_up.len()
    );
}

#[test]
fn a_bad_task_costs_a_bounded_number_of_hosts_while_others_crash() {
    for day in days() {
        let most = if day.interval_ms == 0 {
            QUIET_HOSTS
        } else {
            FAILING_HOSTS
        };
        for seed in 0..8 {
            let world = day.play(seed, true);
            let crashes = world.crashes_by(task(1, 0, 0));
            assert!(crashes <= most, "{day:?} {seed}: {crashes}");
            let status = world.status(1);
            assert_eq!(status, Some(WorkflowStatus::Failed), "{} {seed}", day.name);
        }
    }
}

#[test]
fn a_job_whose_second_start_got_no_answer_is_not_given_up() {
    // The first host crashes; the second one is cut off just before the order and restarts.
    for comeback in [Comeback::NewId, Comeback::SameId] {
        let hosts = (0..2).map(|at| host(at, 8 * CORE)).collect();
        let rules = rules(3, Resources::UNBOUNDED);
        let mut world = World::new(1, hosts, rules, Faults::default());
        world.lease_ms = 10_000;
        world.comeback = comeback;
        world.take_over();
        world.run_for(100);
        world.submit(flow(7, vec![step(4, CORE)], None));
        world.run_for(60);
        let first = world.hosts_running(task(7, 0, 0))[0].clone();
        let second = world.live_hosts().into_iter().find(|id| *id != first);
        world.kill_host(&first);
        world.run_for(3_180);
        world.crash_behind_cut(&second.expect("the other host runs"), 600, 4_500);
        world.run_for(15_000);
        let status = world.status(7);
        assert_eq!(status, Some(WorkflowStatus::Completed), "{comeback:?}");
    }
}

#[test]
fn a_refused_run_is_not_adopted_by_the_next_owner() {
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, vec![host(0, 8 * CORE)], rules, Faults::default());
    // The order reaches the dead host before the owner knows that it is lost.
    world.break_delay_ms = 100;
    world.run_for(110);
    let id = world.live_hosts()[0].clone();
    world.submit(flow(7, vec![step(1, CORE)], None));
    world.run_for(20);
    world.kill_host(&id);
    world.run_for(100);
    assert_eq!(world.refused_starts, 1);
    world.take_over();
    let (_, used) = world.scheduler.load(&id).expect("the host is known");
    assert_eq!(used, Resources::ZERO);
}

#[test]
fn a_new_owner_that_gives_a_job_up_reports_the_verdict() {
    let hosts = (0..6).map(|at| host(at, 8 * CORE)).collect();
    let rules = rules(3, Resources::UNBOUNDED);
    let mut world = World::new(1, hosts, rules, Faults::default());
    let bad = task(7, 0, 0);
    world.crash_delay_ms = 60;
    world.make_deadly(bad);
    world.run_for(100);
    world.submit(flow(7, vec![step(1, CORE)], None));
    while world.crashes_by(bad) < 2 {
        world.run_for(10);
    }
    // The judgement is in the log, and the loss of the host is not proved yet.
    world.run_for(300);
    assert_eq!(world.verdicts, []);
    world.take_over();
    world.run_for(50);
    assert_eq!(world.verdicts, []);
    // The successor of the host answers.
    world.run_for(AWAY_MS);
    assert_eq!(world.status(7), Some(WorkflowStatus::Failed));
    assert_eq!(world.verdicts, [bad]);
    assert_eq!(world.crashes_by(bad), 2);
}
