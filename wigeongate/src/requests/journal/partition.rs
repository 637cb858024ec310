//! A journal partition: its entries in memory and their encoding in the store.

use std::collections::BTreeMap;

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, Unit};
use wigeongate_core::journal::{Entry, Journal, Key, RECORD_RETENTION, State, Watermark};
use wigeongate_core::time::Millis;

use crate::requests::Outcome;
use crate::store::{Condition, Snapshot, Write};

/// The size at which a chunk is closed to new entries, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The largest number of chunks of a partition written in one transaction.
const MAX_CHUNKS: usize = 8;

/// The largest number of expired chunks of a partition removed in one transaction.
const MAX_REMOVED: usize = 8;

/// The format version of stored values; newer versions are not read.
const FORMAT_VERSION: u32 = 1;

/// A value in the store: the entries of one chunk, oldest first.
#[derive(Debug, Serialize, Deserialize)]
struct StoredChunk {
    format: u32,
    entries: Vec<Entry>,
}

/// The entries that are stored under one key.
#[derive(Debug, Default)]
struct Chunk {
    /// Its entries; dropped once the chunk is closed and written.
    entries: Vec<Entry>,
    bytes: usize,
    /// When the newest of its requests first arrived, by the wall clock.
    newest: Millis,
    /// The number of entries that the store has.
    written: usize,
}

impl Chunk {
    fn add(&mut self, entry: Entry) {
        self.bytes += entry.bytes();
        self.newest = self.newest.max(entry.at);
        self.entries.push(entry);
    }

    fn has_unwritten(&self) -> bool {
        self.written < self.entries.len()
    }
}

/// What one transaction writes for a partition.
#[derive(Debug, Clone)]
pub struct PartitionWrite {
    /// The number of the partition.
    pub number: u16,
    /// The epoch under which the partition is owned.
    pub epoch: Epoch,
    /// The condition of the write: the unit record is still that of this owner.
    pub condition: Condition,
    /// The writes.
    pub writes: Vec<Write>,
    /// The numbers of the chunks, each with the number of entries written.
    chunks: Vec<(u64, usize)>,
    /// The numbers of the removed chunks.
    removed: Vec<u64>,
    /// Whether the write contains every new entry, and with them the mark.
    complete: bool,
    /// When the write was collected, by the wall clock.
    at: Millis,
}

/// A journal partition that this gate owns.
pub struct Partition {
    /// The epoch under which this gate owns the partition.
    pub epoch: Epoch,
    /// The records of requests, which decide whether a request may run.
    pub journal: Journal,
    /// Whether new requests are refused, because the partition is about to be handed over or the
    /// gate shuts down.
    pub closing: bool,
    number: u16,
    /// The revision of the unit record, which each write requires to be unchanged.
    fence: i64,
    /// The chunks by number; new entries are added to the last one.
    chunks: BTreeMap<u64, Chunk>,
    /// Signals for requests whose intent is not yet in the store.
    intent_waiters: HashMap<Key, oneshot::Sender<()>>,
    /// The outcomes of requests in flight, for duplicates that wait for them.
    outcomes: HashMap<Key, watch::Sender<Option<Outcome>>>,
    /// When the mark was last written, by the wall clock.
    mark_written: Millis,
}

/// Returns the key of the unit record of a partition.
pub fn unit_key(number: u16) -> String {
    format!("units/{}", Unit::Journal(number))
}

/// Returns the prefix of the keys of a partition.
pub fn prefix(number: u16) -> String {
    format!("journal/{number}/")
}

fn mark_key(number: u16) -> String {
    format!("{}mark", prefix(number))
}

fn chunk_key(number: u16, chunk: u64) -> String {
    format!("{}chunk-{chunk:016x}", prefix(number))
}

fn chunk_number(number: u16, key: &str) -> Option<u64> {
    let rest = key.strip_prefix(&prefix(number))?;
    u64::from_str_radix(rest.strip_prefix("chunk-")?, 16).ok()
}

impl Partition {
    /// Rebuilds a partition from its entries in the store.
    ///
    /// Fails if a value cannot be decoded or has a newer format version.
    pub fn restore(
        number: u16,
        epoch: Epoch,
        fence: i64,
        began: Millis,
        stored: &Snapshot,
    ) -> Result<Self> {
        let mut mark: Option<Watermark> = None;
        let mut chunks = BTreeMap::new();
        let mut entries = Vec::new();
        for entry in &stored.entries {
            let step = || format!("reading {}", entry.key);
            if entry.key == mark_key(number) {
                mark = Some(postcard::from_bytes(&entry.value).wrap_err_with(step)?);
            } else if let Some(chunk) = chunk_number(number, &entry.key) {
                let read: StoredChunk = postcard::from_bytes(&entry.value).wrap_err_with(step)?;
                eyre::ensure!(
                    read.format <= FORMAT_VERSION,
                    "unsupported format version {}",
                    read.format
                );
                let newest = read.entries.iter().map(|entry| entry.at).max();
                let newest = newest.unwrap_or_default();
                chunks.insert(
                    chunk,
                    Chunk {
                        newest,
                        ..Chunk::default()
                    },
                );
                entries.extend(read.entries);
            }
        }
        let next = chunks.keys().next_back().map_or(0, |last| last + 1);
        chunks.insert(next, Chunk::default());
        Ok(Self {
            epoch,
            journal: Journal::restore(began, mark, entries),
            closing: false,
            number,
            fence,
            chunks,
            intent_waiters: HashMap::default(),
            outcomes: HashMap::default(),
            mark_written: Millis::ZERO,
        })
    }

