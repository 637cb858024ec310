//! Gate processes that the tests start.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use reqwest::Client;
use serde_json::{Value, json};
use wigeongate::client::install_crypto_provider;

use crate::platform::Platform;

/// How long a test waits for a condition before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// The API key of the only team.
pub const KEY: &str = "key-1";

/// The bounds in the settings of a gate.
pub struct GateBounds {
    pub task_lease_ms: u64,
    /// How long ended jobs are shown.
    pub shown_s: u64,
    /// Further lines of the settings.
    pub lines: &'static str,
}

impl Default for GateBounds {
    fn default() -> Self {
        Self {
            task_lease_ms: 2_000,
            shown_s: 120,
            lines: "",
        }
    }
}

/// A gate process, which is killed on drop.
pub struct Gate {
    pub process: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    client: Client,
}

impl Drop for Gate {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The first port for gates. It is below the range of ephemeral ports, since a connection could
/// take one of those between the check that it is free and the start of the gate.
const FIRST_PORT: u16 = 20_000;

/// Returns an address that nobody listens on and that no other gate of these tests gets.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns where a gate writes its log: a file in the folder `KEEP_LOGS`, if that is set.
fn gate_output(name: &str) -> Stdio {
    let Some(folder) = std::env::var_os("KEEP_LOGS") else {
        return Stdio::null();
    };
    let file = PathBuf::from(folder).join(name);
    Stdio::from(std::fs::File::create(file).expect("a log file"))
}

/// Returns a client that opens a connection for each call.
fn client() -> Client {
    install_crypto_provider();
    let builder = Client::builder().no_proxy().pool_max_idle_per_host(0);
    builder.build().expect("a client")
}

impl Gate {
    pub async fn start(platform: &Platform, name: &str) -> Self {
        Self::start_at(platform.address, name).await
    }

    /// Starts a gate that uses this address of the store, and waits until it is ready.
    pub async fn start_at(store: SocketAddr, name: &str) -> Self {
        Self::start_with(store, name, &GateBounds::default()).await
    }

    pub async fn start_with(store: SocketAddr, name: &str, bounds: &GateBounds) -> Self {
        let gate = Self::spawn(store, name, bounds);
        gate.wait_ready().await;
        gate
    }

    /// Starts a gate, which is not ready yet.
    pub fn spawn(store: SocketAddr, name: &str, bounds: &GateBounds) -> Self {
        let (callers, ready) = (free_address(), free_address());
        let (peer, metrics) = (free_address(), free_address());
        let text = format!(
            "gate: {name}\nzone: a\ncallers: {callers}\nready: {ready}\npeer: {peer}\n\
             metrics: {metrics}\nstore: {store}\nbounds:\n  task_lease_ms: {}\n  grace_s: 6\n  \
             shown_s: {}\n{}",
            bounds.task_lease_ms, bounds.shown_s, bounds.lines,
        );
        let file = format!("wigeongate-{}-{}.yaml", std::process::id(), callers.port());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("settings are written");
        let process = Command::new(env!("CARGO_BIN_EXE_wigeongate"))
            .args(["--log-format", "json", "serve", "--settings"])
            .arg(&settings)
            .stdout(gate_output(&format!("{name}-{}.log", callers.port())))
            .spawn()
            .expect("the gate starts");
        Self {
            process,
            callers,
            ready,
            peer,
            metrics,
            settings,
            client: client(),
        }
    }

    pub async fn wait_ready(&self) {
        let url = format!("http://{}/api/ready", self.ready);
        wait_until("the gate is ready", async || {
            let answer = self.client.get(&url).send().await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await;
    }

    /// Sends a request to the gate; the answer is empty if the request fails.
    pub async fn call(&self, method: &str, path: &str, key: &str, body: &Value) -> Answer {
        let method = reqwest::Method::from_bytes(method.as_bytes()).expect("a method");
        let sent = self
            .client
            .request(method, format!("http://{}{path}", self.callers))
            .header("Host", "desk.example")
            .header("Authorization", format!("Token {key}"))
            .body(body.to_string())
            .timeout(Duration::from_secs(10))
            .send()
            .await;
        let Ok(answer) = sent else {
            return Answer::default();
        };
        Answer {
            status: answer.status().as_u16(),
            retry_after: answer.headers().contains_key("Retry-After"),
            body: answer.text().await.unwrap_or_default(),
        }
    }

    /// Submits a job of one step whose tasks run for `run_ms` each.
    pub async fn submit(&self, id: &str, tasks: u32, run_ms: u32) -> Answer {
        let job = json!({
            "spec": run_ms.to_string(),
            "steps": [{ "count": tasks, "cpu": 500, "mem_mb": 64, "estimate_ms": run_ms }],
        });
        self.call("POST", &format!("/q/{id}"), KEY, &job).await
    }

    /// Waits until the gate shows a job in a state.
    pub async fn wait_state(&self, id: &str, state: &str) {
        let shown = format!("{{\"state\":\"{state}\"}}");
        wait_until(state, async || {
            let answer = self
                .call("GET", &format!("/q/{id}"), KEY, &Value::Null)
                .await;
            (answer.body == shown).then_some(())
        })
        .await;
    }

    /// Returns the gate's metrics; empty if they cannot be read.
    pub async fn metrics(&self) -> String {
        let url = format!("http://{}/", self.metrics);
        match self.client.get(&url).send().await {
            Ok(answer) => answer.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        }
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let id = i32::try_from(self.process.id()).expect("a process id");
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal).expect("a signal");
    }
}

/// The answer of a gate; `retry_after` tells whether it has a `Retry-After` header.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub retry_after: bool,
    pub body: String,
}

/// Repeats an attempt until it succeeds; fails the test after a minute.
pub async fn wait_until<T>(what: &str, mut attempt: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = attempt().await {
            return found;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}: timed out");
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
