//! The cost of a gate on the way of a request, against a plain hop and against none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use bytes::Bytes;
use eyre::Result;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use uuid::Uuid;
use warp::Filter;
use warp::reply::Reply;
use wigeongate::client::client;
use wigeongate_api::backend::{EPOCH_HEADER, REQUEST_HEADER, TEAM_HEADER};
use wigeongate_config::rules::{Class, Queue};
use wigeongate_core::job::Kind;
use wigeongate_standin::backend::Backend;
use wigeongate_standin::serve::ServerHandle;

use crate::site::{ANY, Site, SiteSettings, runtime};

/// The epoch of direct calls.
const DIRECT_EPOCH: &str = "1";

/// The slots of a backend server without a gate; more than there are callers.
const PLAIN_SLOTS: u32 = 10_000;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct PathOptions {
    /// Callers that send one request after the other.
    #[bpaf(fallback(32))]
    callers: usize,
    /// Rounds of all ways.
    #[bpaf(fallback(3))]
    rounds: usize,
    /// The length of one way in a round, in milliseconds.
    #[bpaf(fallback(1_500))]
    ms: u64,
    /// The size of a body, in bytes.
    #[bpaf(fallback(512))]
    bytes: usize,
    /// Gates.
    #[bpaf(fallback(1))]
    gates: usize,
    /// Threads of each gate, and of the plain hop.
    #[bpaf(fallback(2))]
    threads: usize,
}

/// The ways of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    Hop,
    Gate,
}

/// The figures of one way.
#[derive(Debug, Serialize)]
struct Line {
    p50_us: u64,
    p99_us: u64,
    per_second: u64,
    errors: u64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    bench: &'static str,
    gates: usize,
    callers: usize,
    bytes: usize,
    direct: Line,
    hop: Line,
    gate: Line,
    throughput_to_hop: f64,
    p99_to_hop: f64,
    memory_first_mib: u64,
    memory_last_mib: u64,
}

struct Measured {
    times: Histogram<u64>,
    took: Duration,
    errors: u64,
}

impl Measured {
    fn new() -> Result<Self> {
        Ok(Self {
            times: Histogram::new(3)?,
            took: Duration::ZERO,
            errors: 0,
        })
    }

    fn line(&self) -> Line {
        let millis = u64::try_from(self.took.as_millis()).unwrap_or(u64::MAX);
        Line {
            p50_us: self.times.value_at_quantile(0.5),
            p99_us: self.times.value_at_quantile(0.99),
            per_second: self.times.len() * 1_000 / millis.max(1),
            errors: self.errors,
        }
    }
}

/// Measures and prints the figures.
pub fn run(options: &PathOptions) -> Result<()> {
    let callers = runtime("callers", 3)?;
    let parts = runtime("parts", 2)?;
    let hop = runtime("hop", options.threads)?;
    let runtimes = Runtimes {
        parts: parts.handle(),
        hop: hop.handle(),
    };
    let figures = callers.block_on(measure(options, &runtimes))?;
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

struct Runtimes<'a> {
    parts: &'a Handle,
    hop: &'a Handle,
}

async fn measure(options: &PathOptions, runtimes: &Runtimes<'_>) -> Result<Figures> {
    let site = Site::start(
        &SiteSettings {
            gates: options.gates,
            threads: options.threads,
            queues: vec![queue()],
            ..SiteSettings::default()
        },
        runtimes.parts,
    )
    .await?;
    let (backends, _plain) = plain_servers(site.servers.len(), runtimes.parts).await?;
    let hop = runtimes.hop.spawn(plain_hop(backends.clone())).await??;
    let targets = Targets {
        backends: backends.into(),
        hop,
        gates: site.gates.iter().map(|gate| gate.address).collect(),
    };
    let ways = [Way::Direct, Way::Hop, Way::Gate];
    let mut measured = [Measured::new()?, Measured::new()?, Measured::new()?];
    for way in ways {
        round(options, way, &targets, &mut Measured::new()?).await?;
    }
    let memory_first_mib = memory_mib();
    for _ in 0..options.rounds {
        for (way, measured) in ways.iter().zip(&mut measured) {
            round(options, *way, &targets, measured).await?;
        }
    }
    let [direct, hop, gate] = measured.map(|measured| measured.line());
    let figures = Figures {
        bench: "path",
        gates: options.gates,
        callers: options.callers,
        bytes: options.bytes,
        throughput_to_hop: ratio(gate.per_second, hop.per_second),
        p99_to_hop: ratio(gate.p99_us, hop.p99_us),
        direct,
        hop,
        gate,
        memory_first_mib,
        memory_last_mib: memory_mib(),
    };
    site.end();
    Ok(figures)
}

fn queue() -> Queue {
    Queue {
        name: "echo".into(),
        kind: Kind::Request,
        class: Class::Normal,
        idempotent: true,
        ..Queue::default()
    }
}

