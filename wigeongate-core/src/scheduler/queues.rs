//! The order in which jobs wait.

use std::collections::BTreeMap;

use super::teams::TeamIx;
use crate::ids::JobId;
use crate::resources::Resources;

/// The oldest jobs of a team, among which a pass takes the largest first.
const MAX_CANDIDATES: usize = 128;

/// About how large a size is, to a factor of two; the larger has the larger class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SizeClass {
    accelerators: u64,
    /// The larger of the two levels.
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

    /// Returns the least size of this class.
    fn min_size(&self) -> Resources {
        let least = |bits: u32| bits.checked_sub(1).map_or(0, |bits| 1 << bits);
        Resources {
            cpu: least(self.cpu),
            memory: least(self.memory),
            accelerators: self.accelerators,
        }
    }
}

/// Jobs of one team and class.
#[derive(Debug, Default)]
struct JobQueue {
    /// The jobs in the order of acceptance.
    jobs: BTreeMap<u64, (SizeClass, JobId)>,
    /// How many jobs there are of each class.
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

/// A job at the candidate of a team's queue.
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

/// What a job's place in the queues depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedJob {
    /// The job.
    pub(super) job: JobId,
    /// Its team.
    pub(super) team: TeamIx,
    /// Its place in the order of acceptance.
    pub(super) seq: u64,
    /// The size of its next task.
    pub(super) size: Resources,
    /// Whether it goes ahead of work that is not urgent.
    pub(super) urgent: bool,
    /// Whether its tasks start all together.
    pub(super) gang: bool,
}

/// The queues of all teams.
#[derive(Debug, Default)]
pub(super) struct Queues {
    teams: Vec<TeamQueues>,
    /// Gangs; the urgent first, then in the order of acceptance.
    gangs: BTreeMap<(bool, u64), JobId>,
}

impl Queues {
    /// Puts a job in its place; one that is there already stays.
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

    /// Takes a job out.
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

    /// Returns the teams that have jobs waiting, gangs aside.
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

    /// Fills `candidates` with the oldest jobs that a team has waiting, the largest first.
    ///
    /// Leaves it empty when `cannot_fit` holds for the least size of each class that waits.
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

    /// Returns every job of a team that waits, the oldest first, gangs aside.
    pub(super) fn team_jobs(&self, team: TeamIx, urgent: bool) -> impl Iterator<Item = JobId> {
        self.queue_of(team, urgent)
            .into_iter()
            .flat_map(|queue| queue.jobs.values().map(|(_, job)| *job))
    }

    fn queue_of(&self, team: TeamIx, urgent: bool) -> Option<&JobQueue> {
        let team = self.teams.get(team)?;
        Some(if urgent { &team.urgent } else { &team.normal })
    }

    /// Returns the gangs in order.
    pub(super) fn gangs(&self) -> impl Iterator<Item = JobId> {
        self.gangs.values().copied()
    }
}
