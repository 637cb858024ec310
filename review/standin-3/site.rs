//! A small deployment as processes: a store, executors and gates, with the operator and a client.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::advice;
use crate::record::{Record, unix_ms};
use crate::wire::{Json, base64, call, map, num, text};

pub const HOST: &str = "desk.example";
/// The prefixes of the two queues: of priority 1, and of priority 0.
pub const USUAL: &str = "/jobs/";
pub const URGENT: &str = "/urgent/";

/// After this time no call is tried again, in seconds.
const LAST_CALL_S: f64 = 95.0;

pub struct Gate {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    pub ends: u32,
    /// The most memory that it has held, in megabytes.
    pub most_mb: u64,
}

/// What an executor is.
#[derive(Clone)]
pub struct Kind {
    pub zone: &'static str,
    pub labels: Vec<String>,
    pub cpu: u64,
}

pub struct Site {
    pub record: Arc<Record>,
    record_path: PathBuf,
    pub folder: PathBuf,
    root: PathBuf,
    store: SocketAddr,
    store_child: Child,
    /// The advice service, where the queues need it.
    advice: Option<(SocketAddr, Child)>,
    pub gates: Arc<Mutex<Vec<Gate>>>,
    executors: BTreeMap<String, (SocketAddr, Kind, Option<Child>)>,
    pub begun: Instant,
    /// Set once no gate may be started again.
    ending: Arc<AtomicBool>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address")
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Site {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::SeqCst);
        let gates = Arc::clone(&self.gates);
        for gate in gates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter_mut()
        {
            end(&mut gate.child);
        }
        for (_, _, child) in self.executors.values_mut() {
            if let Some(child) = child {
                end(child);
            }
        }
        if let Some((_, child)) = &mut self.advice {
            end(child);
        }
        end(&mut self.store_child);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts a store and gates; `root` is the repository and `record` the file of the record.
    pub fn start(root: PathBuf, record_path: PathBuf, gates: usize, advised: bool) -> Self {
        let name = format!("wigeongate-review-{}-{}", std::process::id(), unix_ms());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let store = free_address();
        let own = std::env::current_exe().expect("the program has a path");
        let store_child = Command::new(own)
            .args(["store", &store.to_string()])
            .spawn()
            .expect("the store starts");
        let record = Arc::new(Record::open(&record_path));
        let advice = advised.then(|| {
            let address = free_address();
            let own = std::env::current_exe().expect("the program has a path");
            let child = Command::new(own)
                .args(["advice", &address.to_string()])
                .spawn();
            (address, child.expect("the advice service starts"))
        });
        let site = Self {
            record,
            record_path,
            root,
            store,
            store_child,
            advice,
            gates: Arc::default(),
            executors: BTreeMap::new(),
            begun: Instant::now(),
            ending: Arc::default(),
            folder,
        };
        site.wait_for("the store", || {
            site.store_call("GET", "/api/kv-range?prefix=x", "")
                .is_some()
        });
        site.configure();
        for at in 0..gates {
            site.add_gate(at);
        }
        site
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Waits until a time since the start, in seconds.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.seconds();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn wait_for(&self, what: &str, mut is_so: impl FnMut() -> bool) {
        let until = Instant::now() + Duration::from_secs(15);
        while !is_so() {
            if Instant::now() > until {
                // Unwinds to the play, so that all processes are ended.
                self.record
                    .add(&format!("could not run: {what} does not come"));
                std::panic::resume_unwind(Box::new(()));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn store_call(&self, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        call(self.store, method, path, &[], body, Duration::from_secs(1))
    }

    /// Writes the manifest, as the operator does.
    fn configure(&self) {
        let route = |name: &str, prefix: &str, priority: u64| {
            let advice = self.advice.as_ref().map_or(Json::Null, |_| {
                map(&[
                    ("decide_ms", num(advice::DECIDE_MS)),
                    ("each_ms", num(advice::EACH_MS)),
                    ("valid_ms", num(advice::VALID_MS)),
                ])
            });
            map(&[
                ("name", text(name)),
                ("advice", advice),
                ("host", text(HOST)),
                ("prefix", text(prefix)),
                ("kind", text("unsafe")),
                ("timeout_ms", num(3_000)),
                ("target_latency_ms", num(3_000)),
                ("priority", num(priority)),
                ("service", text("desk")),
                ("max_attempts", num(4)),
                ("stretch", num(4)),
                ("public", Json::Bool(false)),
            ])
        };
        let routes = vec![route("usual", USUAL, 1), route("urgent", URGENT, 0)];
        let service = map(&[
            ("name", text("desk")),
            ("health_path", text("/health")),
            ("max_conns", num(64)),
            ("protocol", text("h1")),
            ("admission_check", Json::Bool(false)),
            ("spare", Json::Bool(false)),
        ]);
        let limits = map(&[
            ("max_header_bytes", num(16_384)),
            ("max_body_bytes", num(262_144)),
            ("header_timeout_ms", num(3_000)),
            ("idle_timeout_ms", num(15_000)),
        ]);
        let tenant = |name: &str| {
            map(&[
                ("name", text(name)),
                (
                    "api_keys",
                    Json::List(vec![text(&format!("key-of-{name}"))]),
                ),
                ("priority", num(1)),
                ("weight", num(100)),
                (
                    "maximum",
                    map(&[("cpu", num(0)), ("mem_mb", num(0)), ("gpu", num(0))]),
                ),
            ])
        };
        // A tenant for each queue.
        let tenants = vec![tenant("usual"), tenant("urgent")];
        let manifest = map(&[
            ("version", num(1)),
            ("routes", Json::List(routes)),
            ("services", Json::List(vec![service])),
            ("limits", limits),
            ("tenants", Json::List(tenants)),
        ]);
        let put = map(&[
            ("key", text("op/config")),
            ("value", text(&base64(manifest.encode().as_bytes()))),
            ("lease", num(0)),
        ]);
        let txn = map(&[("puts", Json::List(vec![put]))]);
        self.store_call("POST", "/api/kv-txn", &txn.encode());
    }

    /// Starts a gate with the command of the deploy file and its template filled in.
    fn add_gate(&self, at: usize) {
        let (callers, ready, peer, metrics) = (
            free_address(),
            free_address(),
            free_address(),
            free_address(),
        );
        let name = format!("front-a-{}", at + 1);
        let settings = format!(
            "gate: \"{name}\"\nzone: \"a\"\ncallers: \"{callers}\"\nready: \"{ready}\"\n\
             peer: \"{peer}\"\nmetrics: \"{metrics}\"\nstore: \"{}\"\nadvice: \"{}\"\nshare: 0.25\n\
             cores: 1\nmemory_mb: 260\nmax_fds: 1000\nreserve_zones: 1\nbounds:\n  \
             task_lease_ms: 6000\n  revoke_ms: 5000\n  grace_s: 6\n  shown_s: 120\n",
            self.store,
            self.advice
                .as_ref()
                .map(|it| it.0.to_string())
                .unwrap_or_default()
        );
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let child = self.spawn_gate(&path, &log);
        self.record.add(&format!("gate {name} is started"));
        let gate = Gate {
            name,
            callers,
            settings: path,
            log,
            child,
            ends: 0,
            most_mb: 0,
        };
        self.gates.lock().unwrap().push(gate);
    }

    fn spawn_gate(&self, settings: &PathBuf, log: &PathBuf) -> Child {
        spawn_gate(&self.root, settings, log)
    }

    /// Starts an executor, also again after it was killed.
    pub fn start_executor(&mut self, id: &str, kind: &Kind) {
        let address = self.executors.get(id).map_or_else(free_address, |it| it.0);
        let own = std::env::current_exe().expect("the program has a path");
        let child = Command::new(own)
            .args([
                "executor",
                id,
                &address.to_string(),
                &self.store.to_string(),
                kind.zone,
            ])
            .args([&kind.labels.join(","), &kind.cpu.to_string()])
            .arg(&self.record_path)
            .spawn()
            .expect("the executor starts");
        self.executors
            .insert(id.to_owned(), (address, kind.clone(), Some(child)));
    }

    /// Lets an executor leave every second order to start without an answer for a while.
    pub fn make_grey(&self, id: &str, for_ms: u64) {
        let body = map(&[("for_ms", num(for_ms))]).encode();
        let address = self.executors[id].0;
        call(
            address,
            "POST",
            "/stand-in/grey",
            &[],
            &body,
            Duration::from_secs(1),
        );
    }

    /// Empties an executor and takes it away.
    pub fn drain_executor(&self, id: &str) {
        let address = self.executors[id].0;
        let limit = Duration::from_secs(1);
        call(address, "POST", "/stand-in/drain", &[], "{}", limit);
    }

    /// Stops the gate that has taken the ownership over last with SIGTERM, as the platform does.
    pub fn stop_owner(&self) {
        let gates = self.gates.lock().unwrap();
        let count = |gate: &Gate, what: &str| {
            let log = std::fs::read_to_string(&gate.log).unwrap_or_default();
            log.matches(what).count()
        };
        let is_owner = |gate: &&Gate| {
            count(gate, "this gate is the owner now") > count(gate, "no longer the owner")
        };
        let Some(owner) = gates.iter().find(is_owner) else {
            self.record.add("no gate is the owner");
            return;
        };
        let pid = owner.child.id().to_string();
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -TERM {pid}")])
            .status();
        self.record.add(&format!(
            "platform gate {} is stopped with SIGTERM",
            owner.name
        ));
    }

    /// Makes a client's call at a gate; records it and its answer.
    pub fn call(&self, gate: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let callers = self.gates.lock().unwrap()[gate].callers;
        let is_urgent = path.starts_with(URGENT);
        let key = if is_urgent {
            "Token key-of-urgent"
        } else {
            "Token key-of-usual"
        };
        let headers = [
            ("Host", HOST),
            ("Authorization", key),
            ("Wigeongate-Deadline-Ms", "3000"),
        ];
        let answer = call(
            callers,
            method,
            path,
            &headers,
            body,
            Duration::from_secs(4),
        );
        let shown = match &answer {
            Some((status, body)) => format!("{status} {}", body.encode()),
            None => "no answer".to_owned(),
        };
        let short: String = body.chars().take(300).collect();
        self.record
            .add(&format!("client {method} {path} {short} -> {shown}"));
        answer
    }

    /// Submits a job, and tries again at another gate as clients do; returns whether it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        self.submit_to(USUAL, id, body)
    }

    pub fn submit_to(&self, prefix: &str, id: &str, body: &str) -> bool {
        let path = format!("{prefix}{id}");
        let gates = self.gates.lock().unwrap().len();
        for attempt in 0..20 {
            if let Some((status, _)) = self.call(attempt % gates, "POST", &path, body)
                && (200..300).contains(&status)
            {
                return true;
            }
            if self.seconds() > LAST_CALL_S {
                break;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Asks for the state of a job at the gates in turn; empty without an answer of 200, `gone` for 410.
    pub fn state(&self, id: &str) -> String {
        let path = format!("{USUAL}{id}");
        let gates = self.gates.lock().unwrap().len();
        for gate in 0..gates {
            match self.call(gate, "GET", &path, "") {
                Some((200, body)) => return body.get("state").text().to_owned(),
                Some((410, _)) => return "gone".to_owned(),
                _ => {}
            }
        }
        String::new()
    }

    /// Waits until the gates are ready and `executors` of them are known to the owner.
    pub fn wait_ready(&self) {
        let probe = "0123456789abcdef";
        let body = job(
            "work 100",
            "{\"count\":1,\"cpu\":100,\"mem_mb\":10,\"estimate_ms\":100}",
        );
        self.wait_for("a first job", || self.submit(probe, &body));
        self.wait_for("its end", || self.state(probe) == "completed");
    }

    /// Returns the lines of the record.
    pub fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.record_path).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    /// Returns the executor that runs a task, from the record.
    pub fn host_of(&self, task: &str) -> Option<String> {
        let wanted = format!(" start {task} run ");
        let line = self
            .lines()
            .into_iter()
            .rev()
            .find(|line| line.contains(&wanted))?;
        line.split(' ').nth(2).map(str::to_owned)
    }

    /// Keeps the logs of the gates beside the record.
    pub fn keep_logs(&self) {
        for gate in self.gates.lock().unwrap().iter() {
            let to = self
                .record_path
                .with_file_name(format!("{}.log", gate.name));
            let _ = std::fs::copy(&gate.log, to);
        }
    }

    /// Ends gates whose memory is over the limit, as the platform does, and starts those that have ended
    /// again after a second.
    pub fn watch_memory(&self, limit_mb: u64) {
        let gates = Arc::clone(&self.gates);
        let record = Arc::clone(&self.record);
        let root = self.root.clone();
        let ending = Arc::clone(&self.ending);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                // Held while a gate is started again, so that the end of the play misses none.
                let mut gates = gates.lock().unwrap();
                if ending.load(Ordering::SeqCst) {
                    return;
                }
                for gate in gates.iter_mut() {
                    let path = format!("/proc/{}/status", gate.child.id());
                    let status = std::fs::read_to_string(path).unwrap_or_default();
                    let row = status.lines().find(|line| line.starts_with("VmRSS:"));
                    let kb: u64 = row
                        .and_then(|row| row.split_whitespace().nth(1)?.parse().ok())
                        .unwrap_or(0);
                    let is_over = kb > limit_mb * 1_024;
                    if kb / 10_240 > gate.most_mb / 10 {
                        gate.most_mb = kb / 1_024;
                        record.add(&format!(
                            "platform gate {} holds {} MB",
                            gate.name, gate.most_mb
                        ));
                    }
                    if is_over {
                        record.add(&format!(
                            "platform gate {} holds {} MB, over its {limit_mb} MB; it is killed",
                            gate.name,
                            kb / 1_024
                        ));
                        let _ = gate.child.kill();
                    }
                    if let Ok(Some(status)) = gate.child.try_wait() {
                        gate.ends += 1;
                        record.add(&format!("platform gate {} has ended: {status}", gate.name));
                        std::thread::sleep(Duration::from_millis(300));
                        gate.child = spawn_gate(&root, &gate.settings, &gate.log);
                        record.add(&format!("platform gate {} is started again", gate.name));
                    }
                }
            }
        });
    }
}

fn spawn_gate(root: &PathBuf, settings: &PathBuf, log: &PathBuf) -> Child {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log);
    let file = file.expect("the log can be written");
    Command::new(root.join("target/release/wigeongate"))
        .current_dir(root)
        .args(["--log-format", "json", "serve", "--settings"])
        .arg(settings)
        .stdout(Stdio::from(
            file.try_clone().expect("the log can be shared"),
        ))
        .stderr(Stdio::from(file))
        .spawn()
        .expect("the gate starts")
}

/// Returns the body of a job whose steps are given as JSON.
pub fn job(spec: &str, steps: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"steps\":[{steps}]}}")
}
