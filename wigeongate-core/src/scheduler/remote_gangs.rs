//! Tasks of gangs that span several pools and are coordinated by the owner of another pool.

use super::Scheduler;
use super::claims::{Claim, Purpose};
use super::fleet::PlacementQuery;
use super::message::Action;
use crate::ids::{JobId, TeamId};
use crate::job::Job;
use crate::resources::Resources;
use crate::time::Millis;

/// A request of another owner to keep capacity of this pool for tasks of a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Job of the gang.
    pub gang: JobId,
    /// Team of the gang.
    pub team: TeamId,
    /// Resources of one task.
    pub size: Resources,
    /// The most tasks to keep capacity for.
    pub tasks: u32,
    /// Time at which the reservation expires, in milliseconds.
    pub until: Millis,
}

impl Scheduler {
    /// Claims free capacity for tasks of a gang; returns for how many tasks there was enough.
    ///
    /// The new claim replaces an earlier one for the same gang. It gives zero while earlier jobs
    /// are still being restored, and for a reservation that has expired.
    pub fn reserve(&mut self, now: Millis, reservation: &Reservation) -> u32 {
        self.now = self.now.max(now);
        let gang = reservation.gang;
        self.release_claim(gang);
        let restoring = self.settings.awaits_restore && !self.restored;
        if restoring || reservation.until <= self.now {
            return 0;
        }
        let team = self.teams.get_or_add(&reservation.team);
        let query = PlacementQuery {
            size: reservation.size,
            spread: None,
            avoid: &[],
        };
        for _ in 0..reservation.tasks {
            let claimed = self.teams.all[team].claimed.saturating_add(&query.size);
            if !self.within_limit(team, &claimed) {
                break;
            }
            let Some(worker) = self.fleet.choose(&query) else {
                break;
            };
            let claim = Claim {
                purpose: Purpose::RemoteGang,
                team,
                size: query.size,
                parts: Vec::new(),
                until: reservation.until,
            };
            self.claim_part(gang, worker, claim);
        }
        u32::try_from(self.claims.part_count(gang)).unwrap_or(u32::MAX)
    }

    /// Starts tasks of a gang on the capacity that was reserved for them, all of them or none;
    /// returns whether they started.
    ///
    /// `job` has as many tasks as were reserved for, and an identifier of its own. When they cannot
    /// start, the reservation is released.
    pub fn commit(
        &mut self,
        now: Millis,
        gang: JobId,
        job: Job,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.now = self.now.max(now);
        self.fleet.now = self.now;
        let Some(claim) = self.claims.all.get(&gang) else {
            return false;
        };
        let parts = claim.parts.clone();
        let whole = claim.purpose == Purpose::RemoteGang
            && claim.until > self.now
            && claim.size == job.spec.size
            && parts.len() == job.spec.tasks as usize
            && parts.iter().all(|worker| {
                let wanted = parts.iter().filter(|part| *part == worker).count();
                self.fleet.covered_holds(*worker, gang) as usize >= wanted
            });
        let team = claim.team;
        let total = job.spec.size.times(u64::from(job.spec.tasks));
        let id = job.id;
        if !whole || !self.within_limit(team, &total) || !self.table.add(job, team, false, self.now)
        {
            self.release_claim(gang);
            return false;
        }
        for worker in parts {
            self.release_part(gang, worker);
            self.start_next(id, worker, actions);
        }
        true
    }

    /// Releases the capacity that is reserved for a gang of another owner.
    pub fn release_reservation(&mut self, now: Millis, gang: JobId) {
        self.now = self.now.max(now);
        let remote = self
            .claims
            .all
            .get(&gang)
            .is_some_and(|claim| claim.purpose == Purpose::RemoteGang);
        if remote {
            self.release_claim(gang);
        }
    }
}
