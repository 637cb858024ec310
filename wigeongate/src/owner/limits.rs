//! The teams' usage in other pools.

use std::sync::Arc;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{GateId, PoolId, TeamId};
use wigeongate_core::resources::Resources;

use crate::message::Digest;

/// Returns the resources of each team's running tasks in all pools other than `pool`, from the
/// gates' last digests.
pub fn other_pool_usage(
    digests: &HashMap<GateId, Arc<Digest>>,
    pool: &PoolId,
) -> HashMap<TeamId, Resources> {
    let mut usage: HashMap<TeamId, Resources> = HashMap::default();
    let others = digests
        .values()
        .flat_map(|digest| &digest.pools)
        .filter(|digest| digest.pool != *pool);
    for team in others.flat_map(|digest| &digest.teams) {
        let sum = usage.entry(team.team.clone()).or_default();
        *sum = sum.saturating_add(&team.running);
    }
    usage
}
