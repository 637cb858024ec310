//! A gang over pools with different owners: all of it starts, or nothing.
//!
//! The owner of the gang's home pool reserves parts in one pool after the other, in order of
//! name, so that two gangs never wait for each other. Reservations end by themselves at a time
//! that all know. Once there are enough, every part is committed; a part that cannot be, because
//! its reservation ended, takes all others back.

use std::collections::BTreeMap;

use crate::ids::PoolId;
use crate::time::Millis;

/// What a coordinator is to bring about.
#[derive(Debug, Clone, Default)]
pub struct CoordinatorSettings {
    /// The pools to try.
    pub pools: Vec<PoolId>,
    /// How many tasks the gang has.
    pub tasks: u32,
    /// When reservations end.
    pub expires_at: Millis,
}

/// What has to be done next for a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask a pool to reserve for up to so many tasks.
    Reserve {
        /// The pool.
        pool: PoolId,
        /// How many tasks.
        tasks: u32,
    },
    /// Ask a pool to start what it reserved.
    Commit {
        /// The pool.
        pool: PoolId,
        /// How many tasks.
        tasks: u32,
    },
    /// Ask a pool to give back what it reserved, or to cancel what it started.
    Release {
        /// The pool.
        pool: PoolId,
    },
    /// The whole gang has started.
    Started,
    /// The gang has not started and holds nothing once the releases are through.
    GaveUp,
}

/// How far a coordinator has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserving,
    Committing,
    Finished,
}

/// Starts one gang over several pools.
#[derive(Debug)]
pub struct Coordinator {
    /// Invariant: sorted by name, each once.
    pools: Vec<PoolId>,
    /// The place of the pool that was asked last.
    current: usize,
    tasks: u32,
    expires_at: Millis,
    /// How many tasks each pool reserved for; none is zero.
    granted: BTreeMap<PoolId, u32>,
    committed: usize,
    phase: Phase,
}

impl Coordinator {
    /// Makes a coordinator; returns the first step with it.
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

    /// Takes in how many tasks the asked pool reserved for.
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

    /// Takes in whether a pool started what it reserved.
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

    /// Gives up once reservations have ended; also when an answer was lost.
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

    /// Releases every pool that was asked, since the answer of the last may be lost.
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
