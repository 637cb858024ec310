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
use wigeongate_core::routing::{ReportedRequest, ServerReport, ServerSpec};
use wigeongate_core::time::Millis;

use super::{Queues, Requests};
use crate::backend::{BackendPort, HttpBackend, HttpSettings};
use crate::live::LiveConfiguration;

/// How often the ownership is looked at without being told of a change.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How often due status calls are looked for.
const ASK_TICK: Duration = Duration::from_millis(100);

/// How often a backend server is asked how it stands.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// How often it is asked while it may run what this gate does not wait for.
const ASK_SOON: Duration = Duration::from_millis(100);

/// How often the platform's list of hosts is read.
const HOSTS_EVERY: Duration = Duration::from_secs(1);

/// How long reading the list may take.
const HOSTS_WAIT: Duration = Duration::from_secs(5);

/// How long a status call may take.
const ASK_WAIT: Millis = Millis(1_000);

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
        requests.take_ownership(live.configuration.rules.placement.lanes);
        tokio::select! {
            _ = revision.changed() => {}
            _ = view.changed() => {}
            () = sleep(LOOK_EVERY) => {}
        }
    }
}

/// Reads the platform's list of hosts, if there is one.
pub async fn read_hosts(requests: Arc<Requests>) {
    let Some(hosts) = &requests.settings.hosts else {
        return;
    };
    loop {
        match timeout(HOSTS_WAIT, hosts.list()).await {
            Ok(Ok(list)) => requests.hosts_seen(&list),
            Ok(Err(error)) => warn!("requests: {error:#}."),
            Err(_) => warn!("requests: the host list did not come in time."),
        }
        sleep(HOSTS_EVERY).await;
    }
}

/// Asks the backend servers of owned lanes how they stand.
pub async fn ask(requests: Arc<Requests>) {
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
                ASK_SOON
            } else {
                ASK_EVERY
            };
            let due = asked.get(&name).is_none_or(|last| now >= *last + every);
            if due {
                asked.insert(name.clone(), now);
                calls.spawn(ask_one(requests.clone(), name, epoch));
            }
        }
        while calls.try_join_next().is_some() {}
        tokio::select! {
            () = sleep(ASK_TICK) => {}
            () = requests.ask.notified() => sleep(Duration::from_millis(1)).await,
        }
    }
}

async fn ask_one(requests: Arc<Requests>, name: BackendId, epoch: Epoch) {
    let Some(port) = requests.ports.load().get(&name).cloned() else {
        return;
    };
    let asked = requests.lanes.now();
    match port.status(epoch, ASK_WAIT).await {
        Ok(status) => requests.told(&name, epoch, asked, status),
        Err(error) => debug!("requests: {error:#}."),
    }
}

impl Requests {
    /// Takes the backend servers and the teams' limits of a configuration.
    fn configure(&self, live: &LiveConfiguration) {
        let configuration = &live.configuration;
        let lanes = configuration.rules.placement.lanes;
        let backends = &configuration.inventory.backends;
        let specs: Vec<_> = backends
            .iter()
            .enumerate()
            .map(|(place, backend)| spec(place, lanes, backend))
            .collect();
        self.connect(backends);
        self.note_queues(&specs);
        let teams = live.policy.teams.iter();
        let limits: Vec<_> = teams
            .map(|(name, team)| (name.clone(), team.slots))
            .collect();
        self.lanes.change(|state| {
            let routing = &mut state.routing;
            routing.configure(specs, lanes, &live.policy.zones_out);
            routing.set_limits(limits, live.policy.paused);
        });
        self.note_hosts(live);
    }

    fn note_queues(&self, specs: &[ServerSpec]) {
        let mut serving: HashMap<u16, Queues> = HashMap::default();
        for spec in specs {
            serving.entry(spec.lane).or_default().add(&spec.queues);
        }
        self.serving.store(Arc::new(serving));
    }

    /// Makes a port for each backend server; those that stay keep their connections.
    fn connect(&self, backends: &[Backend]) {
        let old = self.ports.load();
        let mut ports: HashMap<BackendId, Arc<dyn BackendPort>> = HashMap::default();
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut listed = HashMap::default();
        for backend in backends {
            let at = (backend.address, backend.connections);
            let kept = old.get(&backend.name);
            let kept = kept.filter(|_| addresses.get(&backend.name) == Some(&at));
            let port = kept.cloned().unwrap_or_else(|| self.port(backend));
            ports.insert(backend.name.clone(), port);
            listed.insert(backend.name.clone(), at);
        }
        *addresses = listed;
        self.ports.store(Arc::new(ports));
    }

    fn port(&self, backend: &Backend) -> Arc<dyn BackendPort> {
        // Half of the connections stay free for the previous or the next owner of the lane.
        let connections = (backend.connections as usize / 2).max(2);
        let settings = HttpSettings {
            connections,
            ..self.settings.backend.clone()
        };
        Arc::new(HttpBackend::new(backend.address, &settings))
    }

    /// Takes the newest list of hosts.
    pub fn hosts_seen(&self, list: &HostList) {
        self.hosts.take(list);
        self.note_hosts(&self.settings.configurations.live());
    }

    fn note_hosts(&self, live: &LiveConfiguration) {
        let inventory = &live.configuration.inventory;
        let backends = inventory.backends.iter();
        let leaving: Vec<_> = backends
            .map(|backend| (&backend.name, self.hosts.leaving(inventory, backend)))
            .collect();
        self.lanes.change(|state| {
            for (name, leaving) in leaving {
                state.routing.set_host_leaving(name, leaving);
            }
        });
    }

    /// Takes the lanes that this gate owns now, and gives up those that it does not any more.
    fn take_ownership(&self, lanes: u16) {
        let cluster = &self.settings.cluster;
        let view = cluster.view();
        let epoch = |lane: u16| {
            let unit = Unit::Lane(lane);
            let held = view.owned.get(&unit)?;
            (cluster.may_act(&unit) == Some(held.epoch)).then_some(held.epoch)
        };
        let epochs: Vec<_> = (0..lanes).map(|lane| (lane, epoch(lane))).collect();
        self.lanes.change(|state| {
            for (lane, epoch) in epochs {
                state.routing.set_epoch(lane, epoch);
            }
        });
        let mine = view.owners.iter().filter(|(unit, owner)| {
            owner.gate == self.settings.gate && !view.owned.contains_key(*unit)
        });
        let leaving = mine.filter_map(|(unit, _)| match unit {
            Unit::Lane(lane) => Some((unit, *lane)),
            _ => None,
        });
        for (unit, lane) in leaving {
            let in_flight = self.lanes.read(|state| state.routing.in_flight(lane));
            if in_flight == 0 && cluster.may_act(unit).is_some() {
                info!("requests: {unit} is handed over.");
                cluster.confirm_stopped(unit);
            }
        }
    }

    fn told(&self, name: &BackendId, epoch: Epoch, asked: Millis, status: BackendStatus) {
        if status.epoch > epoch {
            self.outdated(name, epoch);
            return;
        }
        let running = status.running.into_iter();
        let told = ServerReport {
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
            .change(|state| state.routing.apply_report(name, &told));
    }

    /// Asks for a newer epoch when a server has seen one of another lane it once was in.
    fn outdated(&self, name: &BackendId, epoch: Epoch) {
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

fn spec(place: usize, lanes: u16, backend: &Backend) -> ServerSpec {
    ServerSpec {
        name: backend.name.clone(),
        lane: lane_of(place, lanes),
        zone: backend.zone.clone(),
        slots: backend.slots,
        queues: backend.queues.clone(),
    }
}
