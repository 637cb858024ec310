//! A simulated platform over HTTP: the store and executors.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use warp::Filter;
use warp::http::{Response, StatusCode};

use crate::traffic::Traffic;

/// How late a delayed write is carried out.
pub const WRITE_DELAY: Duration = Duration::from_secs(2);

/// The most bytes of values in a page of keys.
const PAGE_BYTES: usize = 1_000_000;

/// The boot of executors that have not restarted.
pub const FIRST_BOOT: u64 = 7;

type Reply = Response<Vec<u8>>;

fn reply(status: u16, body: &Value) -> Reply {
    let mut reply = Response::new(body.to_string().into_bytes());
    *reply.status_mut() = StatusCode::from_u16(status).expect("a status");
    reply
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A key's value in the store.
#[derive(Debug, Clone)]
struct Entry {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreData {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    /// Every change: its revision, the key, and the new entry or `None` for a removal.
    history: Vec<(u64, String, Option<Entry>)>,
    /// The end of each lease, and its time to live in milliseconds.
    leases: HashMap<u64, (Instant, u64)>,
}

impl StoreData {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let entry = Entry {
            value,
            revision: self.revision,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(entry)));
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn item(key: &str, entry: &Entry) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&entry.value),
            "revision": entry.revision,
            "lease": entry.lease,
        })
    }
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// The store answers every call with 503.
    Busy,
    /// The same, and leases do not expire meanwhile.
    BusyAndKeepsLeases,
    /// The store carries out writes of jobs without answering them.
    DropsJobAnswers,
    /// The store carries out writes of jobs a few seconds later, without answering them.
    DelaysJobs,
    /// Leases never expire.
    KeepsLeases,
    /// The store neither carries out nor answers calls that concern jobs.
    HangsOnJobs,
    /// The store answers 503 to transactions that remove keys or write a checkpoint.
    KeepsKeys,
    /// The same, and the store no longer has the changes of jobs.
    KeepsKeysWithoutHistory,
    /// The store carries out transactions that remove keys or write a checkpoint without answering
    /// them.
    DropsRemovalAnswers,
    /// The store carries out such transactions a few seconds later, without answering them.
    DelaysRemovals,
    /// The store answers 503 to reads of all archived jobs.
    HidesArchive,
    /// The store answers 503 to renewals of leases, which do not expire meanwhile.
    RefusesRenewals,
    /// The same, and the store no longer has the changes of jobs.
    RefusesRenewalsWithoutHistory,
    /// The store answers 503 to reads of the log.
    RefusesLog,
    /// The store answers 503 to the first read of the log, and works from then on.
    RefusesLogOnce,
}

impl StoreFault {
    fn refuses_renewals(self) -> bool {
        matches!(
            self,
            Self::RefusesRenewals | Self::RefusesRenewalsWithoutHistory
        )
    }

    fn pauses_leases(self) -> bool {
        matches!(self, Self::KeepsLeases | Self::BusyAndKeepsLeases) || self.refuses_renewals()
    }
}

/// A run that an executor started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRun {
    pub task: String,
    pub run: u64,
    pub host: String,
}

/// The simulated store.
#[derive(Debug, Default)]
pub struct Store {
    data: Mutex<StoreData>,
    changed: Notify,
    fault: Mutex<StoreFault>,
    /// Writes that are carried out later, with their times.
    delayed: Mutex<Vec<(Instant, Value)>>,
    /// What gates read, and when owners call executors.
    pub traffic: Arc<Traffic>,
}

impl Store {
    /// Begins a fault, or ends one; leases that paused during it go on.
    pub fn set_fault(&self, fault: StoreFault) {
        let ended = std::mem::replace(&mut *locked(&self.fault), fault);
        if ended.pauses_leases() {
            for (until, ttl) in locked(&self.data).leases.values_mut() {
                *until = Instant::now() + Duration::from_millis(*ttl);
            }
        }
    }

