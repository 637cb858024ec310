//! All-or-nothing start of a gang across pools with different owners.
//!
//! The owner of the gang's home pool reserves capacity in one pool after another, in order of the
//! pool names, so that two gangs never wait for each other. All reservations expire at the same
//! time, which every participant knows. Once enough tasks are reserved, every reservation is
//! committed; if a commit fails because its reservation has expired, all others are released.

use std::collections::BTreeMap;

use crate::ids::PoolId;
use crate::time::Millis;

/// Settings of a coordinator.
#[derive(Debug, Clone, Default)]
pub struct CoordinatorSettings {
    /// Pools to try.
    pub pools: Vec<PoolId>,
    /// Number of tasks of the gang.
    pub tasks: u32,
    /// Time at which the reservations expire.
    pub expires_at: Millis,
}

/// Action that the caller must carry out for a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask a pool to reserve capacity for at most `tasks` tasks.
    Reserve {
        /// The pool.
        pool: PoolId,
        /// Number of tasks.
        tasks: u32,
    },
    /// Ask a pool to start the tasks that it reserved capacity for.
    Commit {
        /// The pool.
        pool: PoolId,
        /// Number of tasks.
        tasks: u32,
    },
    /// Ask a pool to release its reservation, or to cancel the tasks that it started.
    Release {
        /// The pool.
        pool: PoolId,
    },
    /// The whole gang has started.
    Started,
    /// The gang did not start, and holds no capacity once the releases have completed.
    GaveUp,
}

/// Phase of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserving,
    Committing,
    Finished,
}

/// Coordinates the start of one gang across several pools.
#[derive(Debug)]
pub struct Coordinator {
    /// Invariant: sorted by name, without duplicates.
    pools: Vec<PoolId>,
    /// Index of the pool that was asked last.
    current: usize,
    tasks: u32,
    expires_at: Millis,
    /// Number of tasks that each pool reserved capacity for; none is zero.
    granted: BTreeMap<PoolId, u32>,
    committed: usize,
    phase: Phase,
}

impl Coordinator {
    /// Creates a coordinator and returns its first steps with it.
    pub fn new(settings: CoordinatorSettings) -> (Self, Vec<Step>) {
        let CoordinatorSettings {
            mut pools,
            tasks,
            expires_at,
        } = settings;
        pools.sort();
        pools.dedup();
        let mut coordinator = Self {
            pools,
            current: 0,
            tasks,
            expires_at,
            granted: BTreeMap::new(),
            committed: 0,
            phase: Phase::Reserving,
        };
        let steps = coordinator.reserve_next();
        (coordinator, steps)
    }

    /// Handles a pool's answer that it reserved capacity for `tasks` tasks, and returns the next
    /// steps.
    pub fn on_reserved(&mut self, now: Millis, pool: &PoolId, tasks: u32) -> Vec<Step> {
        let asked = self.pools.get(self.current) == Some(pool);
        if self.phase != Phase::Reserving || !asked {
            return vec![Step::Release { pool: pool.clone() }];
        }
        if tasks > 0 {
            self.granted.insert(pool.clone(), tasks.min(self.missing()));
        }
        if now >= self.expires_at {
            return self.give_up();
        }
        if self.missing() == 0 {
            return self.commit();
        }
        self.current += 1;
        self.reserve_next()
    }

    /// Handles a pool's answer to a commit, and returns the next steps.
    pub fn on_committed(&mut self, started: bool) -> Vec<Step> {
        if self.phase != Phase::Committing {
            return Vec::new();
        }
        if !started {
            return self.give_up();
        }
        self.committed += 1;
        if self.committed < self.granted.len() {
            return Vec::new();
        }
        self.phase = Phase::Finished;
        vec![Step::Started]
    }

    /// Gives up once the reservations have expired, which also covers a lost answer.
    pub fn expire(&mut self, now: Millis) -> Vec<Step> {
        if self.phase == Phase::Finished || now < self.expires_at {
            return Vec::new();
        }
        self.give_up()
    }

    fn missing(&self) -> u32 {
        self.tasks
            .saturating_sub(self.granted.values().copied().sum())
    }

    fn reserve_next(&mut self) -> Vec<Step> {
        match self.pools.get(self.current) {
            Some(pool) => vec![Step::Reserve {
                pool: pool.clone(),
                tasks: self.missing(),
            }],
            None => self.give_up(),
        }
    }

    fn commit(&mut self) -> Vec<Step> {
        self.phase = Phase::Committing;
        let commit = |(pool, tasks): (&PoolId, &u32)| Step::Commit {
            pool: pool.clone(),
            tasks: *tasks,
        };
        self.granted.iter().map(commit).collect()
    }

    /// Releases every pool that was asked, since the answer of the last one may be lost.
    fn give_up(&mut self) -> Vec<Step> {
        self.phase = Phase::Finished;
        let release = |pool: &PoolId| Step::Release { pool: pool.clone() };
        let mut steps: Vec<Step> = self
            .pools
            .iter()
            .take(self.current + 1)
            .map(release)
            .collect();
        steps.push(Step::GaveUp);
        steps
    }
}
