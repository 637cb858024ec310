//! A process of an executor: runs tasks under leases and writes a line about each.
//!
//! Whether the leases have lapsed is checked before each call is carried out, so that a process that
//! wakes up after its leases have ended first ends its runs, as of the end of the leases.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bpaf::Bpaf;
use eyre::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::http::{Call, Reply, Request, call, serve};
use super::lines::{Line, Lines, What, steady_ms, unix_ms};

/// The longest lease.
pub const HOLD_MAX_MS: u64 = 6_000;

/// The time between heartbeats.
const HEARTBEAT_MS: u64 = 1_500;

/// How long an executor that drains goes on for certain after the store has accepted its report.
const DRAIN_MS: u64 = 2_000;

/// A pause between two checks from which on the process counts as suspended.
const GAP_MS: u64 = 300;

/// What an executor is.
#[derive(Debug, Clone, Bpaf)]
pub struct ExecutorOptions {
    /// The identifier.
    id: String,
    /// The availability zone.
    zone: String,
    /// The address on which it listens.
    address: SocketAddr,
    /// The address that it registers.
    registered: SocketAddr,
    /// The store.
    store: SocketAddr,
    /// The file to which the lines about its runs are added.
    lines: PathBuf,
    /// How slow its clock is, in thousandths.
    slow: u64,
}

#[derive(Debug)]
struct Running {
    until: u64,
    run: u64,
}

#[derive(Debug)]
struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    lapsed: bool,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    /// The end of the leases, on the executor's clock.
    deadline: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<Ended>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
    draining: Option<u64>,
    /// Whether it ends its registration before it exits.
    deregisters: bool,
    /// How long the steady clock has stood still, in milliseconds.
    stood_still: u64,
    /// Whether the clock stands still during the next suspension.
    stands_still: bool,
    last_check: u64,
}

#[derive(Debug)]
struct Executor {
    options: ExecutorOptions,
    born: u64,
    booted: u64,
    lines: Lines,
    state: Mutex<State>,
    changed: Notify,
}

/// Runs until the standard input ends, which carries the commands `drain MS`, `deregister`
/// and `stand-still`.
pub fn run(options: &ExecutorOptions) -> Result<()> {
    let lines = Lines::open(&options.lines)?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(async {
            let listener = TcpListener::bind(options.address).await?;
            let executor = Arc::new(Executor {
                options: options.clone(),
                born: unix_ms(),
                booted: steady_ms(),
                lines,
                state: Mutex::default(),
                changed: Notify::new(),
            });
            executor.state().last_check = steady_ms();
            let served = Arc::clone(&executor);
            tokio::spawn(serve(listener, move |request| {
                let executor = Arc::clone(&served);
                async move { executor.answer(request).await }
            }));
            let checking = Arc::clone(&executor);
            tokio::spawn(async move {
                loop {
                    sleep(Duration::from_millis(5)).await;
                    checking.end_due_runs(&mut checking.state());
                }
            });
            tokio::spawn(Arc::clone(&executor).register());
            let mut commands = BufReader::new(tokio::io::stdin()).lines();
            while let Some(command) = commands.next_line().await? {
                match command.split_once(' ') {
                    Some(("drain", more)) => {
                        executor.state().draining = Some(more.parse()?);
                    }
                    _ if command == "deregister" => executor.state().deregisters = true,
                    _ => executor.state().stands_still = true,
                }
            }
            Ok(())
        })
}

impl Executor {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the executor's clock, which does not count suspensions during which it stands still.
    fn clock(&self, state: &mut State) -> u64 {
        let now = steady_ms();
        let gap = now.saturating_sub(state.last_check);
        state.last_check = now;
        if gap > GAP_MS && std::mem::take(&mut state.stands_still) {
            state.stood_still += gap;
            for running in state.running.values_mut() {
                running.until += gap;
            }
        }
        let up = now - self.booted - state.stood_still;
        1_000 + up - up * self.options.slow / 1_000
    }

    fn line(&self, state: &State, what: What, at: u64) -> Line {
        let now = steady_ms();
        Line {
            at,
            unix: unix_ms() - (now - at),
            what,
            host: self.options.id.clone(),
            process: std::process::id(),
            task: String::new(),
            run: 0,
            how: String::new(),
            lapsed: false,
            clock: 0,
            deadline: state.deadline,
            fence: state.fence,
        }
    }

