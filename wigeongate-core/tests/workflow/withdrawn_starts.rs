//! Starts that wait to be sent when they are no longer wanted.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, HostEntry, HostReport, PollFailure, Record, Refusal, StartOrder, StartResult,
    WorkflowId, WorkflowScheduler, WorkflowSettings,
};

use super::world::{flow, host, rules, step};
use super::{CORE, place, task};

const NOW: Millis = Millis(10_000);

fn first() -> HostId {
    HostId::from("w-0")
}

fn report(sent: Millis) -> HostReport {
    HostReport {
        boot_ms: 1,
        sent,
        lease: sent + Millis(3_000),
        ..HostReport::default()
    }
}

fn scheduler(epoch: u64) -> WorkflowScheduler {
    let settings = WorkflowSettings {
        epoch,
        inherited_lease: Millis(3_000),
        ..WorkflowSettings::default()
    };
    let mut scheduler = WorkflowScheduler::new(settings, NOW);
    scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
    scheduler
}

fn started(actions: &[Action]) -> Vec<&StartOrder> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    orders.collect()
}

/// Lists the first host with a change of its entry.
fn list(scheduler: &mut WorkflowScheduler, change: fn(&mut HostEntry)) {
    let mut entry = host(0, 8 * CORE);
    change(&mut entry);
    scheduler.list_host(entry, NOW);
}

/// A reason for which a host gets no more work.
struct Case {
    name: &'static str,
    change: fn(&mut WorkflowScheduler),
    is_withdrawn: bool,
}

/// Guards against starts that are sent after their host has got an order to drain, its zone was emptied
/// or it shrank, since nobody asked again once they waited for their turn.
#[test]
fn starts_are_taken_back_from_hosts_that_may_get_no_work() {
    let case = |name, is_withdrawn, change| Case {
        name,
        change,
        is_withdrawn,
    };
    let cases = [
        case("nothing changes", false, |_| {}),
        case("it drains", true, |it| {
            list(it, |entry| entry.draining = true);
        }),
        case("it shrinks", true, |it| {
            list(it, |entry| entry.capacity.cpu = CORE);
        }),
        case("it is replaced", true, |it| {
            list(it, |entry| entry.boot_ms = 9);
        }),
        case("it leaves the registry", true, |it| {
            it.unlist_host(&first(), NOW);
        }),
        case("a poll fails", true, |it| {
            it.poll_failed(&first(), PollFailure::NoAnswer, NOW, &mut Vec::new());
        }),
        case("its zone is emptied", true, |it| {
            let mut rules = rules(3, Resources::UNBOUNDED);
            rules.evacuated.insert(host(0, CORE).zone);
            it.configure(Arc::new(rules));
        }),
        case("the views of the store are stale", true, |it| {
            it.set_stale(true);
        }),
    ];
    let mut failed = Vec::new();
    for case in cases {
        let mut scheduler = scheduler(1);
        list(&mut scheduler, |_| {});
        let mut actions = Vec::new();
        scheduler.apply_report(&first(), &report(NOW), NOW, &mut actions);
        scheduler.submit(flow(1, vec![step(4, CORE)], None), NOW, Millis::ZERO);
        place(&mut scheduler, NOW, &mut actions);
        assert_eq!(started(&actions).len(), 4, "{}", case.name);
        (case.change)(&mut scheduler);
        actions.clear();
        scheduler.tick(NOW + Millis(50), 0, &mut actions);
        let withdraw = Action::Withdraw { host: first() };
        if actions.contains(&withdraw) != case.is_withdrawn {
            failed.push(case.name);
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against tasks that wait for a host which never got their start, and against tasks that start
/// again beside a start that may have been carried out; also when the owner is lost in between.
#[test]
fn only_a_start_that_was_never_sent_lets_its_task_start_elsewhere() {
    let mut owner = scheduler(1);
    let mut actions = Vec::new();
    owner.list_host(host(0, 8 * CORE), NOW);
    owner.apply_report(&first(), &report(NOW), NOW, &mut actions);
    owner.submit(flow(1, vec![step(2, CORE)], None), NOW, Millis::ZERO);
    place(&mut owner, NOW, &mut actions);
    let later = NOW + Millis(50);
    let runs: Vec<_> = started(&actions)
        .iter()
        .map(|it| (it.task, it.run))
        .collect();
    let [sent, waiting] = runs[..] else {
        panic!("two tasks start: {runs:?}")
    };
    // The first was sent and gets no answer; the second is taken back, since the host drains.
    let draining = HostEntry {
        draining: true,
        ..host(0, 8 * CORE)
    };
    owner.list_host(draining.clone(), later);
    owner.list_host(host(1, 8 * CORE), later);
    owner.apply_report(&HostId::from("w-1"), &report(later), later, &mut actions);
    let withdrawn = StartResult::Refused(Refusal::Withdrawn);
    owner.start_result(&first(), waiting, withdrawn, later, &mut actions);
    owner.start_result(&first(), sent, StartResult::Unknown, later, &mut actions);
    let records: Vec<Record> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Record(record) => Some(record.clone()),
            _ => None,
        })
        .collect();

    // The next owner reads what was written before anything started elsewhere.
    let mut next = scheduler(2);
    next.restore(flow(1, vec![step(2, CORE)], None), later, Millis::ZERO);
    next.begin_batch();
    for record in &records {
        next.replay(record, later);
    }
    next.finish_restore(later, &mut Vec::new());
    next.list_host(draining, later);
    next.list_host(host(1, 8 * CORE), later);
    next.apply_report(&HostId::from("w-1"), &report(later), later, &mut Vec::new());

    for (name, owner) in [("the owner", &mut owner), ("the next owner", &mut next)] {
        let mut actions = Vec::new();
        place(owner, later, &mut actions);
        let tasks: Vec<_> = started(&actions).iter().map(|it| it.task).collect();
        assert_eq!(tasks, [waiting.0], "{name}");
        // A report that was sent for after the stop was answered shows that the other cannot run.
        owner.stop_result(&first(), sent, later, later + Millis(10));
        let settled = later + Millis(100);
        owner.apply_report(&first(), &report(settled), settled, &mut Vec::new());
        actions.clear();
        place(owner, settled, &mut actions);
        let tasks: Vec<_> = started(&actions).iter().map(|it| it.task).collect();
        assert_eq!(tasks, [sent.0], "{name}");
    }
}

/// Guards against claims of a cancelled job that wait for hosts which never got its starts.
#[test]
fn a_withdrawn_start_of_a_cancelled_job_holds_nothing() {
    let mut owner = scheduler(1);
    let mut actions = Vec::new();
    owner.list_host(host(0, 8 * CORE), NOW);
    owner.apply_report(&first(), &report(NOW), NOW, &mut actions);
    owner.submit(flow(1, vec![step(8, CORE)], None), NOW, Millis::ZERO);
    place(&mut owner, NOW, &mut actions);
    owner.cancel(WorkflowId(1), NOW, &mut actions);
    let stops = actions.iter().filter(|it| matches!(it, Action::Stop(_)));
    assert_eq!(stops.count(), 8);
    for index in 0..8 {
        let result = StartResult::Refused(Refusal::Withdrawn);
        owner.start_result(&first(), (task(1, 0, index), 1), result, NOW, &mut actions);
    }
    assert!(actions.contains(&Action::Record(Record::RunsEnded(WorkflowId(1)))));
    assert_eq!(
        owner.load(&first()).map(|(_, used)| used),
        Some(Resources::ZERO)
    );
}
