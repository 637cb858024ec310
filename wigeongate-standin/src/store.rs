//! Stand-in for the platform's key-value store: a subset of the etcd v3 JSON gateway.

mod data;
mod fault;
mod http;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use tokio::sync::watch;

use self::data::Data;
pub use self::fault::Fault;
use crate::serve::{ServerHandle, serve};

/// Interval between checks for expired leases.
const LEASE_SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// In-memory key-value store.
#[derive(Debug)]
pub struct Store {
    data: Mutex<Data>,
    fault: Mutex<Fault>,
    /// Newest revision, for open watches.
    changed: watch::Sender<i64>,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            data: Mutex::default(),
            fault: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Starts serving the store on `address` and expiring its leases.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn(self: &Arc<Self>, address: SocketAddr) -> Result<ServerHandle> {
        let store = Arc::downgrade(self);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_SCAN_INTERVAL).await;
                let Some(store) = store.upgrade() else { return };
                store.with(|data| data.expire_leases(Instant::now()));
            }
        });
        serve(address, http::routes(self.clone())).await
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the keys that start with `prefix`, with their values.
    pub fn entries(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let data = self.data.lock().unwrap_or_else(PoisonError::into_inner);
        data.entries(prefix.as_bytes())
    }

    fn fault(&self) -> Fault {
        self.fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Runs `work` on the data and notifies the watches if the revision has changed.
    fn with<T>(&self, work: impl FnOnce(&mut Data) -> T) -> T {
        let mut data = self.data.lock().unwrap_or_else(PoisonError::into_inner);
        let before = data.revision();
        let result = work(&mut data);
        let after = data.revision();
        drop(data);
        if after != before {
            self.changed.send_replace(after);
        }
        result
    }
}
