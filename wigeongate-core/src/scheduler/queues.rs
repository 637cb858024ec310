//! Queues of waiting jobs, by team and class.

use std::collections::BTreeMap;

use super::teams::TeamIx;
use crate::ids::JobId;
use crate::resources::Resources;

/// How many of a team's oldest jobs a pass considers, the largest first.
const MAX_CANDIDATES: usize = 128;

/// A class of sizes with the same accelerators, whose CPU and memory are each within a factor of
/// two. Larger sizes have larger classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SizeClass {
    accelerators: u64,
    /// The larger of `cpu` and `memory`.
    max_bits: u32,
    cpu: u32,
    memory: u32,
}

impl SizeClass {
    fn new(size: &Resources) -> Self {
        let cpu = u64::BITS - size.cpu.leading_zeros();
        let memory = u64::BITS - size.memory.leading_zeros();
        Self {
            accelerators: size.accelerators,
            max_bits: cpu.max(memory),
            cpu,
            memory,
        }
    }

    /// Returns the smallest size of this class.
    fn min_size(&self) -> Resources {
        let least = |bits: u32| bits.checked_sub(1).map_or(0, |bits| 1 << bits);
        Resources {
            cpu: least(self.cpu),
            memory: least(self.memory),
            accelerators: self.accelerators,
        }
    }
}

/// Waiting jobs of one team, either urgent or normal.
#[derive(Debug, Default)]
struct JobQueue {
    /// Jobs in the order of acceptance.
    jobs: BTreeMap<u64, (SizeClass, JobId)>,
    /// Number of jobs of each size class.
    classes: BTreeMap<SizeClass, u32>,
}

impl JobQueue {
    fn insert(&mut self, seq: u64, class: SizeClass, job: JobId) {
        if self.jobs.insert(seq, (class, job)).is_none() {
            *self.classes.entry(class).or_default() += 1;
        }
    }

    fn remove(&mut self, seq: u64) {
        let Some((class, _)) = self.jobs.remove(&seq) else {
            return;
        };
        if let Some(count) = self.classes.get_mut(&class) {
            *count -= 1;
            if *count == 0 {
                self.classes.remove(&class);
            }
        }
    }
}

/// A job that a pass considers next for its team; larger jobs come first, then older ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    class: std::cmp::Reverse<SizeClass>,
    seq: u64,
    /// The job.
    pub(super) job: JobId,
}

/// The queues of one team.
#[derive(Debug, Default)]
struct TeamQueues {
    urgent: JobQueue,
    normal: JobQueue,
}

/// The properties of a job that determine its place in the queues.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedJob {
    /// The job.
    pub(super) job: JobId,
    /// Its team.
    pub(super) team: TeamIx,
    /// Its number in the order of acceptance.
    pub(super) seq: u64,
    /// The size of its next task.
    pub(super) size: Resources,
    /// Whether it is started before work that is not urgent.
    pub(super) urgent: bool,
    /// Whether it is a gang, whose tasks all start together.
    pub(super) gang: bool,
}

/// The queues of all teams.
#[derive(Debug, Default)]
pub(super) struct Queues {
    teams: Vec<TeamQueues>,
    /// Gangs, the urgent ones first, then in the order of acceptance.
    gangs: BTreeMap<(bool, u64), JobId>,
}

impl Queues {
    /// Adds a job at its place; does nothing for a job that is already queued with the same size.
    pub(super) fn insert(&mut self, queued: &QueuedJob) {
        if queued.gang {
            self.gangs.insert((!queued.urgent, queued.seq), queued.job);
            return;
        }
        if self.teams.len() <= queued.team {
            self.teams.resize_with(queued.team + 1, TeamQueues::default);
        }
        let class = SizeClass::new(&queued.size);
        self.queue_mut(queued).insert(queued.seq, class, queued.job);
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, queued: &QueuedJob) {
        if queued.gang {
            self.gangs.remove(&(!queued.urgent, queued.seq));
        } else if queued.team < self.teams.len() {
            self.queue_mut(queued).remove(queued.seq);
        }
    }

    fn queue_mut(&mut self, queued: &QueuedJob) -> &mut JobQueue {
        let team = &mut self.teams[queued.team];
        if queued.urgent {
            &mut team.urgent
        } else {
            &mut team.normal
        }
    }

    /// Returns the teams with waiting jobs of one class, not counting gangs.
    pub(super) fn teams(&self, urgent: bool) -> Vec<TeamIx> {
        let waiting = |team: &TeamQueues| {
            if urgent {
                !team.urgent.jobs.is_empty()
            } else {
                !team.normal.jobs.is_empty()
            }
        };
        self.teams
            .iter()
            .enumerate()
            .filter(|(_, team)| waiting(team))
            .map(|(at, _)| at)
            .collect()
    }

    /// Fills `candidates` with the oldest waiting jobs of a team, the largest first.
    ///
    /// Leaves it empty when `cannot_fit` returns true for the smallest size of every waiting class.
    pub(super) fn candidates(
        &self,
        team: TeamIx,
        urgent: bool,
        cannot_fit: impl Fn(&Resources) -> bool,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.clear();
        let Some(queue) = self.queue_of(team, urgent) else {
            return;
        };
        if queue
            .classes
            .keys()
            .all(|class| cannot_fit(&class.min_size()))
        {
            return;
        }
        let candidate = |(seq, (class, job)): (&u64, &(SizeClass, JobId))| Candidate {
            class: std::cmp::Reverse(*class),
            seq: *seq,
            job: *job,
        };
        candidates.extend(queue.jobs.iter().take(MAX_CANDIDATES).map(candidate));
        candidates.sort_unstable();
    }

    /// Returns the waiting jobs of a team, the oldest first, without gangs.
    pub(super) fn team_jobs(&self, team: TeamIx, urgent: bool) -> impl Iterator<Item = JobId> {
        self.queue_of(team, urgent)
            .into_iter()
            .flat_map(|queue| queue.jobs.values().map(|(_, job)| *job))
    }

    fn queue_of(&self, team: TeamIx, urgent: bool) -> Option<&JobQueue> {
        let team = self.teams.get(team)?;
        Some(if urgent { &team.urgent } else { &team.normal })
    }

    /// Returns the waiting gangs, the urgent ones first, then in the order of acceptance.
    pub(super) fn gangs(&self) -> impl Iterator<Item = JobId> {
        self.gangs.values().copied()
    }
}
