//! A stand-in of an executor, as PROTOCOL tells it, and the ledger of what ran.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Server, serve};
use crate::json::Json;
use crate::store::Store;

/// The longest lease, and the time between two reports to the registry.
const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;

/// The most ends that one answer lists.
const ENDS_LISTED: usize = 500;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// What an executor saw.
#[derive(Debug, Clone)]
pub enum Event {
    Start {
        task: String,
        run: u64,
        checkpoint: String,
    },
    End {
        task: String,
        run: u64,
        how: &'static str,
        number: u64,
    },
    /// `last_seen` has reached this number.
    Seen {
        number: u64,
    },
    /// The lease has run out.
    Lapse,
    Crash,
}

/// An event with its time since the beginning, in milliseconds, and the life of the executor.
#[derive(Debug, Clone)]
pub struct Entry {
    pub at_ms: u64,
    pub executor: String,
    pub born: u64,
    pub event: Event,
}

/// What was sent, answered and run.
pub struct Ledger {
    began: Instant,
    file: Mutex<File>,
    entries: Mutex<Vec<Entry>>,
}

impl Ledger {
    pub fn create(path: &str) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            entries: Mutex::default(),
        }))
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let at_ms = self.now_ms();
        let _ = writeln!(
            self.file.lock().unwrap(),
            "{:8.3} {line}",
            at_ms as f64 / 1_000.0
        );
    }

    fn add(&self, executor: &str, born: u64, event: Event) {
        let line = match &event {
            Event::Start {
                task,
                run,
                checkpoint,
            } => format!("start {task} run {run} checkpoint '{checkpoint}'"),
            Event::End {
                task,
                run,
                how,
                number,
            } => format!("end {task} run {run} {how}, number {number}"),
            Event::Seen { number } => format!("last_seen {number}"),
            Event::Lapse => "the lease has run out".to_owned(),
            Event::Crash => "crash".to_owned(),
        };
        self.note(&format!("{executor}: {line}"));
        let entry = Entry {
            at_ms: self.now_ms(),
            executor: executor.to_owned(),
            born,
            event,
        };
        self.entries.lock().unwrap().push(entry);
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().clone()
    }

    /// Returns the starts that break TWICE: of a task one of whose runs had ended `done`, if that end
    /// is taken note of and the executor's lease did not run out in between.
    pub fn starts_after_done(&self) -> Vec<String> {
        let entries = self.entries();
        let mut broken = Vec::new();
        let mut done: HashMap<&str, Vec<(usize, &Entry, u64)>> = HashMap::new();
        for (at, entry) in entries.iter().enumerate() {
            match &entry.event {
                Event::End {
                    task,
                    how: "done",
                    number,
                    ..
                } => {
                    done.entry(task).or_default().push((at, entry, *number));
                }
                Event::Start { task, run, .. } => {
                    for (ended, end, number) in done.get(task.as_str()).into_iter().flatten() {
                        let later = entries[*ended..]
                            .iter()
                            .filter(|it| it.executor == end.executor && it.born == end.born);
                        let mut seen = false;
                        for it in later {
                            match it.event {
                                Event::Seen { number: up_to } if up_to >= *number => {
                                    seen = true;
                                    break;
                                }
                                Event::Lapse | Event::Crash => break,
                                _ => {}
                            }
                        }
                        if seen {
                            broken.push(format!(
                                "{task}: run {run} was started on {} at {:.3} s, but a run had ended done on {} at {:.3} s",
                                entry.executor,
                                entry.at_ms as f64 / 1_000.0,
                                end.executor,
                                end.at_ms as f64 / 1_000.0
                            ));
                            break;
                        }
                    }
                }
                _ => {}
            }
        }
        broken
    }
}

struct Run {
    ends_ms: u64,
    checkpoint: String,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    lapsed: bool,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next: u64,
    seen: u64,
    highest: HashMap<String, u64>,
}

/// What an executor offers.
#[derive(Clone)]
pub struct Offer {
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
}

/// One life of an executor.
pub struct Executor {
    pub id: String,
    pub address: String,
    born: u64,
    began: Instant,
    offer: Offer,
    state: Mutex<State>,
    changed: Condvar,
    ledger: Arc<Ledger>,
    store: Arc<Store>,
    down: AtomicBool,
    server: Mutex<Option<Server>>,
}

/// Returns how long a task works: the text of its job says `ms=TIME`.
fn work_ms(spec: &str) -> u64 {
    let time = spec
        .split_whitespace()
        .find_map(|word| word.strip_prefix("ms="));
    time.and_then(|time| time.parse().ok()).unwrap_or(500)
}

