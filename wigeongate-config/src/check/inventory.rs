//! Checks of the inventory.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::ZoneId;

use super::{Check, UniqueCheck, check_name, check_positive, check_range, join_names};
use crate::inventory::{Inventory, Zone};
use crate::key::KeyHash;
use crate::problem::{FieldPath, Problems};

/// Allowed number of processor cores of a host.
const CORES: RangeInclusive<u64> = 1..=65_536;

/// Allowed memory of a host, in gibibytes.
const MEMORY_GIB: RangeInclusive<u64> = 1..=1_048_576;

/// Allowed number of accelerators of a host.
const ACCELERATORS: RangeInclusive<u64> = 0..=1_024;

impl Check for Inventory {
    fn check(&self, problems: &mut Problems) {
        check_regions(self, problems);
        check_networks(self, problems);
        check_hosts(self, problems);
        check_backends(self, problems);
        check_addresses(self, problems);
        check_teams(self, problems);
        check_keys(self, problems);
    }
}

/// Returns each availability zone with its path.
fn zones(inventory: &Inventory) -> impl Iterator<Item = (FieldPath, &Zone)> {
    let regions = inventory.regions.iter().enumerate();
    regions.flat_map(|(index, region)| {
        let path = FieldPath::of("regions").join(index).join("zones");
        let zones = region.zones.iter().enumerate();
        zones.map(move |(index, zone)| (path.join(index), zone))
    })
}

fn check_regions(inventory: &Inventory, problems: &mut Problems) {
    let list = FieldPath::of("regions");
    for (index, region) in inventory.regions.iter().enumerate() {
        if region.zones.is_empty() {
            let path = list.join(index).join("zones");
            problems.add(path, "an empty list", "at least one availability zone");
        }
    }
    let mut names = UniqueCheck::new("a region name", problems);
    for (index, region) in inventory.regions.iter().enumerate() {
        names.check_name(&list.join(index).join("name"), region.name.as_str());
    }
    let mut names = UniqueCheck::new("an availability zone name", problems);
    for (path, zone) in zones(inventory) {
        names.check_name(&path.join("name"), zone.name.as_str());
    }
    for (path, zone) in zones(inventory) {
        let hosts = inventory.hosts.iter().map(|host| &host.zone);
        let backends = inventory.backends.iter().map(|backend| &backend.zone);
        if !hosts.chain(backends).any(|used| *used == zone.name) {
            let found = format!("the empty availability zone {:?}", zone.name.as_str());
            let allowed = "a zone with at least one host or backend server";
            problems.add_compared(path.clone(), "hosts", found, allowed);
        }
    }
}

fn check_networks(inventory: &Inventory, problems: &mut Problems) {
    let zones: Vec<(FieldPath, &Zone)> = zones(inventory).collect();
    for (index, (path, zone)) in zones.iter().enumerate() {
        let before = zones.iter().take(index);
        let overlapping = before
            .map(|(_, other)| other)
            .find(|other| overlap(&zone.network, &other.network));
        if let Some(other) = overlapping {
            let allowed = format!(
                "a network that does not overlap {} of zone {}",
                other.network, other.name
            );
            problems.add_compared(path.join("network"), "regions", zone.network, allowed);
        }
    }
}

fn overlap(left: &ipnet::IpNet, right: &ipnet::IpNet) -> bool {
    left.contains(right) || right.contains(left)
}

fn check_hosts(inventory: &Inventory, problems: &mut Problems) {
    let list = FieldPath::of("hosts");
    let mut names = UniqueCheck::new("a host name", problems);
    for (index, host) in inventory.hosts.iter().enumerate() {
        names.check_name(&list.join(index).join("name"), host.name.as_str());
    }
    let zones = zones_by_name(inventory);
    for (index, host) in inventory.hosts.iter().enumerate() {
        let path = list.join(index);
        check_name(path.join("rack"), host.rack.as_str(), problems);
        check_location(&path, &host.zone, host.address, &zones, problems);
        check_range(path.join("cores"), host.cores, &CORES, problems);
        check_range(
            path.join("memory_gib"),
            host.memory_gib,
            &MEMORY_GIB,
            problems,
        );
        let accelerators = path.join("accelerators");
        check_range(accelerators, host.accelerators, &ACCELERATORS, problems);
    }
}

