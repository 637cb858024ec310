//! Hosts that are silent, slow to answer or answer in another order keep their running tasks.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, HostLease, HostReport, Proof, Record, Running, StartResult, WorkflowId,
    WorkflowScheduler, WorkflowSettings,
};

use super::world::{flow, host, rules, step};
use super::{CORE, place, starts, task};

/// Duration of a task lease, in milliseconds.
const LEASE_MS: u64 = 6_000;

/// No bound on the leases that are granted.
const UNLIMITED: Millis = Millis(u64::MAX);

/// What happens to a poll after it was sent.
enum Fate {
    Answered,
    Unanswered,
    UnderWay,
}

/// Polls, each with the time at which it is sent, and what follows from them.
struct Case {
    name: &'static str,
    polls: Vec<(u64, Fate)>,
    /// The deadline of a further poll sent at 10 s, on the executor's clock.
    deadline: Option<u64>,
    confirmed_until: u64,
    runs_until: u64,
}

#[test]
fn a_lease_counts_from_the_moment_its_poll_is_sent() {
    // The executor's clock reads 1 s at the caller's time 0. Leases last up to 2.1% and 100 ms
    // longer on the caller's clock.
    let cases = [
        Case {
            name: "before the first answer, no deadline is sent",
            polls: vec![(100, Fate::Unanswered)],
            deadline: None,
            confirmed_until: 0,
            runs_until: 0,
        },
        Case {
            name: "an answer confirms the deadline of its poll",
            polls: vec![(1_000, Fate::Answered), (2_000, Fate::Answered)],
            deadline: Some(17_000),
            confirmed_until: 2_000 + 6_126 + 100,
            runs_until: 2_000 + 14_000 + 294 + 100,
        },
        Case {
            name: "a poll under way may have extended the lease",
            polls: vec![
                (1_000, Fate::Answered),
                (2_000, Fate::Answered),
                (7_000, Fate::UnderWay),
            ],
            deadline: Some(17_000),
            confirmed_until: 2_000 + 6_126 + 100,
            runs_until: 2_000 + 14_000 + 294 + 100,
        },
        Case {
            name: "after a poll without an answer no deadline is sent",
            polls: vec![
                (1_000, Fate::Answered),
                (2_000, Fate::Answered),
                (7_000, Fate::Unanswered),
            ],
            deadline: None,
            confirmed_until: 2_000 + 6_126 + 100,
            runs_until: 2_000 + 11_000 + 231 + 100,
        },
    ];
    for case in cases {
        let mut lease = HostLease::new(Millis(LEASE_MS));
        for (at, fate) in case.polls {
            let poll = lease.begin_poll(Millis(at), UNLIMITED);
            match fate {
                Fate::Answered => {
                    lease.record_answer(poll, 1, at + 1_000, Millis(at));
                }
                Fate::Unanswered => lease.record_silence(),
                Fate::UnderWay => {}
            }
        }
        let poll = lease.begin_poll(Millis(10_000), UNLIMITED);
        assert_eq!(poll.deadline, case.deadline, "{}", case.name);
        assert_eq!(poll.runs_until, Millis(case.runs_until), "{}", case.name);
        assert_eq!(
            lease.confirmed_until(),
            Millis(case.confirmed_until),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_departing_host_gets_shorter_leases_from_its_next_poll_on() {
    let mut lease = HostLease::new(Millis(LEASE_MS));
    let poll_at = |lease: &mut HostLease, at: u64| {
        let poll = lease.begin_poll(Millis(at), UNLIMITED);
        // The executor's clock is the caller's.
        lease.record_answer(poll, 1, at, Millis(at));
        poll.deadline
    };
    assert_eq!(poll_at(&mut lease, 1_000), None);
    assert_eq!(poll_at(&mut lease, 2_000), Some(8_000));
    lease.set_departing(true);
    // A lease is never shortened.
    assert_eq!(poll_at(&mut lease, 3_000), Some(8_000));
    assert_eq!(poll_at(&mut lease, 5_000), Some(8_600));
    lease.set_departing(false);
    assert_eq!(poll_at(&mut lease, 6_000), Some(12_000));
}

/// A poll that was planned for the boot whose clock reads 600 s and more, and what becomes of it.
struct RestartCase {
    name: &'static str,
    /// The polls sent at 3.0, 3.1 and 3.2 s: the boot that answers, its clock, and the time.
    answers: &'static [(usize, u64, u64, u64)],
    /// When the lease that the new boot was given ends at the latest.
    confirmed_until: u64,
    /// The deadline of a poll sent at 5 s, on the clock of the new boot.
    deadline: u64,
}

/// Guards against review/5: the runs of a host that had restarted and was lost later were kept for as
/// long as its earlier clock had come, ten minutes there.
#[test]
fn a_deadline_on_the_clock_of_an_earlier_boot_means_nothing_to_the_next() {
    let cases = [
        RestartCase {
            name: "the new boot answers",
            answers: &[(2, 2, 500, 4_000)],
            confirmed_until: 4_000 + 6_126 + 100,
            deadline: 500 + 1_000 + LEASE_MS,
        },
        RestartCase {
            name: "the new boot answers two polls",
            answers: &[(2, 2, 500, 4_000), (1, 2, 600, 4_100)],
            confirmed_until: 4_100 + 6_126 + 100,
            deadline: 600 + 900 + LEASE_MS,
        },
        RestartCase {
            name: "an answer of the earlier boot is overtaken",
            answers: &[(2, 2, 500, 4_000), (0, 1, 602_000, 4_050)],
            confirmed_until: 4_000 + 6_126 + 100,
            deadline: 500 + 1_000 + LEASE_MS,
        },
    ];
    for case in cases {
        let mut lease = HostLease::new(Millis(LEASE_MS));
        for (sent, clock_ms) in [(1_000, 600_000), (2_000, 601_000)] {
            let poll = lease.begin_poll(Millis(sent), UNLIMITED);
            lease.record_answer(poll, 1, clock_ms, Millis(sent));
        }
        let polls = [3_000, 3_100, 3_200].map(|at| lease.begin_poll(Millis(at), UNLIMITED));
        for (poll, boot_ms, clock_ms, at) in case.answers {
            let until = lease.record_answer(polls[*poll], *boot_ms, *clock_ms, Millis(*at));
            assert!(until <= Millis(case.confirmed_until), "{}", case.name);
        }
        // No deadline of the new boot is confirmed yet, so that no start is sent.
        assert_eq!(lease.deadline(), None, "{}", case.name);
        let poll = lease.begin_poll(Millis(5_000), UNLIMITED);
        assert_eq!(poll.deadline, Some(case.deadline), "{}", case.name);
        // A call for the earlier boot may reach the new one until its timeout.
        let latest = Millis(case.confirmed_until + 2_500);
        assert!(poll.runs_until <= latest, "{}: {poll:?}", case.name);
        let until = lease.record_answer(poll, 2, case.deadline - LEASE_MS, Millis(5_000));
        assert_eq!(until, Millis(5_000 + 6_126 + 100), "{}", case.name);
    }
}

#[test]
fn a_number_of_an_end_is_not_sent_to_another_boot() {
    let mut lease = HostLease::new(Millis(LEASE_MS));
    let poll = lease.begin_poll(Millis(1_000), UNLIMITED);
    lease.record_answer(poll, 1, 600_000, Millis(1_000));
    assert!(lease.acknowledge(1, 57));
    assert_eq!(lease.begin_poll(Millis(2_000), UNLIMITED).acknowledged, 57);
    // The next answer may come from another boot, whose ends are numbered from 1 again.
    lease.record_silence();
    let poll = lease.begin_poll(Millis(3_000), UNLIMITED);
    assert_eq!(poll.acknowledged, 0);
    lease.record_answer(poll, 2, 500, Millis(3_000));
    assert!(!lease.acknowledge(1, 58), "an end of the earlier boot");
    assert_eq!(lease.begin_poll(Millis(3_010), UNLIMITED).acknowledged, 0);
}

/// A scheduler with two hosts, one of which runs a task that was ordered and confirmed.
struct Fleet {
    scheduler: WorkflowScheduler,
    actions: Vec<Action>,
    busy: HostId,
}

fn report(sent: u64, boot_ms: u64, running: Vec<Running>) -> HostReport {
    HostReport {
        boot_ms,
        sent: Millis(sent),
        lease: Millis(sent + LEASE_MS),
        running,
        ended: Vec::new(),
        ..HostReport::default()
    }
}

fn listed(job: u64) -> Vec<Running> {
    vec![Running {
        task: task(job, 0, 0),
        run: 1,
        checkpoint: String::new(),
    }]
}

impl Fleet {
    fn new() -> Self {
        let now = Millis(10_000);
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        let mut actions = Vec::new();
        for at in 0..2 {
            scheduler.list_host(host(at, 8 * CORE), now);
            let id = HostId::from(format!("w-{at}"));
            scheduler.apply_report(&id, &report(10_000, 1, Vec::new()), now, &mut actions);
        }
        scheduler.submit(flow(7, vec![step(1, CORE)], None), now, Millis::ZERO);
        place(&mut scheduler, now, &mut actions);
        let busy = actions.iter().find_map(|action| match action {
            Action::Start(order) => Some(order.host.clone()),
            _ => None,
        });
        let busy = busy.expect("the task is ordered to start");
        scheduler.start_result(
            &busy,
            (task(7, 0, 0), 1),
            StartResult::Started,
            Millis(10_010),
            &mut actions,
        );
        Self {
            scheduler,
            actions,
            busy,
        }
    }

    /// Reports of the idle host keep it usable; the busy one is silent.
    fn advance(&mut self, now: u64) {
        let idle = HostId::from(if self.busy == HostId::from("w-0") {
            "w-1"
        } else {
            "w-0"
        });
        let idle_report = report(now, 1, Vec::new());
        self.scheduler
            .apply_report(&idle, &idle_report, Millis(now), &mut self.actions);
        self.scheduler.tick(Millis(now), now, &mut self.actions);
        place(&mut self.scheduler, Millis(now), &mut self.actions);
    }

    fn released(&self) -> Vec<Proof> {
        let proof = |action: &Action| match action {
            Action::Released { proof, .. } => Some(*proof),
            _ => None,
        };
        self.actions.iter().filter_map(proof).collect()
    }
}

#[test]
fn a_task_stays_on_a_host_whose_poll_is_under_way() {
    // The host was cut off and is back. Its last confirmed lease ends at 16 s; a poll sent at 15 s
    // extends it and is carried out, and its answer is late.
    let mut fleet = Fleet::new();
    fleet.scheduler.poll_sent(&fleet.busy, Millis(21_000));
    fleet.advance(16_500);
    assert_eq!(starts(&fleet.actions), 1);
    let busy = fleet.busy.clone();
    fleet.scheduler.apply_report(
        &busy,
        &report(15_000, 1, listed(7)),
        Millis(16_600),
        &mut fleet.actions,
    );
    fleet.advance(20_900);
    assert_eq!(starts(&fleet.actions), 1);
    // Without any further answer the task starts elsewhere once every lease has expired.
    fleet.advance(21_010);
    assert_eq!(starts(&fleet.actions), 2);
    assert_eq!(fleet.released(), [Proof::LeaseExpired]);
}

#[test]
fn a_poll_without_an_answer_gives_a_host_no_new_work() {
    let mut fleet = Fleet::new();
    fleet.scheduler.poll_sent(&fleet.busy, Millis(21_000));
    // The other host is full, so that a second task fits only on the silent host.
    fleet.advance(16_500);
    let big = flow(8, vec![step(1, 8 * CORE), step(1, 8 * CORE)], None);
    fleet.scheduler.submit(big, Millis(16_500), Millis::ZERO);
    fleet.advance(16_510);
    assert_eq!(starts(&fleet.actions), 2);
}

#[test]
fn an_overtaken_answer_of_an_earlier_boot_changes_nothing() {
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    let reports = [
        (report(11_000, 1, listed(7)), 11_010),
        (report(10_500, 0, Vec::new()), 11_020),
    ];
    for (report, now) in reports {
        fleet
            .scheduler
            .apply_report(&busy, &report, Millis(now), &mut fleet.actions);
    }
    fleet.advance(11_100);
    assert_eq!(fleet.released(), []);
    assert_eq!(starts(&fleet.actions), 1);
}

#[test]
fn a_report_older_than_a_run_does_not_end_it() {
    // An order named another boot, so the host has to report again. The answer to an earlier poll
    // arrives, which was sent before the run started.
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    let other = flow(8, vec![step(1, CORE)], None);
    fleet.scheduler.submit(other, Millis(10_020), Millis::ZERO);
    place(&mut fleet.scheduler, Millis(10_020), &mut fleet.actions);
    fleet.scheduler.start_result(
        &busy,
        (task(8, 0, 0), 1),
        StartResult::Refused(wigeongate_core::workflow::Refusal::Boot),
        Millis(10_030),
        &mut fleet.actions,
    );
    fleet.scheduler.apply_report(
        &busy,
        &report(9_990, 1, Vec::new()),
        Millis(10_040),
        &mut fleet.actions,
    );
    assert_eq!(fleet.released(), [Proof::Refused]);
}

/// Guards against tasks that ran twice after their host had restarted (TWICE): an order that was
/// planned for one boot started its run on the next, the run was recorded as lost with the earlier
/// boot, and the next owner started its task elsewhere.
#[test]
fn a_run_that_the_new_boot_reports_is_not_lost_with_the_earlier_boot() {
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    for (sent, received) in [(11_000, 11_010), (12_000, 12_010)] {
        fleet.scheduler.apply_report(
            &busy,
            &report(sent, 2, listed(7)),
            Millis(received),
            &mut fleet.actions,
        );
    }
    assert_eq!(fleet.released(), []);
    let is_lost = |action: &Action| matches!(action, Action::Record(Record::Lost(..)));
    assert!(!fleet.actions.iter().any(is_lost));
    // A later boot that does not report the run has lost it.
    fleet.scheduler.apply_report(
        &busy,
        &report(13_000, 3, Vec::new()),
        Millis(13_010),
        &mut fleet.actions,
    );
    assert_eq!(fleet.released(), [Proof::NewBoot]);
}

/// Guards against tasks that ran twice after their host had restarted (TWICE): a start without an
/// answer was settled by a stop that the earlier boot had answered, and the next boot carried it out.
#[test]
fn a_stop_that_an_earlier_boot_answered_settles_nothing_on_the_next() {
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    let unanswered = (task(8, 0, 0), 1);
    let other = flow(8, vec![step(1, CORE)], None);
    fleet.scheduler.submit(other, Millis(10_020), Millis::ZERO);
    place(&mut fleet.scheduler, Millis(10_020), &mut fleet.actions);
    fleet.scheduler.start_result(
        &busy,
        unanswered,
        StartResult::Unknown,
        Millis(10_700),
        &mut fleet.actions,
    );
    fleet
        .scheduler
        .stop_result(&busy, unanswered, Millis(10_700), Millis(10_710));
    // The host restarts; its new boot lists nothing.
    for sent in [11_000, 11_100] {
        fleet.scheduler.apply_report(
            &busy,
            &report(sent, 2, Vec::new()),
            Millis(sent + 10),
            &mut fleet.actions,
        );
    }
    assert_eq!(fleet.released(), [Proof::NewBoot], "only the running task");
    let is_stop =
        |action: &Action| matches!(action, Action::Stop(order) if order.task == unanswered.0);
    fleet.actions.clear();
    fleet.advance(11_300);
    assert!(fleet.actions.iter().any(is_stop), "ordered again");
    fleet
        .scheduler
        .stop_result(&busy, unanswered, Millis(11_300), Millis(11_310));
    fleet.scheduler.apply_report(
        &busy,
        &report(11_400, 2, Vec::new()),
        Millis(11_410),
        &mut fleet.actions,
    );
    assert_eq!(fleet.released(), [Proof::Stopped]);
}

/// Reports of the next boot after it has answered a start, and which runs they end.
struct AnsweredCase {
    name: &'static str,
    /// When the next report is sent, and what it lists.
    next: (u64, Vec<Running>),
    released: &'static [Proof],
}

/// Guards against tasks that ran twice after their host had restarted (TWICE): the next boot answered
/// a start, and a report that it had made before ended the run with the earlier boot.
#[test]
fn a_start_that_the_next_boot_answers_is_not_lost_with_the_earlier_boot() {
    let cases = [
        AnsweredCase {
            name: "another report from before the start",
            next: (11_040, Vec::new()),
            released: &[Proof::NewBoot],
        },
        AnsweredCase {
            name: "a report that lists the run",
            next: (11_100, listed(8)),
            released: &[Proof::NewBoot],
        },
        AnsweredCase {
            name: "a later report without the run",
            next: (11_100, Vec::new()),
            released: &[Proof::NewBoot, Proof::NewBoot],
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new();
        let busy = fleet.busy.clone();
        let answered = (task(8, 0, 0), 1);
        let other = flow(8, vec![step(1, CORE)], None);
        fleet.scheduler.submit(other, Millis(10_020), Millis::ZERO);
        place(&mut fleet.scheduler, Millis(10_020), &mut fleet.actions);
        fleet.scheduler.start_result(
            &busy,
            answered,
            StartResult::Started,
            Millis(11_050),
            &mut fleet.actions,
        );
        for (report, now) in [
            (report(11_000, 2, Vec::new()), 11_060),
            (report(case.next.0, 2, case.next.1), 11_110),
        ] {
            fleet
                .scheduler
                .apply_report(&busy, &report, Millis(now), &mut fleet.actions);
        }
        assert_eq!(fleet.released(), case.released, "{}", case.name);
    }
}

/// Guards against innocent suspects: a run that turned out to be lost after the restart of its host
/// had been judged made suspects of the runs on the next boot.
#[test]
fn a_restart_is_judged_once() {
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    let other = flow(8, vec![step(1, CORE)], None);
    fleet.scheduler.submit(other, Millis(10_020), Millis::ZERO);
    place(&mut fleet.scheduler, Millis(10_020), &mut fleet.actions);
    fleet.scheduler.apply_report(
        &busy,
        &report(11_000, 2, listed(9)),
        Millis(11_010),
        &mut fleet.actions,
    );
    // The answer of the earlier boot was under way.
    fleet.scheduler.start_result(
        &busy,
        (task(8, 0, 0), 1),
        StartResult::Started,
        Millis(11_020),
        &mut fleet.actions,
    );
    fleet.scheduler.apply_report(
        &busy,
        &report(11_100, 2, listed(9)),
        Millis(11_110),
        &mut fleet.actions,
    );
    assert_eq!(fleet.released(), [Proof::NewBoot, Proof::NewBoot]);
    let losses = |action: &&Action| matches!(action, Action::HostLost { .. });
    let losses: Vec<&Action> = fleet.actions.iter().filter(losses).collect();
    assert_eq!(losses.len(), 1, "{losses:?}");
}

/// Guards against runs that exist after they were counted as ended: a start that was to be stopped
/// before it was answered counted as lost with the earlier boot, and the next one carried it out.
#[test]
fn an_unanswered_start_that_is_to_be_stopped_is_not_lost_with_the_earlier_boot() {
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    let unanswered = (task(8, 0, 0), 1);
    let other = flow(8, vec![step(1, CORE)], None);
    fleet.scheduler.submit(other, Millis(10_020), Millis::ZERO);
    place(&mut fleet.scheduler, Millis(10_020), &mut fleet.actions);
    fleet
        .scheduler
        .cancel(WorkflowId(8), Millis(10_030), &mut fleet.actions);
    fleet.scheduler.apply_report(
        &busy,
        &report(11_000, 2, Vec::new()),
        Millis(11_010),
        &mut fleet.actions,
    );
    assert_eq!(fleet.released(), [Proof::NewBoot], "only the running task");
    fleet.scheduler.apply_report(
        &busy,
        &report(11_100, 2, listed(8)),
        Millis(11_110),
        &mut fleet.actions,
    );
    fleet
        .scheduler
        .stop_result(&busy, unanswered, Millis(11_300), Millis(11_310));
    fleet.scheduler.apply_report(
        &busy,
        &report(11_400, 2, Vec::new()),
        Millis(11_410),
        &mut fleet.actions,
    );
    assert_eq!(fleet.released(), [Proof::NewBoot, Proof::Stopped]);
}

/// Guards against tasks that ran twice after their host had restarted (TWICE): the answer of an earlier
/// boot to a stop arrived after a report of the next one, which still carried the start out.
#[test]
fn a_late_answer_of_an_earlier_boot_to_a_stop_settles_nothing_on_the_next() {
    let mut fleet = Fleet::new();
    let busy = fleet.busy.clone();
    let unanswered = (task(8, 0, 0), 1);
    let other = flow(8, vec![step(1, CORE)], None);
    fleet.scheduler.submit(other, Millis(10_020), Millis::ZERO);
    place(&mut fleet.scheduler, Millis(10_020), &mut fleet.actions);
    fleet.scheduler.start_result(
        &busy,
        unanswered,
        StartResult::Unknown,
        Millis(10_700),
        &mut fleet.actions,
    );
    fleet.scheduler.apply_report(
        &busy,
        &report(10_800, 2, Vec::new()),
        Millis(10_810),
        &mut fleet.actions,
    );
    let cases: [(u64, u64, &[Proof]); 2] = [
        (10_700, 11_020, &[Proof::NewBoot]),
        (11_200, 11_210, &[Proof::NewBoot, Proof::Stopped]),
    ];
    for (sent, answered, released) in cases {
        fleet
            .scheduler
            .stop_result(&busy, unanswered, Millis(sent), Millis(answered));
        fleet.scheduler.apply_report(
            &busy,
            &report(answered + 10, 2, Vec::new()),
            Millis(answered + 20),
            &mut fleet.actions,
        );
        assert_eq!(fleet.released(), released, "a stop sent at {sent} ms");
    }
}
