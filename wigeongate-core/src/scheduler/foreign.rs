//! Parts of gangs whose other parts are in pools with other owners.

use super::Scheduler;
use super::claims::{Claim, Purpose};
use super::fleet::Want;
use super::message::Action;
use crate::ids::{JobId, TeamId};
use crate::job::Job;
use crate::resources::Resources;
use crate::time::Millis;

/// What another owner asks this pool to keep for a part of a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The gang.
    pub gang: JobId,
    /// Its team.
    pub team: TeamId,
    /// The size of one task.
    pub size: Resources,
    /// For how many tasks, at most.
    pub tasks: u32,
    /// When it ends by itself.
    pub until: Millis,
}

impl Scheduler {
    /// Keeps free capacity for a part of a gang; returns for how many tasks.
    ///
    /// It replaces what was kept for the same gang before.
    pub fn reserve(&mut self, now: Millis, reservation: &Reservation) -> u32 {
        self.now = self.now.max(now);
        let gang = reservation.gang;
        self.drop_claim(gang);
        let waits = self.settings.awaits_restore && !self.restored;
        if waits || reservation.until <= self.now {
            return 0;
        }
        let team = self.teams.get_or_add(&reservation.team);
        let want = Want {
            size: reservation.size,
            spread: None,
            avoid: &[],
        };
        for _ in 0..reservation.tasks {
            let claimed = self.teams.all[team].claimed.saturating_add(&want.size);
            if !self.within_limit(team, &claimed) {
                break;
            }
            let Some(worker) = self.fleet.choose(&want) else {
                break;
            };
            let claim = Claim {
                purpose: Purpose::Foreign,
                team,
                size: want.size,
                parts: Vec::new(),
                until: reservation.until,
            };
            self.claim_part(gang, worker, claim);
        }
        u32::try_from(self.claims.parts(gang)).unwrap_or(u32::MAX)
    }

    /// Starts a part of a gang on what was kept for it, all of it or nothing; returns whether it
    /// started.
    ///
    /// `job` carries as many tasks as were reserved for, and an identifier of its own.
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
        let whole = claim.purpose == Purpose::Foreign
            && claim.until > self.now
            && claim.size == job.spec.size
            && parts.len() == job.spec.tasks as usize
            && parts.iter().all(|worker| {
                let wanted = parts.iter().filter(|part| *part == worker).count();
                self.fleet.covered(*worker, gang) as usize >= wanted
            });
        let team = claim.team;
        let all = job.spec.size.times(u64::from(job.spec.tasks));
        let id = job.id;
        if !whole || !self.within_limit(team, &all) || !self.table.add(job, team, false, self.now) {
            self.drop_claim(gang);
            return false;
        }
        for worker in parts {
            self.unclaim(gang, worker);
            self.start_next(id, worker, actions);
        }
        true
    }

    /// Gives back what is kept for a part of a gang.
    pub fn release_reservation(&mut self, now: Millis, gang: JobId) {
        self.now = self.now.max(now);
        let foreign = self
            .claims
            .all
            .get(&gang)
            .is_some_and(|claim| claim.purpose == Purpose::Foreign);
        if foreign {
            self.drop_claim(gang);
        }
    }
}
