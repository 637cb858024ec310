//! Division of a team's limit among the pools.
//!
//! The store keeps one value for each team: the parts of each pool, whose sum never exceeds the
//! whole. A transfer is one compare-and-swap of that value by the owner of the giving pool, which
//! uses the lower part from before it sends the write. The owner of the receiving pool uses the
//! higher part only once it has seen the write.

use std::collections::BTreeMap;

use crate::ids::PoolId;

/// Number of parts in a whole limit.
pub const WHOLE: u32 = 1_000_000;

/// Number of parts of a team's limit that each pool has.
///
/// Invariant: they sum to at most [`WHOLE`].
pub type Parts = BTreeMap<PoolId, u32>;

/// Violation of the invariant by a stored value or a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SliceError {
    /// The parts sum to more than the whole.
    #[display("the parts sum to {sum}, more than {WHOLE}")]
    Excess {
        /// Sum of the parts.
        sum: u64,
    },
    /// The giving pool has fewer parts than the transfer takes.
    #[display("the pool has {held} parts, fewer than {wanted}")]
    Short {
        /// Number of parts that the pool has.
        held: u32,
        /// Number of parts to transfer.
        wanted: u32,
    },
}

/// Checks that the parts sum to at most [`WHOLE`], or returns [`SliceError::Excess`].
pub fn check_sum(parts: &Parts) -> Result<(), SliceError> {
    let sum = parts.values().map(|part| u64::from(*part)).sum();
    if sum > u64::from(WHOLE) {
        return Err(SliceError::Excess { sum });
    }
    Ok(())
}

/// Returns the share of a limit that `parts` parts amount to, rounded down.
pub const fn limit_share(limit: u64, parts: u32) -> u64 {
    // The product with the whole fits for a limit below 2^44; a greater limit only loses precision.
    match limit.checked_mul(parts as u64) {
        Some(product) => product / WHOLE as u64,
        None => (limit / WHOLE as u64).saturating_mul(parts as u64),
    }
}

/// Splits the whole evenly among pools; the first pools by name get the remainder.
pub fn split_evenly<'a>(pools: impl IntoIterator<Item = &'a PoolId>) -> Parts {
    let pools: std::collections::BTreeSet<&PoolId> = pools.into_iter().collect();
    let count = u32::try_from(pools.len()).unwrap_or(u32::MAX).max(1);
    let part = |index: usize| {
        let extra = u32::try_from(index).is_ok_and(|index| index < WHOLE % count);
        WHOLE / count + u32::from(extra)
    };
    let pools = pools.into_iter().enumerate();
    pools
        .map(|(index, pool)| (pool.clone(), part(index)))
        .collect()
}

/// Returns the parts after a transfer, or [`SliceError::Short`] if the giving pool has too few and
/// [`SliceError::Excess`] if the result exceeds the whole.
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

/// Returns the parts after `to` has received those of the removed pools.
///
/// The caller must ensure that nothing runs in the removed pools any more.
pub fn reclaimed(parts: &Parts, gone: impl Fn(&PoolId) -> bool, to: &PoolId) -> Parts {
    let mut next = parts.clone();
    let lost: Vec<PoolId> = next.keys().filter(|pool| gone(pool)).cloned().collect();
    let sum: u32 = lost.iter().filter_map(|pool| next.remove(pool)).sum();
    *next.entry(to.clone()).or_default() += sum;
    next
}

/// Use of a team's limit by a pool, in parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Number of parts that running tasks use.
    pub used: u32,
    /// Number of further parts that waiting tasks need.
    pub wanted: u32,
}

/// A transfer that the owner of the giving pool should make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Receiving pool.
    pub to: PoolId,
    /// Number of parts.
    pub amount: u32,
}

/// Returns the transfer that the owner of `from` should make, if its pool has more parts than it
/// needs, another pool has fewer, and the amount is at least `min_amount`. The pool that lacks most
/// receives at most half of the spare parts, so that several givers do not all fill the same need.
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

/// Part of a team's limit that the owner of a pool may use.
///
/// Invariant: `usable` is at most the pool's part in every value that the store can hold now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Slice {
    revision: i64,
    part: u32,
    /// Number of parts in a transfer whose outcome is not known yet.
    in_transfer: u32,
}

impl Slice {
    /// Returns the number of parts that may be used.
    pub const fn usable(&self) -> u32 {
        self.part.saturating_sub(self.in_transfer)
    }

    /// Returns the revision that the next transfer must compare with.
    pub const fn revision(&self) -> i64 {
        self.revision
    }

    /// Deducts `amount` before a transfer is sent; returns false and deducts nothing if the part is
    /// smaller or another transfer is in flight.
    pub const fn begin_transfer(&mut self, amount: u32) -> bool {
        let is_possible = self.in_transfer == 0 && amount <= self.part;
        if is_possible {
            self.in_transfer = amount;
        }
        is_possible
    }

    /// Restores the parts of the transfer in flight, which can no longer take effect.
    pub const fn cancel_transfer(&mut self) {
        self.in_transfer = 0;
    }

    /// Applies the stored value and ignores one that is not newer than the known one. A newer value
    /// than the transfer in flight compared with settles the transfer: the value includes it, or it
    /// can no longer take effect.
    pub const fn update(&mut self, revision: i64, part: u32) {
        if revision > self.revision {
            self.revision = revision;
            self.part = part;
            self.in_transfer = 0;
        }
    }
}