    fn end_due_runs(&self, state: &mut State) {
        let clock = self.clock(state);
        let now = steady_ms();
        if clock > state.deadline {
            state.ended.iter_mut().for_each(|end| end.lapsed = true);
            let late = (clock - state.deadline) * 1_000 / (1_000 - self.options.slow);
            let tasks: Vec<String> = state.running.keys().cloned().collect();
            for task in tasks {
                self.end(state, &task, "lapsed", now - late.min(now));
            }
            return;
        }
        let due = state.running.iter().filter(|(_, it)| it.until <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end(state, &task, "done", now);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str, at: u64) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        let run = running.run;
        state.last_end += 1;
        state.ended.push(Ended {
            number: state.last_end,
            task: task.to_owned(),
            run,
            how,
            lapsed: how == "lapsed",
        });
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        self.lines.add(&Line {
            task: task.to_owned(),
            run,
            how: how.to_owned(),
            ..self.line(state, What::End, at)
        });
        self.changed.notify_waiters();
    }

    fn reply(&self, status: u16, state: &mut State, reason: &str) -> Reply {
        let mut body = json!({ "clock_ms": self.clock(state), "born": self.born });
        if !reason.is_empty() {
            body["reason"] = json!(reason);
        }
        (status, body)
    }

    async fn answer(&self, request: Request) -> Reply {
        let body = &request.body;
        {
            let mut state = self.state();
            self.end_due_runs(&mut state);
            let expected = request.headers.get("wigeongate-expected-instance");
            if expected.is_some_and(|id| *id != self.options.id) {
                return self.reply(421, &mut state, "");
            }
            let fence = body["fence"].as_u64().unwrap_or(0);
            if fence < state.fence {
                return self.reply(409, &mut state, "fence");
            }
            if fence > state.fence {
                state.fence = fence;
                self.lines.add(&self.line(&state, What::Fence, steady_ms()));
            }
        }
        match request.path.as_str() {
            "/api/run-start" => self.start(body),
            "/api/run-stop" => self.stop(body),
            "/api/hold" => self.hold(body).await,
            _ => (404, json!({})),
        }
    }

    /// Extends the leases; they never shorten.
    fn extend(&self, state: &mut State, deadline: u64) {
        let clock = self.clock(state);
        state.deadline = state.deadline.max(deadline.min(clock + HOLD_MAX_MS));
    }

