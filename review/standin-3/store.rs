//! A process of the platform's store, as PROTOCOL.md tells it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::wire::{Json, Reply, Request, map, num, serve, text};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
}

struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

/// Serves until the process is ended.
pub fn run(address: SocketAddr) {
    let store = Arc::new(Store {
        data: Mutex::default(),
        changed: Condvar::new(),
    });
    let listener = TcpListener::bind(address).expect("the store's address is free");
    let expiring = Arc::clone(&store);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let mut data = expiring.data.lock().unwrap();
            let ended: Vec<u64> = data
                .leases
                .iter()
                .filter(|(_, it)| it.0 <= now)
                .map(|(id, _)| *id)
                .collect();
            for id in &ended {
                data.end_lease(*id);
            }
            if !ended.is_empty() {
                expiring.changed.notify_all();
            }
        }
    });
    serve(listener, Arc::new(move |request| store.answer(&request)));
}

fn item_json(key: &str, item: Option<&Item>) -> Json {
    match item {
        Some(item) => map(&[
            ("key", text(key)),
            ("value", text(&item.value)),
            ("revision", num(item.revision)),
            ("created_rev", num(item.created)),
            ("lease", num(item.lease)),
        ]),
        None => map(&[("key", text(key)), ("revision", num(0))]),
    }
}

impl Store {
    fn answer(&self, request: &Request) -> Reply {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let empty = Json::Map(Vec::new());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let data = self.data.lock().unwrap();
                let key = query("key");
                match data.items.get(&key) {
                    Some(item) => (200, item_json(&key, Some(item))),
                    None => (404, empty),
                }
            }
            ("GET", "/api/kv-range") => self
                .data
                .lock()
                .unwrap()
                .range(&query("prefix"), &query("after")),
            ("GET", "/api/kv-watch") => {
                let number = |name: &str| query(name).parse().unwrap_or(0);
                self.watch(&query("prefix"), number("after"), number("wait_ms"))
            }
            ("POST", "/api/kv-txn") => {
                let reply = self.data.lock().unwrap().commit(&request.body);
                self.changed.notify_all();
                reply
            }
            ("POST", "/api/kv-lease") => {
                let ttl = request.body.get("ttl_ms").number().unwrap_or(0).max(1_000);
                let mut data = self.data.lock().unwrap();
                data.revision += 1;
                let id = data.revision;
                let time = Duration::from_millis(ttl);
                data.leases.insert(id, (Instant::now() + time, time));
                (200, map(&[("lease", num(id)), ("ttl_ms", num(ttl))]))
            }
            (method, path) => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut data = self.data.lock().unwrap();
                if method == "DELETE" {
                    data.end_lease(id);
                    self.changed.notify_all();
                    return (200, empty);
                }
                let Some(lease) = data.leases.get_mut(&id) else {
                    return (404, empty);
                };
                lease.0 = Instant::now() + lease.1;
                (200, map(&[("ttl_ms", num(lease.1.as_millis() as u64))]))
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut data = self.data.lock().unwrap();
        loop {
            let begin = data
                .history
                .partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<Json> = data.history[begin..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, Some(item)),
                    None => map(&[
                        ("key", text(key)),
                        ("revision", num(*revision)),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let revision = num(data.revision);
                return (
                    200,
                    map(&[("events", Json::List(events)), ("current_rev", revision)]),
                );
            }
            data = self.changed.wait_timeout(data, until - now).unwrap().0;
        }
    }
}

impl Data {
    fn range(&self, prefix: &str, after: &str) -> Reply {
        let mut found = Vec::new();
        let (mut bytes, mut more) = (0, false);
        let keys = self.items.range(prefix.to_owned()..);
        for (key, item) in keys.take_while(|(key, _)| key.starts_with(prefix)) {
            if key.as_str() <= after {
                continue;
            }
            if found.len() == 500 || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += item.value.len();
            found.push(item_json(key, Some(item)));
        }
        let body = map(&[
            ("items", Json::List(found)),
            ("more_pages", Json::Bool(more)),
            ("current_rev", num(self.revision)),
        ]);
        (200, body)
    }

    fn commit(&mut self, body: &Json) -> Reply {
        let expected = body.get("expected_rev").list();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| {
            row.get("revision").number().unwrap_or(0) == revision_of(row.get("key").text())
        };
        if !expected.iter().all(holds) {
            let items = expected.iter().map(|row| row.get("key").text());
            let items = items
                .map(|key| item_json(key, self.items.get(key)))
                .collect();
            return (412, map(&[("items", Json::List(items))]));
        }
        let puts = body.get("puts").list();
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        if puts
            .iter()
            .any(|row| lease_of(row) > 0 && !self.leases.contains_key(&lease_of(row)))
        {
            return (404, Json::Map(Vec::new()));
        }
        self.revision += 1;
        for row in puts {
            let key = row.get("key").text().to_owned();
            let created = self
                .items
                .get(&key)
                .map_or(self.revision, |item| item.created);
            let item = Item {
                value: row.get("value").text().to_owned(),
                revision: self.revision,
                created,
                lease: lease_of(row),
            };
            self.items.insert(key.clone(), item.clone());
            self.history.push((self.revision, key, Some(item)));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, map(&[("revision", num(self.revision))]))
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}
