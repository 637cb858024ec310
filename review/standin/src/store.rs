//! The platform's metadata store: keys, leases, watches and transactions, as the pages describe it.
//!
//! Each gate has a listener of its own, so that the record shows which gate writes.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote};
use crate::record::Record;

/// The time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// The key of the gate that is the owner.
const OWNER_KEY: &str = "wigeongate/owner";

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers.
    Up,
    /// Answers 503; nothing is done.
    Busy,
    /// Gives no answer; nothing is done.
    Silent,
}

/// A write that is carried out late and not answered.
#[derive(Debug, Clone)]
pub struct LateWrite {
    /// The key that the write has to contain.
    pub key: String,
    /// The delay.
    pub delay: Duration,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Event {
    key: String,
    revision: u64,
    /// The value written; `None` for a removal.
    value: Option<String>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug)]
struct Core {
    mode: Mode,
    mode_since: Instant,
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    owner: Option<usize>,
    late: Option<LateWrite>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    core: Mutex<Core>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    /// Starts the store.
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            core: Mutex::new(Core {
                mode: Mode::Up,
                mode_since: Instant::now(),
                revision: 1,
                items: BTreeMap::new(),
                events: Vec::new(),
                leases: HashMap::new(),
                last_lease: 0,
                owner: None,
                late: None,
            }),
            changed: Condvar::new(),
            record,
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        store
    }

    /// Opens a listener for a gate; returns its address.
    pub fn listen(self: &Arc<Self>, gate: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let store = Arc::clone(self);
        serve(listener, move |request| store.answer(gate, request));
        address
    }

    /// Changes how the store treats calls. Leases pause while it is down.
    pub fn set_mode(&self, mode: Mode) {
        let mut core = self.core.lock().unwrap();
        if core.mode != Mode::Up {
            let down = core.mode_since.elapsed();
            for lease in core.leases.values_mut() {
                lease.until += down;
            }
        }
        core.mode = mode;
        core.mode_since = Instant::now();
        self.record.add("store", &format!("is now {mode:?}"));
        self.changed.notify_all();
    }

    /// Lets the next write of a key be carried out late and without an answer.
    pub fn delay_write(&self, late: LateWrite) {
        self.core.lock().unwrap().late = Some(late);
    }

    /// Returns the gate that is the owner.
    pub fn owner(&self) -> Option<usize> {
        let core = self.core.lock().unwrap();
        core.owner.filter(|_| core.items.contains_key(OWNER_KEY))
    }

    /// Returns whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.core.lock().unwrap().items.contains_key(key)
    }

    /// Writes a key as the operator or an executor does; `lease` is zero for none.
    pub fn put(&self, key: &str, value: &str, lease: u64) -> bool {
        let mut core = self.core.lock().unwrap();
        if core.mode != Mode::Up || (lease != 0 && !core.leases.contains_key(&lease)) {
            return false;
        }
        core.revision += 1;
        core.write(key, base64(value.as_bytes()), lease);
        self.changed.notify_all();
        true
    }

    /// Grants a lease to an executor.
    pub fn grant(&self, ttl: Duration) -> u64 {
        self.core.lock().unwrap().grant(ttl)
    }

    /// Renews a lease; returns whether it still runs.
    pub fn keep(&self, lease: u64) -> bool {
        let mut core = self.core.lock().unwrap();
        core.mode != Mode::Up || core.keep(lease)
    }

    fn expire(&self) {
        let mut core = self.core.lock().unwrap();
        if core.mode != Mode::Up {
            return;
        }
        let now = Instant::now();
        let ended = core.leases.iter().filter(|(_, lease)| lease.until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            core.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn answer(self: &Arc<Self>, gate: usize, request: &Request) -> Reply {
        thread::sleep(ANSWER);
        match self.core.lock().unwrap().mode {
            Mode::Up => {}
            Mode::Busy => return Reply::Answer(503, String::new()),
            Mode::Silent => return Reply::Silence,
        }
        let path = request.path.as_str();
        let number = |name| request.query(name).parse::<u64>().unwrap_or(0);
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => self.get(request.query("key")),
            ("GET", "/api/kv-range") => self.range(request.query("prefix"), request.query("after")),
            ("GET", "/api/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(request.query("prefix"), number("after"), wait)
            }
            ("POST", "/api/kv-txn") => self.commit_or_delay(gate, &request.body),
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(&request.body)
                    .map_or(0, |it| it.number_of("ttl_ms"))
                    .max(1000);
                let lease = self.core.lock().unwrap().grant(Duration::from_millis(ttl));
                Reply::Answer(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let kept = self.core.lock().unwrap().keep(lease);
                Reply::Answer(if kept { 200 } else { 404 }, "{}".to_owned())
            }
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.core.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                Reply::Answer(200, "{}".to_owned())
            }
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let core = self.core.lock().unwrap();
        match core.items.get(key) {
            Some(item) => Reply::Answer(200, item_json(key, Some(item))),
            None => Reply::Answer(404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let core = self.core.lock().unwrap();
        let matching = || {
            let items = core.items.iter().filter(|(key, _)| key.starts_with(prefix));
            items.filter(|(key, _)| after.is_empty() || key.as_str() > after)
        };
        let page: Vec<String> = matching()
            .take(500)
            .map(|(key, item)| item_json(key, Some(item)))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more_pages\":{},\"current_rev\":{}}}",
            page.join(","),
            matching().count() > 500,
            core.revision
        );
        Reply::Answer(200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        let mut core = self.core.lock().unwrap();
        loop {
            match core.mode {
                Mode::Up => {}
                Mode::Busy => return Reply::Answer(503, String::new()),
                Mode::Silent => return Reply::Silence,
            }
            let events = core.events.iter().filter(|event| event.revision > after);
            let events: Vec<String> = events
                .filter(|event| event.key.starts_with(prefix))
                .map(event_json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    core.revision
                );
                return Reply::Answer(200, body);
            }
            core = self.changed.wait_timeout(core, left).unwrap().0;
        }
    }

    fn commit_or_delay(self: &Arc<Self>, gate: usize, body: &str) -> Reply {
        let late = {
            let mut core = self.core.lock().unwrap();
            let is_late = core
                .late
                .as_ref()
                .is_some_and(|late| body.contains(&quote(&late.key)));
            if is_late { core.late.take() } else { None }
        };
        let Some(late) = late else {
            return self.commit(gate, body);
        };
        let what = format!("loses the answer of gate {gate}'s write of {}", late.key);
        self.record.add("store", &what);
        let (store, body) = (Arc::clone(self), body.to_owned());
        thread::spawn(move || {
            thread::sleep(late.delay);
            let reply = store.commit(gate, &body);
            store
                .record
                .add("store", &format!("carries that write out late: {reply:?}"));
        });
        Reply::Silence
    }

    fn commit(&self, gate: usize, body: &str) -> Reply {
        let Some(txn) = Json::parse(body) else {
            return Reply::Answer(400, String::new());
        };
        let field = |name: &str| txn.get(name).cloned().unwrap_or(Json::Null);
        let (expected, puts, removes) = (field("expected_rev"), field("puts"), field("remove"));
        let mut core = self.core.lock().unwrap();
        let revision_of =
            |core: &Core, key: &str| core.items.get(key).map_or(0, |item| item.revision);
        let holds =
            |row: &Json| revision_of(&core, &row.text_of("key")) == row.number_of("revision");
        if !expected.list().iter().all(holds) {
            let rows = expected.list().iter().map(|row| {
                let key = row.text_of("key");
                item_json(&key, core.items.get(&key))
            });
            let rows: Vec<String> = rows.collect();
            return Reply::Answer(412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let leases = puts.list().iter().map(|row| row.number_of("lease"));
        if leases
            .clone()
            .any(|lease| lease != 0 && !core.leases.contains_key(&lease))
        {
            return Reply::Answer(404, String::new());
        }
        core.revision += 1;
        for row in puts.list() {
            let key = row.text_of("key");
            core.write(&key, row.text_of("value"), row.number_of("lease"));
            if key == OWNER_KEY {
                core.owner = Some(gate);
                self.record
                    .add("store", &format!("gate {gate} is the owner now"));
            } else if key.starts_with("wigeongate/job/") {
                self.record
                    .add("store", &format!("gate {gate} stores {key}"));
            }
        }
        for key in removes.list().iter().filter_map(Json::text) {
            core.remove(key);
        }
        let body = format!("{{\"revision\":{}}}", core.revision);
        self.changed.notify_all();
        Reply::Answer(200, body)
    }
}

impl Core {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.clone(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            value: Some(value),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                value: None,
            });
        }
    }

    fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let until = Instant::now() + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, until });
        self.last_lease
    }

    fn keep(&mut self, lease: u64) -> bool {
        let found = self.leases.get_mut(&lease);
        found
            .map(|lease| lease.until = Instant::now() + lease.ttl)
            .is_some()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: Option<&Item>) -> String {
    let Some(item) = item else {
        return format!("{{\"key\":{},\"value\":\"\",\"revision\":0}}", quote(key));
    };
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_json(event: &Event) -> String {
    let (key, revision) = (quote(&event.key), event.revision);
    match &event.value {
        Some(value) => format!(
            "{{\"key\":{key},\"value\":{},\"revision\":{revision}}}",
            quote(value)
        ),
        None => format!("{{\"key\":{key},\"revision\":{revision},\"removed\":true}}"),
    }
}

/// Encodes bytes as standard base64 text with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0, |group, at| {
            group << 8 | u32::from(*chunk.get(at).unwrap_or(&0))
        });
        for at in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * at)) as usize & 63];
            out.push(if at > chunk.len() { '=' } else { digit as char });
        }
    }
    out
}