    fn add(&mut self, entry: Entry) {
        let open = self
            .chunks
            .last_entry()
            .filter(|c| c.get().bytes < CHUNK_BYTES);
        if let Some(mut open) = open {
            open.get_mut().add(entry);
            return;
        }
        let next = self.chunks.keys().next_back().map_or(0, |last| last + 1);
        self.chunks.entry(next).or_default().add(entry);
    }

    /// Adds the intent of a request; the receiver is signalled when it is in the store.
    pub fn record_intent(&mut self, key: &Key) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        if let Some(entry) = self.journal.entry(key).cloned() {
            self.add(entry);
        }
        self.intent_waiters.insert(key.clone(), sender);
        self.outcomes.insert(key.clone(), watch::Sender::new(None));
        receiver
    }

    /// Returns a receiver of the outcome of a request in flight.
    pub fn subscribe(&self, key: &Key) -> Option<watch::Receiver<Option<Outcome>>> {
        self.outcomes.get(key).map(watch::Sender::subscribe)
    }

    /// Adds the outcome of a request and sends it to the receivers.
    pub fn finish(&mut self, key: &Key, outcome: &Outcome, state: State) {
        self.intent_waiters.remove(key);
        if let Some(entry) = self.journal.finish(key, state) {
            self.add(entry);
        }
        if let Some(sender) = self.outcomes.remove(key) {
            sender.send_replace(Some(outcome.clone()));
        }
    }

    /// Returns whether some entry is not yet in the store.
    pub fn has_unwritten(&self) -> bool {
        self.chunks.values().any(Chunk::has_unwritten)
    }

    /// Returns whether every request has ended and every entry is in the store.
    pub fn settled(&self) -> bool {
        self.outcomes.is_empty() && !self.has_unwritten()
    }

    /// Returns whether new entries or the mark should be written now.
    pub fn is_write_due(&self, now: Millis, mark_interval: Millis) -> bool {
        self.has_unwritten() || now.since(self.mark_written) >= mark_interval
    }

    /// Returns the next write, after dropping expired records.
    pub fn collect(&mut self, now: Millis) -> PartitionWrite {
        self.journal.expire(now);
        let unwritten = self
            .chunks
            .iter()
            .filter(|(_, chunk)| chunk.has_unwritten());
        let chunks: Vec<(u64, usize)> = unwritten
            .map(|(number, chunk)| (*number, chunk.entries.len()))
            .collect();
        let complete = chunks.len() <= MAX_CHUNKS;
        let chunks: Vec<_> = chunks.into_iter().take(MAX_CHUNKS).collect();
        let removed = self.expired_chunks(now);
        let mut writes: Vec<Write> = chunks.iter().map(|(n, _)| self.put_chunk(*n)).collect();
        writes.extend(removed.iter().map(|chunk| Write::Delete {
            key: chunk_key(self.number, *chunk),
        }));
        // The mark states that all entries are in the store, so it is written only together with
        // the last of them.
        if complete {
            writes.push(Write::Put {
                key: mark_key(self.number),
                value: encode(&self.journal.next_watermark(now)),
            });
        }
        PartitionWrite {
            number: self.number,
            epoch: self.epoch,
            condition: Condition {
                key: unit_key(self.number),
                revision: self.fence,
            },
            writes,
            chunks,
            removed,
            complete,
            at: now,
        }
    }

    fn put_chunk(&self, chunk: u64) -> Write {
        let entries = self.chunks.get(&chunk).map(|chunk| chunk.entries.clone());
        let stored = StoredChunk {
            format: FORMAT_VERSION,
            entries: entries.unwrap_or_default(),
        };
        Write::Put {
            key: chunk_key(self.number, chunk),
            value: encode(&stored),
        }
    }

    /// Returns closed chunks whose entries are all older than `KEEP`.
    fn expired_chunks(&self, now: Millis) -> Vec<u64> {
        let last = self.chunks.keys().next_back().copied();
        let old = self.chunks.iter().filter(|(number, chunk)| {
            Some(**number) != last
                && !chunk.has_unwritten()
                && chunk.newest + RECORD_RETENTION < now
        });
        old.map(|(number, _)| *number).take(MAX_REMOVED).collect()
    }

    /// Records that a write took effect and signals the requests whose intents it contained.
    pub fn confirm(&mut self, write: &PartitionWrite) {
        for (number, count) in &write.chunks {
            let Some(chunk) = self.chunks.get_mut(number) else {
                continue;
            };
            let from = chunk.written;
            chunk.written = chunk.written.max(*count);
            for entry in &chunk.entries[from..chunk.written] {
                if let Some(sender) = self.intent_waiters.remove(&entry.key) {
                    // The receiver is gone if the request stopped waiting.
                    let _ = sender.send(());
                }
            }
        }
        for removed in &write.removed {
            self.chunks.remove(removed);
        }
        self.free_written();
        if write.complete {
            self.mark_written = write.at;
            self.journal.write_succeeded();
        }
    }

    /// Frees the entries of closed chunks that are written; the journal still holds them.
    fn free_written(&mut self) {
        let last = self.chunks.keys().next_back().copied().unwrap_or_default();
        let closed = self.chunks.range_mut(..last);
        for (_, chunk) in closed.filter(|(_, chunk)| !chunk.has_unwritten()) {
            chunk.entries = Vec::new();
            chunk.written = 0;
        }
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_else(|error| panic!("encoding a journal value: {error}"))
}
