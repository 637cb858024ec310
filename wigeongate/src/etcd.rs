//! A client of the store over the etcd v3 JSON gateway.

mod endpoints;
mod limiter;

use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use futures_util::{FutureExt, StreamExt, TryStreamExt, stream};
use tokio::time::{Instant, sleep, timeout};
use wigeongate_api::etcd::{
    Bytes, Compare, DeleteRequest, EventType, KeyValue, Number, PutRequest, RangeRequest,
    RangeResponse, RequestOp, Target, TxnRequest, TxnResponse, WatchCreate, WatchEvent,
    WatchMessage, WatchRequest, WatchResponse, prefix_end,
};
use wigeongate_config::settings::StoreSettings;

use self::endpoints::{Call, Endpoints};
use crate::store::{
    Circuit, CommitOutcome, Condition, Entry, KeyChange, Snapshot, Store, StoreError, Txn,
    WatchUpdate, Write,
};

/// Prefixes of the keys whose calls take precedence over all others.
const URGENT_PREFIXES: [&str; 3] = ["gates/", "units/", "configuration"];

/// The time limit of a write and its read-backs, in call timeouts.
const MAX_COMMIT_TIMEOUTS: u32 = 2;

/// A client of the store; adds the prefix of this installation to each key.
#[derive(Debug)]
pub struct Etcd {
    endpoints: Endpoints,
    prefix: String,
}

/// The outcome of a write, as shown by a read after its answer was lost.
enum WriteOutcome {
    /// The write took effect at this revision.
    Written(i64),
    /// The write has not taken effect but still may. It can be sent once more, since its condition
    /// lets at most one of the two succeed.
    NotApplied,
    /// The key holds something else: another write replaced this one, or came first.
    Ambiguous,
}

