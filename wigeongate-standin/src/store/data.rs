//! Keys, leases and event history of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wigeongate_api::etcd::{
    Bytes, Compare, Comparison, DeleteRequest, EventType, KeyValue, Number, PutRequest,
    RangeRequest, RangeResponse, RequestOp, ResponseOp, Target, TxnRequest, TxnResponse,
    WatchCreate, WatchEvent,
};

/// Maximum number of events kept for watches that start at a past revision.
const HISTORY_LIMIT: usize = 10_000;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Contents of the store.
#[derive(Debug, Default)]
pub struct Data {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    history: Vec<WatchEvent>,
    /// Revision up to which events may have been dropped from the history.
    compacted_revision: i64,
    writes: u64,
}

impl Data {
    /// Returns the newest revision.
    pub const fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the number of transactions that wrote.
    pub const fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the revision up to which events may have been dropped from the history.
    pub const fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// Reads a key or a range of keys.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let all: Vec<&KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| in_range(key, &request.key, &request.range_end))
            .map(|(_, kv)| kv)
            .collect();
        let limit = usize::try_from(request.limit.0).unwrap_or_default();
        let returned = if limit == 0 {
            all.len()
        } else {
            all.len().min(limit)
        };
        RangeResponse {
            header: self.header(),
            more: returned < all.len(),
            count: Number(i64::try_from(all.len()).unwrap_or(i64::MAX)),
            kvs: all.into_iter().take(returned).cloned().collect(),
        }
    }

    /// Returns the keys that start with `prefix`, with their values.
    pub fn entries(&self, prefix: &[u8]) -> Vec<(String, Vec<u8>)> {
        let matching = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(key, kv)| (String::from_utf8_lossy(key).into(), kv.value.0.clone()))
            .collect()
    }

    /// Executes a transaction.
    pub fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let writes = ops.iter().any(|op| op.request_range.is_none());
        if writes {
            self.revision += 1;
            self.writes += 1;
        }
        let responses = ops.iter().map(|op| self.apply(op)).collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn apply(&mut self, op: &RequestOp) -> ResponseOp {
        if let Some(put) = &op.request_put {
            self.put(put);
        }
        if let Some(delete) = &op.request_delete_range {
            self.delete(delete);
        }
        let response_range = op.request_range.as_ref().map(|range| self.range(range));
        ResponseOp { response_range }
    }

    fn put(&mut self, put: &PutRequest) {
        let old = self.keys.get(&put.key.0);
        let created = old.map_or(self.revision, |kv| kv.create_revision.0);
        let version = old.map_or(0, |kv| kv.version.0) + 1;
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: Number(created),
            mod_revision: Number(self.revision),
            version: Number(version),
            lease: put.lease,
        };
        self.keys.insert(put.key.0.clone(), kv.clone());
        self.record(WatchEvent {
            kind: EventType::Put,
            kv,
        });
    }

    fn delete(&mut self, delete: &DeleteRequest) {
        let keys: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|key| in_range(key, &delete.key, &delete.range_end))
            .cloned()
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &[u8]) {
        self.keys.remove(key);
        let kv = KeyValue {
            key: Bytes(key.to_vec()),
            mod_revision: Number(self.revision),
            ..KeyValue::default()
        };
        self.record(WatchEvent {
            kind: EventType::Delete,
            kv,
        });
    }

    /// Appends an event; drops the older half of the history when it is full.
    fn record(&mut self, event: WatchEvent) {
        self.history.push(event);
        if self.history.len() > HISTORY_LIMIT {
            let dropped = self.history.drain(..HISTORY_LIMIT / 2).next_back();
            self.compacted_revision =
                dropped.map_or(self.compacted_revision, |event| event.kv.mod_revision.0);
        }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let default = KeyValue::default();
        let kv = self.keys.get(&compare.key.0).unwrap_or(&default);
        let ordering = match compare.target {
            Target::Version => kv.version.cmp(&compare.version.unwrap_or_default()),
            Target::Mod => kv
                .mod_revision
                .cmp(&compare.mod_revision.unwrap_or_default()),
            Target::Create => kv
                .create_revision
                .cmp(&compare.create_revision.unwrap_or_default()),
            Target::Value => kv.value.cmp(&compare.value.clone().unwrap_or_default()),
        };
        match compare.result {
            Comparison::Equal => ordering.is_eq(),
            Comparison::Greater => ordering.is_gt(),
            Comparison::Less => ordering.is_lt(),
        }
    }

    /// Grants a lease of `ttl` seconds, at least one, and returns its identifier.
    pub fn grant(&mut self, ttl: i64, now: Instant) -> i64 {
        self.last_lease += 1;
        let ttl = Duration::from_secs(u64::try_from(ttl).unwrap_or(1).max(1));
        self.leases.insert(
            self.last_lease,
            Lease {
                ttl,
                expires_at: now + ttl,
            },
        );
        self.last_lease
    }

    /// Renews a lease and returns its time to live in seconds; zero if it has expired.
    pub fn renew(&mut self, id: i64, now: Instant) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = now + lease.ttl;
        i64::try_from(lease.ttl.as_secs()).unwrap_or(i64::MAX)
    }

    /// Revokes a lease and removes the keys attached to it.
    pub fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, kv)| kv.lease.0 == id)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    /// Revokes all expired leases.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Returns the events that match a watch, from revision `start` on.
    pub fn events(&self, watch: &WatchCreate, start: i64) -> Vec<WatchEvent> {
        let wanted = |event: &&WatchEvent| {
            event.kv.mod_revision.0 >= start
                && in_range(&event.kv.key.0, &watch.key, &watch.range_end)
        };
        self.history.iter().filter(wanted).cloned().collect()
    }

    /// Returns the header for a response.
    pub const fn header(&self) -> wigeongate_api::etcd::Header {
        wigeongate_api::etcd::Header {
            revision: Number(self.revision),
        }
    }
}

/// Returns whether a key equals `first`, or lies in `first..end` if `end` is not empty.
///
/// As in etcd, an `end` of one zero byte means no upper bound.
fn in_range(key: &[u8], first: &Bytes, end: &Bytes) -> bool {
    if end.0.is_empty() {
        return key == first.0;
    }
    let open_end = end.0 == [0];
    key >= first.0.as_slice() && (open_end || key < end.0.as_slice())
}
