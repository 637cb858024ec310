//! A small deployment: a store, executors, an operator, and gates as processes of their own.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{Executor, Profile, Run, Runs};
use crate::http::call;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// The service whose executors run all tasks.
pub const SERVICE: &str = "render";

/// The key of the only tenant.
pub const API_KEY: &str = "review-key-1";

/// The host name of all routes.
const HOST: &str = "jobs.example";

/// How long a client waits for an answer, in milliseconds.
const CLIENT_MS: u64 = 3_000;

/// The processes that were started, for the end of a case that takes too long.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that still run.
pub fn kill_processes() {
    for process in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .arg("-9")
            .arg(process.to_string())
            .status();
    }
}

/// A case ends with this message if it cannot run.
pub type CannotRun = String;

/// A gate: a process of the product.
#[derive(Debug)]
struct Gate {
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gate {
    /// Starts the process with the command of the deploy file.
    fn start(&mut self) -> Result<(), CannotRun> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new("target/release/wigeongate")
            .args(["--log-format", "json", "serve", "--settings"])
            .arg(&self.settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("WIGEONGATE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("starting a gate: {error}"))?;
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES
                .lock()
                .unwrap()
                .retain(|process| *process != child.id());
        }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The running deployment.
#[derive(Debug)]
pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub runs: Runs,
    gates: Vec<Gate>,
    folder: PathBuf,
    next_gate: Mutex<usize>,
}

/// The size and the bounds of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    pub gates: usize,
    pub executors: Vec<Profile>,
    /// How long the state of an ended job is shown (`status_s`).
    pub status_s: u64,
    /// The routes of the first manifest.
    pub routes: Vec<&'static str>,
}

impl Plan {
    /// Three gates and as many equal executors as asked for.
    pub fn small(executors: usize) -> Self {
        let profile = |at: usize| Profile {
            id: format!("i-{at:04}"),
            service: SERVICE.to_owned(),
            zone: "zone-a".to_owned(),
            labels: vec!["a".to_owned(), format!("r1-{}", at / 4 + 1)],
            cpu: 16_000,
            up_before: Duration::from_secs(600),
        };
        Self {
            gates: 3,
            executors: (1..=executors).map(profile).collect(),
            status_s: 120,
            routes: vec!["one", "two"],
        }
    }
}

/// Returns a manifest with these routes; every route is a queue of its name.
pub fn manifest(version: u64, routes: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"unsafe\",\
                 \"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\
                 \"max_attempts\":3,\"stretch\":3.0,\"public\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_check\":false,\"spare\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"studio\",\"api_keys\":[\"{API_KEY}\"],\
         \"priority\":1,\"weight\":50,\"maximum\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}",
        routes.join(",")
    )
}

/// Returns the body of a job with steps of (count, cpu, after).
pub fn job(spec: &str, steps: &[(u32, u64, &[u32])]) -> String {
    let steps: Vec<String> = steps
        .iter()
        .map(|(count, cpu, after)| {
            let after: Vec<String> = after.iter().map(u32::to_string).collect();
            format!(
                "{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":256,\"estimate_ms\":1000,\"after\":[{}]}}",
                after.join(",")
            )
        })
        .collect();
    format!(
        "{{\"spec\":{},\"steps\":[{}]}}",
        quote(spec),
        steps.join(",")
    )
}

/// Returns a free address below the ports that the system gives to outgoing channels.
pub fn free_address() -> Result<SocketAddr, CannotRun> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let from = std::process::id().wrapping_mul(97);
    for _ in 0..2_000 {
        let at = from.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        let port = u16::try_from(20_000 + at).map_err(|error| error.to_string())?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".to_owned())
}

/// Fills in the settings template of the deploy file, as the platform does.
fn settings(template: &str, values: &[(&str, String)]) -> Result<String, CannotRun> {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    if text.contains("{{") {
        return Err(format!(
            "the settings template has an unknown field:\n{text}"
        ));
    }
    Ok(text)
}

