//! The processes of a play: gates, a store and executors, with a proxy on the paths between them.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::{Result, bail, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

use super::http::{Call, call};
use super::lines::{Line, Lines, What, steady_ms, unix_ms};
use super::proxy::Proxy;

/// The key of the only team.
pub const KEY: &str = "key-1";

/// The port of everything that has an address of its own.
const PORT: u16 = 7_000;

/// A gate.
#[derive(Debug)]
pub struct Gate {
    /// Its name.
    pub name: String,
    /// Where it serves callers.
    pub callers: SocketAddr,
    ready: SocketAddr,
    /// The proxy between it and the store.
    pub store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Child>,
}

/// An executor.
#[derive(Debug)]
pub struct Executor {
    /// Its identifier.
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    /// The proxy between gates and it.
    pub link: Arc<Proxy>,
    /// The proxy between it and the store.
    pub store: Proxy,
    process: Mutex<Child>,
}

/// All processes.
#[derive(Debug)]
pub struct Site {
    /// The folder of logs and lines.
    pub folder: PathBuf,
    /// The gates.
    pub gates: Vec<Gate>,
    executors: Mutex<Vec<Arc<Executor>>>,
    store: Mutex<Child>,
    store_address: SocketAddr,
    net: Net,
    lines: Lines,
    /// Where executors with odd numbers have slow clocks.
    slow: u64,
    /// The number of the newest configuration.
    version: AtomicU64,
}

/// Addresses on loopback that only this process gives out.
#[derive(Debug)]
struct Net(AtomicUsize);

impl Net {
    fn next(&self) -> SocketAddr {
        let number = self.0.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let [.., high, low] = (process & 0x3fff).to_be_bytes();
        let [.., block, last] = (number + 1).to_be_bytes();
        let address = Ipv4Addr::new(127, 64 + high + 64 * (block & 1), low, last);
        SocketAddr::new(IpAddr::V4(address), PORT)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn signal(process: &Child, signal: Signal) {
    let id = process.id().and_then(|id| i32::try_from(id).ok());
    if let Some(id) = id {
        let _ = kill(Pid::from_raw(id), signal);
    }
}

async fn command(process: &Mutex<Child>, text: &str) {
    let Some(mut input) = locked(process).stdin.take() else {
        return;
    };
    let _ = input.write_all(format!("{text}\n").as_bytes()).await;
    let _ = input.flush().await;
    locked(process).stdin = Some(input);
}

fn own_command(log: &Path) -> Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    let log = File::options().create(true).append(true).open(log)?;
    command
        .stdin(Stdio::piped())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true);
    Ok(command)
}

