//! Why a job waits.

use derive_more::Display;

use super::Scheduler;
use super::claims::Purpose;
use super::table::Entry;
use crate::ids::JobId;
use crate::resources::Resources;
use crate::time::Millis;

/// One reason for which tasks of a job wait.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Wait {
    /// The restore of earlier jobs is not over.
    #[display("the jobs of the pool's earlier owner are not restored yet")]
    Restore,
    /// Workers that may still run the job's tasks have not reported.
    #[display("workers that may run the job have not reported, nor have their leases run out")]
    Unsettled,
    /// The team has as much running as this pool may run for it.
    #[display("the team runs {usage} and may run {limit} in this pool")]
    Limit {
        /// What the team has running in this pool.
        usage: Resources,
        /// What it may have running in this pool.
        limit: Resources,
    },
    /// The team may run nothing in this pool.
    #[display("the team has no limit in this pool that it could use")]
    NoLimit,
    /// No worker has room.
    #[display("no worker has {_0} free")]
    Full(Resources),
    /// Tasks failed and wait before they start again.
    #[display("{tasks} tasks failed or were refused and start again in {wait}")]
    Retry {
        /// How many.
        tasks: u32,
        /// How long until the first.
        wait: Millis,
    },
    /// The gang claims capacity until it has enough.
    #[display("the gang claims capacity on workers that it waits to become free")]
    Claiming,
    /// The gang found too little capacity.
    #[display("the gang found room for fewer than its {_0} tasks at once")]
    Gang(usize),
    /// Room is being made for the job.
    #[display("room is being made for {_0} tasks")]
    Room(usize),
    /// The pause holds back what would make room.
    #[display("automatic actions are paused, so no room is made")]
    Paused,
    /// It is about to start.
    #[display("it is next to start")]
    Next,
}

/// Why a job waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Tasks that wait.
    pub queued: u32,
    /// The reasons.
    pub waits: Vec<Wait>,
}

impl Scheduler {
    /// Returns why tasks of a job wait; `None` when the job is not known or none waits.
    pub fn explain(&self, job: JobId) -> Option<Explanation> {
        let entry = self.table.get(job)?;
        let queued = entry.status().queued;
        if queued == 0 || entry.ended.is_some() {
            return None;
        }
        let mut waits = Vec::new();
        if self.settings.awaits_restore && !self.restored {
            waits.push(Wait::Restore);
        }
        if !self.no_unknown_copies(entry) {
            waits.push(Wait::Unsettled);
        }
        self.explain_delay(entry, &mut waits);
        if !entry.ready.is_empty() {
            self.explain_limit(entry, &mut waits);
            self.explain_room(entry, &mut waits);
        }
        if waits.is_empty() {
            waits.push(Wait::Next);
        }
        Some(Explanation { queued, waits })
    }

    fn explain_delay(&self, entry: &Entry, waits: &mut Vec<Wait>) {
        if entry.delayed == 0 {
            return;
        }
        let due = |progress: &super::table::TaskProgress| match progress.stage {
            super::table::Stage::Delayed(due) => Some(due),
            _ => None,
        };
        let first = entry.tasks.iter().filter_map(due).min();
        waits.push(Wait::Retry {
            tasks: entry.delayed,
            wait: first.unwrap_or_default().since(self.now),
        });
    }

    fn explain_limit(&self, entry: &Entry, waits: &mut Vec<Wait>) {
        let Some(limit) = self.teams.limit(entry.team) else {
            waits.push(Wait::NoLimit);
            return;
        };
        let allowed = if entry.is_gang() {
            self.gang_allowed(entry)
        } else {
            self.within_limit(entry.team, &entry.size)
        };
        if !allowed {
            waits.push(Wait::Limit {
                usage: self.teams.all[entry.team].usage,
                limit,
            });
        }
    }

    fn explain_room(&self, entry: &Entry, waits: &mut Vec<Wait>) {
        let claim = self.claims.all.get(&entry.job.id);
        match claim.map(|claim| (claim.purpose, claim.parts.len())) {
            Some((Purpose::Gang | Purpose::Foreign, _)) => waits.push(Wait::Claiming),
            Some((Purpose::Room, parts)) => waits.push(Wait::Room(parts)),
            None if entry.is_gang() => waits.push(Wait::Gang(entry.ready.len())),
            None if self.fleet.misses(&entry.size) => waits.push(Wait::Full(entry.size)),
            None => return,
        }
        if self.policy.paused {
            waits.push(Wait::Paused);
        }
    }
}
