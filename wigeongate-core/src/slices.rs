//! How a team's upper limit is split among the pools.
//!
//! The store keeps one value a team: the parts of each pool, which never sum above the whole. A
//! transfer is one compare-and-swap of that value, made by the owner of the giving pool, which
//! uses the lower part from before the write is sent. The taking pool's owner uses the higher
//! part only once it has seen the write.

use std::collections::BTreeMap;

use crate::ids::PoolId;

/// The parts that make up a whole limit.
pub const WHOLE: u32 = 1_000_000;

/// The parts of a team's limit that each pool has.
///
/// Invariant: they sum to at most [`WHOLE`].
pub type Parts = BTreeMap<PoolId, u32>;

/// A stored value that breaks the invariant, or a change that would.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SliceError {
    /// The parts sum to more than the whole.
    #[display("the parts sum to {sum}, more than {WHOLE}")]
    Excess {
        /// What they sum to.
        sum: u64,
    },
    /// The giving pool has fewer parts.
    #[display("the pool has {held} parts, fewer than {wanted}")]
    Short {
        /// What it has.
        held: u32,
        /// What was to be given.
        wanted: u32,
    },
}

/// Checks a stored value.
pub fn check_sum(parts: &Parts) -> Result<(), SliceError> {
    let sum = parts.values().map(|part| u64::from(*part)).sum();
    if sum > u64::from(WHOLE) {
        return Err(SliceError::Excess { sum });
    }
    Ok(())
}

/// Returns the share of a limit that some parts stand for, rounded down.
pub const fn limit_share(limit: u64, parts: u32) -> u64 {
    // The product of a limit below 2^44 with the whole fits; a greater one loses precision only.
    match limit.checked_mul(parts as u64) {
        Some(product) => product / WHOLE as u64,
        None => (limit / WHOLE as u64).saturating_mul(parts as u64),
    }
}

/// Splits a whole evenly among pools; the first ones get what is left over.
pub fn split_evenly<'a>(pools: impl IntoIterator<Item = &'a PoolId>) -> Parts {
    let pools: std::collections::BTreeSet<&PoolId> = pools.into_iter().collect();
    let count = u32::try_from(pools.len()).unwrap_or(u32::MAX).max(1);
    let part = |place: usize| {
        let extra = u32::try_from(place).is_ok_and(|place| place < WHOLE % count);
        WHOLE / count + u32::from(extra)
    };
    let pools = pools.into_iter().enumerate();
    pools
        .map(|(place, pool)| (pool.clone(), part(place)))
        .collect()
}

/// Returns the value after a transfer.
pub fn transferred(
    parts: &Parts,
    from: &PoolId,
    to: &PoolId,
    amount: u32,
) -> Result<Parts, SliceError> {
    let held = parts.get(from).copied().unwrap_or_default();
    let Some(left) = held.checked_sub(amount) else {
        let wanted = amount;
        return Err(SliceError::Short { held, wanted });
    };
    let mut next = parts.clone();
    next.insert(from.clone(), left);
    *next.entry(to.clone()).or_default() += amount;
    check_sum(&next)?;
    Ok(next)
}

/// Returns the value in which the parts of pools that are gone went to `to`.
///
/// The caller must have seen to it that nothing runs in those pools any more.
pub fn reclaimed(parts: &Parts, gone: impl Fn(&PoolId) -> bool, to: &PoolId) -> Parts {
    let mut next = parts.clone();
    let lost: Vec<PoolId> = next.keys().filter(|pool| gone(pool)).cloned().collect();
    let sum: u32 = lost.iter().filter_map(|pool| next.remove(pool)).sum();
    *next.entry(to.clone()).or_default() += sum;
    next
}

/// What a pool uses and wants of a team's limit, in parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// What its running tasks take.
    pub used: u32,
    /// What its waiting tasks ask for besides.
    pub wanted: u32,
}

/// A transfer that the owner of the giving pool should make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The taking pool.
    pub to: PoolId,
    /// How many parts.
    pub amount: u32,
}

/// Returns what the owner of `from` should give, if it has more than it needs and another pool
/// less; the pool that lacks most goes first and gets at most half of what is spare, so that
/// several givers do not all fill the same need.
pub fn plan_transfer(
    parts: &Parts,
    needs: &BTreeMap<PoolId, Need>,
    from: &PoolId,
    min_amount: u32,
) -> Option<Transfer> {
    let part = |pool: &PoolId| parts.get(pool).copied().unwrap_or_default();
    let own = needs.get(from).copied().unwrap_or_default();
    let spare = part(from).saturating_sub(own.used.saturating_add(own.wanted));
    let lack = |(pool, need): (&PoolId, &Need)| {
        let asked = need.used.saturating_add(need.wanted);
        (asked.saturating_sub(part(pool)), pool.clone())
    };
    let others = needs.iter().filter(|(pool, _)| *pool != from);
    let (lack, to) = others.map(lack).max()?;
    let amount = lack.min(spare.div_ceil(2));
    (amount >= min_amount.max(1)).then_some(Transfer { to, amount })
}

/// What the owner of a pool may use of a team's limit.
///
/// Invariant: `usable` is at most the pool's part in every value that the store can hold now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Slice {
    revision: i64,
    part: u32,
    /// What was taken off before a transfer whose outcome is not known yet.
    in_transfer: u32,
}

impl Slice {
    /// Returns the parts that may be used.
    pub const fn usable(&self) -> u32 {
        self.part.saturating_sub(self.in_transfer)
    }

    /// Returns the revision that the next transfer must compare with.
    pub const fn revision(&self) -> i64 {
        self.revision
    }

    /// Takes `amount` off before a transfer is sent; returns whether there was as much, and no
    /// other transfer on its way.
    pub const fn begin_transfer(&mut self, amount: u32) -> bool {
        let is_possible = self.in_transfer == 0 && amount <= self.part;
        if is_possible {
            self.in_transfer = amount;
        }
        is_possible
    }

    /// Takes in that the transfer on its way can no longer take effect.
    pub const fn cancel_transfer(&mut self) {
        self.in_transfer = 0;
    }

    /// Takes in the stored value; an older one than known is left aside. A newer one than the
    /// transfer compared with settles it: it is in the value or can no longer take effect.
    pub const fn update(&mut self, revision: i64, part: u32) {
        if revision > self.revision {
            self.revision = revision;
            self.part = part;
            self.in_transfer = 0;
        }
    }
}
