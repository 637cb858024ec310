//! A process of an executor, as PROTOCOL.md tells it: runs tasks under leases and adds a line about
//! each start and end to the record. A spec `work MS` tells how long a task runs.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::record::{Record, unix_ms};
use crate::wire::{Json, Reply, Request, base64, call, map, num, serve, text};

/// The longest lease, and the time between two heartbeats, as on the sites.
const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;

/// How long an executor that drains serves once the store has accepted its report (`drain_ms`).
const DRAIN_MS: u64 = 2_000;

pub struct Options {
    pub id: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub record: PathBuf,
}

struct Running {
    run: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
    /// Whether the executor is to be emptied and taken away.
    draining: bool,
    /// Until when every second order to start gets no answer and is not carried out.
    grey: Option<Instant>,
    starts: u64,
}

struct Executor {
    options: Options,
    born: u64,
    booted: Instant,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves until the process is ended.
pub fn run(options: Options) {
    let listener = TcpListener::bind(options.address).expect("the executor's address is free");
    let executor = Arc::new(Executor {
        record: Record::open(&options.record),
        options,
        born: unix_ms(),
        booted: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    executor.line(&format!("is up, born {}", executor.born));
    let checking = Arc::clone(&executor);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            checking.end_due(&mut checking.state.lock().unwrap());
        }
    });
    let registering = Arc::clone(&executor);
    std::thread::spawn(move || registering.register());
    serve(listener, Arc::new(move |request| executor.answer(&request)));
}

impl Executor {
    fn line(&self, what: &str) {
        self.record
            .add(&format!("executor {} {what}", self.options.id));
    }

    fn clock(&self) -> u64 {
        1_000 + self.booted.elapsed().as_millis() as u64
    }

