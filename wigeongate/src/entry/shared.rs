//! What the parts of one gate share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use wigeongate_config::entry::EntrySettings;
use wigeongate_core::time::Millis;
use wigeongate_platform::http::Http;
use wigeongate_platform::manifest::Manifest;
use wigeongate_platform::store::Store;

use super::metrics::EntryMetrics;
use super::owner::OwnerHandle;
use super::records::OwnerRecord;
use crate::clock::BootClock;

/// How much earlier than the bound for withdrawn keys a gate stops letting keys through, in
/// milliseconds: a look at the configuration may miss a change for a second.
const KEY_MARGIN_MS: u64 = 1_400;

/// The newest owner that asked to be replaced.
#[derive(Debug, Default)]
pub struct YieldRequests {
    epoch: AtomicU64,
    requested: Notify,
}

impl YieldRequests {
    /// Takes in that the owner of an epoch asks to be replaced.
    pub fn record(&self, epoch: u64) {
        self.epoch.fetch_max(epoch, Ordering::Relaxed);
        self.requested.notify_one();
    }

    /// Waits for the next time and returns the epoch.
    pub async fn notified(&self) -> u64 {
        self.requested.notified().await;
        self.epoch.load(Ordering::Relaxed)
    }
}

/// What the parts of one gate share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: EntrySettings,
    /// The client for everything outside.
    pub http: Http,
    /// The store.
    pub store: Store,
    /// The clock, which counts a suspended machine's time.
    pub clock: BootClock,
    /// The configuration in force; `None` before the first was read.
    pub manifest: ArcSwap<Option<Arc<Manifest>>>,
    /// The owner, as last heard.
    pub owner: watch::Sender<Option<OwnerRecord>>,
    /// The way to the owner, when it is this gate.
    pub local_handle: Mutex<Option<OwnerHandle>>,
    /// Wakes when a call found that nothing listens at the owner's address.
    pub owner_refusing: Notify,
    /// Tells of an owner that asks another gate to take over.
    pub owner_yields: YieldRequests,
    /// Counters and times.
    pub metrics: EntryMetrics,
    /// When the last look at the configuration that was answered was sent.
    confirmed_ms: AtomicU64,
    stopping: AtomicBool,
}

impl Shared {
    /// Makes the shared state of a gate that knows nothing yet.
    pub fn new(settings: EntrySettings) -> Self {
        let http = Http::default();
        let store = Store::new(http.clone(), settings.store.to_string());
        Self {
            settings,
            http,
            store,
            clock: BootClock,
            manifest: ArcSwap::from_pointee(None),
            owner: watch::Sender::new(None),
            local_handle: Mutex::new(None),
            owner_refusing: Notify::new(),
            owner_yields: YieldRequests::default(),
            metrics: EntryMetrics::default(),
            confirmed_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Notes that the configuration in force was the newest when a call was sent.
    pub fn confirm_configuration(&self, sent: Millis) {
        self.confirmed_ms.fetch_max(sent.0, Ordering::Relaxed);
    }

    /// Returns the age of the newest proof that the configuration in force is the newest.
    pub fn configuration_age(&self) -> Millis {
        self.now()
            .since(Millis(self.confirmed_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether keys may be let through.
    pub fn trusts_keys(&self) -> bool {
        let bound = self.settings.bounds.revoke_ms.saturating_sub(KEY_MARGIN_MS);
        self.configuration_age().0 <= bound
    }

    /// Returns whether the gate is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins the shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the way to the owner, when it is this gate.
    pub fn local_owner(&self) -> Option<OwnerHandle> {
        self.local_handle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Sets or removes the way to the owner in this gate.
    pub fn set_local_owner(&self, handle: Option<OwnerHandle>) {
        *self
            .local_handle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = handle;
    }
}
