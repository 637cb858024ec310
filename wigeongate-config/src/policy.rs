//! Conversion of a configuration to the policy that scheduling decisions use.

use std::sync::Arc;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{HostId, PoolId, RackId, RegionId, ZoneId};
use wigeongate_core::policy::{self, Policy};

use crate::configuration::Configuration;
use crate::inventory::{Host, Inventory, Team};
use crate::rules::{Placement, Queue};

/// Returns the pool of each rack.
///
/// The racks of each availability zone are assigned to pools round-robin, in the order in which
/// the inventory first names them, so that a pool has racks in every zone of its region.
pub fn pools(inventory: &Inventory, pools_per_region: u16) -> HashMap<(ZoneId, RackId), PoolId> {
    let regions = regions(inventory);
    let mut racks: HashMap<ZoneId, u16> = HashMap::default();
    let mut pools = HashMap::default();
    for host in &inventory.hosts {
        let rack = (host.zone.clone(), host.rack.clone());
        if pools.contains_key(&rack) {
            continue;
        }
        let rack_index = racks.entry(host.zone.clone()).or_default();
        let region = regions.get(&host.zone).cloned().unwrap_or_default();
        let pool = format!("{region}-{}", *rack_index % pools_per_region.max(1));
        *rack_index = rack_index.wrapping_add(1);
        pools.insert(rack, PoolId::from(pool));
    }
    pools
}

/// Returns the lane of the backend server at `index` in the inventory.
pub fn lane_of(index: usize, lanes: u16) -> u16 {
    u16::try_from(index % usize::from(lanes.max(1))).unwrap_or_default()
}

fn regions(inventory: &Inventory) -> HashMap<ZoneId, RegionId> {
    inventory
        .zones()
        .map(|(region, zone)| (zone.name.clone(), region.name.clone()))
        .collect()
}

impl Configuration {
    /// Returns the policy that scheduling decisions use.
    pub fn policy(&self) -> Policy {
        Policy {
            revision: self.revision,
            workers: workers(&self.inventory, self.rules.placement.pools),
            teams: self
                .inventory
                .teams
                .iter()
                .map(|t| (t.name.clone(), team(t)))
                .collect(),
            queues: self
                .rules
                .queues
                .iter()
                .map(|q| (q.name.clone(), queue(q)))
                .collect(),
            zones_out: self.zones_out.iter().cloned().collect(),
            paused: self.paused,
            rules: rules(&self.rules.placement),
        }
    }
}

fn workers(inventory: &Inventory, pools_per_region: u16) -> HashMap<HostId, Arc<policy::Worker>> {
    let regions = regions(inventory);
    let pools = pools(inventory, pools_per_region);
    let pool_of = |host: &Host| {
        pools
            .get(&(host.zone.clone(), host.rack.clone()))
            .cloned()
            .unwrap_or_default()
    };
    let worker = |host: &Host| policy::Worker {
        host: host.name.clone(),
        pool: pool_of(host),
        rack: host.rack.clone(),
        zone: host.zone.clone(),
        region: regions.get(&host.zone).cloned().unwrap_or_default(),
        capacity: host.capacity(),
    };
    inventory
        .hosts
        .iter()
        .map(|host| (host.name.clone(), Arc::new(worker(host))))
        .collect()
}

fn team(team: &Team) -> policy::Team {
    policy::Team {
        share: team.share,
        limit: team.limit.resources(),
        slots: team.limit.slots.unwrap_or(u32::MAX),
    }
}

fn queue(queue: &Queue) -> policy::Queue {
    policy::Queue {
        kind: queue.kind,
        team: queue.team.clone(),
        bound: queue.bound,
        attempts: queue.attempts,
    }
}

fn rules(placement: &Placement) -> policy::Rules {
    policy::Rules {
        gang_wait: placement.gang_wait_ms,
        retry_delay: placement.retry_delay_ms,
        worker_strikes: placement.worker_strikes,
        worker_rest: placement.worker_rest_ms,
        checkpoint_grace: placement.checkpoint_grace_ms,
    }
}
