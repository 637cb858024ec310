//! An executor of the platform: runs tasks under leases and reports them, as the pages describe it.
//!
//! The `spec` of a job says how its tasks behave, in words: `ms=900` is the length of a run, and
//! `fail=2` says that the runs of each task up to number 2 on any executor end as failed.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::free_address;
use crate::http::{Reply, Request, serve_channel};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// The longest lease of a task (`hold_max_ms`).
pub const HOLD_MAX_MS: u64 = 6_000;

/// The time between liveness reports (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What an executor is.
#[derive(Debug, Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    /// What the steady clock shows at the start of the case: the executor was up before.
    pub up_before: Duration,
}

/// How the network treats channels to the executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Up,
    /// Open channels are reset, and new ones are refused.
    Refused,
}

/// One run of a task, for the checks at the end of a case.
#[derive(Debug, Clone)]
pub struct Run {
    pub executor: String,
    pub task: String,
    pub run: u32,
    pub started: Instant,
    /// When and how it ended; `None` while it runs.
    pub ended: Option<(Instant, &'static str)>,
    /// Whether its end was taken note of, with no lapse of the executor's lease between the two.
    pub noted: bool,
}

/// All runs of a case, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Debug)]
struct Running {
    run: u32,
    until: Instant,
    fails: bool,
    index: usize,
}

#[derive(Debug)]
struct State {
    /// Whether the process runs.
    alive: bool,
    link: Link,
    /// Whether it reaches the store.
    reaches_store: bool,
    draining: bool,
    profile: Profile,
    born: u64,
    boot: Instant,
    clock_from: Duration,
    fence: u64,
    /// The deadline of all tasks, on the executor's clock.
    deadline: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u32, &'static str, usize)>,
    last_end: u64,
    /// The ended runs after whose end the lease has lapsed.
    lapsed: Vec<usize>,
    /// The highest run of each task that was stopped or ended here.
    closed: HashMap<String, u32>,
    channels: Vec<TcpStream>,
}

/// An executor.
#[derive(Debug)]
pub struct Executor {
    state: Mutex<State>,
    changed: Condvar,
    address: SocketAddr,
    record: Arc<Record>,
    runs: Runs,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}

impl Executor {
    /// Starts an executor that registers itself in the store.
    pub fn start(
        profile: Profile,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Arc<Self> {
        let address = free_address().expect("a free port for an executor");
        let executor = Arc::new(Self {
            state: Mutex::new(State {
                alive: true,
                link: Link::Up,
                reaches_store: true,
                draining: false,
                born: unix_ms() - profile.up_before.as_millis() as u64,
                boot: Instant::now(),
                clock_from: profile.up_before,
                profile,
                fence: 0,
                deadline: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                lapsed: Vec::new(),
                closed: HashMap::new(),
                channels: Vec::new(),
            }),
            changed: Condvar::new(),
            address,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        let accepting = Arc::clone(&executor);
        thread::spawn(move || accepting.accept());
        let working = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                working.work();
            }
        });
        let (beating, store) = (Arc::clone(&executor), Arc::clone(store));
        thread::spawn(move || beating.register(&store));
        executor
    }

    /// Returns the identifier.
    pub fn id(&self) -> String {
        self.state.lock().unwrap().profile.id.clone()
    }

    /// Ends the process: what runs ends with it, and nothing is remembered.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.alive = false;
        self.note(&state, "crashes");
        for running in std::mem::take(&mut state.running).into_values() {
            self.end_run(running.index, "lost");
        }
        state.close_channels();
        state.fence = 0;
        state.deadline = 0;
        state.ended.clear();
        state.last_end = 0;
        state.closed.clear();
        self.changed.notify_all();
    }

