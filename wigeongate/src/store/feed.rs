//! One watch of the store, shared by every part of the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::{KeyChange, Snapshot, Store, WatchUpdate};

/// How long a watch may be silent before it is opened again; the renewals of this gate's own
/// record reach it more often.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay before the retry of a failed watch or read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// An update for a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedUpdate {
    /// Every key of the subscription; sent first, and again after the history was lost.
    Snapshot(Snapshot),
    /// Changes after the last update.
    Changes(Vec<KeyChange>),
}

#[derive(Debug)]
struct Subscriber {
    prefix: String,
    sender: mpsc::UnboundedSender<FeedUpdate>,
    /// The revision up to which changes were sent; `None` until the snapshot is read.
    sent_revision: Option<i64>,
    /// Changes received before the snapshot is read.
    pending: Vec<KeyChange>,
}

impl Subscriber {
    fn send_changes(&mut self, changes: &[KeyChange]) {
        let ours = |change: &&KeyChange| change.entry.key.starts_with(&self.prefix);
        let Some(sent_revision) = self.sent_revision else {
            self.pending.extend(changes.iter().filter(ours).cloned());
            return;
        };
        let newer = |change: &&KeyChange| change.entry.revision > sent_revision;
        let changes: Vec<KeyChange> = changes.iter().filter(ours).filter(newer).cloned().collect();
        if let Some(last) = changes.last() {
            self.sent_revision = Some(last.entry.revision);
            // The next read of a snapshot removes closed subscribers from the list.
            let _ = self.sender.send(FeedUpdate::Changes(changes));
        }
    }

    fn send_snapshot(&mut self, snapshot: Snapshot) {
        self.sent_revision = Some(snapshot.revision);
        let _ = self.sender.send(FeedUpdate::Snapshot(snapshot));
        let pending = std::mem::take(&mut self.pending);
        self.send_changes(&pending);
    }
}

#[derive(Debug, Default)]
struct State {
    subscribers: Vec<Subscriber>,
    /// The revision up to which the watch received all changes; zero before the first update and
    /// after the history was lost.
    seen_revision: i64,
}

/// One watch of the store, shared by every part of the process.
pub struct Feed {
    store: Arc<dyn Store>,
    state: Mutex<State>,
    wake: Notify,
}

impl Feed {
    /// Starts the watch, which ends when the feed is dropped.
    pub fn start(store: Arc<dyn Store>) -> Arc<Self> {
        let feed = Arc::new(Self {
            store,
            state: Mutex::default(),
            wake: Notify::new(),
        });
        let weak = Arc::downgrade(&feed);
        tokio::spawn(async move {
            while let Some(feed) = weak.upgrade() {
                feed.watch().await;
                drop(feed);
                sleep(RETRY_DELAY).await;
            }
        });
        let weak = Arc::downgrade(&feed);
        tokio::spawn(async move {
            while let Some(feed) = weak.upgrade() {
                let waited = timeout(RETRY_DELAY, feed.wake.notified()).await;
                if waited.is_ok() || feed.waiting_prefix().is_some() {
                    feed.load_waiting().await;
                }
            }
        });
        feed
    }

    /// Subscribes to every key that starts with `prefix`; a snapshot is sent first.
    pub fn subscribe(&self, prefix: impl Into<String>) -> mpsc::UnboundedReceiver<FeedUpdate> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let subscriber = Subscriber {
            prefix: prefix.into(),
            sender,
            sent_revision: None,
            pending: Vec::new(),
        };
        self.lock().subscribers.push(subscriber);
        self.wake.notify_one();
        receiver
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting_prefix(&self) -> Option<String> {
        let state = self.lock();
        let waiting = state.subscribers.iter().find(|s| s.sent_revision.is_none());
        waiting.map(|subscriber| subscriber.prefix.clone())
    }

    /// Reads and sends the snapshot of each subscriber that waits for it.
    async fn load_waiting(&self) {
        while let Some(prefix) = self.waiting_prefix() {
            let snapshot = match self.store.range(&prefix).await {
                Ok(snapshot) => snapshot,
                Err(error) => {
                    debug!("store: {error}.");
                    return;
                }
            };
            let mut state = self.lock();
            let same = |s: &&mut Subscriber| s.prefix == prefix && s.sent_revision.is_none();
            for subscriber in state.subscribers.iter_mut().filter(same) {
                subscriber.send_snapshot(snapshot.clone());
            }
            state.subscribers.retain(|s| !s.sender.is_closed());
        }
    }

    /// Watches from the last received revision until the watch fails or goes silent.
    async fn watch(&self) {
        let next = match self.lock().seen_revision {
            0 => 0,
            seen_revision => seen_revision + 1,
        };
        let mut watch = self.store.watch(next);
        loop {
            match timeout(WATCH_TIMEOUT, watch.next()).await {
                Ok(Some(Ok(update))) => self.handle(update),
                Ok(Some(Err(error))) => {
                    debug!("store: {error}.");
                    return;
                }
                Ok(None) => return,
                Err(_) => {
                    debug!(
                        "store: the watch received nothing for {WATCH_TIMEOUT:?}; opening it again."
                    );
                    return;
                }
            }
        }
    }

    fn handle(&self, update: WatchUpdate) {
        let mut state = self.lock();
        match update {
            WatchUpdate::Progress(revision) => {
                if state.seen_revision == 0 {
                    // Changes before the start of this watch may be missing from what was sent.
                    state.reload_all();
                    self.wake.notify_one();
                }
                state.seen_revision = state.seen_revision.max(revision);
            }
            WatchUpdate::Changes(changes) => {
                for subscriber in &mut state.subscribers {
                    subscriber.send_changes(&changes);
                }
                let last = changes.last().map_or(0, |change| change.entry.revision);
                state.seen_revision = state.seen_revision.max(last);
            }
            WatchUpdate::Compacted => {
                warn!("store: the history of the watch is compacted; reading all keys again.");
                state.seen_revision = 0;
            }
        }
    }
}

impl State {
    fn reload_all(&mut self) {
        for subscriber in &mut self.subscribers {
            subscriber.sent_revision = None;
        }
    }
}
