//! The interface of the platform's key-value store.

mod feed;

use derive_more::Display;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use wigeongate_core::time::Millis;

pub use self::feed::{Feed, FeedUpdate};

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// The key, without the prefix of this installation.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at the last change of the key; zero if the key is absent.
    pub revision: i64,
}

/// The keys of a range, read at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The store's revision at the time of the read.
    pub revision: i64,
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// A condition of a transaction: the key has not changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The expected revision of the last change; zero if the key must be absent.
    pub revision: i64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Set a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
    },
    /// Remove a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A transaction: its writes take effect together if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub when: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The writes took effect at this revision.
    Committed(i64),
    /// A condition did not hold and nothing was written.
    Conflict,
}

/// A change of a key, received from a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyChange {
    /// The key with its new value, which is empty if the key was removed.
    pub entry: Entry,
    /// Whether the key was removed.
    pub removed: bool,
}

/// An update from a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchUpdate {
    /// All changes up to this revision were delivered; sent now and then as a keep-alive.
    Progress(i64),
    /// Keys changed.
    Changes(Vec<KeyChange>),
    /// The requested history is compacted, so all keys must be read again.
    Compacted,
}

/// The reason why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum StoreError {
    /// The call had no effect.
    #[display("store {peer}: {step} failed without effect: {reason}")]
    NoEffect {
        /// The step that failed.
        step: &'static str,
        /// The address of the endpoint.
        peer: String,
        /// The cause.
        reason: String,
    },
    /// The call may have taken effect.
    #[display("store {peer}: {step} has an unknown outcome: {reason}")]
    Unknown {
        /// The step that failed.
        step: &'static str,
        /// The address of the endpoint.
        peer: String,
        /// The cause.
        reason: String,
    },
}

/// The state of the circuit breaker for calls of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Circuit {
    /// The store answers this process.
    #[default]
    #[display("closed")]
    Closed,
    /// Several calls failed in a row, so only urgent calls and occasional others are made.
    #[display("open for {silent}")]
    Open {
        /// The time since the first unanswered call.
        silent: Millis,
    },
}

/// The platform's key-value store.
pub trait Store: Send + Sync + 'static {
    /// Reads one key; an absent key has revision zero.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Entry, StoreError>>;

    /// Reads every key that starts with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, StoreError>>;

    /// Commits a transaction.
    ///
    /// Fails with [`StoreError::Unknown`] if it cannot be found out whether it took effect.
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<CommitOutcome, StoreError>>;

    /// Returns the state of the circuit breaker.
    fn circuit(&self) -> Circuit {
        Circuit::Closed
    }

    /// Watches every key of this installation from revision `start` on; zero means from now on.
    fn watch(&self, start: i64) -> BoxStream<'_, Result<WatchUpdate, StoreError>>;
}
