//! Gates as separate processes, stand-ins for the other parts in the test process, and a proxy
//! between each gate and the store.

#![allow(dead_code)]

pub mod callers;
pub mod proxy;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use wigeongate::client::client;
use wigeongate::dev::OPERATOR_KEY;
use wigeongate_config::change::Change;
use wigeongate_config::inventory::{Host, Inventory};
use wigeongate_config::key::KeyHash;
use wigeongate_config::load;
use wigeongate_config::rules::Rules;
use wigeongate_config::settings::{Leases, Operator, Settings};
use wigeongate_core::ids::{HostId, JobId, ZoneId};
use wigeongate_standin::backend::Backend;
use wigeongate_standin::history::{History, HistoryEvent};
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::Store;
use wigeongate_standin::worker::Worker;

use self::proxy::{Fault, Proxy};
use crate::history::{Fleet, Host as CheckedHost, check};

/// How long a test waits for a condition before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Lease on the ownership of a unit, in milliseconds.
const OWNER_LEASE_MS: u64 = 3_000;

/// Lease on the ownership of a unit.
pub const OWNER_LEASE: Duration = Duration::from_millis(OWNER_LEASE_MS);

/// Lease of a task, in milliseconds.
const TASK_LEASE_MS: u64 = 5_000;

/// Loopback address on which the system chooses a free port.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A gate process, which is killed on drop.
pub struct Gate {
    child: Child,
    /// Address for callers.
    pub address: SocketAddr,
    /// Proxy through which the gate reaches the store.
    pub store_proxy: Proxy,
}

impl Gate {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("the process runs");
        let id = i32::try_from(id).expect("process identifiers are small");
        kill(Pid::from_raw(id), signal).expect("the signal is sent");
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let waited = tokio::time::timeout(TEST_TIMEOUT, self.child.wait()).await;
        waited
            .expect("the process ends")
            .expect("the exit status can be read")
    }
}

/// The example configuration that a deployment uses.
#[derive(Debug, Clone, Copy)]
pub struct Example {
    /// Directory under `examples/`.
    pub directory: &'static str,
    /// API key of a team, in plain text.
    pub key: &'static str,
}

/// The Småkrav example.
pub const SMAKRAV: Example = Example {
    directory: "smakrav",
    key: "example-key-hovedkontor",
};

/// The Brannock example.
pub const BRANNOCK: Example = Example {
    directory: "brannock",
    key: "example-key-studio",
};

/// Gate processes, with stand-ins for the other parts in the test process.
pub struct Deployment {
    /// Name of the deployment, which is part of the names of its files.
    name: String,
    /// Example that the deployment uses.
    pub example: Example,
    /// History of the run, for the checks at its end.
    pub history: Arc<History>,
    /// Stand-in for the store.
    pub store: Arc<Store>,
    /// Inventory in force.
    pub inventory: Inventory,
    /// Stand-ins for the workers.
    pub workers: BTreeMap<HostId, Arc<Worker>>,
    /// Running gates by name.
    pub gates: BTreeMap<String, Gate>,
    store_address: SocketAddr,
    running: Vec<ServerHandle>,
}

impl Deployment {
    /// Starts `gates` gates, eight workers and four backend servers, and waits until all gates are
    /// ready.
    pub async fn start(name: &str, example: Example, gates: usize) -> Self {
        let store = Store::new();
        let running = store.spawn(LOOPBACK).await.expect("the store starts");
        let mut deployment = Self {
            name: name.to_owned(),
            example,
            history: Arc::default(),
            store,
            inventory: inventory(example),
            workers: BTreeMap::new(),
            gates: BTreeMap::new(),
            store_address: running.address,
            running: vec![running],
        };
        deployment.start_stand_ins().await;
        for number in 1..=gates {
            deployment.start_gate(&format!("gate-{number}")).await;
        }
        let rules: Rules =
            load::read(&example_file(example, "rules.yaml")).expect("the rules are valid");
        let change = Change::Apply {
            inventory: Some(deployment.inventory.clone()),
            rules: Some(rules),
        };
        deployment.apply_change(&change).await;
        deployment.wait_for_ready().await;
        deployment
    }

