//! Gates with stand-ins in this process, on loopback, each part on threads of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use reqwest::Client;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wigeongate::client::client;
use wigeongate::gate::Gate;
use wigeongate_config::change::Change;
use wigeongate_config::inventory::{self, Inventory, Key, Limit, Region, Team, Zone};
use wigeongate_config::key::KeyHash;
use wigeongate_config::rules::{Queue, Rules};
use wigeongate_config::settings::{Leases, Operator, Settings};
use wigeongate_standin::backend::Backend;
use wigeongate_standin::relay::Relay;
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::Store;

/// The operator's key.
const OPERATOR_KEY: &str = "bench-operator";

/// An address on loopback with a free port.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How long the site may take until it is ready.
const START_WAIT: Duration = Duration::from_mins(1);

/// How often its readiness is looked at.
const START_POLL: Duration = Duration::from_millis(50);

/// What a site has.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Gates.
    pub gates: usize,
    /// Threads of each gate.
    pub threads: usize,
    /// Backend servers.
    pub backends: usize,
    /// Slots of each.
    pub slots: u32,
    /// Whether the connections to backend servers go through relays.
    pub relays: bool,
    /// The names of teams with their shares; the key of a team is its name.
    pub teams: Vec<(String, u32)>,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The ownership lease, in milliseconds.
    pub lease_ms: u64,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            gates: 1,
            threads: 2,
            backends: 50,
            slots: 8,
            relays: false,
            teams: vec![("team-1".to_owned(), 1)],
            queues: Vec::new(),
            lease_ms: 6_000,
        }
    }
}

/// A backend server with the way to it.
pub struct Server {
    /// The backend server.
    pub backend: Arc<Backend>,
    /// What stands before it, if anything.
    pub relay: Option<Arc<Relay>>,
    /// Where gates reach it.
    pub address: SocketAddr,
}

/// A gate that runs.
pub struct RunningGate {
    /// Where it listens.
    pub address: SocketAddr,
    name: String,
    runtime: Option<Runtime>,
    stop: CancellationToken,
    task: JoinHandle<Result<()>>,
}

/// Gates with their stand-ins.
pub struct Site {
    /// The gates.
    pub gates: Vec<RunningGate>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The store.
    pub store: Arc<Store>,
    settings: SiteSettings,
    store_address: SocketAddr,
    _parts: Vec<ServerHandle>,
}

/// Makes a runtime with so many threads of this name.
pub fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.thread_name(name);
    Ok(builder.worker_threads(threads).enable_all().build()?)
}

impl Site {
    /// Starts everything; the stand-ins run on the runtime of `parts`.
    pub async fn start(settings: &SiteSettings, parts: &Handle) -> Result<Self> {
        let store = Store::new();
        let spawning = store.clone();
        let store_running = parts.spawn(async move { spawning.spawn(ANY).await });
        let store_running = store_running.await??;
        let store_address = store_running.address;
        let mut running = vec![store_running];
        let mut servers = Vec::new();
        for place in 0..settings.backends {
            let (server, parts) = start_server(settings, place, parts).await?;
            servers.push(server);
            running.extend(parts);
        }
        let mut site = Self {
            gates: Vec::new(),
            servers,
            store,
            settings: settings.clone(),
            store_address,
            _parts: running,
        };
        for place in 0..settings.gates {
            let gate = site.start_gate(&format!("gate-{place}")).await?;
            site.gates.push(gate);
        }
        site.apply().await?;
        site.ready().await?;
        Ok(site)
    }

    async fn start_gate(&self, name: &str) -> Result<RunningGate> {
        let mut settings = Settings {
            gate: name.into(),
            listen: ANY,
            peer: ANY,
            zone: "zone-1".into(),
            leases: Leases {
                owner_ms: self.settings.lease_ms,
                ..Leases::default()
            },
            ..Settings::default()
        };
        settings.store.endpoints = vec![format!("http://{}", self.store_address)];
        settings.operators = vec![Operator {
            name: "bench".to_owned(),
            hash: KeyHash::of(OPERATOR_KEY),
        }];
        let runtime = runtime("gate", self.settings.threads)?;
        let bound = runtime.spawn(Gate::bind(settings)).await??;
        let address = bound.address()?;
        let stop = CancellationToken::new();
        let task = runtime.spawn(bound.run(stop.clone()));
        Ok(RunningGate {
            address,
            name: name.to_owned(),
            runtime: Some(runtime),
            stop,
            task,
        })
    }

