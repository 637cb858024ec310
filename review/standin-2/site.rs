//! A small deployment: the store, executors, and gates as processes with the command of the deploy file.

use std::fs;
use std::io::Read;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::executor::{Executor, Ledger, Offer};
use crate::http::{Server, call};
use crate::json::Json;
use crate::store::Store;

/// What hinders a case from running.
pub type Problem = String;

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/jobs/";
pub const URGENT_PREFIX: &str = "/urgent/";
pub const KEY: &str = "key-of-one";
pub const SERVICE: &str = "render";

/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that was started.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// One gate.
pub struct Gate {
    pub name: String,
    front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

pub struct Site {
    pub ledger: Arc<Ledger>,
    pub store: Arc<Store>,
    _server: Server,
    pub gates: Vec<Gate>,
    pub executors: Arc<Mutex<Vec<Arc<Executor>>>>,
    pub folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        for gate in &mut self.gates {
            gate.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a port below those that the system gives out, in a range of this process.
fn free_port() -> u16 {
    static NEXT: Mutex<u32> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    loop {
        let port = 10_000 + (std::process::id() % 200) * 100 + *next % 100;
        *next += 1;
        let port = u16::try_from(port).unwrap_or(0);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Gate {
    fn new(name: &str, zone: &str, store: &str, folder: &std::path::Path) -> Result<Self, Problem> {
        let template = fs::read_to_string("deploy/settings.yaml")
            .map_err(|error| format!("deploy/settings.yaml: {error}"))?;
        let [front, ready, peer, metrics] = [free_port(), free_port(), free_port(), free_port()];
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", format!("127.0.0.1:{front}")),
            ("listen.ready", format!("127.0.0.1:{ready}")),
            ("ip", "127.0.0.1".to_owned()),
            ("internal_ports.0", peer.to_string()),
            ("internal_ports.1", metrics.to_string()),
            ("platform.address", store.to_owned()),
            ("advice", "127.0.0.1:9".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
            ("fault_tolerance.zones", "1".to_owned()),
            ("bounds.hold_max_ms", "6000".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.status_s", "120".to_owned()),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err("deploy/settings.yaml has a placeholder that is not known here".to_owned());
        }
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            front: format!("127.0.0.1:{front}"),
            ready: format!("127.0.0.1:{ready}"),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> Result<(), Problem> {
        let open = || {
            fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&self.log)
        };
        let (out, err) = (
            open().map_err(|error| error.to_string())?,
            open().map_err(|error| error.to_string())?,
        );
        let child = Command::new("target/release/wigeongate")
            .args(["--log-format", "json", "serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn();
        let child = child.map_err(|error| format!("target/release/wigeongate: {error}"))?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Lets the machine go dark: the process stands still, and its connections stay silent.
    pub fn go_dark(&self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args(["-STOP", &child.id().to_string()])
                .status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            &self.ready,
            "GET",
            "/api/ready",
            &[],
            "",
            Duration::from_millis(300),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the memory of the process in use, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Site {
    /// Starts the store, gates and executors, and waits until all gates are ready.
    pub fn start(
        record: &str,
        gates: usize,
        executors: usize,
        offer: &Offer,
    ) -> Result<Self, Problem> {
        let ledger = Ledger::create(record).map_err(|error| format!("{record}: {error}"))?;
        let folder = std::env::temp_dir().join(format!("wigeongate-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (store, server) = Store::start().map_err(|error| error.to_string())?;
        let address = server.address.to_string();
        let mut site = Self {
            ledger,
            store,
            _server: server,
            gates: Vec::new(),
            executors: Arc::default(),
            folder,
        };
        site.store.put("op/config", &config());
        for at in 1..=executors {
            let kind = if at < executors { "a" } else { "b" };
            let labels = vec![kind.to_owned(), format!("r{at}")];
            let offer = Offer {
                zone: format!("zone-{}", at % 2),
                labels,
                ..offer.clone()
            };
            let id = format!("exec-{at}");
            let executor = Executor::start(&id, "127.0.0.1:0", &offer, &site.ledger, &site.store);
            let executor = executor.map_err(|error| error.to_string())?;
            site.executors.lock().unwrap().push(executor);
        }
        for at in 1..=gates {
            let gate = Gate::new(
                &format!("gate-{at}"),
                &format!("zone-{}", at % 2),
                &address,
                &site.folder,
            )?;
            site.gates.push(gate);
        }
        for gate in &mut site.gates {
            gate.start()?;
        }
        site.wait("all gates are ready", 20, |site| {
            site.gates.iter().all(Gate::is_ready)
        })?;
        site.wait("a gate is the owner", 20, |site| site.owner().is_some())?;
        // As on the platform, traffic starts some seconds after the machines.
        sleep(Duration::from_secs(3));
        Ok(site)
    }

    /// Waits until something holds.
    pub fn wait(
        &self,
        what: &str,
        seconds: u64,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Result<(), Problem> {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !holds(self) {
            if Instant::now() > until {
                return Err(format!("not within {seconds} s: {what}"));
            }
            sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Returns the gate that last took over, by what it wrote to the store.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("wigeongate/owner")?;
        let has = |name: &str| {
            value
                .windows(name.len())
                .any(|part| part == name.as_bytes())
        };
        self.gates.iter().position(|gate| has(&gate.name))
    }

    /// Calls a gate as a client of the tenant does.
    pub fn client(&self, gate: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let token = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", token.as_str()),
            ("Wigeongate-Deadline-Ms", "3000"),
        ];
        let front = &self.gates[gate].front;
        let answer = call(front, method, path, &headers, body, Duration::from_secs(3));
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        let short: String = body.chars().take(200).collect();
        self.ledger.note(&format!(
            "client: {method} {path} {short} at {} -> {shown}",
            self.gates[gate].name
        ));
        answer
    }

    /// Hands a job in as a client does: again with the same ID after no answer, 502 or 504, and after a 503.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), Problem> {
        self.submit_to(PREFIX, id, body)
    }

    /// Hands a job in at one of the queues.
    pub fn submit_to(&self, prefix: &str, id: &str, body: &str) -> Result<(), Problem> {
        for attempt in 0..5 {
            let gate = attempt % self.gates.len();
            if let Some((200, _)) = self.client(gate, "POST", &format!("{prefix}{id}"), body) {
                return Ok(());
            }
            sleep(Duration::from_millis(500));
        }
        Err(format!("the job {id} was not accepted"))
    }

    /// Asks for the state of a job, at one gate after the other.
    pub fn state(&self, id: &str) -> Option<(u16, String)> {
        let mut last = None;
        for gate in 0..self.gates.len() {
            if let Some((status, body)) = self.client(gate, "GET", &format!("{PREFIX}{id}"), "") {
                let state = body.at("state").text().to_owned();
                if status == 200 || status == 410 {
                    return Some((status, state));
                }
                last = Some((status, state));
            }
        }
        last
    }

    /// Returns all executors, also those that have crashed.
    pub fn executors(&self) -> Vec<Arc<Executor>> {
        self.executors.lock().unwrap().clone()
    }

    pub fn note(&self, line: &str) {
        self.ledger.note(line);
    }

    /// Keeps the logs of the gates beside the record.
    pub fn keep_logs(&self, to: &str) {
        for gate in &self.gates {
            let mut text = String::new();
            if fs::File::open(&gate.log)
                .and_then(|mut file| file.read_to_string(&mut text))
                .is_ok()
            {
                let _ = fs::write(format!("{to}/{}.log", gate.name), text);
            }
        }
    }
}

fn route(name: &str, prefix: &str, priority: u64) -> Json {
    Json::map(vec![
        ("name", Json::str(name)),
        ("host", Json::str(HOST)),
        ("prefix", Json::str(prefix)),
        ("service", Json::str(SERVICE)),
        ("priority", Json::int(priority)),
        ("max_attempts", Json::int(4)),
        ("stretch", Json::int(4)),
        ("target_latency_ms", Json::int(1_000)),
        ("timeout_ms", Json::int(3_000)),
    ])
}

fn config() -> Json {
    let routes = vec![
        route("renders", PREFIX, 1),
        route("urgent", URGENT_PREFIX, 0),
    ];
    let tenant = Json::map(vec![
        ("name", Json::str("one")),
        ("api_keys", Json::List(vec![Json::str(KEY)])),
        ("weight", Json::int(60)),
        (
            "maximum",
            Json::map(vec![
                ("cpu", Json::int(0)),
                ("mem_mb", Json::int(0)),
                ("gpu", Json::int(0)),
            ]),
        ),
    ]);
    let service = Json::map(vec![
        ("name", Json::str(SERVICE)),
        ("health_path", Json::str("/health")),
        ("admission_check", Json::Bool(false)),
    ]);
    let limits = Json::map(vec![
        ("max_header_bytes", Json::int(16_384)),
        ("max_body_bytes", Json::int(262_144)),
        ("header_timeout_ms", Json::int(10_000)),
        ("idle_timeout_ms", Json::int(30_000)),
    ]);
    Json::map(vec![
        ("version", Json::int(3)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
}
