//! Amounts of processors, memory and accelerators.

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};

/// Thousandths of a processor core in one core.
pub const MILLICORES: u64 = 1_000;

/// Mebibytes in one gibibyte.
pub const MIB_PER_GIB: u64 = 1_024;

/// An amount of each kind of resource.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Add,
    AddAssign,
    Sum,
    Display,
)]
#[display("{cpu} millicores, {memory} MiB, {accelerators} accelerators")]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu: u64,
    /// Memory in mebibytes.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self {
        cpu: 0,
        memory: 0,
        accelerators: 0,
    };

    /// No bound on any resource.
    pub const UNBOUNDED: Self = Self {
        cpu: u64::MAX,
        memory: u64::MAX,
        accelerators: u64::MAX,
    };

    /// Returns whether each amount is at most that of `other`.
    pub const fn fits_in(&self, other: &Self) -> bool {
        self.cpu <= other.cpu
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Subtracts `other`, or returns `None` when any amount would fall below zero.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_sub(other.cpu)?,
            memory: self.memory.checked_sub(other.memory)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Subtracts `other`, saturating each amount at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Adds `other`, saturating each amount at the maximum value.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Multiplies each amount by `count`, saturating at the maximum value.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how many times `size` fits into the amounts; `u64::MAX` when `size` is zero.
    pub fn count(&self, size: &Self) -> u64 {
        let times = |amount: u64, size: u64| amount.checked_div(size).unwrap_or(u64::MAX);
        times(self.cpu, size.cpu)
            .min(times(self.memory, size.memory))
            .min(times(self.accelerators, size.accelerators))
    }

    /// Returns whether every amount is zero.
    pub const fn is_zero(&self) -> bool {
        self.cpu == 0 && self.memory == 0 && self.accelerators == 0
    }
}