    /// Ends a gate at once, as a crash would.
    pub fn kill(&mut self, place: usize) {
        if let Some(runtime) = self.gates[place].runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Ends a gate gracefully.
    pub async fn stop_gate(&mut self, place: usize) -> Result<()> {
        let gate = &mut self.gates[place];
        gate.stop.cancel();
        let ended = (&mut gate.task).await?;
        self.kill(place);
        ended
    }

    /// Starts a gate again under its name, at another address.
    pub async fn restart(&mut self, place: usize) -> Result<()> {
        let name = self.gates[place].name.clone();
        self.gates[place] = self.start_gate(&name).await?;
        Ok(())
    }

    /// Ends everything.
    pub fn end(mut self) {
        for place in 0..self.gates.len() {
            self.kill(place);
        }
    }

    /// Makes a change of the configuration.
    pub async fn change(&self, change: &Change) -> Result<()> {
        let gate = self.gates.iter().find(|gate| gate.runtime.is_some());
        let gate = gate.ok_or_else(|| eyre!("no gate runs"))?;
        let url = format!("http://{}/v1/operator/changes", gate.address);
        let request = client().post(url).bearer_auth(OPERATOR_KEY).json(change);
        let response = request.timeout(START_WAIT).send().await?;
        if !response.status().is_success() {
            bail!("changing the configuration: {}", response.text().await?);
        }
        Ok(())
    }

    async fn apply(&self) -> Result<()> {
        let rules = Rules {
            queues: self.settings.queues.clone(),
            ..Rules::default()
        };
        let inventory = inventory(&self.settings, &self.servers);
        let change = Change::Apply {
            inventory: Some(inventory),
            rules: Some(rules),
        };
        self.change(&change).await
    }

    /// Waits until each gate answers a request of each queue.
    async fn ready(&self) -> Result<()> {
        let client = client();
        let until = Instant::now() + START_WAIT;
        for gate in &self.gates {
            for queue in &self.settings.queues {
                while !self.answers(&client, gate.address, queue).await {
                    if Instant::now() > until {
                        bail!("the gate at {} does not answer", gate.address);
                    }
                    tokio::time::sleep(START_POLL).await;
                }
            }
        }
        Ok(())
    }

    async fn answers(&self, client: &Client, gate: SocketAddr, queue: &Queue) -> bool {
        let url = format!("http://{gate}/v1/queues/{}/requests/ready", queue.name);
        let request = client.post(url).bearer_auth(&self.settings.teams[0].0);
        let sent = request.body("ready").send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }
}

async fn start_server(
    settings: &SiteSettings,
    place: usize,
    parts: &Handle,
) -> Result<(Server, Vec<ServerHandle>)> {
    let name = server_name(place);
    let backend = Backend::new(name.as_str().into(), settings.slots);
    let spawning = backend.clone();
    let listen = in_zone(zone_of(place));
    let spawned = parts.spawn(async move { spawning.spawn(listen).await });
    let spawned = spawned.await??;
    let mut address = spawned.address;
    let mut running = vec![spawned];
    let mut relay = None;
    if settings.relays {
        let made = Relay::new();
        let spawning = made.clone();
        let spawned = parts.spawn(async move { spawning.spawn(listen, address).await });
        let spawned = spawned.await??;
        address = spawned.address;
        running.push(spawned);
        relay = Some(made);
    }
    let server = Server {
        backend,
        relay,
        address,
    };
    Ok((server, running))
}

fn server_name(place: usize) -> String {
    format!("x{:02}", place + 1)
}

/// Returns the number of the availability zone of a backend server.
fn zone_of(place: usize) -> u8 {
    [1, 2, 3][place % 3]
}

/// Returns an address in an availability zone, with any free port.
const fn in_zone(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, number, 1)), 0)
}

fn inventory(settings: &SiteSettings, servers: &[Server]) -> Inventory {
    let zone = |number: u8| format!("zone-{number}");
    let zones = (1..=3).map(|number| Zone {
        name: zone(number).into(),
        network: network(number),
    });
    let backends = servers.iter().enumerate();
    let backends = backends.map(|(place, server)| inventory::Backend {
        name: server_name(place).into(),
        zone: zone(zone_of(place)).into(),
        rack: "r1".into(),
        address: server.address,
        slots: settings.slots,
        connections: 60,
        queues: Vec::new(),
    });
    let teams = settings.teams.iter();
    let teams = teams.map(|(name, share)| Team {
        name: name.as_str().into(),
        share: *share,
        limit: Limit::default(),
    });
    let keys = settings.teams.iter().map(|(name, _)| Key {
        name: name.clone(),
        team: name.as_str().into(),
        hash: KeyHash::of(name),
    });
    Inventory {
        regions: vec![Region {
            name: "region-1".into(),
            zones: zones.collect(),
        }],
        backends: backends.collect(),
        teams: teams.collect(),
        keys: keys.collect(),
        ..Inventory::default()
    }
}

fn network(number: u8) -> ipnet::IpNet {
    let net = ipnet::Ipv4Net::new(Ipv4Addr::new(127, 0, number, 0), 24);
    net.unwrap_or_default().into()
}
