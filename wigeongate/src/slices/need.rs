//! The parts of a team's limit that each pool needs.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeongate_core::ids::{PoolId, TeamId};
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::{Need, WHOLE};

use crate::message::Digest;
use crate::message::jobs::PoolDigest;

/// Returns the parts of a limit that an amount takes: the largest over all resources, rounded
/// up, and at most the whole. Unbounded resources take none.
pub fn parts_for(limit: &Resources, amount: &Resources) -> u32 {
    let one = |limit: u64, amount: u64| {
        if limit == u64::MAX || amount == 0 {
            return 0;
        }
        let parts = u128::from(amount) * u128::from(WHOLE);
        let parts = parts.div_ceil(u128::from(limit.max(1)));
        u32::try_from(parts).map_or(WHOLE, |parts| parts.min(WHOLE))
    };
    let cpu = one(limit.cpu, amount.cpu);
    let memory = one(limit.memory, amount.memory);
    cpu.max(memory)
        .max(one(limit.accelerators, amount.accelerators))
}

/// Returns the parts of a team's limit that each pool uses and wants, from the gates' last
/// digests.
pub fn needs(
    digests: impl IntoIterator<Item = Arc<Digest>>,
    team: &TeamId,
    limit: &Resources,
) -> BTreeMap<PoolId, Need> {
    let need = |pool: &PoolDigest| {
        let usage = pool.teams.iter().find(|usage| usage.team == *team);
        usage.map_or(Need::default(), |usage| Need {
            used: parts_for(limit, &usage.running),
            wanted: parts_for(limit, &usage.wanted),
        })
    };
    let mut needs = BTreeMap::new();
    for digest in digests {
        needs.extend(
            digest
                .pools
                .iter()
                .map(|pool| (pool.pool.clone(), need(pool))),
        );
    }
    needs
}
