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

/// How many lines may wait for the socket; further lines are dropped.
const QUEUE_LINES: usize = 4_096;

/// The class of a task or request whose waiting time is recorded; the tag `class`.
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

/// A counter; its text is the name of the metric.
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
    /// Tasks preempted by others.
    #[display("tasks.preempted")]
    TasksPreempted,
    /// Requests received.
    #[display("requests.received")]
    RequestsReceived,
    /// Requests answered by a backend server.
    #[display("requests.answered")]
    RequestsAnswered,
    /// Requests refused without running.
    #[display("requests.not_run")]
    RequestsNotRun,
    /// Requests whose outcome is unknown.
    #[display("requests.unknown")]
    RequestsUnknown,
    /// Requests retried on a second backend server.
    #[display("requests.retried")]
    RequestsRetried,
    /// Answers that arrived after their request was abandoned.
    #[display("requests.late_answers")]
    LateAnswers,
    /// Calls to the store.
    #[display("store.calls")]
    StoreCalls,
    /// Calls to the store that failed.
    #[display("store.failures")]
    StoreFailures,
    /// Units whose ownership this gate acquired.
    #[display("units.taken")]
    UnitsTaken,
    /// Units whose ownership this gate lost or released.
    #[display("units.lost")]
    UnitsLost,
    /// Orders that a worker refused because their epoch is outdated.
    #[display("orders.fenced")]
    OrdersFenced,
    /// Connections accepted from callers.
    #[display("connections.opened")]
    ConnectionsOpened,
    /// Connections of callers that ended with an error or sent no request in time.
    #[display("connections.failed")]
    ConnectionsFailed,
    /// Connections of callers that were closed, or their requests refused, for lack of room.
    #[display("connections.refused")]
    ConnectionsRefused,
}

/// A gauge; its text is the name of the metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Gauge {
    /// The revision of the configuration in force.
    #[display("configuration.revision")]
    Revision,
    /// Units owned.
    #[display("units.owned")]
    UnitsOwned,
    /// Running tasks.
    #[display("tasks.running")]
    TasksRunning,
    /// Queued tasks.
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
/// The default sends nothing. Lines are queued, so no call waits for the socket.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Default for Metrics {
    fn default() -> Self {
        Self(Arc::new(StatsdClient::from_sink("", NopMetricSink)))
    }
}

impl Metrics {
    /// Opens a UDP socket to the statsd server of the settings.
    ///
    /// Fails if the socket cannot be opened. A server that does not answer is no error.
    pub fn new(settings: &MetricsSettings, gate: &str) -> Result<Self> {
        let local = match settings.address {
            std::net::SocketAddr::V4(_) => "0.0.0.0:0",
            std::net::SocketAddr::V6(_) => "[::]:0",
        };
        let step = || {
            format!(
                "opening the UDP socket to the statsd server {}",
                settings.address
            )
        };
        let socket = UdpSocket::bind(local).wrap_err_with(step)?;
        socket.set_nonblocking(true).wrap_err_with(step)?;
        let sink = UdpMetricSink::from(settings.address, socket).wrap_err_with(step)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LINES);
        let client = StatsdClient::builder(&settings.prefix, sink)
            .with_tag("gate", gate)
            .build();
        Ok(Self(Arc::new(client)))
    }

    /// Records how long a team's task or request waited before it started, in whole milliseconds.
    pub fn record_wait(&self, team: &TeamId, class: impl Into<WaitClass>, duration: Duration) {
        let class = class.into().to_string();
        self.0
            .histogram_with_tags("waiting_ms", whole_ms(duration))
            .with_tag("team", team.as_str())
            .with_tag("class", &class)
            .send();
    }

    /// Records the time from receipt of a request to its complete answer, in whole milliseconds.
    pub fn record_answer(&self, team: &TeamId, queue: &QueueId, duration: Duration) {
        self.0
            .histogram_with_tags("answer_ms", whole_ms(duration))
            .with_tag("team", team.as_str())
            .with_tag("queue", queue.as_str())
            .send();
    }

    /// Records how long a call to the store or another gate took, in whole milliseconds.
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

    /// Sets a gauge.
    pub fn set_gauge(&self, gauge: Gauge, value: u64) {
        let name = gauge.to_string();
        self.0.gauge_with_tags(&name, value).send();
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