impl Deployment {
    /// Starts everything, and waits until a job has run.
    pub fn start(plan: &Plan, record: &Arc<Record>) -> Result<Self, CannotRun> {
        let store = Store::start(Arc::clone(record));
        store.put("op/config", &manifest(1, &plan.routes), 0);
        let runs = Runs::default();
        let start = |profile: &Profile| Executor::start(profile.clone(), &store, record, &runs);
        let executors = plan.executors.iter().map(start).collect();
        let folder = std::env::temp_dir().join(format!("wigeongate-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let template = std::fs::read_to_string("deploy/settings.yaml")
            .map_err(|error| format!("deploy/settings.yaml: {error}"))?;
        let mut gates = Vec::new();
        for at in 0..plan.gates {
            let name = format!("front-{at}");
            let (callers, ready) = (free_address()?, free_address()?);
            let (peer, metrics) = (free_address()?, free_address()?);
            let values = [
                ("node", name.clone()),
                ("zone", "zone-a".to_owned()),
                ("listen.front", callers.to_string()),
                ("listen.ready", ready.to_string()),
                ("ip", "127.0.0.1".to_owned()),
                ("internal_ports.0", peer.port().to_string()),
                ("internal_ports.1", metrics.port().to_string()),
                ("platform.address", store.listen(at).to_string()),
                ("advice", free_address()?.to_string()),
                ("limits.cpu_share", "0.25".to_owned()),
                ("limits.cores", "1".to_owned()),
                ("limits.memory_mb", "260".to_owned()),
                ("limits.max_fds", "4100".to_owned()),
                ("fault_tolerance.zones", "1".to_owned()),
                (
                    "bounds.hold_max_ms",
                    crate::executor::HOLD_MAX_MS.to_string(),
                ),
                ("bounds.revoke_ms", "5000".to_owned()),
                ("bounds.grace_s", "6".to_owned()),
                ("bounds.status_s", plan.status_s.to_string()),
            ];
            let path = folder.join(format!("{name}.yaml"));
            std::fs::write(&path, settings(&template, &values)?)
                .map_err(|error| error.to_string())?;
            let mut gate = Gate {
                log: folder.join(format!("{name}.log")),
                settings: path,
                name,
                callers,
                ready,
                child: None,
            };
            gate.start()?;
            gates.push(gate);
        }
        let deployment = Self {
            record: Arc::clone(record),
            store,
            executors,
            runs,
            gates,
            folder,
            next_gate: Mutex::new(0),
        };
        deployment.warm_up(plan)?;
        Ok(deployment)
    }

    fn warm_up(&self, plan: &Plan) -> Result<(), CannotRun> {
        let ready = |gate: &Gate| {
            let answer = call(
                gate.ready,
                "GET",
                "/api/ready",
                &[],
                "",
                Duration::from_millis(500),
            );
            answer.is_some_and(|(status, _)| status == 200)
        };
        let all_ready = || self.gates.iter().all(ready);
        if !wait_until(Duration::from_secs(10), all_ready) {
            return Err("the gates do not become ready".to_owned());
        }
        let route = plan.routes.last().copied().unwrap_or("one");
        let body = job("ms=100", &[(2, 500, &[])]);
        self.submit(route, "00000000000000a0", &body)
            .ok_or("the first job is not accepted")?;
        let is_done = || self.state(route, "00000000000000a0").as_deref() == Some("completed");
        if !wait_until(Duration::from_secs(10), is_done) {
            return Err("the first job does not end".to_owned());
        }
        self.record.add("case", "the deployment is ready");
        Ok(())
    }

    /// Returns the number of gates.
    pub fn gates(&self) -> usize {
        self.gates.len()
    }

    /// Stops the process of a gate (SIGTERM), as for planned work; it has 6 s to end (`grace_s`).
    pub fn terminate(&mut self, gate: usize) {
        self.record
            .add("case", &format!("sends SIGTERM to gate {gate}"));
        let gate = &mut self.gates[gate];
        if let Some(child) = &mut gate.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg("-TERM").arg(id).status();
            wait_until(Duration::from_secs(6), || {
                matches!(child.try_wait(), Ok(Some(_)))
            });
        }
        gate.kill();
    }

    /// Starts the process of a gate again.
    pub fn restart(&mut self, gate: usize) -> Result<(), CannotRun> {
        self.record
            .add("case", &format!("starts gate {gate} again"));
        self.gates[gate].start()
    }

    /// Waits until a gate is the owner, other than the one named.
    pub fn wait_for_owner(&self, other_than: Option<usize>) -> Result<usize, CannotRun> {
        let owner = || {
            self.store
                .owner()
                .filter(|owner| Some(*owner) != other_than)
        };
        if wait_until(Duration::from_secs(10), || owner().is_some()) {
            return owner().ok_or_else(|| "the owner went away".to_owned());
        }
        Err("no gate becomes the owner".to_owned())
    }

    /// Sends one call of a client to a gate; returns the status and the body.
    pub fn call_gate(
        &self,
        gate: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let key = format!("Token {API_KEY}");
        let limit = CLIENT_MS.to_string();
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Wigeongate-Deadline-Ms", limit.as_str()),
        ];
        let gate = &self.gates[gate];
        let answer = call(
            gate.callers,
            method,
            path,
            &headers,
            body,
            Duration::from_millis(CLIENT_MS),
        );
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.add(
            "client",
            &format!("{method} {path} to {}: {shown}", gate.name),
        );
        answer
    }

