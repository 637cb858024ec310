//! Which orders to an executor are sent next, and which are never sent.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    NextOrder, OrderQueue, StartOrder, StepId, StopOrder, TaskName, WaitingStart, WorkflowId,
};

const NOW: Millis = Millis(10_000);

fn task(index: u32) -> TaskName {
    let step = StepId {
        job: WorkflowId(1),
        ..StepId::default()
    };
    TaskName { step, index }
}

fn start(index: u32, send_until: Millis) -> WaitingStart {
    let order = StartOrder {
        host: HostId::from("w-0"),
        task: task(index),
        run: 1,
        command: Arc::from("work"),
        checkpoint: Arc::from(""),
        ticket: None,
        send_until,
    };
    WaitingStart { order, lease: None }
}

fn stop(index: u32) -> StopOrder {
    StopOrder {
        host: HostId::from("w-0"),
        task: task(index),
        run: 1,
    }
}

/// Takes all orders that may be sent now: `+` and the index of a start, `-` and that of a stop.
fn take(queue: &mut OrderQueue) -> String {
    let mut taken = Vec::new();
    while let Some(order) = queue.take_next() {
        taken.push(match order {
            NextOrder::Start(start) => format!("+{}", start.order.task.index),
            NextOrder::Stop(stop) => format!("-{}", stop.task.index),
        });
    }
    taken.join(" ")
}

fn indexes(orders: &[StartOrder]) -> Vec<u32> {
    orders.iter().map(|order| order.task.index).collect()
}

fn queue(starts: u32) -> OrderQueue {
    let mut queue = OrderQueue::default();
    for index in 0..starts {
        queue.push_start(start(index, NOW + Millis(u64::from(index) * 100)));
    }
    queue
}

/// Guards against stops that wait behind starts which an executor leaves without an answer.
#[test]
fn a_stop_is_sent_before_the_starts_that_wait() {
    let mut queue = queue(9);
    assert_eq!(take(&mut queue), "+0 +1 +2 +3");
    assert!(queue.push_stop(stop(0)).is_none(), "its start was sent");
    assert!(queue.push_stop(stop(1)).is_none(), "its start was sent");
    assert_eq!(take(&mut queue), "-0 -1");
    queue.finish_start();
    assert_eq!(take(&mut queue), "", "five orders are under way");
    for _ in 0..2 {
        queue.finish_stop();
    }
    assert_eq!(take(&mut queue), "+4");
}

/// Guards against starts that are sent although their runs were ordered to stop before.
#[test]
fn a_start_that_waits_is_taken_back_by_its_stop() {
    let mut queue = queue(7);
    assert_eq!(take(&mut queue), "+0 +1 +2 +3");
    let withdrawn = queue.push_stop(stop(5)).map(|order| order.task.index);
    assert_eq!(withdrawn, Some(5));
    assert_eq!(take(&mut queue), "", "no stop is needed");
    queue.finish_start();
    queue.finish_start();
    queue.finish_start();
    assert_eq!(take(&mut queue), "+4 +6");
}

/// Guards against a stop that is sent once for each time that it is ordered.
#[test]
fn a_stop_that_waits_is_not_added_again() {
    let mut queue = OrderQueue::default();
    for index in [0, 1, 2, 3, 4, 5, 4, 5, 5] {
        assert!(queue.push_stop(stop(index)).is_none());
    }
    assert_eq!(take(&mut queue), "-0 -1 -2 -3");
    queue.finish_stop();
    queue.finish_stop();
    assert_eq!(take(&mut queue), "-4 -5");
    queue.finish_stop();
    assert_eq!(take(&mut queue), "");
    // The one that was sent may have had no effect.
    assert!(queue.push_stop(stop(4)).is_none());
    assert_eq!(take(&mut queue), "-4");
}

/// Guards against starts that are sent long after they were decided, or after their ticket has expired.
#[test]
fn starts_that_have_waited_for_too_long_are_taken_back() {
    let mut queue = queue(8);
    assert_eq!(take(&mut queue), "+0 +1 +2 +3");
    let later = NOW + Millis(550);
    assert_eq!(indexes(&queue.withdraw_expired(later)), [4, 5]);
    assert!(queue.withdraw_expired(later).is_empty());
    assert_eq!(indexes(&queue.withdraw_starts()), [6, 7]);
    queue.finish_start();
    assert_eq!(take(&mut queue), "");
}