    fn start(&self, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        let mut state = self.state();
        let state = &mut *state;
        if deadline <= self.clock(state) {
            return self.reply(409, state, "late");
        }
        self.extend(state, deadline);
        let running = state.running.get(&task).map_or(0, |it| it.run);
        if running == run {
            return self.reply(200, state, "");
        }
        if run <= running.max(state.closed.get(&task).copied().unwrap_or(0)) {
            return self.reply(409, state, "old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let now = steady_ms();
        let until = now + run_ms(spec, &task);
        state.running.insert(task.clone(), Running { until, run });
        let clock = self.clock(state);
        self.lines.add(&Line {
            task,
            run,
            clock,
            ..self.line(state, What::Start, now)
        });
        self.reply(200, state, "")
    }

    fn stop(&self, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.state();
        if state.running.get(&task).is_some_and(|it| it.run <= run) {
            self.end(&mut state, &task, "stopped", steady_ms());
        }
        let closed = state.closed.entry(task).or_default();
        *closed = run.max(*closed);
        self.reply(200, &mut state, "")
    }

    async fn hold(&self, body: &Value) -> Reply {
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let wait = body["wait_ms"].as_u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        {
            let mut state = self.state();
            let state = &mut *state;
            for end in state.ended.extract_if(.., |end| end.number <= seen) {
                self.lines.add(&Line {
                    task: end.task,
                    run: end.run,
                    how: end.how.to_owned(),
                    lapsed: end.lapsed,
                    at: steady_ms(),
                    unix: unix_ms(),
                    what: What::Noted,
                    host: self.options.id.clone(),
                    process: std::process::id(),
                    clock: 0,
                    deadline: state.deadline,
                    fence: state.fence,
                });
            }
            if let Some(deadline) = body["deadline_ms"].as_u64() {
                self.extend(state, deadline);
            }
            let clock = self.clock(state);
            self.lines.add(&Line {
                clock,
                how: body["deadline_ms"].to_string(),
                ..self.line(state, What::Poll, steady_ms())
            });
        }
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.state();
                self.end_due_runs(&mut state);
                if !state.ended.is_empty() || Instant::now() >= until {
                    return self.report(&mut state);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            let _ = timeout(left, changed).await;
        }
    }

    fn report(&self, state: &mut State) -> Reply {
        let (status, mut body) = self.reply(200, state, "");
        let running = state.running.iter();
        let running = running.map(|(task, it)| json!([task, it.run, "", 100]));
        body["running"] = running.collect();
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|it| json!([it.number, it.task, it.run, it.how, ""]));
        body["ended"] = ended.collect();
        (status, body)
    }

    /// Writes the entry in the store and renews it; ends the process when it has drained.
    async fn register(self: Arc<Self>) {
        let (mut lease, mut written) = (0, String::new());
        let mut exit = None;
        loop {
            let draining = self.state().draining;
            if self.state().deregisters {
                let more = draining.unwrap_or(0);
                exit = exit.or_else(|| Some(Instant::now() + Duration::from_millis(more)));
                if exit.is_some_and(|exit| exit <= Instant::now()) {
                    self.exit(lease).await;
                }
                sleep(Duration::from_millis(50)).await;
                continue;
            }
            let entry = self.entry(draining.is_some());
            let kept = lease > 0
                && self
                    .store_call(&format!("kv-keep/{lease}"), &json!({}))
                    .await;
            if !kept || entry != written {
                written.clear();
                if !kept {
                    lease = self.grant().await;
                }
                if lease > 0 && self.put(&entry, lease).await {
                    written.clone_from(&entry);
                }
            }
            if let Some(more) = draining
                && exit.is_none()
                && written == entry
            {
                exit = Some(Instant::now() + Duration::from_millis(DRAIN_MS + more));
            }
            let beat = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
            while Instant::now() < beat {
                if exit.is_some_and(|exit| exit <= Instant::now()) {
                    self.exit(lease).await;
                }
                let (drains, deregisters) = {
                    let state = self.state();
                    (state.draining.is_some(), state.deregisters)
                };
                if deregisters && lease > 0 {
                    self.end_registration(lease).await;
                    lease = 0;
                }
                if drains && draining.is_none() {
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn exit(&self, lease: u64) -> ! {
        {
            let state = self.state();
            self.lines.add(&self.line(&state, What::Exit, steady_ms()));
        }
        self.end_registration(lease).await;
        std::process::exit(0);
    }

    async fn end_registration(&self, lease: u64) {
        let path = format!("/api/kv-lease-end/{lease}");
        let _ = self.call("DELETE", &path, &json!({})).await;
    }

    async fn call(&self, method: &str, path: &str, body: &Value) -> Option<Reply> {
        let limit = Duration::from_millis(800);
        let peer = self.options.store;
        let made = Call {
            peer,
            method,
            path,
            headers: "",
            body,
            limit,
        };
        call(made).await.ok()
    }

    async fn store_call(&self, name: &str, body: &Value) -> bool {
        let reply = self.call("POST", &format!("/api/{name}"), body).await;
        reply.is_some_and(|(status, _)| status == 200)
    }

    async fn grant(&self) -> u64 {
        let body = json!({ "ttl_ms": 3 * HEARTBEAT_MS });
        let reply = self.call("POST", "/api/kv-lease", &body).await;
        let reply = reply.filter(|(status, _)| *status == 200);
        reply
            .and_then(|(_, body)| body["lease"].as_u64())
            .unwrap_or(0)
    }

    async fn put(&self, entry: &str, lease: u64) -> bool {
        let key = format!("servers/{}", self.options.id);
        let row = json!({ "key": key, "value": STANDARD.encode(entry), "lease": lease });
        let body = json!({ "expected_rev": [], "puts": [row], "remove": [] });
        self.store_call("kv-txn", &body).await
    }

    fn entry(&self, draining: bool) -> String {
        let state = if draining { "draining" } else { "ready" };
        json!({
            "service": "desk", "address": self.options.registered.to_string(),
            "zone": self.options.zone, "version": "v1", "slots": 8, "state": state,
            "cold_left_ms": 0, "capacity": { "cpu": 16_000, "mem_mb": 32_000, "gpu": 0 },
            "labels": ["kind-a", format!("rack-{}", self.options.zone)],
            "born": self.born, "seq": 1,
        })
        .to_string()
    }
}

/// Returns how long a task runs, from the bounds in its spec.
fn run_ms(spec: &str, task: &str) -> u64 {
    let mut words = spec.split(' ').filter_map(|it| it.parse::<u64>().ok());
    let shortest = words.next().unwrap_or(1_000);
    let longest = words.next().unwrap_or(shortest);
    let mut hasher = DefaultHasher::new();
    task.hash(&mut hasher);
    shortest + hasher.finish() % (longest - shortest + 1)
}
