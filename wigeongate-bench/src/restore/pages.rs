//! A store in the process with the keys that a new owner reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use tokio::sync::Mutex;
use warp::Filter;
use wigeongate_core::workflow::Workflow;

use super::StoredLog;

/// The store's time for an answer, in milliseconds.
const ANSWER_MS: u64 = 4;

/// The most keys and bytes of values in a page of the store.
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// A store with the pages of three prefixes.
#[derive(Debug)]
pub struct Pages {
    /// The items of each key, in the order of the keys, with the size of the value.
    items: BTreeMap<String, (usize, serde_json::Value)>,
    /// The link of the gate, in Mbit/s, which carries one answer at a time.
    link: Mutex<u64>,
}

impl Pages {
    /// Creates the store with a link of this many Mbit/s.
    pub fn new(jobs: &[&Workflow], log: &StoredLog, link: u64) -> Arc<Self> {
        let mut items = BTreeMap::new();
        let mut add = |key: String, value: Vec<u8>| {
            let text = STANDARD.encode(&value);
            let item = json!({ "key": key, "value": text, "revision": 123_456, "lease": 0 });
            items.insert(key, (value.len(), item));
        };
        for flow in jobs {
            let value = postcard::to_stdvec(flow).unwrap_or_default();
            add(format!("job/{}", flow.id), value);
        }
        for (key, part) in &log.parts {
            add(key.clone(), postcard::to_stdvec(part).unwrap_or_default());
        }
        for (key, records) in &log.batches {
            add(
                key.clone(),
                postcard::to_stdvec(records).unwrap_or_default(),
            );
        }
        Arc::new(Self {
            items,
            link: Mutex::new(link),
        })
    }

    /// Serves the store; returns its address.
    pub async fn spawn(self: Arc<Self>) -> SocketAddr {
        let route = warp::path!("api" / "kv-range")
            .and(warp::query::<BTreeMap<String, String>>())
            .then(move |query| Arc::clone(&self).answer(query));
        let head = warp::path!("api" / "kv-key").then(async || {
            tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
            json!({ "key": "checkpoint", "value": "", "revision": 1, "lease": 0 }).to_string()
        });
        let route = route.or(head);
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(warp::serve(route).incoming(listener).run());
        address
    }

    async fn answer(self: Arc<Self>, query: BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let matching = || {
            let items = self
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            items.filter(|(key, _)| **key > after)
        };
        let mut bytes = 0;
        let page = matching().take(PAGE_KEYS).take_while(|(_, (size, _))| {
            bytes += size;
            bytes <= PAGE_BYTES
        });
        let page: Vec<_> = page.map(|(_, (_, item))| item).collect();
        let more_pages = matching().count() > page.len();
        let body = json!({ "items": page, "more_pages": more_pages, "current_rev": 123_456 });
        let body = body.to_string();
        tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
        let link = self.link.lock().await;
        let micros = body.len() as u64 * 8 / *link;
        tokio::time::sleep(Duration::from_micros(micros)).await;
        drop(link);
        body
    }
}