    async fn start_stand_ins(&mut self) {
        for host in &mut self.inventory.hosts {
            let worker =
                Worker::with_history(host.name.clone(), host.capacity(), self.history.clone());
            let spawned = worker.spawn(with_free_port(host.address)).await;
            let spawned = spawned.expect("a worker starts");
            host.address = spawned.address;
            self.workers.insert(host.name.clone(), worker);
            self.running.push(spawned);
        }
        for backend in &mut self.inventory.backends {
            let server = Backend::new(backend.name.clone(), backend.slots);
            let spawned = server.spawn(with_free_port(backend.address)).await;
            let spawned = spawned.expect("a backend server starts");
            backend.address = spawned.address;
            self.running.push(spawned);
        }
    }

    /// Starts a gate and waits until it listens.
    pub async fn start_gate(&mut self, name: &str) {
        let store_proxy = Proxy::start(self.store_address).await;
        let zones: Vec<ZoneId> = self
            .inventory
            .zones()
            .map(|(_, z)| z.name.clone())
            .collect();
        let mut settings = Settings {
            gate: name.into(),
            zone: zones[self.gates.len() % zones.len()].clone(),
            listen: LOOPBACK,
            peer: LOOPBACK,
            operators: vec![Operator {
                name: "test".to_owned(),
                hash: KeyHash::of(OPERATOR_KEY),
            }],
            leases: Leases {
                owner_ms: OWNER_LEASE_MS,
                task_ms: TASK_LEASE_MS,
            },
            ..Settings::default()
        };
        settings.store.endpoints = vec![format!("http://{}", store_proxy.address)];
        settings.store.timeout_ms = 500;
        settings.bounds.leave_ms = 300;
        let path = self.settings_path(name);
        let text = serde_json::to_string(&settings).expect("the settings can be encoded");
        std::fs::write(&path, text).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wigeongate"))
            .args(["run", "--settings"])
            .arg(&path)
            .env("NO_COLOR", "1")
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the gate starts");
        let stdout = child.stdout.take().expect("standard output is captured");
        let mut lines = BufReader::new(stdout).lines();
        let address = tokio::time::timeout(TEST_TIMEOUT, read_listen_address(&mut lines)).await;
        let address = address.expect("the gate listens");
        tokio::spawn(print_log(name.to_owned(), lines));
        let gate = Gate {
            child,
            address,
            store_proxy,
        };
        self.gates.insert(name.to_owned(), gate);
    }

    fn settings_path(&self, gate: &str) -> PathBuf {
        let file = format!("{}-{}-{gate}.yaml", self.name, std::process::id());
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(file)
    }

    /// Returns the gate with this name.
    pub fn gate(&mut self, name: &str) -> &mut Gate {
        self.gates
            .get_mut(name)
            .expect("the gate is part of the deployment")
    }

    /// Returns the address of the first gate.
    pub fn any_address(&self) -> SocketAddr {
        let gate = self.gates.values().next().expect("there is a gate");
        gate.address
    }

    /// Submits a change of the configuration until it is accepted.
    pub async fn apply_change(&self, change: &Change) {
        let accepted = async || {
            let url = format!("http://{}/v1/operator/changes", self.any_address());
            let request = client().post(url).bearer_auth(OPERATOR_KEY).json(change);
            request.send().await.is_ok_and(|r| r.status().is_success())
        };
        wait_until("the change is accepted", accepted).await;
    }

    /// Waits until every gate is ready.
    pub async fn wait_for_ready(&self) {
        for gate in self.gates.values() {
            let url = format!("http://{}/readyz", gate.address);
            let ready = async || {
                let response = client().get(&url).send().await;
                response.is_ok_and(|r| r.status().is_success())
            };
            wait_until("a gate is ready", ready).await;
        }
    }

    /// Injects a fault between every gate and the store.
    pub async fn set_store_fault(&self, fault: Fault) {
        for gate in self.gates.values() {
            gate.store_proxy.set_fault(fault).await;
        }
    }

