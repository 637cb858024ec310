//! Following the configuration, the ownership and what backend servers say of themselves.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, info, warn};
use wigeongate_api::backend::BackendStatus;
use wigeongate_api::hosts::HostList;
use wigeongate_config::inventory::Backend;
use wigeongate_config::policy::lane_of;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{BackendId, Epoch, Unit};
use wigeongate_core::routing::{Running, ServerSpec, Told};
use wigeongate_core::time::Millis;

use super::{Requests, ServedQueues};
use crate::backend::{BackendClient, HttpBackend, HttpSettings};
use crate::live::Live;

/// How often the ownership is looked at without being told of a change.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often due status calls are looked for.
const STATUS_TICK: Duration = Duration::from_millis(100);

/// How often a backend server is asked how it stands.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// How often it is asked while it may run what this gate does not wait for.
const UNSETTLED_STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// How often the platform's list of hosts is read.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// How long reading the list may take.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a status call may take.
const STATUS_TIMEOUT: Millis = Millis(1_000);

/// Follows the configuration and the ownership.
pub async fn follow(requests: Arc<Requests>) {
    let mut revision = requests.settings.configurations.subscribe();
    let mut view = requests.settings.cluster.subscribe();
    let mut applied = None;
    loop {
        let live = requests.settings.configurations.live();
        let current = live.configuration.revision;
        if applied != Some(current) {
            requests.configure(&live);
            applied = Some(current);
        }
        requests.sync_ownership(live.configuration.rules.placement.lanes);
        tokio::select! {
            _ = revision.changed() => {}
            _ = view.changed() => {}
            () = sleep(OWNERSHIP_POLL_INTERVAL) => {}
        }
    }
}

/// Reads the platform's list of hosts, if there is one.
pub async fn read_hosts(requests: Arc<Requests>) {
    let Some(hosts) = &requests.settings.hosts else {
        return;
    };
    loop {
        match timeout(HOSTS_TIMEOUT, hosts.list()).await {
            Ok(Ok(list)) => requests.update_host_list(&list),
            Ok(Err(error)) => warn!("requests: {error:#}."),
            Err(_) => warn!("requests: the host list did not come in time."),
        }
        sleep(HOSTS_INTERVAL).await;
    }
}

/// Asks the backend servers of owned lanes how they stand.
pub async fn poll_status(requests: Arc<Requests>) {
    let mut asked: HashMap<BackendId, Instant> = HashMap::default();
    let mut calls = JoinSet::new();
    loop {
        let now = Instant::now();
        let owned: Vec<_> = requests.lanes.read(|state| {
            let owned = state.routing.owned();
            owned
                .map(|(name, _, epoch)| (name.clone(), epoch))
                .collect()
        });
        asked.retain(|name, _| owned.iter().any(|(kept, _)| kept == name));
        for (name, epoch) in owned {
            let every = if requests.lanes.unsettled(&name) {
                UNSETTLED_STATUS_INTERVAL
            } else {
                STATUS_INTERVAL
            };
            let due = asked.get(&name).is_none_or(|last| now >= *last + every);
            if due {
                asked.insert(name.clone(), now);
                calls.spawn(poll_server(requests.clone(), name, epoch));
            }
        }
        while calls.try_join_next().is_some() {}
        tokio::select! {
            () = sleep(STATUS_TICK) => {}
            () = requests.poll_status.notified() => sleep(Duration::from_millis(1)).await,
        }
    }
}

async fn poll_server(requests: Arc<Requests>, name: BackendId, epoch: Epoch) {
    let Some(client) = requests.clients.load().get(&name).cloned() else {
        return;
    };
    let asked = requests.lanes.now();
    match client.status(epoch, STATUS_TIMEOUT).await {
        Ok(status) => requests.apply_status(&name, epoch, asked, status),
        Err(error) => debug!("requests: {error:#}."),
    }
}

impl Requests {
    /// Takes the backend servers and the teams' limits of a configuration.
    fn configure(&self, live: &Live) {
        let configuration = &live.configuration;
        let lanes = configuration.rules.placement.lanes;
        let backends = &configuration.inventory.backends;
        let specs: Vec<_> = backends
            .iter()
            .enumerate()
            .map(|(index, backend)| server_spec(index, lanes, backend))
            .collect();
        self.update_clients(backends);
        self.update_queues(&specs);
        let teams = live.policy.teams.iter();
        let limits: Vec<_> = teams
            .map(|(name, team)| (name.clone(), team.slots))
            .collect();
        self.lanes.update(|state| {
            let routing = &mut state.routing;
            routing.configure(specs, lanes, &live.policy.zones_out);
            routing.limit(limits, live.policy.paused);
        });
        self.update_hosts(live);
    }

