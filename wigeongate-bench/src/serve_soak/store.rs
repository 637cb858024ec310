//! A process of the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::http::{Reply, Request, serve};

/// Where the store listens.
#[derive(Debug, Clone, Bpaf)]
pub struct StoreOptions {
    /// The address.
    address: SocketAddr,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    until: Instant,
    ttl: Duration,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    /// Since when the store answers 503, and whether leases pause meanwhile.
    away: Option<(Instant, bool)>,
}

#[derive(Debug, Default)]
struct Store {
    data: Mutex<Data>,
    changed: Notify,
}

/// Serves until the standard input ends, which carries the commands `pause`, `expire` and `back`.
pub fn run(options: &StoreOptions) -> Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(async {
            let listener = TcpListener::bind(options.address).await?;
            let store = Arc::new(Store::default());
            let served = Arc::clone(&store);
            tokio::spawn(serve(listener, move |request| {
                let store = Arc::clone(&served);
                async move { store.answer(request).await }
            }));
            let expiring = Arc::clone(&store);
            tokio::spawn(async move {
                loop {
                    sleep(Duration::from_millis(10)).await;
                    expiring.expire();
                }
            });
            let mut commands = BufReader::new(tokio::io::stdin()).lines();
            while let Some(command) = commands.next_line().await? {
                store.obey(&command);
            }
            Ok(())
        })
}

impl Store {
    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn obey(&self, command: &str) {
        let mut data = self.data();
        match command {
            "pause" => data.away = Some((Instant::now(), true)),
            "expire" => data.away = Some((Instant::now(), false)),
            _ => {
                if let Some((since, true)) = data.away.take() {
                    let paused = since.elapsed();
                    data.leases.values_mut().for_each(|it| it.until += paused);
                }
            }
        }
    }

    fn expire(&self) {
        let mut data = self.data();
        if matches!(data.away, Some((_, true))) {
            return;
        }
        let now = Instant::now();
        let ended = data.leases.iter().filter(|(_, it)| it.until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            data.end_lease(id);
            self.changed.notify_waiters();
        }
    }

    async fn answer(&self, request: Request) -> Reply {
        if self.data().away.is_some() {
            return (503, json!({}));
        }
        let path = request.path.as_str();
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let body = &request.body;
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let data = self.data();
                let key = query("key");
                match data.items.get(&key) {
                    Some(item) => (200, item_json(&key, Some(item))),
                    None => (404, json!({})),
                }
            }
            ("GET", "/api/kv-range") => self.data().range(&query("prefix"), &query("after")),
            ("GET", "/api/kv-watch") => {
                let number = |name: &str| query(name).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&query("prefix"), number("after"), wait).await
            }
            ("POST", "/api/kv-txn") => {
                let reply = self.data().commit(body);
                self.changed.notify_waiters();
                reply
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body["ttl_ms"].as_u64().unwrap_or(0).max(1_000);
                let mut data = self.data();
                data.revision += 1;
                let id = data.revision;
                let ttl_time = Duration::from_millis(ttl);
                let lease = Lease {
                    until: Instant::now() + ttl_time,
                    ttl: ttl_time,
                };
                data.leases.insert(id, lease);
                (200, json!({ "lease": id, "ttl_ms": ttl }))
            }
            (method, _) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let id = id.unwrap_or(0);
                let mut data = self.data();
                if method == "DELETE" {
                    data.end_lease(id);
                    self.changed.notify_waiters();
                    return (200, json!({}));
                }
                let Some(lease) = data.leases.get_mut(&id) else {
                    return (404, json!({}));
                };
                lease.until = Instant::now() + lease.ttl;
                let ttl = u64::try_from(lease.ttl.as_millis()).unwrap_or(0);
                (200, json!({ "ttl_ms": ttl }))
            }
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let data = self.data();
                if data.away.is_some() {
                    return (503, json!({}));
                }
                let new = data.history.iter().rev();
                let new = new.take_while(|(revision, ..)| *revision > after);
                let new = new.filter(|(_, key, _)| key.starts_with(prefix));
                let mut events: Vec<Value> = new
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, Some(item)),
                        None => json!({ "key": key, "revision": revision, "removed": true }),
                    })
                    .collect();
                events.reverse();
                if !events.is_empty() || Instant::now() >= until {
                    let revision = data.revision;
                    return (200, json!({ "events": events, "current_rev": revision }));
                }
            }
            let _ = timeout(Duration::from_millis(20), changed).await;
        }
    }
}

impl Data {
    fn range(&self, prefix: &str, after: &str) -> Reply {
        let found = self.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<Value> = found
            .take(501)
            .map(|(key, item)| item_json(key, Some(item)))
            .collect();
        let body = json!({
            "items": found.iter().take(500).collect::<Vec<_>>(),
            "more_pages": found.len() > 500,
            "current_rev": self.revision,
        });
        (200, body)
    }

    fn commit(&mut self, body: &Value) -> Reply {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let expected = rows("expected_rev");
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Value| row["revision"].as_u64() == Some(revision_of(&key_of(row)));
        if !expected.iter().all(holds) {
            let items = expected.iter().map(key_of);
            let items = items.map(|key| item_json(&key, self.items.get(&key)));
            return (412, json!({ "items": items.collect::<Vec<_>>() }));
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let is_ended = |id: u64| id > 0 && !self.leases.contains_key(&id);
        if rows("puts").iter().any(|row| is_ended(lease_of(row))) {
            return (404, json!({}));
        }
        self.revision += 1;
        for row in rows("puts") {
            let key = key_of(&row);
            let earlier = self.items.get(&key);
            let item = Item {
                value: row["value"].as_str().unwrap_or_default().to_owned(),
                revision: self.revision,
                created: earlier.map_or(self.revision, |item| item.created),
                lease: lease_of(&row),
            };
            self.items.insert(key.clone(), item.clone());
            self.history.push((self.revision, key, Some(item)));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({ "revision": self.revision }))
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

fn item_json(key: &str, item: Option<&Item>) -> Value {
    match item {
        Some(item) => json!({
            "key": key, "value": item.value, "revision": item.revision,
            "created_rev": item.created, "lease": item.lease,
        }),
        None => json!({ "key": key, "revision": 0 }),
    }
}