    /// Returns the gate that owns the most pools.
    pub async fn main_owner(&self) -> String {
        let mut owner = None;
        wait_until("a pool has an owner", async || {
            owner = self.gate_with_most_pools();
            owner.is_some()
        })
        .await;
        owner.expect("a pool has an owner")
    }

    fn gate_with_most_pools(&self) -> Option<String> {
        let mut pools: BTreeMap<String, usize> = BTreeMap::new();
        for (key, value) in self.store.entries("/wigeongate/units/pool-") {
            let record: serde_json::Value = serde_json::from_slice(&value).ok()?;
            let owner = record["owner"]["gate"].as_str();
            if let Some(gate) = owner.filter(|gate| self.gates.contains_key(*gate)) {
                *pools.entry(gate.to_owned()).or_default() += 1;
            } else {
                println!("{key} has no owner now");
            }
        }
        let most = pools.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(gate, _)| gate)
    }

    /// Takes a zone out and records in the history when the change was accepted.
    pub async fn take_zone_out(&self, zone: &ZoneId) {
        self.apply_change(&Change::ZoneOut { zone: zone.clone() })
            .await;
        self.history.add(HistoryEvent::ZoneOut(zone.clone()));
    }

    /// Checks the history against all rules; the jobs in `open` need not have ended.
    pub fn check(&self, open: &[JobId]) {
        let checked_host = |host: &Host| {
            let checked = CheckedHost {
                zone: host.zone.clone(),
                capacity: host.capacity(),
            };
            (host.name.clone(), checked)
        };
        let limit =
            |team: &wigeongate_config::inventory::Team| (team.name.clone(), team.limit.resources());
        let fleet = Fleet {
            hosts: self.inventory.hosts.iter().map(checked_host).collect(),
            limits: self.inventory.teams.iter().map(limit).collect(),
        };
        let violations = check(&fleet, &self.history.events(), open);
        let messages: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(messages.is_empty(), "rules were violated: {messages:#?}");
    }
}

fn example_file(example: Example, file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(example.directory)
        .join(file)
}

/// Returns the inventory of an example on loopback addresses, reduced to eight workers and four
/// backend servers that are spread over its zones.
fn inventory(example: Example) -> Inventory {
    let inventory: Inventory =
        load::read(&example_file(example, "inventory.yaml")).expect("the inventory is valid");
    let mut inventory = inventory.on_loopback();
    let zones: Vec<ZoneId> = inventory.zones().map(|(_, z)| z.name.clone()).collect();
    inventory.hosts = spread_over_zones(&zones, inventory.hosts, |host| &host.zone, 8);
    inventory.backends = spread_over_zones(&zones, inventory.backends, |backend| &backend.zone, 4);
    inventory
}

fn spread_over_zones<T>(
    zones: &[ZoneId],
    items: Vec<T>,
    zone: impl Fn(&T) -> &ZoneId,
    count: usize,
) -> Vec<T> {
    let mut seen: BTreeMap<ZoneId, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, T)> = Vec::new();
    for item in items {
        let rank = seen.entry(zone(&item).clone()).or_default();
        ranked.push((*rank, item));
        *rank += 1;
    }
    let zone_index = |item: &T| zones.iter().position(|name| name == zone(item));
    ranked.sort_by_key(|(rank, item)| (*rank, zone_index(item)));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, item)| item)
        .collect()
}

const fn with_free_port(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), 0)
}

async fn read_listen_address(lines: &mut Lines<BufReader<ChildStdout>>) -> SocketAddr {
    loop {
        let line = lines.next_line().await.expect("the log can be read");
        let line = line.expect("the gate has not exited");
        let found = line.split("listens on ").nth(1);
        let address = found.and_then(|rest| rest.trim_end_matches('.').parse().ok());
        if let Some(address) = address {
            return address;
        }
    }
}

/// Prints the log of a gate, which the test runner shows if the test fails.
async fn print_log(gate: String, mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(line)) = lines.next_line().await {
        println!("{gate}: {line}");
    }
}

/// Waits until a condition holds; `what` describes it in the failure message.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(TEST_TIMEOUT, async {
        while !holds().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out before {what}");
}