fn check_backends(inventory: &Inventory, problems: &mut Problems) {
    let list = FieldPath::of("backends");
    let mut names = UniqueCheck::new("a backend server name", problems);
    for (index, backend) in inventory.backends.iter().enumerate() {
        names.check_name(&list.join(index).join("name"), backend.name.as_str());
    }
    let zones = zones_by_name(inventory);
    for (index, backend) in inventory.backends.iter().enumerate() {
        let path = list.join(index);
        check_name(path.join("rack"), backend.rack.as_str(), problems);
        check_location(&path, &backend.zone, backend.address, &zones, problems);
        check_positive(path.join("slots"), backend.slots, problems);
        check_positive(path.join("connections"), backend.connections, problems);
        let mut queues = UniqueCheck::new("a queue", problems);
        for (index, queue) in backend.queues.iter().enumerate() {
            queues.check(&path.join("queues").join(index), queue);
        }
    }
}

fn zones_by_name(inventory: &Inventory) -> HashMap<&ZoneId, &Zone> {
    let mut zones = HashMap::default();
    for (_, zone) in inventory.zones() {
        zones.entry(&zone.name).or_insert(zone);
    }
    zones
}

/// Checks that an availability zone exists and that its network contains the address.
fn check_location(
    path: &FieldPath,
    zone: &ZoneId,
    address: SocketAddr,
    zones: &HashMap<&ZoneId, &Zone>,
    problems: &mut Problems,
) {
    let Some(known) = zones.get(zone) else {
        let mut names: Vec<&ZoneId> = zones.keys().copied().collect();
        names.sort();
        let allowed = format!("an availability zone: {}", join_names(names.iter()));
        let found = format!("{:?}", zone.as_str());
        problems.add_compared(path.join("zone"), "regions", found, allowed);
        return;
    };
    if !known.network.contains(&address.ip()) {
        let allowed = format!("an address in {} of zone {}", known.network, known.name);
        problems.add_compared(path.join("address"), "regions", address, allowed);
    }
}

fn check_addresses(inventory: &Inventory, problems: &mut Problems) {
    let mut addresses = UniqueCheck::new("an address", problems);
    for (index, host) in inventory.hosts.iter().enumerate() {
        let path = FieldPath::of("hosts").join(index).join("address");
        addresses.check(&path, host.address);
    }
    for (index, backend) in inventory.backends.iter().enumerate() {
        let path = FieldPath::of("backends").join(index).join("address");
        addresses.check(&path, backend.address);
    }
}

fn check_teams(inventory: &Inventory, problems: &mut Problems) {
    let list = FieldPath::of("teams");
    let mut names = UniqueCheck::new("a team name", problems);
    for (index, team) in inventory.teams.iter().enumerate() {
        names.check_name(&list.join(index).join("name"), team.name.as_str());
    }
    let sum: u64 = inventory
        .teams
        .iter()
        .map(|team| u64::from(team.share))
        .sum();
    if sum == 0 && !inventory.teams.is_empty() {
        let allowed = "at least one team with a share of 1 or more";
        problems.add_compared(list, "teams", "shares that sum to 0", allowed);
    }
}

fn check_keys(inventory: &Inventory, problems: &mut Problems) {
    let list = FieldPath::of("keys");
    let mut names = UniqueCheck::new("a key name", problems);
    for (index, key) in inventory.keys.iter().enumerate() {
        names.check_name(&list.join(index).join("name"), &key.name);
    }
    let mut hashes = UniqueCheck::new("a hash", problems);
    for (index, key) in inventory.keys.iter().enumerate() {
        hashes.check(&list.join(index).join("hash"), &key.hash);
    }
    for (index, key) in inventory.keys.iter().enumerate() {
        if !inventory.teams.iter().any(|team| team.name == key.team) {
            let teams = join_names(inventory.teams.iter().map(|team| &team.name));
            let found = format!("{:?}", key.team.as_str());
            let path = list.join(index).join("team");
            problems.add_compared(path, "teams", found, format!("a team: {teams}"));
        }
    }
}

/// Checks that no key in the inventory has been withdrawn.
pub fn check_withdrawn(inventory: &Inventory, withdrawn: &[KeyHash], problems: &mut Problems) {
    let withdrawn: HashSet<&KeyHash> = withdrawn.iter().collect();
    for (index, key) in inventory.keys.iter().enumerate() {
        if withdrawn.contains(&key.hash) {
            let path = FieldPath::of("keys").join(index).join("hash");
            let found = format!("the withdrawn key {:?}", key.name);
            problems.add(path, found, "a key that was never withdrawn");
        }
    }
}