    /// Writes a key without a lease, as operators and executors do.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes any value to a key without a lease.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        let mut data = locked(&self.data);
        data.revision += 1;
        data.put(key, value, 0);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Removes a key, as the registry does.
    pub fn remove(&self, key: &str) {
        let mut data = locked(&self.data);
        data.revision += 1;
        data.remove(key);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns whether the value of a key contains a text.
    pub fn contains(&self, key: &str, text: &str) -> bool {
        let data = locked(&self.data);
        let value = data.entries.get(key).map(|entry| &entry.value);
        value.is_some_and(|value| {
            value
                .windows(text.len())
                .any(|part| part == text.as_bytes())
        })
    }

    /// Returns the value of a key and the revision of its last change.
    pub fn value(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let data = locked(&self.data);
        let entry = data.entries.get(key)?;
        Some((entry.value.clone(), entry.revision))
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let data = locked(&self.data);
        let keys = data.entries.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let data = locked(&self.data);
        let keys = data.entries.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    fn expire(&self) {
        if !locked(&self.fault).pauses_leases() {
            locked(&self.data).expire();
        }
    }

    async fn answer(&self, call: &Call) -> Reply {
        let (method, path) = (call.method.as_str(), call.path.as_str());
        let (query, body) = (&call.query, &call.body);
        let fault = *locked(&self.fault);
        if matches!(fault, StoreFault::Busy | StoreFault::BusyAndKeepsLeases) {
            return reply(503, &json!({}));
        }
        let is_job_call = path == "/api/kv-key" || String::from_utf8_lossy(body).contains("/job/");
        if fault == StoreFault::HangsOnJobs && is_job_call {
            tokio::time::sleep(Duration::from_mins(1)).await;
            return reply(503, &json!({}));
        }
        self.expire();
        self.commit_delayed();
        let query: HashMap<String, String> = parse_query(query);
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let keeps_keys = matches!(
            fault,
            StoreFault::KeepsKeys | StoreFault::KeepsKeysWithoutHistory
        );
        let has_removes = body["remove"].as_array().is_some_and(|it| !it.is_empty());
        let is_removal = has_removes || body["puts"].to_string().contains("/checkpoint");
        if keeps_keys && is_removal {
            return reply(503, &json!({}));
        }
        let is_job_watch = path == "/api/kv-watch" && query["prefix"].contains("/job/");
        let has_no_history = matches!(
            fault,
            StoreFault::KeepsKeysWithoutHistory | StoreFault::RefusesRenewalsWithoutHistory
        );
        if has_no_history && is_job_watch {
            return reply(410, &json!({}));
        }
        let is_archive_read = path == "/api/kv-range" && query["prefix"].contains("/ended/");
        if fault == StoreFault::HidesArchive && is_archive_read {
            return reply(503, &json!({}));
        }
        if fault.refuses_renewals() && path.starts_with("/api/kv-keep/") {
            return reply(503, &json!({}));
        }
        let is_log_read = path == "/api/kv-range" && query["prefix"].contains("/log/");
        if fault == StoreFault::RefusesLogOnce && is_log_read {
            self.set_fault(StoreFault::None);
            return reply(503, &json!({}));
        }
        if fault == StoreFault::RefusesLog && is_log_read {
            return reply(503, &json!({}));
        }
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let answer = self.get(&query);
                self.traffic
                    .note_read(&query["key"], 1, answer.body().len());
                answer
            }
            ("GET", "/api/kv-range") => self.range(&query),
            ("GET", "/api/kv-watch") => self.watch(&query).await,
            ("POST", "/api/kv-txn")
                if (fault == StoreFault::DelaysJobs && is_job_call)
                    || (fault == StoreFault::DelaysRemovals && is_removal) =>
            {
                locked(&self.delayed).push((Instant::now() + WRITE_DELAY, body));
                tokio::time::sleep(Duration::from_mins(1)).await;
                reply(503, &json!({}))
            }
            ("POST", "/api/kv-txn") => {
                let answer = self.commit(&body);
                let is_job_write = body.to_string().contains("/job/");
                if (fault == StoreFault::DropsJobAnswers && is_job_write)
                    || (fault == StoreFault::DropsRemovalAnswers && is_removal)
                {
                    tokio::time::sleep(Duration::from_mins(1)).await;
                }
                answer
            }
            ("POST", "/api/kv-lease") => self.grant_lease(&body),
            _ => self.lease_call(method, path),
        }
    }

    fn grant_lease(&self, body: &Value) -> Reply {
        let mut data = locked(&self.data);
        let ttl = body["ttl_ms"].as_u64().unwrap_or(1_000);
        data.revision += 1;
        let lease = data.revision;
        let until = Instant::now() + Duration::from_millis(ttl);
        data.leases.insert(lease, (until, ttl));
        reply(200, &json!({ "lease": lease, "ttl_ms": ttl }))
    }