impl Gate {
    fn spawn(settings: &Path, log: &Path) -> Result<Child> {
        let log = File::options().create(true).append(true).open(log)?;
        let program = std::env::current_exe()?.with_file_name("wigeongate");
        let child = Command::new(program)
            .args(["--log-format", "json", "serve", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(child)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, it: Signal) {
        signal(&locked(&self.process), it);
    }

    /// Starts the process again if it has ended.
    pub fn restart(&self) -> Result<bool> {
        let mut process = locked(&self.process);
        let has_ended = process.try_wait()?.is_some();
        if has_ended {
            *process = Self::spawn(&self.settings, &self.log)?;
        }
        Ok(has_ended)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        locked(&self.process)
            .try_wait()
            .is_ok_and(|it| it.is_some())
    }

    /// Sends a request of a caller.
    pub async fn call(&self, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
        let headers = format!(
            "Host: desk.example\r\nContent-Type: application/json\r\nAuthorization: Token {KEY}\r\n"
        );
        let made = Call {
            peer: self.callers,
            method,
            path,
            headers: &headers,
            body,
            limit: Duration::from_secs(4),
        };
        call(made).await.ok()
    }
}

impl Executor {
    /// Sends a signal to the process.
    pub fn signal(&self, it: Signal) {
        signal(&locked(&self.process), it);
    }

    /// Sends a command to the process.
    pub async fn command(&self, text: &str) {
        command(&self.process, text).await;
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        locked(&self.process)
            .try_wait()
            .is_ok_and(|it| it.is_some())
    }
}

impl Site {
    /// Starts all processes and waits until they work.
    pub async fn start(folder: &Path, gates: usize, executors: usize, slow: u64) -> Result<Self> {
        let net = Net(AtomicUsize::new(0));
        let store_address = net.next();
        let store = own_command(&folder.join("store.log"))?
            .args(["serve-soak-store", "--address", &store_address.to_string()])
            .spawn()?;
        let mut site = Self {
            folder: folder.to_owned(),
            gates: Vec::new(),
            executors: Mutex::default(),
            store: Mutex::new(store),
            store_address,
            net,
            lines: Lines::open(&folder.join("runs.jsonl"))?,
            slow,
            version: AtomicU64::new(0),
        };
        site.configure().await?;
        for number in 0..executors {
            site.add_executor(&format!("w-{number}"), number)?;
        }
        for number in 0..gates {
            let gate = site.start_gate(number)?;
            site.gates.push(gate);
        }
        let until = Instant::now() + Duration::from_secs(30);
        for gate in &site.gates {
            while !gate_is_ready(gate).await {
                if Instant::now() > until {
                    bail!("{} is not ready", gate.name);
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(site)
    }

    fn start_gate(&self, number: usize) -> Result<Gate> {
        let (name, own) = (format!("gate-{number}"), self.net.next());
        let at = |port: u16| SocketAddr::new(own.ip(), PORT + port);
        let store = Proxy::start(self.net.next(), self.store_address);
        let text = format!(
            "gate: {name}\nzone: a\ncallers: {}\nready: {}\npeer: {}\nmetrics: {}\nstore: {}\n\
             bounds:\n  task_lease_ms: {}\n  grace_s: 6\n  shown_s: 600\n",
            at(0),
            at(1),
            at(2),
            at(3),
            store.address,
            super::executor::HOLD_MAX_MS,
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let process = Mutex::new(Gate::spawn(&settings, &log)?);
        Ok(Gate {
            name,
            callers: at(0),
            ready: at(1),
            store,
            settings,
            log,
            process,
        })
    }

    async fn configure(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.change_configuration().await {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(eyre!("the store does not accept the configuration"))
    }

    /// Writes the next version of the configuration, which changes the team's weight and moves a route
    /// that nobody uses; returns whether the store confirms it.
    pub async fn change_configuration(&self) -> bool {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let route = |name: &str| {
            json!({
                "name": name, "host": "desk.example", "prefix": format!("/{name}/"),
                "service": "desk", "kind": "unsafe", "priority": 1, "max_attempts": 3,
                "stretch": 2.0, "target_latency_ms": 500, "public": false,
            })
        };
        let config = json!({
            "version": version,
            "routes": [route("q"), route(&format!("unused-{}", version % 3))],
            "services": [{ "name": "desk", "health_path": "/health" }],
            "limits": { "max_body_bytes": 10_000 },
            "tenants": [{
                "name": "branch", "api_keys": [KEY], "weight": 10 + version % 5,
                "maximum": { "cpu": 0, "mem_mb": 0, "gpu": 0 },
            }],
        });
        let row = json!({
            "key": "op/config", "value": STANDARD.encode(config.to_string()), "lease": 0,
        });
        let body = json!({ "expected_rev": [], "puts": [row], "remove": [] });
        let done = self.store_call("POST", "/api/kv-txn", &body).await;
        done.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the number of keys in the store with a prefix.
    pub async fn count(&self, prefix: &str) -> usize {
        let mut count = 0;
        let mut after = String::new();
        loop {
            let path = format!("/api/kv-range?prefix={prefix}&after={after}");
            let page = self.store_call("GET", &path, &Value::Null);
            let Some((_, page)) = page.await else {
                return count;
            };
            let Some(last) = page["items"].as_array().and_then(|items| items.last()) else {
                return count;
            };
            count += page["items"].as_array().map_or(0, Vec::len);
            let last = last["key"].as_str().unwrap_or_default();
            last.clone_into(&mut after);
        }
    }

    async fn store_call(&self, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
        let made = Call {
            peer: self.store_address,
            method,
            path,
            headers: "",
            body,
            limit: Duration::from_secs(1),
        };
        call(made).await.ok()
    }

    /// Sends a command to the store.
    pub async fn command_store(&self, text: &str) {
        command(&self.store, text).await;
    }

    /// Returns the owner by the store's record, the first gate if there is none.
    pub async fn owner(&self) -> &Gate {
        let path = "/api/kv-key?key=wigeongate%2Fowner";
        let item = self.store_call("GET", path, &Value::Null).await;
        let value = item.and_then(|(_, item)| STANDARD.decode(item["value"].as_str()?).ok());
        let record = String::from_utf8_lossy(&value.unwrap_or_default()).into_owned();
        let named = self.gates.iter().find(|gate| record.contains(&gate.name));
        named.unwrap_or(&self.gates[0])
    }

    /// Kills the processes of all gates at once, and starts them again once all have ended.
    pub async fn restart_gates(&self) -> Result<()> {
        for gate in &self.gates {
            gate.signal(Signal::SIGKILL);
        }
        while !self.gates.iter().all(Gate::has_ended) {
            sleep(Duration::from_millis(2)).await;
        }
        for gate in &self.gates {
            gate.restart()?;
        }
        Ok(())
    }

    /// Returns the processes of the gates that run.
    pub fn gate_ids(&self) -> Vec<u32> {
        let ids = self.gates.iter();
        ids.filter_map(|gate| locked(&gate.process).id()).collect()
    }

    /// Returns the executors whose processes run.
    pub fn executors(&self) -> Vec<Arc<Executor>> {
        locked(&self.executors).clone()
    }

    /// Starts an executor at an address of its own.
    pub fn add_executor(&self, id: &str, number: usize) -> Result<Arc<Executor>> {
        let address = self.net.next();
        let link = Arc::new(Proxy::start(self.net.next(), address));
        self.start_executor(id, ["a", "b", "c"][number % 3], address, link)
    }

    /// Starts an executor behind the address of another one; new connections lead to it.
    pub fn replace_executor(&self, id: &str, old: &Executor) -> Result<Arc<Executor>> {
        let address = if old.id == id {
            old.address
        } else {
            self.net.next()
        };
        let new = self.start_executor(id, old.zone, address, Arc::clone(&old.link))?;
        new.link.lead_to(address);
        Ok(new)
    }

    fn start_executor(
        &self,
        id: &str,
        zone: &'static str,
        address: SocketAddr,
        link: Arc<Proxy>,
    ) -> Result<Arc<Executor>> {
        let store = Proxy::start(self.net.next(), self.store_address);
        let is_slow = id.bytes().last().is_some_and(|it| it % 2 == 1);
        let slow = if is_slow { self.slow } else { 0 };
        let process = own_command(&self.folder.join(format!("{id}.log")))?
            .args(["serve-soak-executor", "--id", id, "--zone", zone])
            .args(["--address", &address.to_string()])
            .args(["--registered", &link.address.to_string()])
            .args(["--store", &store.address.to_string()])
            .args(["--slow", &slow.to_string(), "--lines"])
            .arg(self.folder.join("runs.jsonl"))
            .spawn()?;
        let executor = Arc::new(Executor {
            id: id.to_owned(),
            zone,
            address,
            link,
            store,
            process: Mutex::new(process),
        });
        locked(&self.executors).push(Arc::clone(&executor));
        Ok(executor)
    }

    /// Kills an executor's process, and waits until it has ended.
    pub async fn kill_executor(&self, executor: &Arc<Executor>) {
        let process = locked(&executor.process).id().unwrap_or(0);
        let (at, unix) = (steady_ms(), unix_ms());
        executor.signal(Signal::SIGKILL);
        while !executor.has_ended() {
            sleep(Duration::from_millis(2)).await;
        }
        self.lines.add(&Line {
            at,
            unix,
            what: What::Exit,
            host: executor.id.clone(),
            process,
            task: String::new(),
            run: 0,
            how: "killed".to_owned(),
            lapsed: false,
            clock: 0,
            deadline: 0,
            fence: 0,
        });
        self.remove_executor(executor);
    }

    /// Forgets an executor whose process has ended.
    pub fn remove_executor(&self, executor: &Arc<Executor>) {
        locked(&self.executors).retain(|it| !Arc::ptr_eq(it, executor));
    }

    /// Sends a signal to all processes.
    pub fn signal_all(&self, it: Signal) {
        self.gates.iter().for_each(|gate| gate.signal(it));
        self.executors().iter().for_each(|host| host.signal(it));
        signal(&locked(&self.store), it);
    }
}

async fn gate_is_ready(gate: &Gate) -> bool {
    let made = Call {
        peer: gate.ready,
        method: "GET",
        path: "/api/ready",
        headers: "Host: ready\r\n",
        body: &Value::Null,
        limit: Duration::from_secs(1),
    };
    call(made).await.is_ok_and(|(status, _)| status == 200)
}
