//! Limits on the memory used by request bodies.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::TeamId;

/// The limit for all bodies together, in bytes.
const TOTAL_LIMIT_BYTES: usize = 128 << 20;

/// The limit for one team is `TOTAL_LIMIT_BYTES` divided by this number.
const TEAM_LIMIT_DIVISOR: usize = 4;

/// An account of the memory used by request bodies.
#[derive(Debug, Default)]
pub struct BodyMemory {
    usage: Mutex<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    /// Invariant: the sum of `teams`, in bytes.
    total: usize,
    /// The memory of each team that uses any, in bytes.
    teams: HashMap<TeamId, usize>,
}

/// The memory reserved for one body, released on drop.
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

    /// Creates an empty reservation for a body of a team.
    pub fn reserve(self: &Arc<Self>, team: &TeamId) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            team: team.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Reserves more bytes for the body; returns whether the limits allowed it.
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
