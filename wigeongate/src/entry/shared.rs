//! The state that the parts of one gate share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tracing::{info, warn};
use wigeongate_config::entry::EntrySettings;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::RoomShare;
use wigeongate_platform::http::HttpClient;
use wigeongate_platform::manifest::{Manifest, RequestLimits};
use wigeongate_platform::store::Store;

use super::lost_takeovers::LostTakeovers;
use super::metrics::EntryMetrics;
use super::owner_event::OwnerHandle;
use super::records::OwnerRecord;
use crate::clock::BootClock;

/// How long before the bound for withdrawn keys a gate stops accepting keys, in milliseconds. A
/// read of the configuration may miss a change for a second.
const KEY_MARGIN_MS: u64 = 1_400;

/// The highest epoch whose owner asked to be replaced, with a wake-up for new requests.
#[derive(Debug, Default)]
pub struct YieldRequests {
    epoch: AtomicU64,
    requested: Notify,
}

impl YieldRequests {
    /// Records that the owner of an epoch asks to be replaced.
    pub fn record(&self, epoch: u64) {
        self.epoch.fetch_max(epoch, Ordering::Relaxed);
        self.requested.notify_one();
    }

    /// Waits for the next request and returns the highest epoch so far.
    pub async fn notified(&self) -> u64 {
        self.requested.notified().await;
        self.epoch.load(Ordering::Relaxed)
    }
}

/// The state that the parts of one gate share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: EntrySettings,
    /// The HTTP client for calls to the store, the executors, the advice service and other gates.
    pub http: HttpClient,
    /// The client of the store.
    pub store: Store,
    /// The clock, which also counts the time during which the host is suspended.
    pub clock: BootClock,
    /// The configuration in force; `None` until one was read.
    pub manifest: ArcSwap<Option<Arc<Manifest>>>,
    /// The owner as last known; `None` while the ownership is free.
    pub owner: watch::Sender<Option<OwnerRecord>>,
    /// The handle to the owner while this gate is the owner.
    pub local_handle: Mutex<Option<OwnerHandle>>,
    /// Wakes when the owner's address refused a connection.
    pub owner_refusing: Notify,
    /// The requests of owners to be replaced.
    pub owner_yields: YieldRequests,
    /// The takeovers that were lost before the state was restored.
    pub lost_takeovers: LostTakeovers,
    /// What the gate may accept of the owner's memory.
    room: Mutex<RoomShare>,
    /// Counters and durations.
    pub metrics: EntryMetrics,
    /// When the last answered read of the configuration was sent, in milliseconds of `clock`.
    confirmed_ms: AtomicU64,
    stopping: AtomicBool,
}

impl Shared {
    /// Creates the state of a gate that has no configuration and knows no owner yet.
    pub fn new(settings: EntrySettings) -> Self {
        let room = RoomShare::new(settings.job_bytes());
        let http = HttpClient::default();
        let clock = || BootClock.now();
        let store = Store::new(http.clone(), settings.store.to_string(), clock);
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
            lost_takeovers: LostTakeovers::default(),
            room: Mutex::new(room),
            metrics: EntryMetrics::default(),
            confirmed_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns what the gate may accept of the owner's memory.
    pub fn room(&self) -> MutexGuard<'_, RoomShare> {
        self.room.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records that the configuration in force was the newest one when a call was sent.
    pub fn confirm_configuration(&self, sent: Millis) {
        self.confirmed_ms.fetch_max(sent.0, Ordering::Relaxed);
    }

    /// Returns whether starts may rest on the configuration in force and on a view of the registry
    /// whose read was sent at `registry_read`.
    pub fn may_start(&self, registry_read: Millis) -> bool {
        let configuration_read = Millis(self.confirmed_ms.load(Ordering::Relaxed));
        let now = self.now();
        let contact = self.store.contact();
        contact.is_fresh(registry_read, now) && contact.is_fresh(configuration_read, now)
    }

    /// Returns the time since the configuration in force was last confirmed as the newest one.
    pub fn configuration_age(&self) -> Millis {
        self.now()
            .since(Millis(self.confirmed_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the configuration was confirmed recently enough to accept API keys.
    pub fn trusts_keys(&self) -> bool {
        let bound = self.settings.bounds.revoke_ms.saturating_sub(KEY_MARGIN_MS);
        self.configuration_age().0 <= bound
    }

    /// Records a new owner, with the takeovers that were lost before it.
    pub fn record_owner(&self, owner: &OwnerRecord) {
        self.lost_takeovers.record_owner(owner);
        let in_a_row = self.lost_takeovers.count();
        self.metrics
            .set_gauge("lost_takeovers", u64::from(in_a_row));
        if self.lost_takeovers.refuse_jobs() {
            warn!(
                epoch = owner.epoch,
                in_a_row,
                "ownership: no owner restores the state; jobs are refused until one does."
            );
        }
    }

    /// Records that the owner of an epoch has restored the state.
    pub fn record_restored(&self, epoch: u64) {
        if self.lost_takeovers.record_restored(epoch) {
            self.metrics.set_gauge("lost_takeovers", 0);
            info!(
                epoch,
                "ownership: the state is restored after takeovers that were lost."
            );
        }
    }

    /// Returns the limits on requests that are in force.
    pub fn request_limits(&self) -> RequestLimits {
        let manifest = self.manifest.load();
        let limits = manifest.as_ref().as_ref().map(|manifest| manifest.limits);
        limits.unwrap_or_default()
    }

    /// Returns whether the gate is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Marks the gate as shutting down.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the handle to the owner while this gate is the owner.
    pub fn local_owner(&self) -> Option<OwnerHandle> {
        self.local_handle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Sets the handle to the owner in this gate, or removes it.
    pub fn set_local_owner(&self, handle: Option<OwnerHandle>) {
        *self
            .local_handle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = handle;
    }
}