impl Etcd {
    /// Creates a client, which connects on the first call.
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            endpoints: Endpoints::new(settings),
            prefix: settings.prefix.clone(),
        }
    }

    fn full_key(&self, key: &str) -> Bytes {
        Bytes([self.prefix.as_bytes(), key.as_bytes()].concat())
    }

    fn entry(&self, kv: KeyValue) -> Entry {
        let key = String::from_utf8_lossy(&kv.key.0);
        let key = key
            .strip_prefix(self.prefix.as_str())
            .unwrap_or(&key)
            .to_owned();
        Entry {
            key,
            value: kv.value.0,
            revision: kv.mod_revision.0,
        }
    }

    async fn read(&self, key: Bytes, range_end: Bytes) -> Result<RangeResponse, StoreError> {
        let name = String::from_utf8_lossy(&key.0).into_owned();
        let name = name.strip_prefix(self.prefix.as_str()).unwrap_or(&name);
        let request = RangeRequest {
            key,
            range_end,
            ..RangeRequest::default()
        };
        let call = Call {
            step: "read",
            path: "/v3/kv/range",
            body: &request,
            urgent: is_urgent(name),
            read_only: true,
        };
        self.endpoints.call(&call).await
    }

    async fn commit_once(
        &self,
        request: &TxnRequest,
        urgent: bool,
    ) -> Result<CommitOutcome, StoreError> {
        let call = Call {
            step: "commit",
            path: "/v3/kv/txn",
            body: request,
            urgent,
            read_only: false,
        };
        let response: TxnResponse = self.endpoints.call(&call).await?;
        Ok(if response.succeeded {
            CommitOutcome::Committed(response.header.revision.0)
        } else {
            CommitOutcome::Conflict
        })
    }

    /// Reads the first key that a transaction writes, to find out whether it took effect.
    ///
    /// A value equal to the written one counts as written. Records that must be distinguished hold
    /// the name of their writer and a number that it uses only once.
    async fn read_back(&self, txn: &Txn) -> Result<WriteOutcome, StoreError> {
        let Some(first) = txn.writes.first() else {
            return Ok(WriteOutcome::Ambiguous);
        };
        let (key, value) = match first {
            Write::Put { key, value } => (key, Some(value)),
            Write::Delete { key } => (key, None),
        };
        let read = self.read(self.full_key(key), Bytes::default()).await?;
        let found = read.kvs.into_iter().next().map(|kv| self.entry(kv));
        let revision = found.as_ref().map_or(0, |entry| entry.revision);
        let condition = txn.when.iter().find(|condition| condition.key == *key);
        if condition.is_some_and(|condition| condition.revision == revision) {
            return Ok(WriteOutcome::NotApplied);
        }
        Ok(match (found, value) {
            (Some(entry), Some(value)) if entry.value == *value => {
                WriteOutcome::Written(entry.revision)
            }
            (None, None) if condition.is_some() => WriteOutcome::Written(read.header.revision.0),
            _ => WriteOutcome::Ambiguous,
        })
    }

    /// Commits a transaction; if the answer is lost, reads back whether it took effect and retries
    /// the commit while that is safe.
    async fn commit_with_read_back(&self, txn: Txn) -> Result<CommitOutcome, StoreError> {
        let keys = txn.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        });
        let urgent = keys.into_iter().any(|key| is_urgent(key));
        let request = self.txn_request(&txn);
        let deadline = Instant::now() + self.endpoints.timeout() * MAX_COMMIT_TIMEOUTS;
        let mut failures = 0;
        let mut first_error: Option<StoreError> = None;
        loop {
            let committed = self.commit_once(&request, urgent).await;
            match committed {
                Ok(CommitOutcome::Conflict) if first_error.is_some() => {}
                Ok(committed) => return Ok(committed),
                Err(error @ StoreError::NoEffect { .. }) if first_error.is_none() => {
                    return Err(error);
                }
                Err(error) => drop(first_error.get_or_insert(error)),
            }
            loop {
                match self.read_back(&txn).await {
                    Ok(WriteOutcome::Written(revision)) => {
                        return Ok(CommitOutcome::Committed(revision));
                    }
                    Ok(WriteOutcome::NotApplied) => break,
                    Ok(WriteOutcome::Ambiguous) => {
                        return Err(first_error.unwrap_or_else(|| self.commit_timed_out()));
                    }
                    Err(_) => {}
                }
                failures += 1;
                sleep(limiter::backoff(failures)).await;
                if Instant::now() >= deadline {
                    return Err(first_error.unwrap_or_else(|| self.commit_timed_out()));
                }
            }
            if Instant::now() >= deadline {
                return Err(first_error.unwrap_or_else(|| self.commit_timed_out()));
            }
        }
    }

    /// Returns the error for a commit whose outcome could not be found out in time.
    fn commit_timed_out(&self) -> StoreError {
        self.endpoints
            .unknown("commit", &"the store did not answer in time")
    }

    fn txn_request(&self, txn: &Txn) -> TxnRequest {
        let writes = txn.writes.iter().cloned();
        TxnRequest {
            compare: txn
                .when
                .iter()
                .map(|condition| self.compare(condition))
                .collect(),
            success: writes.map(|write| self.operation(write)).collect(),
            failure: Vec::new(),
        }
    }

    fn compare(&self, condition: &Condition) -> Compare {
        Compare {
            key: self.full_key(&condition.key),
            target: Target::Mod,
            mod_revision: Some(Number(condition.revision)),
            ..Compare::default()
        }
    }

    fn operation(&self, write: Write) -> RequestOp {
        match write {
            Write::Put { key, value } => RequestOp {
                request_put: Some(PutRequest {
                    key: self.full_key(&key),
                    value: Bytes(value),
                    ..PutRequest::default()
                }),
                ..RequestOp::default()
            },
            Write::Delete { key } => RequestOp {
                request_delete_range: Some(DeleteRequest {
                    key: self.full_key(&key),
                    ..DeleteRequest::default()
                }),
                ..RequestOp::default()
            },
        }
    }

    async fn open_watch(
        &self,
        start: i64,
    ) -> Result<impl futures_util::Stream<Item = Result<WatchUpdate, StoreError>> + '_, StoreError>
    {
        let key = self.full_key("");
        let range_end = Bytes(prefix_end(&key.0));
        let create_request = WatchCreate {
            key,
            range_end,
            start_revision: Number(start),
            progress_notify: true,
        };
        let request = WatchRequest { create_request };
        let sent = self
            .endpoints
            .send("watch", "/v3/watch", &request, true, None);
        let response = timeout(self.endpoints.timeout(), sent)
            .await
            .map_err(|error| self.endpoints.unknown("watch", &error))??;
        let chunks = response
            .bytes_stream()
            .map_err(|error| self.endpoints.unknown("watch", &error));
        Ok(lines(chunks).map(|line| self.decode_update(&line?)))
    }

    fn decode_update(&self, line: &[u8]) -> Result<WatchUpdate, StoreError> {
        let line: WatchMessage = serde_json::from_slice(line)
            .map_err(|error| self.endpoints.unknown("watch", &error))?;
        let WatchResponse {
            header,
            canceled,
            compact_revision,
            events,
            ..
        } = line.result;
        if compact_revision.0 > 0 {
            return Ok(WatchUpdate::Compacted);
        }
        if canceled {
            return Err(self
                .endpoints
                .unknown("watch", &"the store cancelled the watch"));
        }
        if events.is_empty() {
            return Ok(WatchUpdate::Progress(header.revision.0));
        }
        Ok(WatchUpdate::Changes(
            events
                .into_iter()
                .map(|event| self.key_change(event))
                .collect(),
        ))
    }

    fn key_change(&self, event: WatchEvent) -> KeyChange {
        let removed = event.kind == EventType::Delete;
        KeyChange {
            entry: self.entry(event.kv),
            removed,
        }
    }
}

