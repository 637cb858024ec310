//! A stand-in of the platform's metadata store, as PROTOCOL tells it.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, serve};
use crate::json::{Json, from_base64, to_base64};

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(4);

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
    last_lease: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Item {
    fn json(&self, key: &str) -> Json {
        Json::map(vec![
            ("key", Json::str(key)),
            ("value", Json::str(self.value.clone())),
            ("revision", Json::int(self.revision)),
            ("created_rev", Json::int(self.created)),
            ("lease", Json::int(self.lease)),
        ])
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> std::io::Result<(Arc<Store>, Server)> {
        let store = Arc::new(Store::default());
        store.data.lock().unwrap().revision = 10;
        let state = Arc::clone(&store);
        let server = serve("127.0.0.1:0", move |request| {
            std::thread::sleep(ANSWER);
            Some(state.answer(request))
        })?;
        let state = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                state.data.lock().unwrap().expire();
                state.changed.notify_all();
            }
        });
        Ok((store, server))
    }

    /// Writes a key as the operator and the executors do.
    pub fn put(&self, key: &str, value: &Json) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.put(key, to_base64(value.to_string().as_bytes()), 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Removes a key as the platform does.
    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.remove(key);
        drop(data);
        self.changed.notify_all();
    }

    /// Returns the bytes of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.data.lock().unwrap();
        data.items.get(key).map(|item| from_base64(&item.value))
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        self.data.lock().unwrap().expire();
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let data = self.data.lock().unwrap();
                let key = request.param("key");
                match data.items.get(key) {
                    Some(item) => {
                        let mut found = item.json(key);
                        if let Json::Map(map) = &mut found {
                            map.insert("current_rev".to_owned(), Json::int(data.revision));
                        }
                        (200, found)
                    }
                    None => (404, Json::Map(BTreeMap::new())),
                }
            }
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.commit(&request.json()),
            ("POST", "/api/kv-lease") => {
                let ttl = request.json().at("ttl_ms").num().clamp(1_000, 600_000);
                let mut data = self.data.lock().unwrap();
                data.last_lease += 1;
                let lease = data.last_lease;
                let ttl_time = Duration::from_millis(ttl);
                data.leases
                    .insert(lease, (Instant::now() + ttl_time, ttl_time));
                (
                    200,
                    Json::map(vec![
                        ("lease", Json::int(lease)),
                        ("ttl_ms", Json::int(ttl)),
                    ]),
                )
            }
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let mut data = self.data.lock().unwrap();
                match data.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, Json::Map(BTreeMap::new()))
                    }
                    None => (404, Json::Map(BTreeMap::new())),
                }
            }
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut data = self.data.lock().unwrap();
                let known = data.leases.contains_key(&lease);
                data.end_lease(lease);
                drop(data);
                self.changed.notify_all();
                (if known { 200 } else { 404 }, Json::Map(BTreeMap::new()))
            }
            _ => (404, Json::Map(BTreeMap::new())),
        }
    }

    fn range(&self, request: &Request) -> (u16, Json) {
        let data = self.data.lock().unwrap();
        let (prefix, after) = (request.param("prefix"), request.param("after"));
        let from = prefix.max(after).to_owned();
        let found = data
            .items
            .range(from..)
            .filter(|(key, _)| key.as_str() > after || after.is_empty());
        let mut found = found
            .take_while(|(key, _)| key.starts_with(prefix))
            .peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, item)) = found.peek() {
            if items.len() >= 500 || (bytes + item.value.len() > 1_000_000 && !items.is_empty()) {
                break;
            }
            bytes += item.value.len();
            items.push(item.json(key));
            found.next();
        }
        let more = found.peek().is_some();
        let body = vec![
            ("items", Json::List(items)),
            ("more_pages", Json::Bool(more)),
            ("current_rev", Json::int(data.revision)),
        ];
        (200, Json::map(body))
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let prefix = request.param("prefix").to_owned();
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut data = self.data.lock().unwrap();
        loop {
            let new = data
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<Json> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => Json::map(vec![
                        ("key", Json::str(key.clone())),
                        ("revision", Json::int(*revision)),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = vec![
                    ("events", Json::List(events)),
                    ("current_rev", Json::int(data.revision)),
                ];
                return (200, Json::map(body));
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, Json) {
        let mut data = self.data.lock().unwrap();
        let expected = body.at("expected_rev").list();
        let revision_of =
            |data: &Data, key: &str| data.items.get(key).map_or(0, |item| item.revision);
        let holds = expected
            .iter()
            .all(|row| revision_of(&data, row.at("key").text()) == row.at("revision").num());
        if !holds {
            let items = expected.iter().map(|row| {
                let key = row.at("key").text();
                match data.items.get(key) {
                    Some(item) => item.json(key),
                    None => Json::map(vec![("key", Json::str(key)), ("revision", Json::int(0))]),
                }
            });
            return (412, Json::map(vec![("items", Json::List(items.collect()))]));
        }
        let is_gone = |put: &Json| {
            put.at("lease").num() > 0 && !data.leases.contains_key(&put.at("lease").num())
        };
        if body.at("puts").list().iter().any(is_gone) {
            return (404, Json::Map(BTreeMap::new()));
        }
        data.revision += 1;
        for put in body.at("puts").list() {
            data.put(
                put.at("key").text(),
                put.at("value").text().to_owned(),
                put.at("lease").num(),
            );
        }
        for key in body.at("remove").list() {
            data.remove(key.text());
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_all();
        (200, Json::map(vec![("revision", Json::int(revision))]))
    }
}