    fn end_due(&self, state: &mut State) {
        let lapsed = !state.running.is_empty() && self.clock() > state.deadline;
        let now = Instant::now();
        let due: Vec<String> = state
            .running
            .iter()
            .filter(|(_, it)| lapsed || it.until <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(state, &task, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        state
            .ended
            .push((state.last_end, task.to_owned(), running.run, how));
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = running.run.max(*closed);
        self.line(&format!("end {task} run {} {how}", running.run));
        self.changed.notify_all();
    }

    fn reply(&self, status: u16, rows: &[(&str, Json)]) -> Reply {
        let mut all = vec![("clock_ms", num(self.clock())), ("born", num(self.born))];
        all.extend(rows.iter().cloned());
        (status, map(&all))
    }

    fn refuse(&self, reason: &str) -> Reply {
        self.reply(409, &[("reason", text(reason))])
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.method == "GET" {
            return (200, Json::Map(Vec::new()));
        }
        let body = &request.body;
        if request.path == "/stand-in/grey" {
            let ms = body.get("for_ms").number().unwrap_or(0);
            self.state.lock().unwrap().grey = Some(Instant::now() + Duration::from_millis(ms));
            self.line(&format!(
                "leaves every second start without an answer for {ms} ms"
            ));
            return self.reply(200, &[]);
        }
        if request.path == "/stand-in/drain" {
            self.state.lock().unwrap().draining = true;
            self.line("is to be taken away");
            return self.reply(200, &[]);
        }
        if request.path == "/api/run-start" && self.is_hung() {
            let task = body.get("task").text();
            self.line(&format!("leaves an order without an answer: {task}"));
            std::thread::sleep(Duration::from_secs(30));
            return (503, Json::Map(Vec::new()));
        }
        let expected = request.headers.get("wigeongate-expected-instance");
        if expected.is_some_and(|id| *id != self.options.id) {
            return self.reply(421, &[]);
        }
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/api/run-start" => self.start(&mut state, body),
            "/api/run-stop" => self.stop(&mut state, body),
            "/api/hold" => self.hold(state, body),
            _ => (404, Json::Map(Vec::new())),
        }
    }

    /// Returns whether an order to start hangs.
    fn is_hung(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.starts += 1;
        state.starts % 2 == 0 && state.grey.is_some_and(|until| Instant::now() < until)
    }

    fn extend(&self, state: &mut State, deadline: u64) {
        state.deadline = state.deadline.max(deadline.min(self.clock() + HOLD_MAX_MS));
    }

    fn start(&self, state: &mut State, body: &Json) -> Reply {
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let deadline = body.get("deadline_ms").number().unwrap_or(0);
        if deadline <= self.clock() {
            return self.refuse("late");
        }
        self.extend(state, deadline);
        let running = state.running.get(task).map_or(0, |it| it.run);
        if running == run {
            return self.reply(200, &[]);
        }
        if run <= running.max(state.closed.get(task).copied().unwrap_or(0)) {
            return self.refuse("old");
        }
        let mut words = body.get("spec").text().split(' ');
        let work = words.nth(1).and_then(|it| it.parse().ok()).unwrap_or(1_000);
        let until = Instant::now() + Duration::from_millis(work);
        state
            .running
            .insert(task.to_owned(), Running { run, until });
        self.line(&format!("start {task} run {run}"));
        self.reply(200, &[])
    }

    fn stop(&self, state: &mut State, body: &Json) -> Reply {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        if state.running.get(&task).is_some_and(|it| it.run <= run) {
            self.end(state, &task, "stopped");
        }
        let closed = state.closed.entry(task).or_default();
        *closed = run.max(*closed);
        self.reply(200, &[])
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Reply {
        let seen = body.get("last_seen").number().unwrap_or(0);
        let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        state.ended.retain(|end| end.0 > seen);
        if let Some(deadline) = body.get("deadline_ms").number() {
            self.extend(&mut state, deadline);
        }
        loop {
            self.end_due(&mut state);
            let now = Instant::now();
            if !state.ended.is_empty() || now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        let running = state.running.iter().map(|(task, it)| {
            let row = vec![text(task), num(it.run), text(""), num(100), num(1_000)];
            Json::List(row)
        });
        let running = Json::List(running.collect());
        let ended = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                Json::List(vec![
                    num(*number),
                    text(task),
                    num(*run),
                    text(how),
                    text(""),
                ])
            });
        let ended = Json::List(ended.collect());
        self.reply(200, &[("running", running), ("ended", ended)])
    }

    /// Goes on for the time for which an executor that drains still serves, then ends the registration and
    /// the process; everything that runs ends with it.
    fn leave(&self, lease: u64) {
        self.line("has announced its shutdown");
        std::thread::sleep(Duration::from_millis(DRAIN_MS));
        let running = self.state.lock().unwrap().running.len();
        self.line(&format!("leaves; its {running} runs end"));
        let path = format!("/api/kv-lease-end/{lease}");
        call(
            self.options.store,
            "DELETE",
            &path,
            &[],
            "",
            Duration::from_millis(800),
        );
        std::process::exit(0);
    }

    /// Writes the entry in the store under a lease, and renews it.
    fn register(&self) {
        let labels = Json::List(self.options.labels.iter().map(|it| text(it)).collect());
        let capacity = map(&[
            ("cpu", num(self.options.cpu)),
            ("mem_mb", num(self.options.mem_mb)),
            ("gpu", num(0)),
        ]);
        let entry_of = |state: &str| {
            map(&[
                ("service", text("desk")),
                ("address", text(&self.options.address.to_string())),
                ("zone", text(&self.options.zone)),
                ("version", text("v1")),
                ("slots", num(8)),
                ("state", text(state)),
                ("cold_left_ms", num(0)),
                ("capacity", capacity.clone()),
                ("labels", labels.clone()),
                ("born", num(self.born)),
                ("seq", num(1)),
            ])
        };
        let limit = Duration::from_millis(800);
        let post = |path: &str, body: &Json| {
            call(self.options.store, "POST", path, &[], &body.encode(), limit)
                .filter(|(status, _)| *status == 200)
        };
        let (mut lease, mut written) = (0, "");
        loop {
            let state = if self.state.lock().unwrap().draining {
                "draining"
            } else {
                "ready"
            };
            let entry = entry_of(state);
            let path = format!("/api/kv-keep/{lease}");
            let is_kept = lease > 0 && post(&path, &Json::Map(Vec::new())).is_some();
            if !is_kept || written != state {
                let ttl = map(&[("ttl_ms", num(3 * HEARTBEAT_MS))]);
                let granted = post("/api/kv-lease", &ttl);
                lease = granted
                    .and_then(|it| it.1.get("lease").number())
                    .unwrap_or(0);
                let put = map(&[
                    ("key", text(&format!("servers/{}", self.options.id))),
                    ("value", text(&base64(entry.encode().as_bytes()))),
                    ("lease", num(lease)),
                ]);
                let txn = map(&[
                    ("expected_rev", Json::List(Vec::new())),
                    ("puts", Json::List(vec![put])),
                    ("remove", Json::List(Vec::new())),
                ]);
                written = state;
                if lease > 0 && post("/api/kv-txn", &txn).is_none() {
                    lease = 0;
                    written = "";
                }
            }
            if written == "draining" {
                self.leave(lease);
            }
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }
}
