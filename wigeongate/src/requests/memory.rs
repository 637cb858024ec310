//! The memory that bodies of callers may take.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::TeamId;

/// What all bodies may take together, in bytes.
const TOTAL_LIMIT_BYTES: usize = 128 << 20;

/// Of all, one team may take one part in this many.
const TEAM_LIMIT_DIVISOR: usize = 4;

/// The memory that bodies of callers may take.
#[derive(Debug, Default)]
pub struct BodyMemory {
    usage: Mutex<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    /// Invariant: the sum of what the teams have taken.
    total: usize,
    teams: HashMap<TeamId, usize>,
}

/// Memory of one body, given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Arc<BodyMemory>,
    team: TeamId,
    bytes: usize,
}

impl BodyMemory {
    fn lock(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a body of a team.
    pub fn reserve(self: &Arc<Self>, team: &TeamId) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            team: team.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Takes more for the body; returns whether there was room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let mut guard = self.memory.lock();
        let usage = &mut *guard;
        let team = usage.teams.entry(self.team.clone()).or_default();
        if usage.total + bytes > TOTAL_LIMIT_BYTES
            || *team + bytes > TOTAL_LIMIT_BYTES / TEAM_LIMIT_DIVISOR
        {
            return false;
        }
        *team += bytes;
        usage.total += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut usage = self.memory.lock();
        usage.total -= self.bytes;
        if let Some(team) = usage.teams.get_mut(&self.team) {
            *team -= self.bytes;
            if *team == 0 {
                usage.teams.remove(&self.team);
            }
        }
    }
}