    /// Starts the process again under the same identifier and address.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.alive = true;
        state.draining = false;
        state.born = unix_ms();
        state.boot = Instant::now();
        state.clock_from = Duration::ZERO;
        self.note(&state, "starts again under the same id");
    }

    /// Changes how the network treats channels to the executor, and whether it reaches the store.
    pub fn set_link(&self, link: Link, reaches_store: bool) {
        let mut state = self.state.lock().unwrap();
        state.link = link;
        state.reaches_store = reaches_store;
        self.note(
            &state,
            &format!("its link is now {link:?}, it reaches the store: {reaches_store}"),
        );
        if link != Link::Up {
            state.close_channels();
        }
    }

    /// Announces a planned shutdown.
    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        state.draining = true;
        self.note(&state, "reports draining");
    }

    fn note(&self, state: &State, what: &str) {
        self.record.add(&state.profile.id, what);
    }

    fn accept(self: &Arc<Self>) {
        loop {
            let open = || {
                let state = self.state.lock().unwrap();
                state.alive && state.link == Link::Up
            };
            while !open() {
                thread::sleep(Duration::from_millis(2));
            }
            let listener = TcpListener::bind(self.address).expect("the executor's port again");
            listener
                .set_nonblocking(true)
                .expect("a listener that can be closed");
            while open() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let clone = stream.try_clone();
                self.state.lock().unwrap().channels.extend(clone);
                let executor = Arc::clone(self);
                let boot = self.state.lock().unwrap().boot;
                thread::spawn(move || {
                    let _ = serve_channel(stream, &|request| executor.answer(boot, request));
                });
            }
        }
    }

    /// Writes the entry in the store, and again whenever it changes; each report renews it.
    fn register(&self, store: &Store) {
        let mut written = String::new();
        let mut lease = 0;
        let mut last_beat = Instant::now() - HEARTBEAT;
        loop {
            thread::sleep(Duration::from_millis(20));
            let (key, entry, up) = {
                let state = self.state.lock().unwrap();
                let key = format!("servers/{}", state.profile.id);
                (
                    key,
                    state.entry(self.address),
                    state.alive && state.reaches_store,
                )
            };
            if !up {
                continue;
            }
            if last_beat.elapsed() >= HEARTBEAT || entry != written {
                last_beat = Instant::now();
                // An entry is removed after three intervals of silence.
                let kept = lease != 0 && store.keep(lease);
                if !kept {
                    lease = store.grant(HEARTBEAT * 3);
                }
                if (!kept || entry != written || !store.has(&key)) && store.put(&key, &entry, lease)
                {
                    written = entry;
                }
            }
        }
    }

    /// Ends the runs that are over and, after the lease, all of them.
    fn work(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.alive || state.running.is_empty() {
            return;
        }
        let now = Instant::now();
        let lapsed = state.clock_ms() > state.deadline;
        let over = state
            .running
            .iter()
            .filter(|(_, running)| lapsed || running.until <= now);
        let over: Vec<(String, &'static str)> = over
            .map(|(task, running)| {
                let how = if running.until > now {
                    "lapsed"
                } else if running.fails {
                    "failed"
                } else {
                    "done"
                };
                (task.clone(), how)
            })
            .collect();
        for (task, how) in over {
            self.close(&mut state, &task, how);
        }
    }

    /// Ends a run and lists its end.
    fn close(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let end = (
            state.last_end,
            task.to_owned(),
            running.run,
            how,
            running.index,
        );
        state.ended.push(end);
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = running.run.max(*closed);
        self.end_run(running.index, how);
        self.note(state, &format!("{task} run {} ends: {how}", running.run));
        self.changed.notify_all();
    }

    fn end_run(&self, index: usize, how: &'static str) {
        self.runs.lock().unwrap()[index].ended = Some((Instant::now(), how));
    }

    /// Answers a call on a channel of a boot; a process that has ended does nothing more.
    fn answer(&self, boot: Instant, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(2));
        let state = self.state.lock().unwrap();
        if !state.alive || state.boot != boot {
            return Reply::Silence;
        }
        if request.path == "/health" {
            let id = quote(&state.profile.id);
            return Reply::Answer(200, format!("{{\"id\":{id}}}"));
        }
        let Some(call) = Json::parse(&request.body) else {
            return Reply::Answer(400, String::new());
        };
        let expected = request.header("Wigeongate-Expected-Instance");
        if !expected.is_empty() && expected != state.profile.id {
            return state.answer(421, "");
        }
        let mut state = state;
        let fence = call.number_of("fence");
        if fence < state.fence {
            return state.answer(409, ",\"reason\":\"fence\"");
        }
        if fence > state.fence {
            state.fence = fence;
            self.note(&state, &format!("sees fence {fence}"));
        }
        match request.path.as_str() {
            "/api/run-start" => self.start_run(&mut state, &call),
            "/api/run-stop" => self.stop_run(&mut state, &call),
            "/api/hold" => {
                drop(state);
                self.hold(&call)
            }
            _ => state.answer(404, ""),
        }
    }

    fn start_run(&self, state: &mut State, call: &Json) -> Reply {
        let task = call.text_of("task");
        let run = call.number_of("run") as u32;
        let spec = call.text_of("spec");
        let named = |name: &str| {
            let words = spec
                .split_whitespace()
                .filter_map(|word| word.split_once('='));
            words
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse::<u64>().ok())
        };
        if call.number_of("deadline_ms") <= state.clock_ms() {
            return state.answer(409, ",\"reason\":\"late\"");
        }
        state.see_lapse();
        state.extend(call.number_of("deadline_ms"));
        if state
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return state.answer(200, "");
        }
        let highest = state.running.get(&task).map_or(0, |running| running.run);
        if run <= highest.max(state.closed.get(&task).copied().unwrap_or(0)) {
            return state.answer(409, ",\"reason\":\"old\"");
        }
        let now = Instant::now();
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                executor: state.profile.id.clone(),
                task: task.clone(),
                run,
                started: now,
                ended: None,
                noted: false,
            });
            runs.len() - 1
        };
        let fence = call.number_of("fence");
        self.note(
            state,
            &format!("{task} run {run} starts on an order with fence {fence}"),
        );
        let until = now + Duration::from_millis(named("ms").unwrap_or(1_000));
        let fails = u64::from(run) <= named("fail").unwrap_or(0);
        let running = Running {
            run,
            until,
            fails,
            index,
        };
        state.running.insert(task, running);
        state.answer(200, "")
    }

    fn stop_run(&self, state: &mut State, call: &Json) -> Reply {
        let task = call.text_of("task");
        let run = call.number_of("run") as u32;
        let here = state
            .running
            .get(&task)
            .is_some_and(|running| running.run <= run);
        if here {
            self.close(state, &task, "stopped");
        }
        let closed = state.closed.entry(task).or_default();
        *closed = run.max(*closed);
        state.answer(200, "")
    }

    /// Extends the lease, forgets the ends that were taken note of, and lists runs and ends.
    fn hold(&self, call: &Json) -> Reply {
        let until = Instant::now() + Duration::from_millis(call.number_of("wait_ms").min(2_000));
        let mut state = self.state.lock().unwrap();
        let born = state.born;
        let last_seen = call.number_of("last_seen");
        state.see_lapse();
        for (_, task, run, how, index) in state.ended.iter().filter(|end| end.0 <= last_seen) {
            self.runs.lock().unwrap()[*index].noted = !state.lapsed.contains(index);
            self.note(
                &state,
                &format!("the end of {task} run {run} ({how}) is taken note of"),
            );
        }
        state.ended.retain(|end| end.0 > last_seen);
        if let Some(deadline) = call.get("deadline_ms").and_then(Json::number) {
            state.extend(deadline);
        }
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.alive || state.born != born {
                return Reply::Silence;
            }
            if !state.ended.is_empty() || left.is_zero() {
                return Reply::Answer(200, state.report());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        (self.clock_from + self.boot.elapsed()).as_millis() as u64
    }

    /// Extends the lease of everything that runs here; it never shortens.
    fn extend(&mut self, deadline: u64) {
        self.deadline = self
            .deadline
            .max(deadline.min(self.clock_ms() + HOLD_MAX_MS));
    }

    /// Notes the listed ends of runs if the lease has lapsed since.
    fn see_lapse(&mut self) {
        if self.clock_ms() > self.deadline {
            self.lapsed.extend(self.ended.iter().map(|end| end.4));
        }
    }

    fn close_channels(&mut self) {
        for channel in self.channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn answer(&self, status: u16, rest: &str) -> Reply {
        Reply::Answer(
            status,
            format!(
                "{{\"clock_ms\":{},\"born\":{}{rest}}}",
                self.clock_ms(),
                self.born
            ),
        )
    }

    fn report(&self) -> String {
        let running = self.running.iter();
        let running = running.map(|(task, it)| format!("[{},{},\"\",100,0]", quote(task), it.run));
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how, _)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }

    fn entry(&self, address: SocketAddr) -> String {
        let profile = &self.profile;
        let labels: Vec<String> = profile.labels.iter().map(|label| quote(label)).collect();
        format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":131072,\"gpu\":0}},\
             \"labels\":[{}],\"born\":{},\"seq\":1}}",
            quote(&profile.service),
            quote(&profile.zone),
            if self.draining { "draining" } else { "ready" },
            profile.cpu,
            labels.join(","),
            self.born
        )
    }
}
