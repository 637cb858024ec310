//! Reserves the owner's memory for the jobs that this gate accepts.

use std::sync::Arc;

use tracing::info;
use wigeongate_core::workflow::{Reservation, Workflow, job_bytes};

use super::peers::{PeerAnswer, PeerCall, call_owner};
use super::shared::Shared;

/// Why the memory for a job is not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// The accepted jobs take all of it.
    Full,
    /// No gate could hold the job: its bytes, and the most that a job may take.
    TooLarge(u64, u64),
}

/// Memory of the owner that is reserved for a job until the owner holds it, or until this is dropped.
#[derive(Debug)]
pub struct ReservedRoom {
    shared: Arc<Shared>,
    bytes: u64,
    is_stored: bool,
    is_held: bool,
}

impl ReservedRoom {
    /// Reserves the memory for a job; asks the owner if what it allotted to this gate is used up.
    pub async fn reserve(shared: &Arc<Shared>, flow: &Workflow) -> Result<Self, NoRoom> {
        let bytes = job_bytes(flow);
        let reserved = || Self {
            shared: Arc::clone(shared),
            bytes,
            is_stored: false,
            is_held: false,
        };
        let first = shared.room().reserve(bytes);
        let wanted = match first {
            Reservation::Granted => return Ok(reserved()),
            Reservation::TooLarge(most) => return Err(NoRoom::TooLarge(bytes, most)),
            Reservation::Ask(wanted) => wanted,
        };
        let request = shared.room().request(wanted);
        let call = PeerCall::Reserve(shared.settings.gate.clone(), request);
        let answer = call_owner(shared, call).await;
        let mut room = shared.room();
        let may_accept = if let Ok(PeerAnswer::Room(allotted)) = answer {
            room.install(allotted);
            room.reserve(bytes) == Reservation::Granted
        } else {
            info!(job = %flow.id, ?answer, "room: the owner cannot be asked for memory.");
            room.fail_request();
            room.reserve_unasked(bytes)
        };
        drop(room);
        if may_accept {
            Ok(reserved())
        } else {
            Err(NoRoom::Full)
        }
    }

    /// Records that the job is stored: the owner finds it if no call brings it there.
    pub const fn mark_stored(&mut self) {
        self.is_stored = true;
    }

    /// Records that the owner holds the job.
    pub const fn mark_held(&mut self) {
        self.is_held = true;
    }
}

impl Drop for ReservedRoom {
    fn drop(&mut self) {
        let mut room = self.shared.room();
        if self.is_held {
            room.settle(self.bytes);
        } else if self.is_stored {
            room.leave(self.bytes);
        } else {
            room.give_back(self.bytes);
        }
    }
}