impl Store for Etcd {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Entry, StoreError>> {
        async move {
            let read = self.read(self.full_key(key), Bytes::default()).await?;
            let absent = || Entry {
                key: key.to_owned(),
                ..Entry::default()
            };
            Ok(read
                .kvs
                .into_iter()
                .next()
                .map_or_else(absent, |kv| self.entry(kv)))
        }
        .boxed()
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, StoreError>> {
        async move {
            let key = self.full_key(prefix);
            let end = Bytes(prefix_end(&key.0));
            let read = self.read(key, end).await?;
            let entries = read.kvs.into_iter().map(|kv| self.entry(kv)).collect();
            Ok(Snapshot {
                revision: read.header.revision.0,
                entries,
            })
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<CommitOutcome, StoreError>> {
        self.commit_with_read_back(txn).boxed()
    }

    fn circuit(&self) -> Circuit {
        self.endpoints.circuit()
    }

    fn watch(&self, start: i64) -> BoxStream<'_, Result<WatchUpdate, StoreError>> {
        stream::once(self.open_watch(start)).try_flatten().boxed()
    }
}

fn is_urgent(key: &str) -> bool {
    URGENT_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
}

/// Splits a stream of chunks into lines.
fn lines<'a, S>(chunks: S) -> impl futures_util::Stream<Item = Result<Vec<u8>, StoreError>> + 'a
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, StoreError>> + Send + 'a,
{
    let state = (Box::pin(chunks), Vec::new());
    stream::try_unfold(state, |(mut chunks, mut buffered)| async move {
        loop {
            if let Some(end) = buffered.iter().position(|byte| *byte == b'\n') {
                let rest = buffered.split_off(end + 1);
                return Ok(Some((buffered, (chunks, rest))));
            }
            match chunks.try_next().await? {
                Some(chunk) => buffered.extend_from_slice(&chunk),
                None => return Ok(None),
            }
        }
    })
}
