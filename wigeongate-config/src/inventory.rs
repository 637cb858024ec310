//! The inventory: regions, availability zones, hosts, backend servers, teams and keys.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::{BackendId, HostId, QueueId, RackId, RegionId, TeamId, ZoneId};
use wigeongate_core::resources::{MIB_PER_GIB, MILLICORES, Resources};

use crate::key::KeyHash;

/// The first octet of every loopback address.
const LOOPBACK_OCTET: u8 = 127;

/// All resources, teams and keys that operators list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Inventory {
    /// Regions and their availability zones.
    pub regions: Vec<Region>,
    /// Worker hosts.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub backends: Vec<Backend>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Keys with which teams authenticate.
    pub keys: Vec<Key>,
}

/// A region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: RegionId,
    /// Availability zones of the region.
    pub zones: Vec<Zone>,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: ZoneId,
    /// Network that contains all addresses of the zone.
    pub network: IpNet,
}

/// A worker host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host.
    pub name: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Rack of the host.
    pub rack: RackId,
    /// Listening address of the host's worker.
    pub address: SocketAddr,
    /// Processor cores.
    pub cores: u64,
    /// Memory in gibibytes.
    pub memory_gib: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Host {
    /// Returns the resources of the host: CPU in millicores, memory in mebibytes.
    pub const fn capacity(&self) -> Resources {
        Resources {
            cpu: self.cores * MILLICORES,
            memory: self.memory_gib * MIB_PER_GIB,
            accelerators: self.accelerators,
        }
    }
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the server.
    pub name: BackendId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Rack of the server.
    pub rack: RackId,
    /// Listening address of the backend server.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections from all gates together.
    pub connections: u32,
    /// Queues that the server handles; empty means all queues.
    #[serde(default)]
    pub queues: Vec<QueueId>,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamId,
    /// Weight of the team when the fleet is full.
    pub share: u32,
    /// Maximum resources that the team may use across the fleet.
    #[serde(default)]
    pub limit: Limit,
}

/// Resource limit of a team; an omitted amount is unlimited.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Processor cores.
    pub cores: Option<u64>,
    /// Memory in gibibytes.
    pub memory_gib: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u64>,
    /// Concurrent forwarded requests.
    pub slots: Option<u32>,
}

impl Limit {
    /// Returns the limit as resources: CPU in millicores, memory in mebibytes; unlimited amounts
    /// are `u64::MAX`.
    pub fn resources(&self) -> Resources {
        let scaled =
            |amount: Option<u64>, unit| amount.map_or(u64::MAX, |n| n.saturating_mul(unit));
        Resources {
            cpu: scaled(self.cores, MILLICORES),
            memory: scaled(self.memory_gib, MIB_PER_GIB),
            accelerators: self.accelerators.unwrap_or(u64::MAX),
        }
    }
}

/// A key with which a team authenticates; only its hash is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name used to withdraw the key.
    pub name: String,
    /// Team that the key authenticates.
    pub team: TeamId,
    /// Hash of the key.
    pub hash: KeyHash,
}

impl Inventory {
    /// Moves every address and network to loopback: the first octet becomes 127.
    #[must_use]
    pub fn on_loopback(mut self) -> Self {
        for zone in self.regions.iter_mut().flat_map(|region| &mut region.zones) {
            zone.network = loopback_network(zone.network);
        }
        for host in &mut self.hosts {
            host.address = loopback_address(host.address);
        }
        for backend in &mut self.backends {
            backend.address = loopback_address(backend.address);
        }
        self
    }

    /// Returns the availability zones of all regions, each with its region.
    pub fn zones(&self) -> impl Iterator<Item = (&Region, &Zone)> {
        self.regions
            .iter()
            .flat_map(|region| region.zones.iter().map(move |zone| (region, zone)))
    }
}

/// Moves an IPv4 address to loopback; an IPv6 address is left as it is.
pub fn loopback_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(loopback_ip(address.ip()), address.port())
}

fn loopback_ip(ip: IpAddr) -> IpAddr {
    match ip {
        IpAddr::V4(ip) => {
            let [_, b, c, d] = ip.octets();
            Ipv4Addr::new(LOOPBACK_OCTET, b, c, d).into()
        }
        IpAddr::V6(_) => ip,
    }
}

fn loopback_network(network: IpNet) -> IpNet {
    IpNet::new(loopback_ip(network.addr()), network.prefix_len()).unwrap_or(network)
}
