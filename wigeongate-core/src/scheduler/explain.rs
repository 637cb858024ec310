//! Explanations of why a job waits.

use derive_more::Display;

use super::Scheduler;
use super::claims::Purpose;
use super::table::Entry;
use crate::ids::JobId;
use crate::resources::Resources;
use crate::time::Millis;

/// A reason why tasks of a job wait.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WaitReason {
    /// The jobs that an earlier owner of the pool accepted are still being restored.
    #[display("the jobs of the pool's earlier owner are not restored yet")]
    Restoring,
    /// Workers that may still run tasks of the job have not reported, and their task leases have
    /// not run out.
    #[display("workers that may run the job have not reported, nor have their leases run out")]
    UnreportedWorkers,
    /// Another task, or the whole gang, would exceed the limit of the team in this pool.
    #[display("the team runs {usage} and may run {limit} in this pool")]
    Limit {
        /// Resources that the team's running tasks use in this pool.
        usage: Resources,
        /// Resources that the team's tasks may use in this pool.
        limit: Resources,
    },
    /// The team has no limit in this pool, so it may run nothing.
    #[display("the team has no limit in this pool that it could use")]
    NoLimit,
    /// No worker has this much free, which is the size of one task.
    #[display("no worker has {_0} free")]
    Full(Resources),
    /// Tasks failed or were refused, and wait for their retry delay.
    #[display("{tasks} tasks failed or were refused and start again in {wait}")]
    Retry {
        /// Number of tasks that wait for their retry.
        tasks: u32,
        /// Time until the first of them is queued again, in milliseconds.
        wait: Millis,
    },
    /// The gang holds claims on workers and waits until all of them are free.
    #[display("the gang claims capacity on workers that it waits to become free")]
    Claiming,
    /// The workers have too little capacity free for this many tasks at once.
    #[display("the gang found room for fewer than its {_0} tasks at once")]
    GangTooLarge(usize),
    /// Capacity is claimed for this many tasks of the job and is being freed.
    #[display("room is being made for {_0} tasks")]
    MakingRoom(usize),
    /// Automatic actions are paused, so nothing is stopped to make room.
    #[display("automatic actions are paused, so no room is made")]
    Paused,
    /// Nothing else holds the job back; it starts in a coming pass.
    #[display("it is next to start")]
    Next,
}

/// Why tasks of a job wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Number of tasks that wait.
    pub queued: u32,
    /// The reasons, at least one.
    pub reasons: Vec<WaitReason>,
}

impl Scheduler {
    /// Returns why tasks of a job wait; `None` when the job is not known or none waits.
    pub fn explain(&self, job: JobId) -> Option<Explanation> {
        let entry = self.table.get(job)?;
        let queued = entry.status().queued;
        if queued == 0 || entry.ended.is_some() {
            return None;
        }
        let mut reasons = Vec::new();
        if self.settings.awaits_restore && !self.restored {
            reasons.push(WaitReason::Restoring);
        }
        if !self.no_unknown_copies(entry) {
            reasons.push(WaitReason::UnreportedWorkers);
        }
        self.explain_delay(entry, &mut reasons);
        if !entry.ready.is_empty() {
            self.explain_limit(entry, &mut reasons);
            self.explain_room(entry, &mut reasons);
        }
        if reasons.is_empty() {
            reasons.push(WaitReason::Next);
        }
        Some(Explanation { queued, reasons })
    }

    fn explain_delay(&self, entry: &Entry, reasons: &mut Vec<WaitReason>) {
        if entry.delayed == 0 {
            return;
        }
        let due = |progress: &super::table::TaskProgress| match progress.stage {
            super::table::Stage::Delayed(due) => Some(due),
            _ => None,
        };
        let first = entry.tasks.iter().filter_map(due).min();
        reasons.push(WaitReason::Retry {
            tasks: entry.delayed,
            wait: first.unwrap_or_default().since(self.now),
        });
    }

    fn explain_limit(&self, entry: &Entry, reasons: &mut Vec<WaitReason>) {
        let Some(limit) = self.teams.limit(entry.team) else {
            reasons.push(WaitReason::NoLimit);
            return;
        };
        let allowed = if entry.is_gang() {
            self.gang_within_limit(entry)
        } else {
            self.within_limit(entry.team, &entry.size)
        };
        if !allowed {
            reasons.push(WaitReason::Limit {
                usage: self.teams.all[entry.team].usage,
                limit,
            });
        }
    }

    fn explain_room(&self, entry: &Entry, reasons: &mut Vec<WaitReason>) {
        let claim = self.claims.all.get(&entry.job.id);
        match claim.map(|claim| (claim.purpose, claim.parts.len())) {
            Some((Purpose::Gang | Purpose::RemoteGang, _)) => reasons.push(WaitReason::Claiming),
            Some((Purpose::Tasks, parts)) => reasons.push(WaitReason::MakingRoom(parts)),
            None if entry.is_gang() => reasons.push(WaitReason::GangTooLarge(entry.ready.len())),
            None if self.fleet.full_for(&entry.size) => reasons.push(WaitReason::Full(entry.size)),
            None => return,
        }
        if self.policy.paused {
            reasons.push(WaitReason::Paused);
        }
    }
}
