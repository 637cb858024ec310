//! Passes the events of a worker's link to the pool's owner, and turns scheduler actions into
//! orders.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use wigeongate_api::worker::{Order, TaskEntry, TaskState, WorkerReport};
use wigeongate_core::ids::{Epoch, HostId, Unit};
use wigeongate_core::scheduler::{Action, Phase, Start, TaskControl, TaskReport};
use xtra::WeakAddress;

use super::{Lost, PoolOwner, Reported, Stale};
use crate::cluster::Cluster;
use crate::link::LinkEvents;

/// Passes the events of one link to the owner as messages.
pub struct OwnerEvents {
    /// The owner.
    pub owner: WeakAddress<PoolOwner>,
    /// The number of the link, by which the owner ignores messages of a replaced link.
    pub link: u64,
    /// The cluster, which knows whether the owner may act.
    pub cluster: Arc<dyn Cluster>,
    /// The pool as a unit of ownership.
    pub unit: Unit,
}

impl LinkEvents for OwnerEvents {
    fn may_act(&self) -> Option<Epoch> {
        self.cluster.may_act(&self.unit)
    }

    fn reported(&self, report: WorkerReport) -> BoxFuture<'_, ()> {
        let link = self.link;
        self.owner.send(Reported { link, report }).map(drop).boxed()
    }

    fn lost(&self, host: HostId) -> BoxFuture<'_, ()> {
        let link = self.link;
        self.owner.send(Lost { link, host }).map(drop).boxed()
    }

    fn stale(&self, host: HostId, epoch: Epoch) -> BoxFuture<'_, ()> {
        let link = self.link;
        self.owner
            .send(Stale { link, host, epoch })
            .map(drop)
            .boxed()
    }
}

/// An order to send to a worker.
#[derive(Debug, Clone)]
pub struct OutgoingOrder {
    /// The worker.
    pub host: HostId,
    /// The order.
    pub order: Order,
    /// The number of the start order; zero for any other order.
    pub start: u64,
}

/// Returns the order that carries out an action; `None` for the end of a job.
pub fn order_for(action: Action) -> Option<OutgoingOrder> {
    match action {
        Action::Start(Start {
            host,
            task,
            attempt,
            size,
            command,
            order: start,
        }) => {
            let order = Order::Start {
                task,
                attempt,
                size,
                command,
            };
            Some(OutgoingOrder { host, order, start })
        }
        Action::Control {
            host,
            task,
            attempt,
            control,
        } => {
            let order = match control {
                TaskControl::Checkpoint => Order::Checkpoint { task, attempt },
                TaskControl::Throttle => Order::Throttle { task, attempt },
                TaskControl::Stop => Order::Stop { task, attempt },
            };
            Some(OutgoingOrder {
                host,
                order,
                start: 0,
            })
        }
        Action::Ended { .. } => None,
    }
}

/// Converts a line of a worker's report for the scheduler.
pub fn task_report(line: TaskEntry) -> TaskReport {
    let TaskEntry {
        task,
        attempt,
        size,
        usage,
        state,
    } = line;
    let phase = match state {
        TaskState::Running => Phase::Running,
        TaskState::Succeeded => Phase::Succeeded,
        TaskState::Failed(reason) => Phase::Failed(reason),
        TaskState::Stopped => Phase::Stopped,
        TaskState::Refused(reason) => Phase::Refused(reason),
    };
    TaskReport {
        task,
        attempt,
        size,
        usage,
        phase,
    }
}