    fn update_queues(&self, specs: &[ServerSpec]) {
        let mut lane_queues: HashMap<u16, ServedQueues> = HashMap::default();
        for server in specs {
            lane_queues
                .entry(server.lane)
                .or_default()
                .add(&server.queues);
        }
        self.lane_queues.store(Arc::new(lane_queues));
    }

    /// Makes a port for each backend server; those that stay keep their connections.
    fn update_clients(&self, backends: &[Backend]) {
        let old = self.clients.load();
        let mut clients: HashMap<BackendId, Arc<dyn BackendClient>> = HashMap::default();
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut listed = HashMap::default();
        for backend in backends {
            let at = (backend.address, backend.connections);
            let kept = old.get(&backend.name);
            let kept = kept.filter(|_| addresses.get(&backend.name) == Some(&at));
            let client = kept.cloned().unwrap_or_else(|| self.new_client(backend));
            clients.insert(backend.name.clone(), client);
            listed.insert(backend.name.clone(), at);
        }
        *addresses = listed;
        self.clients.store(Arc::new(clients));
    }

    fn new_client(&self, backend: &Backend) -> Arc<dyn BackendClient> {
        // Half of the connections stay free for the previous or the next owner of the lane.
        let connections = (backend.connections as usize / 2).max(2);
        let settings = HttpSettings {
            connections,
            ..self.settings.backend.clone()
        };
        Arc::new(HttpBackend::new(backend.address, &settings))
    }

    /// Takes the newest list of hosts.
    pub fn update_host_list(&self, list: &HostList) {
        self.hosts.update(list);
        self.update_hosts(&self.settings.configurations.live());
    }

    fn update_hosts(&self, live: &Live) {
        let inventory = &live.configuration.inventory;
        let backends = inventory.backends.iter();
        let leaving: Vec<_> = backends
            .map(|backend| (&backend.name, self.hosts.is_leaving(inventory, backend)))
            .collect();
        self.lanes.update(|state| {
            for (name, leaving) in leaving {
                state.routing.host_leaving(name, leaving);
            }
        });
    }

    /// Takes the lanes that this gate owns now, and gives up those that it does not any more.
    fn sync_ownership(&self, lanes: u16) {
        let cluster = &self.settings.cluster;
        let view = cluster.view();
        let epoch = |lane: u16| {
            let unit = Unit::Lane(lane);
            let held = view.held.get(&unit)?;
            (cluster.may_act(&unit) == Some(held.epoch)).then_some(held.epoch)
        };
        let epochs: Vec<_> = (0..lanes).map(|lane| (lane, epoch(lane))).collect();
        self.lanes.update(|state| {
            for (lane, epoch) in epochs {
                state.routing.own(lane, epoch);
            }
        });
        let own_holders = view.holders.iter().filter(|(unit, holder)| {
            holder.gate == self.settings.gate && !view.held.contains_key(*unit)
        });
        let surrendered = own_holders.filter_map(|(unit, _)| match unit {
            Unit::Lane(lane) => Some((unit, *lane)),
            _ => None,
        });
        for (unit, lane) in surrendered {
            let in_flight = self.lanes.read(|state| state.routing.in_flight(lane));
            if in_flight == 0 && cluster.may_act(unit).is_some() {
                info!("requests: {unit} is handed over.");
                cluster.stopped(unit);
            }
        }
    }

    fn apply_status(&self, name: &BackendId, epoch: Epoch, asked: Millis, status: BackendStatus) {
        if status.epoch > epoch {
            self.renew_stale_epoch(name, epoch);
            return;
        }
        let running = status.running.into_iter();
        let report = Told {
            asked,
            epoch,
            leaving: status.leaving,
            running: running
                .map(|running| Running {
                    id: running.id,
                    team: running.team,
                })
                .collect(),
        };
        self.lanes.update(|state| state.routing.told(name, &report));
    }

    /// Asks for a newer epoch when a server has seen one of another lane it once was in.
    fn renew_stale_epoch(&self, name: &BackendId, epoch: Epoch) {
        let lane = self.lanes.read(|state| {
            let mut owned = state.routing.owned();
            owned
                .find(|(owned, ..)| *owned == name)
                .map(|found| found.1)
        });
        let Some(unit) = lane.map(Unit::Lane) else {
            return;
        };
        if self.settings.cluster.may_act(&unit) == Some(epoch) {
            self.settings.cluster.renew_epoch(&unit);
        }
    }
}

fn server_spec(index: usize, lanes: u16, backend: &Backend) -> ServerSpec {
    ServerSpec {
        name: backend.name.clone(),
        lane: lane_of(index, lanes),
        zone: backend.zone.clone(),
        slots: backend.slots,
        queues: backend.queues.clone(),
    }
}