#[derive(Clone)]
struct Targets {
    backends: Arc<[SocketAddr]>,
    hop: SocketAddr,
    gates: Arc<[SocketAddr]>,
}

async fn round(
    options: &PathOptions,
    way: Way,
    targets: &Targets,
    measured: &mut Measured,
) -> Result<()> {
    let mut tasks = JoinSet::new();
    let until = Instant::now() + Duration::from_millis(options.ms);
    let started = Instant::now();
    let client = client();
    for number in 0..options.callers {
        let body = Bytes::from(vec![b'x'; options.bytes]);
        let caller = Caller {
            client: client.clone(),
            targets: targets.clone(),
            number,
            body,
        };
        tasks.spawn(caller.run(way, until));
    }
    while let Some(done) = tasks.join_next().await {
        let (times, errors) = done??;
        measured.times.add(times)?;
        measured.errors += errors;
    }
    measured.took += started.elapsed();
    Ok(())
}

struct Caller {
    client: Client,
    targets: Targets,
    number: usize,
    body: Bytes,
}

impl Caller {
    async fn run(self, way: Way, until: Instant) -> Result<(Histogram<u64>, u64)> {
        let mut times = Histogram::new(3)?;
        let mut errors = 0;
        let mut count = self.number;
        while Instant::now() < until {
            let started = Instant::now();
            if self.send(way, count).await {
                times.record(u64::try_from(started.elapsed().as_micros())?)?;
            } else {
                errors += 1;
            }
            count += 1;
        }
        Ok((times, errors))
    }

    async fn send(&self, way: Way, count: usize) -> bool {
        let request = match way {
            Way::Direct => {
                let target = self.targets.backends[count % self.targets.backends.len()];
                let url = format!("http://{target}/v1/run/echo");
                let id = Uuid::now_v7().to_string();
                let request = self.client.post(url).header(REQUEST_HEADER, id);
                let request = request.header(EPOCH_HEADER, DIRECT_EPOCH);
                request.header(TEAM_HEADER, "team-1")
            }
            Way::Hop => self
                .client
                .post(format!("http://{}/echo", self.targets.hop)),
            Way::Gate => {
                let gate = self.targets.gates[self.number % self.targets.gates.len()];
                let url = format!("http://{gate}/v1/queues/echo/requests/echo");
                self.client.post(url).bearer_auth("team-1")
            }
        };
        let Ok(response) = request.body(self.body.clone()).send().await else {
            return false;
        };
        let fine = response.status().is_success();
        let whole = response.bytes().await;
        fine && whole.is_ok_and(|body| body == self.body)
    }
}

/// Starts backend servers that no gate knows, so that epochs play no part.
async fn plain_servers(
    count: usize,
    parts: &Handle,
) -> Result<(Vec<SocketAddr>, Vec<ServerHandle>)> {
    let mut running = Vec::new();
    for place in 0..count {
        let backend = Backend::new(format!("plain-{place}").into(), PLAIN_SLOTS);
        let spawned = parts.spawn(async move { backend.spawn(ANY).await });
        running.push(spawned.await??);
    }
    Ok((running.iter().map(|one| one.address).collect(), running))
}

/// A server that passes each request on to the next backend server, without any decision.
async fn plain_hop(backends: Vec<SocketAddr>) -> Result<SocketAddr> {
    let next = Arc::new(AtomicUsize::new(0));
    let client = client();
    let pass = warp::post()
        .and(warp::path!("echo"))
        .and(warp::body::bytes())
        .then(move |body: Bytes| {
            let place = next.fetch_add(1, Ordering::Relaxed) % backends.len();
            let url = format!("http://{}/v1/run/echo", backends[place]);
            let request = client
                .post(url)
                .header(REQUEST_HEADER, Uuid::now_v7().to_string())
                .header(EPOCH_HEADER, DIRECT_EPOCH)
                .header(TEAM_HEADER, "team-1")
                .body(body);
            async move { pass(request).await }
        });
    let listener = tokio::net::TcpListener::bind(ANY).await?;
    let address = listener.local_addr()?;
    tokio::spawn(warp::serve(pass).incoming(listener).run());
    Ok(address)
}

async fn pass(request: reqwest::RequestBuilder) -> warp::reply::Response {
    let bad = || warp::http::StatusCode::BAD_GATEWAY.into_response();
    let Ok(response) = request.send().await else {
        return bad();
    };
    let status = response.status();
    match response.bytes().await {
        Ok(body) => warp::reply::with_status(body.to_vec(), status).into_response(),
        Err(_) => bad(),
    }
}

/// Returns `part` over `whole`.
pub fn ratio(part: u64, whole: u64) -> f64 {
    let float = |number: u64| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    float(part) / float(whole.max(1))
}

/// Returns the resident memory of this process.
pub fn memory_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next());
    kib.and_then(|kib| kib.parse::<u64>().ok())
        .unwrap_or_default()
        / 1024
}
