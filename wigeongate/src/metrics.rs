//! Metrics, sent as statsd lines over UDP.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use derive_more::{Display, From};
use eyre::{Result, WrapErr};
use wigeongate_config::rules::Class;
use wigeongate_config::settings::MetricsSettings;
use wigeongate_core::ids::{QueueId, TeamId};
use wigeongate_core::job::Kind;

/// How many lines wait for the socket; later ones are dropped.
const QUEUE_LINES: usize = 4_096;

/// What waited: a task of a kind of job, or a request of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, From)]
pub enum WaitClass {
    /// A task of a job that is not urgent.
    #[display("{_0}")]
    Task(Kind),
    /// A task of an urgent job.
    #[display("urgent")]
    Urgent,
    /// A request.
    #[display("{_0}")]
    Request(Class),
}

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Counter {
    /// Jobs accepted.
    #[display("jobs.accepted")]
    JobsAccepted,
    /// Jobs ended.
    #[display("jobs.ended")]
    JobsEnded,
    /// Tasks started.
    #[display("tasks.started")]
    TasksStarted,
    /// Tasks started again after a failure.
    #[display("tasks.retried")]
    TasksRetried,
    /// Tasks stopped in favour of others.
    #[display("tasks.preempted")]
    TasksPreempted,
    /// Requests received.
    #[display("requests.received")]
    RequestsReceived,
    /// Requests answered by a backend server.
    #[display("requests.answered")]
    RequestsAnswered,
    /// Requests refused as not run.
    #[display("requests.not_run")]
    RequestsNotRun,
    /// Requests whose outcome is unknown.
    #[display("requests.unknown")]
    RequestsUnknown,
    /// Requests sent to a second backend server.
    #[display("requests.retried")]
    RequestsRetried,
    /// Answers that came after their request was given up.
    #[display("requests.late_answers")]
    LateAnswers,
    /// Calls of the store.
    #[display("store.calls")]
    StoreCalls,
    /// Calls of the store that failed.
    #[display("store.failures")]
    StoreFailures,
    /// Units taken over.
    #[display("units.taken")]
    UnitsTaken,
    /// Units lost or given up.
    #[display("units.lost")]
    UnitsLost,
    /// Orders refused by a worker because of their epoch.
    #[display("orders.fenced")]
    OrdersFenced,
    /// Connections of callers opened.
    #[display("connections.opened")]
    ConnectionsOpened,
    /// Connections of callers that failed to open or to speak in time.
    #[display("connections.failed")]
    ConnectionsFailed,
}

/// What is measured as a level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Gauge {
    /// The revision of the configuration in force.
    #[display("configuration.revision")]
    Revision,
    /// Units owned.
    #[display("units.owned")]
    UnitsOwned,
    /// Tasks that run.
    #[display("tasks.running")]
    TasksRunning,
    /// Tasks that wait.
    #[display("tasks.queued")]
    TasksQueued,
    /// Requests in flight.
    #[display("requests.in_flight")]
    RequestsInFlight,
    /// Open connections of callers.
    #[display("connections.open")]
    ConnectionsOpen,
}

/// The metrics of this process; clones share one socket.
///
/// The default sends nothing. No call waits for the socket.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Default for Metrics {
    fn default() -> Self {
        Self(Arc::new(StatsdClient::from_sink("", NopMetricSink)))
    }
}

impl Metrics {
    /// Opens a socket towards the statsd server of the settings.
    pub fn new(settings: &MetricsSettings, gate: &str) -> Result<Self> {
        let local = match settings.address {
            std::net::SocketAddr::V4(_) => "0.0.0.0:0",
            std::net::SocketAddr::V6(_) => "[::]:0",
        };
        let step = || format!("opening the metrics socket towards {}", settings.address);
        let socket = UdpSocket::bind(local).wrap_err_with(step)?;
        socket.set_nonblocking(true).wrap_err_with(step)?;
        let sink = UdpMetricSink::from(settings.address, socket).wrap_err_with(step)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LINES);
        let client = StatsdClient::builder(&settings.prefix, sink)
            .with_tag("gate", gate)
            .build();
        Ok(Self(Arc::new(client)))
    }

    /// Records how long a team's task or request waited before it started.
    pub fn record_wait(&self, team: &TeamId, class: impl Into<WaitClass>, duration: Duration) {
        let class = class.into().to_string();
        self.0
            .histogram_with_tags("waiting_ms", whole_ms(duration))
            .with_tag("team", team.as_str())
            .with_tag("class", &class)
            .send();
    }

    /// Records how long a request took from its receipt to its whole answer.
    pub fn record_answer(&self, team: &TeamId, queue: &QueueId, duration: Duration) {
        self.0
            .histogram_with_tags("answer_ms", whole_ms(duration))
            .with_tag("team", team.as_str())
            .with_tag("queue", queue.as_str())
            .send();
    }

    /// Records how long one call of the store or of another gate took.
    pub fn record_call(&self, peer: &'static str, step: &'static str, duration: Duration) {
        self.0
            .histogram_with_tags("call_ms", whole_ms(duration))
            .with_tag("peer", peer)
            .with_tag("step", step)
            .send();
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Counts several events.
    pub fn count_many(&self, counter: Counter, events: u64) {
        let name = counter.to_string();
        self.0.count_with_tags(&name, events).send();
    }

    /// Counts one event of a team.
    pub fn count_for_team(&self, counter: Counter, team: &TeamId) {
        let name = counter.to_string();
        self.0
            .count_with_tags(&name, 1_u64)
            .with_tag("team", team.as_str())
            .send();
    }

    /// Sets a level.
    pub fn set_gauge(&self, gauge: Gauge, value: u64) {
        let name = gauge.to_string();
        self.0.gauge_with_tags(&name, value).send();
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
