//! The platform's key-value store, as the daemon uses it.

mod feed;

use derive_more::Display;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use wigeongate_core::time::Millis;

pub use self::feed::{Feed, FeedUpdate};

/// A value with the revision of its last change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// The key, without the prefix of this installation.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision when the key was last changed; zero when it is absent.
    pub revision: i64,
}

/// Keys read at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The store's revision.
    pub revision: i64,
    /// The keys in order.
    pub entries: Vec<Entry>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The revision of its last change; zero when it must be absent.
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

/// Writes that take effect together when every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub when: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect at this revision.
    Committed(i64),
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// A change that a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyChange {
    /// The key with its new value; an empty value when it was removed.
    pub entry: Entry,
    /// Whether it was removed.
    pub removed: bool,
}

/// Something that a watch has to say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchUpdate {
    /// Everything up to this revision was seen; a sign of life.
    Progress(i64),
    /// Keys changed.
    Changes(Vec<KeyChange>),
    /// The wanted history is gone: read everything again.
    Compacted,
}

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum StoreError {
    /// The call had no effect.
    #[display("store {peer}: {step} failed without effect: {reason}")]
    NoEffect {
        /// The step.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// What was seen.
        reason: String,
    },
    /// The call may have taken effect.
    #[display("store {peer}: {step} has an unknown outcome: {reason}")]
    Unknown {
        /// The step.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// What was seen.
        reason: String,
    },
}

/// Whether the store answers this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Circuit {
    /// It answers.
    #[default]
    #[display("closed")]
    Closed,
    /// Calls failed in a row: only urgent ones and a few others are made.
    #[display("open for {silent}")]
    Open {
        /// How long it has not answered.
        silent: Millis,
    },
}

/// The platform's key-value store.
pub trait Store: Send + Sync + 'static {
    /// Reads one key; an absent one has revision zero.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Entry, StoreError>>;

    /// Reads every key that starts with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, StoreError>>;

    /// Carries out a transaction.
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<CommitOutcome, StoreError>>;

    /// Returns whether the store answers.
    fn circuit(&self) -> Circuit {
        Circuit::Closed
    }

    /// Watches every key of this installation from revision `start` on.
    fn watch(&self, start: i64) -> BoxStream<'_, Result<WatchUpdate, StoreError>>;
}
