//! Follows the configuration, the ownership of lanes and the status of backend servers.

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
use wigeongate_core::routing::{ReportedRequest, ServerReport, ServerSpec};
use wigeongate_core::time::Millis;

use super::{Requests, ServedQueues};
use crate::backend::{BackendClient, HttpBackend, HttpSettings};
use crate::live::LiveConfiguration;

/// How often the ownership is checked when no change is signalled.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often the poll task checks which servers are due for a status call.
const STATUS_TICK: Duration = Duration::from_millis(100);

/// How often the status of a backend server is polled.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// How often the status is polled while the server has not confirmed the epoch or may still run
/// requests that this gate does not wait for.
const UNSETTLED_STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// How often the platform's list of hosts is read.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// The limit on reading the list of hosts.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(5);

/// The limit on a status call.
const STATUS_TIMEOUT: Millis = Millis(1_000);

/// Applies each change of the configuration and the ownership of lanes.
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

/// Reads the platform's list of hosts periodically, if a source is set.
pub async fn read_hosts(requests: Arc<Requests>) {
    let Some(hosts) = &requests.settings.hosts else {
        return;
    };
    loop {
        match timeout(HOSTS_TIMEOUT, hosts.list()).await {
            Ok(Ok(list)) => requests.update_host_list(&list),
            Ok(Err(error)) => warn!("requests: {error:#}; keeping the last list."),
            Err(_) => warn!("requests: reading the host list timed out; keeping the last list."),
        }
        sleep(HOSTS_INTERVAL).await;
    }
}

/// Polls the status of the backend servers of owned lanes.
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
    /// Applies the backend servers and the limits of teams in a configuration.
    fn configure(&self, live: &LiveConfiguration) {
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
            routing.set_limits(limits, live.policy.paused);
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

    /// Creates a client for each backend server; an unchanged server keeps its client and
    /// connections.
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
        // The other half of the allowed connections remains free for the previous or the next
        // owner of the lane.
        let connections = (backend.connections as usize / 2).max(2);
        let settings = HttpSettings {
            connections,
            ..self.settings.backend.clone()
        };
        Arc::new(HttpBackend::new(backend.address, &settings))
    }

    /// Applies the newest list of hosts.
    pub fn update_host_list(&self, list: &HostList) {
        self.hosts.update(list);
        self.update_hosts(&self.settings.configurations.live());
    }

    fn update_hosts(&self, live: &LiveConfiguration) {
        let inventory = &live.configuration.inventory;
        let backends = inventory.backends.iter();
        let leaving: Vec<_> = backends
            .map(|backend| (&backend.name, self.hosts.is_leaving(inventory, backend)))
            .collect();
        self.lanes.update(|state| {
            for (name, leaving) in leaving {
                state.routing.set_host_leaving(name, leaving);
            }
        });
    }

    /// Starts using the lanes that this gate owns, stops using the others, and hands a lane over
    /// once none of its requests is in flight.
    fn sync_ownership(&self, lanes: u16) {
        let cluster = &self.settings.cluster;
        let view = cluster.view();
        let epoch = |lane: u16| {
            let unit = Unit::Lane(lane);
            let owned = view.owned.get(&unit)?;
            (cluster.may_act(&unit) == Some(owned.epoch)).then_some(owned.epoch)
        };
        let epochs: Vec<_> = (0..lanes).map(|lane| (lane, epoch(lane))).collect();
        self.lanes.update(|state| {
            for (lane, epoch) in epochs {
                state.routing.set_epoch(lane, epoch);
            }
        });
        let own_holders = view.owners.iter().filter(|(unit, owner)| {
            owner.gate == self.settings.gate && !view.owned.contains_key(*unit)
        });
        let surrendered = own_holders.filter_map(|(unit, _)| match unit {
            Unit::Lane(lane) => Some((unit, *lane)),
            _ => None,
        });
        for (unit, lane) in surrendered {
            let in_flight = self.lanes.read(|state| state.routing.in_flight(lane));
            if in_flight == 0 && cluster.may_act(unit).is_some() {
                info!("requests: no request of {unit} is in flight; handing it over.");
                cluster.confirm_stopped(unit);
            }
        }
    }

    fn apply_status(&self, name: &BackendId, epoch: Epoch, asked: Millis, status: BackendStatus) {
        if status.epoch > epoch {
            self.renew_stale_epoch(name, epoch);
            return;
        }
        let running = status.running.into_iter();
        let report = ServerReport {
            asked,
            epoch,
            leaving: status.leaving,
            running: running
                .map(|running| ReportedRequest {
                    id: running.id,
                    team: running.team,
                })
                .collect(),
        };
        self.lanes
            .update(|state| state.routing.apply_report(name, &report));
    }

    /// Requests a newer epoch of a lane after one of its servers has seen a newer one.
    ///
    /// That happens if the server was in another lane before, whose epoch was higher.
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
