//! What a link asks and tells the owner of its pool.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use wigeongate_api::worker::{Order, TaskLine, TaskState, WorkerReport};
use wigeongate_core::ids::{Epoch, HostId, Unit};
use wigeongate_core::scheduler::{Action, Phase, Start, TaskControl, TaskReport};
use xtra::WeakAddress;

use super::{Lost, PoolOwner, Reported, Stale};
use crate::cluster::Cluster;
use crate::link::LinkEvents;

/// Passes what a link says to the owner.
pub struct OwnerEvents {
    /// The owner.
    pub owner: WeakAddress<PoolOwner>,
    /// The number of the link.
    pub link: u64,
    /// Tells whether the owner may act.
    pub cluster: Arc<dyn Cluster>,
    /// The pool.
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

/// An order on its way to a worker.
#[derive(Debug, Clone)]
pub struct OutgoingOrder {
    /// The worker.
    pub host: HostId,
    /// The order.
    pub order: Order,
    /// The number of the start order; zero for any other order.
    pub start: u64,
}

/// Returns the order that an action asks for.
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

/// Returns what the scheduler reads of a line of a report.
pub fn task_report(line: TaskLine) -> TaskReport {
    let TaskLine {
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