    /// Sends one call to the next gate in turn whose process runs.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let gate = {
            let mut next = self.next_gate.lock().unwrap();
            loop {
                *next = (*next + 1) % self.gates.len();
                if self.gates[*next].child.is_some() {
                    break *next;
                }
            }
        };
        self.call_gate(gate, method, path, body)
    }

    /// Hands a job in, with up to four retries as the clients of the pages make them; returns
    /// whether it was accepted.
    pub fn submit(&self, route: &str, id: &str, body: &str) -> Option<()> {
        for _ in 0..5 {
            match self.call("POST", &format!("/{route}/{id}"), body) {
                Some((200..=299, _)) => return Some(()),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        None
    }

    /// Asks for the state of a job.
    pub fn state(&self, route: &str, id: &str) -> Option<String> {
        let (status, body) = self.call("GET", &format!("/{route}/{id}"), "")?;
        let state = crate::json::Json::parse(&body).map(|it| it.text_of("state"));
        if status == 200 {
            state
        } else {
            Some(status.to_string())
        }
    }

    /// Waits until a job is shown in this state.
    pub fn wait_for_state(&self, route: &str, id: &str, state: &str, limit: Duration) -> bool {
        wait_until(limit, || {
            thread::sleep(Duration::from_millis(200));
            self.state(route, id).as_deref() == Some(state)
        })
    }

    /// Returns the runs of a job.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(id))
            .cloned()
            .collect()
    }

    /// Returns what breaks the rule TWICE among the runs of a job: two runs of one task at a time,
    /// or a start after a run has ended as done whose end was taken note of.
    pub fn run_twice(&self, id: &str) -> Vec<String> {
        let runs = self.runs_of(id);
        let mut found = Vec::new();
        for (at, later) in runs.iter().enumerate() {
            for earlier in runs[..at].iter().filter(|run| run.task == later.task) {
                let text = format!(
                    "{}: run {} on {} and run {} on {}",
                    later.task, earlier.run, earlier.executor, later.run, later.executor
                );
                match earlier.ended {
                    Some((end, "done")) if end <= later.started && earlier.noted => {
                        found.push(format!(
                            "{text}: started after it was done, which was taken note of"
                        ));
                    }
                    Some((end, _)) if end <= later.started => {}
                    _ => found.push(format!("{text}: both at the same time")),
                }
            }
        }
        found
    }

    /// Copies the logs of the gates into a folder, for a look at the cause.
    pub fn keep_logs(&self, to: &Path) {
        let _ = std::fs::create_dir_all(to);
        for gate in &self.gates {
            let _ = std::fs::copy(&gate.log, to.join(format!("{}.log", gate.name)));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
        self.gates.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds; returns whether it came to hold in time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