impl Executor {
    /// Starts an executor at an address (port 0: a free one) and registers it.
    pub fn start(
        id: &str,
        address: &str,
        offer: &Offer,
        ledger: &Arc<Ledger>,
        store: &Arc<Store>,
    ) -> std::io::Result<Arc<Self>> {
        let slot: Arc<Mutex<Option<Arc<Executor>>>> = Arc::default();
        let found = Arc::clone(&slot);
        let server = serve(address, move |request| {
            let executor = found.lock().unwrap().clone();
            executor.map(|it| it.answer(request))
        })?;
        let executor = Arc::new(Self {
            id: id.to_owned(),
            address: server.address.to_string(),
            born: unix_ms(),
            began: Instant::now(),
            offer: offer.clone(),
            state: Mutex::new(State {
                next: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            ledger: Arc::clone(ledger),
            store: Arc::clone(store),
            down: AtomicBool::new(false),
            server: Mutex::new(Some(server)),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&executor));
        ledger.note(&format!("{id}: executor started at {}", executor.address));
        let it = Arc::clone(&executor);
        std::thread::spawn(move || {
            let mut seq = 0;
            let mut next = Instant::now();
            while !it.down.load(Ordering::Relaxed) {
                if Instant::now() >= next {
                    seq += 1;
                    it.register(seq);
                    next += Duration::from_millis(HEARTBEAT_MS);
                }
                it.advance();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        Ok(executor)
    }

    /// Is cut off from the gates for a while: connections are refused, and what runs goes on.
    pub fn cut_off(self: &Arc<Self>, time: Duration) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.crash();
        }
        self.ledger.note(&format!(
            "{}: cut off from the gates for {} ms",
            self.id,
            time.as_millis()
        ));
        let it = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(time);
            let executor = Arc::clone(&it);
            let server = serve(&it.address, move |request| Some(executor.answer(request)));
            it.ledger.note(&format!(
                "{}: within reach again: {}",
                it.id,
                server.is_ok()
            ));
            *it.server.lock().unwrap() = server.ok();
        });
    }

    /// Crashes; the registry forgets the executor after three intervals of silence.
    pub fn crash(&self) {
        self.down.store(true, Ordering::Relaxed);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.crash();
        }
        self.ledger.add(&self.id, self.born, Event::Crash);
        let (store, key) = (Arc::clone(&self.store), format!("servers/{}", self.id));
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            store.remove(&key);
        });
    }

    /// Returns the tasks that run now.
    pub fn tasks(&self) -> Vec<String> {
        if self.down.load(Ordering::Relaxed) {
            return Vec::new();
        }
        self.state
            .lock()
            .unwrap()
            .running
            .keys()
            .map(|(task, _)| task.clone())
            .collect()
    }

    fn register(&self, seq: u64) {
        let labels = self
            .offer
            .labels
            .iter()
            .map(|label| Json::str(label.clone()))
            .collect();
        let entry = Json::map(vec![
            ("service", Json::str(self.offer.service.clone())),
            ("address", Json::str(self.address.clone())),
            ("zone", Json::str(self.offer.zone.clone())),
            ("version", Json::str("1")),
            ("slots", Json::int(8)),
            ("state", Json::str("ready")),
            ("cold_left_ms", Json::int(0)),
            ("seq", Json::int(seq)),
            ("born", Json::int(self.born)),
            (
                "capacity",
                Json::map(vec![
                    ("cpu", Json::int(self.offer.cpu)),
                    ("mem_mb", Json::int(self.offer.mem_mb)),
                    ("gpu", Json::int(0)),
                ]),
            ),
            ("labels", Json::List(labels)),
        ]);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.running.remove(&(task.to_owned(), run));
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        let number = state.next;
        state.next += 1;
        state.ended.push((number, task.to_owned(), run, how));
        let event = Event::End {
            task: task.to_owned(),
            run,
            how,
            number,
        };
        self.ledger.add(&self.id, self.born, event);
        self.changed.notify_all();
    }

    /// Ends what has ended by now.
    fn advance(&self) {
        if self.down.load(Ordering::Relaxed) {
            return;
        }
        let mut state = self.state.lock().unwrap();
        let now = self.clock_ms();
        let bound = now.min(state.lease_ms);
        let over = state.running.iter().filter(|(_, run)| run.ends_ms <= bound);
        let mut over: Vec<(u64, String, u64)> = over
            .map(|((task, number), run)| (run.ends_ms, task.clone(), *number))
            .collect();
        over.sort();
        for (_, task, run) in over {
            self.end(&mut state, &task, run, "done");
        }
        if state.lease_ms < now && state.lease_ms > 0 && !state.lapsed {
            state.lapsed = true;
            self.ledger.add(&self.id, self.born, Event::Lapse);
            let rest: Vec<(String, u64)> = state.running.keys().cloned().collect();
            for (task, run) in rest {
                self.end(&mut state, &task, run, "lapsed");
            }
        }
    }

    fn refuse(&self, reason: &str) -> (u16, Json) {
        (
            409,
            Json::map(vec![
                ("clock_ms", Json::int(self.clock_ms())),
                ("reason", Json::str(reason)),
                ("born", Json::int(self.born)),
            ]),
        )
    }

    fn fine(&self, mut more: Vec<(&str, Json)>) -> (u16, Json) {
        more.push(("clock_ms", Json::int(self.clock_ms())));
        more.push(("born", Json::int(self.born)));
        (200, Json::map(more))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if body.has("deadline_ms") {
            let until = body
                .at("deadline_ms")
                .num()
                .min(self.clock_ms() + HOLD_MAX_MS);
            if until > state.lease_ms {
                state.lease_ms = until;
                if until > self.clock_ms() {
                    state.lapsed = false;
                }
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        let intended = request.header("Wigeongate-Expected-Instance");
        if !intended.is_empty() && intended != self.id {
            return (
                421,
                Json::map(vec![("clock_ms", Json::int(self.clock_ms()))]),
            );
        }
        self.advance();
        let body = request.json();
        let mut state = self.state.lock().unwrap();
        if request.path.starts_with("/api/") {
            let fence = body.at("fence").num();
            if fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = fence;
        }
        let (task, run) = (body.at("task").text().to_owned(), body.at("run").num());
        match request.path.as_str() {
            "/api/run-start" => {
                let known = state.highest.get(&task).copied().unwrap_or(0);
                if run <= known {
                    self.extend(&mut state, &body);
                    return self.refuse("old");
                }
                if body.at("deadline_ms").num() <= self.clock_ms() {
                    return self.refuse("late");
                }
                self.extend(&mut state, &body);
                let checkpoint = body.at("checkpoint").text().to_owned();
                let key = (task.clone(), run);
                if !state.running.contains_key(&key) {
                    let ends_ms = self.clock_ms() + work_ms(body.at("spec").text());
                    state.running.insert(
                        key,
                        Run {
                            ends_ms,
                            checkpoint: checkpoint.clone(),
                        },
                    );
                    self.ledger.add(
                        &self.id,
                        self.born,
                        Event::Start {
                            task,
                            run,
                            checkpoint,
                        },
                    );
                }
                self.fine(Vec::new())
            }
            "/api/run-stop" => {
                if state.running.contains_key(&(task.clone(), run)) {
                    self.end(&mut state, &task, run, "stopped");
                }
                let highest = state.highest.entry(task).or_default();
                *highest = run.max(*highest);
                self.fine(Vec::new())
            }
            "/api/hold" => {
                let last_seen = body.at("last_seen").num();
                let before = state.ended.len();
                state.ended.retain(|(number, ..)| *number > last_seen);
                if state.ended.len() < before || last_seen > state.seen {
                    state.seen = last_seen;
                    self.ledger
                        .add(&self.id, self.born, Event::Seen { number: last_seen });
                }
                self.extend(&mut state, &body);
                let until =
                    Instant::now() + Duration::from_millis(body.at("wait_ms").num().min(2_000));
                while state.ended.is_empty() && !self.down.load(Ordering::Relaxed) {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let running = state.running.iter().map(|((task, run), state)| {
                    Json::List(vec![
                        Json::str(task.clone()),
                        Json::int(*run),
                        Json::str(state.checkpoint.clone()),
                        Json::int(100),
                        Json::int(0),
                    ])
                });
                let running = Json::List(running.collect());
                let ended = state
                    .ended
                    .iter()
                    .take(ENDS_LISTED)
                    .map(|(number, task, run, how)| {
                        Json::List(vec![
                            Json::int(*number),
                            Json::str(task.clone()),
                            Json::int(*run),
                            Json::str(*how),
                            Json::str(""),
                        ])
                    });
                let ended = Json::List(ended.collect());
                self.fine(vec![("running", running), ("ended", ended)])
            }
            "/health" => (200, Json::Map(BTreeMap::new())),
            _ => (404, Json::Map(BTreeMap::new())),
        }
    }
}
