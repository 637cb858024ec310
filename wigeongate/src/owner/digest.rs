//! The digest of a pool that its gate sends to the other gates.

use std::sync::Arc;

use wigeongate_api::operator::TeamStatus;
use wigeongate_config::inventory::Team;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{GateId, PoolId, TeamId};
use wigeongate_core::job::JobStatus;
use wigeongate_core::policy::Policy;
use wigeongate_core::resources::Resources;

use crate::live::LiveConfiguration;
use crate::message::Digest;
use crate::message::jobs::{PoolDigest, TeamUsage};

/// Computes a pool's digest from the status of its jobs. Workers in zones that are taken out add
/// no capacity.
pub fn digest(pool: &PoolId, policy: &Policy, jobs: impl Iterator<Item = JobStatus>) -> PoolDigest {
    let mut teams: HashMap<TeamId, TeamUsage> = HashMap::default();
    let mut queued = 0;
    for status in jobs {
        let size = status.job.spec.size;
        let usage = teams.entry(status.job.team.clone()).or_default();
        usage.running = usage
            .running
            .saturating_add(&size.times(status.running.into()));
        usage.wanted = usage
            .wanted
            .saturating_add(&size.times(status.queued.into()));
        usage.queued += u64::from(status.queued);
        queued += u64::from(status.queued);
    }
    let add = |sum: Resources, one: Resources| sum.saturating_add(&one);
    let usable = policy
        .workers
        .values()
        .filter(|worker| worker.pool == *pool && !policy.zones_out.contains(&worker.zone));
    let capacity = usable
        .map(|worker| worker.capacity)
        .fold(Resources::ZERO, add);
    let running = teams
        .values()
        .map(|usage| usage.running)
        .fold(Resources::ZERO, add);
    let mut teams: Vec<TeamUsage> = teams
        .into_iter()
        .map(|(team, usage)| TeamUsage { team, ..usage })
        .collect();
    teams.sort_unstable_by(|a, b| a.team.cmp(&b.team));
    PoolDigest {
        pool: pool.clone(),
        capacity,
        free: capacity.saturating_sub(&running),
        queued,
        teams,
        held: Vec::new(),
    }
}

/// Returns the share, limit and current use of each team over all pools, from the gates' last
/// digests.
pub fn team_lines(
    live: &LiveConfiguration,
    digests: &HashMap<GateId, Arc<Digest>>,
) -> Vec<TeamStatus> {
    let mut sums: HashMap<&TeamId, (Resources, u64)> = HashMap::default();
    for digest in digests.values().flat_map(|digest| &digest.pools) {
        for usage in &digest.teams {
            let (running, queued) = sums.entry(&usage.team).or_default();
            *running = running.saturating_add(&usage.running);
            *queued += usage.queued;
        }
    }
    let total = |team: &Team| {
        let (running, queued) = sums.get(&team.name).copied().unwrap_or_default();
        TeamStatus {
            team: team.name.clone(),
            share: team.share,
            limit: team.limit.resources(),
            running,
            queued,
        }
    };
    live.configuration
        .inventory
        .teams
        .iter()
        .map(total)
        .collect()
}
