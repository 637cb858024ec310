//! Tests of a gate whose clients exceed its limits: it stays alive and within its memory and
//! descriptors, and answers ordinary requests.
//!
//! They guard against gates that run out of memory. The crowd and the bounds are fixed. The tests
//! run one at a time, since each of them needs several hundred connections.

#[path = "client_limits/crowd.rs"]
mod crowd;
#[expect(dead_code, reason = "other tests use more of it")]
#[path = "entry/gate.rs"]
mod gate;
#[expect(dead_code, reason = "other tests use more of it")]
#[path = "entry/platform.rs"]
mod platform;
#[expect(dead_code, reason = "other tests use more of it")]
#[path = "entry/traffic.rs"]
mod traffic;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::Mutex;

use self::crowd::{BODY_BYTES, Crowd, Traffic};
use self::gate::{Gate, GateBounds, KEY, wait_until};
use self::platform::Platform;

/// The memory and the descriptors of the gate's machine, as in its settings.
const MEMORY_MB: u64 = 64;
const MAX_FDS: usize = 320;
const SETTINGS: &str = "memory_mb: 64\nmax_fds: 320\n";

/// How long the crowd may take to send its bytes before the test goes on.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the crowd holds its connections while the gate is measured.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// The most memory and descriptors that a gate has used.
#[derive(Debug, Default)]
struct Usage {
    memory_mb: u64,
    descriptors: usize,
}

impl Usage {
    /// Reads the usage of a live process: the peak of its resident memory, in megabytes, and the
    /// number of descriptors that are open now.
    fn measure(&mut self, gate: &Gate) {
        let folder = format!("/proc/{}", gate.process.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        let peak_kb = peak.map_or(0, |text| text.parse::<u64>().expect("a number"));
        self.memory_mb = self.memory_mb.max(peak_kb / 1_024);
        let descriptors = std::fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(descriptors);
    }
}

/// Submits ordinary jobs until one is accepted, and checks readiness.
async fn check_ordinary(gate: &Gate, first: u64) {
    let mut next = first;
    wait_until("an ordinary request is answered", async || {
        next += 1;
        let answer = gate.submit(&format!("{next:016x}"), 1, 10).await;
        (answer.status == 200).then_some(())
    })
    .await;
    gate.wait_ready().await;
}

async fn check_crowd(traffic: &[Traffic], addresses: impl Fn(&Gate) -> [SocketAddr; 4]) {
    let _alone = ALONE.lock().await;
    let platform = Platform::start(2).await;
    let limits = json!({
        "max_body_bytes": BODY_BYTES, "max_header_bytes": 16_384,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
    });
    platform.configure_limits(1, &[KEY], &["q"], &limits);
    let bounds = GateBounds {
        lines: SETTINGS,
        ..GateBounds::default()
    };
    let mut gate = Gate::start_with(platform.address, "gate-0", &bounds).await;
    check_ordinary(&gate, 0x1000).await;
    let mut usage = Usage::default();
    usage.measure(&gate);
    println!("before: {usage:?}");

    let crowd = Crowd::start(addresses(&gate), traffic);
    let started = Instant::now();
    while !crowd.is_settled() && started.elapsed() < SEND_TIMEOUT {
        usage.measure(&gate);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("sent after {:?}: {usage:?}", started.elapsed());
    let settled = Instant::now();
    while settled.elapsed() < HOLD_TIME {
        usage.measure(&gate);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("held: {usage:?}");
    assert!(gate.process.try_wait().expect("a status").is_none());
    check_ordinary(&gate, 0x2000).await;
    usage.measure(&gate);
    drop(crowd);
    check_ordinary(&gate, 0x3000).await;
    assert!(gate.process.try_wait().expect("a status").is_none());
    assert!(
        usage.memory_mb <= MEMORY_MB && usage.descriptors <= MAX_FDS,
        "{traffic:?}: {usage:?}, at most {MEMORY_MB} MB and {MAX_FDS} descriptors expected"
    );
}

fn callers(gate: &Gate) -> [SocketAddr; 4] {
    [gate.callers; 4]
}

fn all_listeners(gate: &Gate) -> [SocketAddr; 4] {
    [gate.callers, gate.ready, gate.peer, gate.metrics]
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_over_the_limit_or_without_end() {
    check_crowd(&[Traffic::EndlessHead, Traffic::LargeHead], callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_without_end() {
    check_crowd(&[Traffic::EmptyLines], callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_short() {
    check_crowd(&[Traffic::WholeBody, Traffic::BodyPieces], callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_that_stop_short() {
    check_crowd(&[Traffic::LargeChunks, Traffic::ByteChunks], callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_at_once() {
    let traffic = [
        Traffic::EndlessHead,
        Traffic::LargeHead,
        Traffic::EmptyLines,
        Traffic::WholeBody,
        Traffic::BodyPieces,
        Traffic::LargeChunks,
        Traffic::ByteChunks,
    ];
    check_crowd(&traffic, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_at_every_listener() {
    let traffic = [
        Traffic::EndlessHead,
        Traffic::EmptyLines,
        Traffic::WholeBody,
        Traffic::ByteChunks,
    ];
    check_crowd(&traffic, all_listeners).await;
}
