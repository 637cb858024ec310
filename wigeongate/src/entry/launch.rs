//! Starts a gate and shuts it down.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, ensure};
use nix::sys::resource::{Resource, getrlimit};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};
use wigeongate_config::entry::{ConnectionLimits, EntrySettings, ListenerLimits};
use wigeongate_platform::manifest::RequestLimits;

use super::accept::Acceptor;
use super::admission::Admission;
use super::advice::AdviceClient;
use super::callers::CallerApi;
use super::listen::Listener;
use super::refusals::{ListenerNames, RefusalLog};
use super::shared::Shared;
use super::{configuration, listen, ownership, peers, ready};
use crate::connection_budget::{BudgetLimits, ConnectionBudget};

/// How long a gate that shuts down still accepts connections, in milliseconds. The load balancer
/// checks readiness once a second and removes a gate after two failed checks.
const SHUTDOWN_DRAIN_MS: u64 = 2_600;

/// The names of the listener for callers.
const CALLERS: ListenerNames = ListenerNames {
    listener: "callers",
    connections: "connections_callers",
    held: "connection_bytes_callers",
};

/// The names of the listener for other gates.
const PEER: ListenerNames = ListenerNames {
    listener: "peer",
    connections: "connections_peer",
    held: "connection_bytes_peer",
};

/// The names of the listener for readiness checks.
const READY: ListenerNames = ListenerNames {
    listener: "ready",
    connections: "connections_ready",
    held: "connection_bytes_ready",
};

/// The names of the listener for metrics.
const METRICS: ListenerNames = ListenerNames {
    listener: "metrics",
    connections: "connections_metrics",
    held: "connection_bytes_metrics",
};

/// Runs a gate until the token is cancelled, then shuts it down.
///
/// The error names the address that cannot be bound.
pub async fn run(settings: EntrySettings, stop: CancellationToken) -> Result<()> {
    info!(gate = %settings.gate, zone = %settings.zone, callers = %settings.callers,
        "gate: starting.");
    let limits = connection_limits(&settings)?;
    let callers_socket = listen::bind(settings.callers).await?;
    let ready_socket = listen::bind(settings.ready).await?;
    let peer_socket = listen::bind(settings.peer).await?;
    let metrics_socket = listen::bind(settings.metrics).await?;
    let shared = Arc::new(Shared::new(settings));
    let advice_client = Arc::new(AdviceClient::default());
    let release = Arc::new(Notify::new());
    let stop_accepting = CancellationToken::new();

    tokio::spawn(configuration::follow(Arc::clone(&shared)));
    tokio::spawn(ownership::follow(
        Arc::clone(&shared),
        Arc::clone(&advice_client),
        Arc::clone(&release),
    ));
    tokio::spawn(peers::send_hellos(Arc::clone(&shared)));
    let open = |names, socket, limits| {
        open_listener(&shared, names, socket, limits, Shared::request_limits)
    };
    // The times of the configuration are for clients; other gates keep connections for longer.
    let peer_limits = |_: &Shared| RequestLimits::default();
    let peer_listener = open_listener(&shared, PEER, peer_socket, limits.peer, peer_limits);
    serve_internal(
        &shared,
        advice_client,
        open(READY, ready_socket, limits.ready),
        peer_listener,
        open(METRICS, metrics_socket, limits.metrics),
    );
    let callers_listener = open(CALLERS, callers_socket, limits.callers);
    let callers = CallerApi::new(
        Arc::clone(&shared),
        Acceptor::start(Arc::clone(&shared)),
        Admission::start(&shared),
    );
    let serving = tokio::spawn(listen::serve(
        callers_listener,
        move |request| callers.clone().answer(request),
        stop_accepting.clone(),
    ));
    stop.cancelled().await;
    info!("gate: stopping.");
    shared.begin_stop();
    release.notify_one();
    tokio::time::sleep(Duration::from_millis(SHUTDOWN_DRAIN_MS)).await;
    stop_accepting.cancel();
    serving.await?;
    info!("gate: stopped.");
    Ok(())
}

/// Returns what the connections of each listener may hold.
///
/// Fails if the process may not open as many descriptors as the settings ask for.
fn connection_limits(settings: &EntrySettings) -> Result<ConnectionLimits> {
    let max_fds = settings.descriptors();
    let soft = match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => soft,
        Err(error) => {
            warn!(%error, max_fds, "gate: the limit on descriptors cannot be read; using max_fds.");
            max_fds
        }
    };
    let maximum = settings.connections.maximum;
    ensure!(
        maximum < soft,
        "connections.maximum is {maximum}, but the process may open only {soft} descriptors"
    );
    if settings.max_fds > soft {
        warn!(
            max_fds,
            soft, "gate: the process may open fewer descriptors than max_fds."
        );
    }
    let limits = settings.connection_limits(max_fds.min(soft));
    info!(
        max_fds = max_fds.min(soft),
        callers = limits.callers.connections,
        callers_bytes = limits.callers.bytes,
        peers = limits.peer.connections,
        peers_bytes = limits.peer.bytes,
        "gate: the limits on connections."
    );
    Ok(limits)
}

/// Gives a socket a budget for its connections, and limits on its requests.
fn open_listener(
    shared: &Arc<Shared>,
    names: ListenerNames,
    socket: TcpListener,
    limits: ListenerLimits,
    request_limits: impl Fn(&Shared) -> RequestLimits + Send + Sync + 'static,
) -> Listener<impl Fn() -> RequestLimits + Send + Sync + 'static> {
    let limits = BudgetLimits {
        connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
        bytes: limits.bytes,
    };
    let log = RefusalLog::new(Arc::clone(shared), names);
    let shared = Arc::clone(shared);
    Listener {
        socket,
        budget: ConnectionBudget::new(limits, log),
        limits: move || request_limits(&shared),
    }
}

/// Serves readiness, metrics and calls of other gates until the process ends.
fn serve_internal(
    shared: &Arc<Shared>,
    advice_client: Arc<AdviceClient>,
    ready_listener: Listener<impl Fn() -> RequestLimits + Send + Sync + 'static>,
    peer_listener: Listener<impl Fn() -> RequestLimits + Send + Sync + 'static>,
    metrics_listener: Listener<impl Fn() -> RequestLimits + Send + Sync + 'static>,
) {
    let never = CancellationToken::new;
    let state = Arc::clone(shared);
    tokio::spawn(listen::serve(
        ready_listener,
        move |request| std::future::ready(ready::answer(&state, &request)),
        never(),
    ));
    let state = Arc::clone(shared);
    tokio::spawn(listen::serve(
        metrics_listener,
        move |_| std::future::ready(ready::metrics(&state)),
        never(),
    ));
    let state = Arc::clone(shared);
    tokio::spawn(listen::serve(
        peer_listener,
        move |request| peers::answer(Arc::clone(&state), Arc::clone(&advice_client), request),
        never(),
    ));
}
