//! The client of the store against a stand-in store with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wigeongate::etcd::Etcd;
use wigeongate::store::{
    Circuit, CommitOutcome, Condition, Feed, FeedUpdate, Store, StoreError, Txn, Write,
};
use wigeongate_config::settings::StoreSettings;
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::{Fault, Store as StandIn};

/// The time after which a test counts as hanging.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

async fn stand_in() -> (Arc<StandIn>, ServerHandle, StoreSettings) {
    let store = StandIn::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = store.spawn(any).await.expect("the store starts");
    let settings = StoreSettings {
        endpoints: vec![format!("http://{}", running.address)],
        timeout_ms: 1_000,
        ..StoreSettings::default()
    };
    (store, running, settings)
}

fn put(key: &str, revision: i64, value: &str) -> Txn {
    let key = key.to_owned();
    Txn {
        when: vec![Condition {
            key: key.clone(),
            revision,
        }],
        writes: vec![Write::Put {
            key,
            value: value.as_bytes().to_vec(),
        }],
    }
}

#[tokio::test]
async fn the_outcome_of_a_write_whose_answer_was_lost_is_read_back() {
    let (store, _running, settings) = stand_in().await;
    let client = Etcd::new(&settings);
    store.set_fault(Fault {
        lose_every: 2,
        ..Fault::default()
    });
    let mut revision = 0;
    for round in 0..20 {
        let value = format!("value {round}");
        let committed = client.commit(put("gates/a", revision, &value)).await;
        let Ok(CommitOutcome::Committed(next)) = committed else {
            panic!("round {round}: {committed:?}");
        };
        let entry = client.get("gates/a").await.expect("the store answers");
        assert_eq!((entry.revision, entry.value), (next, value.into_bytes()));
        let stale = client.commit(put("gates/a", revision, "stale")).await;
        assert_eq!(stale, Ok(CommitOutcome::Conflict));
        revision = next;
    }
}

#[tokio::test]
async fn another_endpoint_is_used_when_one_refuses_connections() {
    let (_store, _running, mut settings) = stand_in().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = closed.local_addr().expect("the listener has an address");
    drop(closed);
    settings.endpoints.insert(0, format!("http://{address}"));
    let client = Etcd::new(&settings);
    let committed = client.commit(put("a", 0, "1")).await;
    assert!(
        matches!(committed, Ok(CommitOutcome::Committed(_))),
        "{committed:?}"
    );
}

#[tokio::test]
async fn urgent_calls_are_made_while_the_circuit_is_open_and_close_it() {
    let (store, _running, settings) = stand_in().await;
    let client = Etcd::new(&settings);
    store.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    for _ in 0..8 {
        let read = client.get("gates/a").await;
        assert!(read.is_err(), "the store is down");
    }
    assert!(matches!(client.circuit(), Circuit::Open { .. }));
    let refused = client.get("jobs/a").await;
    let refused = refused.expect_err("the circuit is open");
    assert!(matches!(refused, StoreError::NoEffect { .. }), "{refused}");
    store.set_fault(Fault::default());
    client.get("gates/a").await.expect("urgent calls are made");
    assert_eq!(client.circuit(), Circuit::Closed);
    client.get("jobs/a").await.expect("the circuit is closed");
}

#[tokio::test]
async fn a_feed_delivers_every_change_and_resumes_after_a_store_outage() {
    let (store, _running, settings) = stand_in().await;
    let client: Arc<dyn Store> = Arc::new(Etcd::new(&settings));
    let shared = Feed::start(client.clone());
    client.commit(put("jobs/1", 0, "a")).await.expect("written");
    let mut changes = shared.subscribe("jobs/");
    let mut next = async || {
        let update = tokio::time::timeout(TEST_TIMEOUT, changes.recv()).await;
        update
            .expect("the feed sends an update in time")
            .expect("the feed is open")
    };
    let mut seen: Vec<(String, i64)> = Vec::new();
    let mut take = |update: FeedUpdate| {
        let entries = match update {
            FeedUpdate::Snapshot(snapshot) => snapshot.entries,
            FeedUpdate::Changes(changes) => changes.into_iter().map(|c| c.entry).collect(),
        };
        for entry in entries {
            let version = (entry.key, entry.revision);
            if !seen.contains(&version) {
                seen.push(version);
            }
        }
        seen.len()
    };
    while take(next().await) < 1 {}
    store.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    assert!(client.get("gates/a").await.is_err(), "the store is down");
    store.set_fault(Fault::default());
    for job in 2..5 {
        let key = format!("jobs/{job}");
        client.commit(put(&key, 0, "b")).await.expect("written");
    }
    while take(next().await) < 4 {}
}