    /// Carries out the delayed writes that are due.
    fn commit_delayed(&self) {
        let is_due = |(due, _): &mut (Instant, Value)| *due <= Instant::now();
        let due: Vec<_> = locked(&self.delayed).extract_if(.., is_due).collect();
        for (_, body) in due {
            self.commit(&body);
        }
    }

    fn get(&self, query: &HashMap<String, String>) -> Reply {
        let data = locked(&self.data);
        let key = &query["key"];
        match data.entries.get(key) {
            Some(entry) => reply(200, &StoreData::item(key, entry)),
            None => reply(404, &json!({})),
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> Reply {
        let data = locked(&self.data);
        let prefix = &query["prefix"];
        let after = query.get("after").cloned().unwrap_or_default();
        let found: Vec<Value> = data
            .entries
            .range(prefix.clone().max(after.clone())..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| **key > after)
            .take(501)
            .map(|(key, entry)| StoreData::item(key, entry))
            .collect();
        let mut bytes = 0;
        let fits = |item: &&Value| {
            bytes += item["value"].as_str().map_or(0, str::len);
            bytes <= PAGE_BYTES
        };
        let fitting = found.iter().take(500).take_while(fits).count().max(1);
        let page: Vec<&Value> = found.iter().take(fitting).collect();
        let answer = reply(
            200,
            &json!({
                "items": page,
                "more_pages": found.len() > page.len(),
                "current_rev": data.revision,
            }),
        );
        self.traffic
            .note_read(prefix, page.len(), answer.body().len());
        answer
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Reply {
        let prefix = &query["prefix"];
        let after: u64 = query["after"].parse().expect("a revision");
        let wait: u64 = query["wait_ms"].parse().expect("a time");
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            {
                self.expire();
                let data = locked(&self.data);
                let seen = data
                    .history
                    .partition_point(|(revision, ..)| *revision <= after);
                let events: Vec<Value> = data.history[seen..]
                    .iter()
                    .filter(|(_, key, _)| key.starts_with(prefix))
                    .map(|(revision, key, entry)| match entry {
                        Some(entry) => StoreData::item(key, entry),
                        None => json!({ "key": key, "revision": revision, "removed": true }),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return reply(
                        200,
                        &json!({ "events": events, "current_rev": data.revision }),
                    );
                }
            }
            let _ = timeout(Duration::from_millis(20), changed).await;
        }
    }

    fn commit(&self, body: &Value) -> Reply {
        let empty = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&empty).clone();
        let mut data = locked(&self.data);
        let mut is_expected = true;
        let mut items = Vec::new();
        for row in rows("expected_rev") {
            let key = row["key"].as_str().expect("a key");
            let revision = data.entries.get(key).map_or(0, |entry| entry.revision);
            is_expected &= row["revision"].as_u64() == Some(revision);
            items.push(match data.entries.get(key) {
                Some(entry) => StoreData::item(key, entry),
                None => json!({ "key": key, "revision": 0 }),
            });
        }
        if !is_expected {
            return reply(412, &json!({ "items": items }));
        }
        for row in rows("puts") {
            let lease = row["lease"].as_u64().unwrap_or(0);
            if lease > 0 && !data.leases.contains_key(&lease) {
                return reply(404, &json!({}));
            }
        }
        data.revision += 1;
        for row in rows("puts") {
            let key = row["key"].as_str().expect("a key");
            let value = STANDARD.decode(row["value"].as_str().expect("text"));
            let lease = row["lease"].as_u64().unwrap_or(0);
            data.put(key, value.expect("base64"), lease);
        }
        for key in rows("remove") {
            data.remove(key.as_str().expect("a key"));
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_waiters();
        reply(200, &json!({ "revision": revision }))
    }

    fn lease_call(&self, method: &str, path: &str) -> Reply {
        let mut data = locked(&self.data);
        let id: u64 = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        if method == "DELETE" {
            data.end_lease(id);
            drop(data);
            self.changed.notify_waiters();
            return reply(200, &json!({}));
        }
        match data.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + Duration::from_millis(*ttl);
                reply(200, &json!({ "ttl_ms": *ttl }))
            }
            None => reply(404, &json!({})),
        }
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// The state of an executor.
#[derive(Debug, Default)]
struct ExecutorState {
    /// The highest epoch of a call.
    fence: u64,
    /// When and how each run ends, by its task and number.
    running: BTreeMap<(String, u64), (Instant, &'static str)>,
    /// The highest number of a run, by task, that may not start any more.
    refused: HashMap<String, u64>,
    /// The ended runs that no call has acknowledged: number of the end, task, run and cause.
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    /// When the lease of the runs ends, in milliseconds of the executor's clock.
    lease_deadline: u64,
    /// The number of polls that extended it.
    extensions: u64,
}

/// The most ends that an answer to a poll lists.
const LISTED_ENDS: usize = 500;

/// How long a run with the command `hold` lasts unless it is ended.
const HELD: Duration = Duration::from_mins(10);

/// The status of an executor's answer to a call that names another one.
const MISDIRECTED: u16 = 421;

/// An executor; the command of a task is the time in milliseconds that it runs, or `hold` until
/// [`Platform::end_held_runs`], and `fail` after it lets its first run fail.
#[derive(Debug)]
pub struct Executor {
    id: String,
    /// When it started, in milliseconds since 1970; identifies the boot.
    born: u64,
    created: Instant,
    /// What its clock read then, in milliseconds.
    clock_from: u64,
    state: Mutex<ExecutorState>,
    started: Arc<Mutex<Vec<StartedRun>>>,
    link: Mutex<Link>,
    /// Whether it leaves every second start without an answer and does not carry it out.
    is_grey: AtomicBool,
    /// The number of starts while it does.
    grey_starts: AtomicU64,
    traffic: Arc<Traffic>,
}

/// What the connections to an executor do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Link {
    /// They work.
    #[default]
    Up,
    /// None answers any more, and new ones are refused.
    Silent,
    /// Those with a call under way go silent, other open ones break when they are used, and new ones
    /// are refused.
    Refused,
    /// Open ones break at once, and new ones are refused.
    Broken,
}

/// How often the link of an executor is checked while a call is under way.
const LINK_CHECK: Duration = Duration::from_millis(5);

/// Closes the connection of the call that is being answered.
fn break_connection() -> ! {
    // The panic ends the task of the connection; this one is not reported on standard error.
    std::panic::resume_unwind(Box::new("the connection breaks"))
}

impl Executor {
    fn clock(&self) -> u64 {
        self.clock_from + u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends runs that are done, and all runs once their lease has ended.
    fn end_due_runs(&self) {
        let clock = self.clock();
        let mut state = locked(&self.state);
        let is_expired = state.lease_deadline < clock;
        let due: Vec<_> = state
            .running
            .iter()
            .filter(|(_, (until, _))| is_expired || *until <= Instant::now())
            .map(|(key, (until, how))| (key.clone(), *until <= Instant::now(), *how))
            .collect();
        for ((task, run), is_over, how) in due {
            state.end(task, run, if is_over { how } else { "lapsed" });
        }
    }

    /// Answers a call over the link; a call that arrives after the end of a cut is answered.
    async fn answer_over_link(&self, call: &Call) -> Reply {
        match self.link() {
            Link::Up => {}
            Link::Silent => std::future::pending().await,
            Link::Refused | Link::Broken => break_connection(),
        }
        tokio::select! {
            reply = self.answer(call) => reply,
            () = self.wait_cut() => match self.link() {
                Link::Broken => break_connection(),
                _ => std::future::pending().await,
            },
        }
    }

    async fn wait_cut(&self) {
        while self.link() == Link::Up {
            tokio::time::sleep(LINK_CHECK).await;
        }
    }

    fn link(&self) -> Link {
        *locked(&self.link)
    }

    async fn answer(&self, call: &Call) -> Reply {
        if !call.instance.is_empty() && call.instance != self.id {
            return reply(MISDIRECTED, &json!({ "clock_ms": self.clock() }));
        }
        let path = call.path.as_str();
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        self.end_due_runs();
        let fence = body["fence"].as_u64().unwrap_or(0);
        {
            let mut state = locked(&self.state);
            if fence < state.fence {
                let answer = json!({ "clock_ms": self.clock(), "reason": "fence" });
                return reply(409, &answer);
            }
            state.fence = fence;
        }
        self.traffic.note_call(fence);
        match path {
            "/api/run-start" if self.drops_start() => std::future::pending().await,
            "/api/run-start" => self.start(&body),
            "/api/run-stop" => {
                let mut state = locked(&self.state);
                let task = body["task"].as_str().expect("a task").to_owned();
                let run = body["run"].as_u64().expect("a run");
                if state.running.contains_key(&(task.clone(), run)) {
                    state.end(task, run, "stopped");
                } else {
                    let refused = state.refused.entry(task).or_default();
                    *refused = (*refused).max(run);
                }
                reply(200, &json!({ "clock_ms": self.clock() }))
            }
            _ => self.poll(&body).await,
        }
    }

    fn drops_start(&self) -> bool {
        self.is_grey.load(Ordering::Relaxed)
            && self
                .grey_starts
                .fetch_add(1, Ordering::Relaxed)
                .is_multiple_of(2)
    }

    fn start(&self, body: &Value) -> Reply {
        let task = body["task"].as_str().expect("a task").to_owned();
        let run = body["run"].as_u64().expect("a run");
        let mut command = body["spec"].as_str().unwrap_or_default().split(' ');
        let run_time = match command.next() {
            Some("hold") => HELD,
            text => Duration::from_millis(text.and_then(|text| text.parse().ok()).unwrap_or(100)),
        };
        let is_failing = run == 1 && command.next() == Some("fail");
        let mut state = locked(&self.state);
        let clock = self.clock();
        let reason = if body["deadline_ms"]
            .as_u64()
            .is_none_or(|until| until < clock)
        {
            Some("late")
        } else if state.refused.get(&task).is_some_and(|last| *last >= run) {
            Some("old")
        } else {
            None
        };
        if let Some(reason) = reason {
            return reply(409, &json!({ "clock_ms": clock, "reason": reason }));
        }
        let until = Instant::now() + run_time;
        let end = (until, if is_failing { "failed" } else { "done" });
        if state.running.insert((task.clone(), run), end).is_none() {
            locked(&self.started).push(StartedRun {
                task,
                run,
                host: self.id.clone(),
            });
        }
        reply(200, &json!({ "clock_ms": clock }))
    }

    async fn poll(&self, body: &Value) -> Reply {
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        if let Some(deadline) = body["deadline_ms"].as_u64() {
            let mut state = locked(&self.state);
            state.extensions += u64::from(deadline > state.lease_deadline);
            state.lease_deadline = state.lease_deadline.max(deadline);
        }
        let started = Instant::now();
        loop {
            self.end_due_runs();
            {
                let mut state = locked(&self.state);
                state.ended.retain(|(number, ..)| *number > seen);
                if !state.ended.is_empty() || started.elapsed() >= wait {
                    return reply(200, &self.report(&state));
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn report(&self, state: &ExecutorState) -> Value {
        let running: Vec<Value> = state
            .running
            .keys()
            .map(|(task, run)| json!([task, run, "", 100]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({
            "clock_ms": self.clock(),
            "born": self.born,
            "running": running,
            "ended": ended,
        })
    }
}

impl ExecutorState {
    fn end(&mut self, task: String, run: u64, how: &'static str) {
        self.running.remove(&(task.clone(), run));
        let refused = self.refused.entry(task.clone()).or_default();
        *refused = (*refused).max(run);
        self.end_count += 1;
        self.ended.push((self.end_count, task, run, how));
    }
}

/// The simulated platform: a store, executors and the runs that they started.
pub struct Platform {
    pub store: Arc<Store>,
    pub address: SocketAddr,
    pub started: Arc<Mutex<Vec<StartedRun>>>,
    servers: HashMap<String, JoinHandle<()>>,
    executors: HashMap<String, Arc<Executor>>,
    /// The entries of the executors in the registry.
    entries: HashMap<String, Value>,
    /// The addresses of the executors.
    addresses: HashMap<String, SocketAddr>,
}

impl Platform {
    /// Starts a platform with a number of executors of one service.
    pub async fn start(executors: usize) -> Self {
        let store = Arc::new(Store::default());
        let served_store = Arc::clone(&store);
        let (address, server) = serve(None, move |call| {
            let store = Arc::clone(&served_store);
            async move { store.answer(&call).await }
        })
        .await;
        let mut platform = Self {
            store,
            address,
            started: Arc::default(),
            servers: HashMap::from([("store".to_owned(), server)]),
            executors: HashMap::new(),
            entries: HashMap::new(),
            addresses: HashMap::new(),
        };
        for at in 0..executors {
            platform
                .add_executor(&format!("w-{at}"), FIRST_BOOT, 1_000)
                .await;
        }
        platform
    }

    /// Opens another address of the store, which answers 503 while the returned flag is set.
    pub async fn open_store_address(&mut self, name: &str) -> (SocketAddr, Arc<AtomicBool>) {
        let refuses_calls = Arc::new(AtomicBool::new(false));
        let (store, flag) = (Arc::clone(&self.store), Arc::clone(&refuses_calls));
        let (address, server) = serve(None, move |call| {
            let (store, flag) = (Arc::clone(&store), Arc::clone(&flag));
            async move {
                if flag.load(Ordering::Relaxed) {
                    return reply(503, &json!({}));
                }
                store.answer(&call).await
            }
        })
        .await;
        self.servers.insert(name.to_owned(), server);
        (address, refuses_calls)
    }

    /// Starts an executor; `born` identifies its boot, and its clock begins at `clock_from`
    /// milliseconds.
    pub async fn add_executor(&mut self, id: &str, born: u64, clock_from: u64) {
        let executor = Arc::new(Executor {
            id: id.to_owned(),
            born,
            created: Instant::now(),
            clock_from,
            state: Mutex::default(),
            started: Arc::clone(&self.started),
            link: Mutex::default(),
            is_grey: AtomicBool::new(false),
            grey_starts: AtomicU64::new(0),
            traffic: Arc::clone(&self.store.traffic),
        });
        self.executors.insert(id.to_owned(), executor);
        let address = self.listen(id, None).await;
        let entry = json!({
            "service": "desk", "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": { "cpu": 8000, "mem_mb": 16000, "gpu": 0 },
            "labels": ["kind-a", "rack-1"], "born": born, "seq": 1,
        });
        self.store.put(&format!("servers/{id}"), &entry);
        self.entries.insert(id.to_owned(), entry);
    }

    /// Lets an executor listen at an address, or at any if there is none.
    async fn listen(&mut self, id: &str, address: Option<SocketAddr>) -> SocketAddr {
        let executor = Arc::clone(&self.executors[id]);
        let (address, server) = serve(address, move |call| {
            let executor = Arc::clone(&executor);
            async move { executor.answer_over_link(&call).await }
        })
        .await;
        self.servers.insert(id.to_owned(), server);
        self.addresses.insert(id.to_owned(), address);
        address
    }

    /// Closes the socket at which an executor listens; its open connections go on.
    pub fn stop_listening(&mut self, id: &str) {
        if let Some(server) = self.servers.remove(id) {
            server.abort();
        }
    }

    /// Cuts an executor off, which runs on.
    pub fn cut_off(&mut self, id: &str, link: Link) {
        *locked(&self.executors[id].link) = link;
        self.stop_listening(id);
    }

    /// Ends the cut of an executor.
    pub async fn reconnect(&mut self, id: &str) {
        *locked(&self.executors[id].link) = Link::Up;
        self.listen(id, Some(self.addresses[id])).await;
    }

    /// Lets an executor leave every second start without an answer, or ends that.
    pub fn set_grey(&self, id: &str, is_grey: bool) {
        self.executors[id].is_grey.store(is_grey, Ordering::Relaxed);
    }

    /// Returns how many tasks of a job run.
    pub fn running(&self, job: &str) -> usize {
        let executors = self.executors.values();
        let running = executors.map(|executor| {
            executor.end_due_runs();
            let state = locked(&executor.state);
            let keys = state.running.keys();
            keys.filter(|(task, _)| task.starts_with(job)).count()
        });
        running.sum()
    }

    /// Lets an executor announce that it will shut down.
    pub fn drain_executor(&mut self, id: &str) {
        let entry = self.entries.get_mut(id).expect("the executor is known");
        entry["state"] = json!("draining");
        self.store.put(&format!("servers/{id}"), entry);
    }

    /// Removes an executor from the registry.
    pub fn unlist_executor(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Writes the entry of an executor again.
    pub fn relist_executor(&self, id: &str) {
        self.store.put(&format!("servers/{id}"), &self.entries[id]);
    }

    /// Lets an executor write that its capacity has changed to `cpu` thousandths of a core.
    pub fn resize_executor(&mut self, id: &str, cpu: u64) {
        let entry = self.entries.get_mut(id).expect("the executor is known");
        entry["capacity"]["cpu"] = json!(cpu);
        self.store.put(&format!("servers/{id}"), entry);
    }

    /// Ends an executor for good and removes it from the registry.
    pub fn end_executor(&mut self, id: &str) {
        self.crash_executor(id);
        self.store.remove(&format!("servers/{id}"));
    }

    /// Ends an executor's process; the registry still lists it.
    pub fn crash_executor(&mut self, id: &str) {
        self.cut_off(id, Link::Silent);
    }

    /// Ends all runs on an executor at the same moment.
    pub fn end_held_runs(&self, id: &str) {
        let now = Instant::now();
        let mut state = locked(&self.executors[id].state);
        for (until, _) in state.running.values_mut() {
            *until = now;
        }
    }

    /// Returns whether an owner has polled an executor since it started.
    pub fn is_polled(&self, id: &str) -> bool {
        let executor = self.executors.get(id);
        executor.is_some_and(|executor| locked(&executor.state).fence > 0)
    }

    /// Returns how often the leases of an executor were extended.
    pub fn extensions(&self, id: &str) -> u64 {
        locked(&self.executors[id].state).extensions
    }

    /// Returns the runs of a job that executors started.
    pub fn starts(&self, job: &str) -> Vec<StartedRun> {
        let started = locked(&self.started);
        let of_job = started.iter().filter(|run| run.task.starts_with(job));
        of_job.cloned().collect()
    }

    /// Writes a configuration with one queue, and one team with these keys.
    pub fn configure(&self, version: u64, keys: &[&str]) {
        self.configure_routes(version, keys, &["q"]);
    }

    /// Writes a configuration with a route to each of these queues, and one team with these keys.
    pub fn configure_routes(&self, version: u64, keys: &[&str], queues: &[&str]) {
        let limits = json!({ "max_body_bytes": 10_000 });
        self.configure_limits(version, keys, queues, &limits);
    }

    /// Writes a configuration with these limits on requests.
    pub fn configure_limits(&self, version: u64, keys: &[&str], queues: &[&str], limits: &Value) {
        let route = |queue: &&str| {
            json!({
                "name": queue, "host": "desk.example", "prefix": format!("/{queue}/"),
                "service": "desk", "kind": "unsafe", "priority": 1, "max_attempts": 3,
                "stretch": 2.0, "target_latency_ms": 500, "public": false,
            })
        };
        let routes: Vec<Value> = queues.iter().map(route).collect();
        self.store.put(
            "op/config",
            &json!({
                "version": version,
                "routes": routes,
                "services": [{ "name": "desk", "health_path": "/health" }],
                "limits": limits,
                "tenants": [{
                    "name": "branch", "api_keys": keys, "weight": 10,
                    "maximum": { "cpu": 0, "mem_mb": 0, "gpu": 0 },
                }],
            }),
        );
    }
}

/// A call of a gate.
#[derive(Debug, Clone, Default)]
struct Call {
    method: String,
    path: String,
    query: String,
    /// The identifier of the executor that is meant; empty for none.
    instance: String,
    body: Vec<u8>,
}

/// Serves calls at an address, or at any if there is none.
async fn serve<F, A>(address: Option<SocketAddr>, answer: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Fn(Call) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = TcpListener::bind(address).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let query =
        warp::query::raw().or_else(|_| async { Ok::<_, warp::Rejection>((String::new(),)) });
    let route = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::optional("Wigeongate-Expected-Instance"))
        .and(warp::body::bytes())
        .then(
            move |method: warp::http::Method,
                  path: warp::path::FullPath,
                  query: String,
                  instance: Option<String>,
                  body: bytes::Bytes| {
                answer(Call {
                    method: method.to_string(),
                    path: path.as_str().to_owned(),
                    query,
                    instance: instance.unwrap_or_default(),
                    body: body.to_vec(),
                })
            },
        );
    let server = tokio::spawn(warp::serve(route).incoming(listener).run());
    (address, server)
}
