//! Messages of the etcd v3 JSON gateway, as far as wigeongate speaks them.
//!
//! Keys and values are base64 text and 64-bit numbers are decimal text, as protobuf's JSON
//! mapping has it. Source: the published etcd v3 API reference.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel as base64 text.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

impl From<&str> for Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

/// A 64-bit number that travels as decimal text; a bare number is read as well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub i64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum NumberOrText {
            Number(i64),
            Text(String),
        }
        match NumberOrText::deserialize(from)? {
            NumberOrText::Number(number) => Ok(Self(number)),
            NumberOrText::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// The header of each answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision when it answered.
    pub revision: Number,
}

/// A key with its value and versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The value; empty in a delete event.
    pub value: Bytes,
    /// The revision at which the key was created.
    pub create_revision: Number,
    /// The revision at which the key was last changed.
    pub mod_revision: Number,
    /// How often the key was changed since it was created.
    pub version: Number,
    /// The lease that the key is bound to; zero for none.
    pub lease: Number,
}

/// `POST /v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive; empty for the one key.
    #[serde(skip_serializing_if = "is_empty")]
    pub range_end: Bytes,
    /// How many keys to return at most; zero for all.
    pub limit: Number,
}

fn is_empty(bytes: &Bytes) -> bool {
    bytes.0.is_empty()
}

/// The answer to a range request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The answer's header.
    pub header: Header,
    /// The keys in order.
    pub kvs: Vec<KeyValue>,
    /// Whether more keys are in the range.
    pub more: bool,
    /// How many keys are in the range.
    pub count: Number,
}

/// A write of one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease to bind the key to; zero for none.
    pub lease: Number,
}

/// A removal of a key or a range.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive; empty for the one key.
    #[serde(skip_serializing_if = "is_empty")]
    pub range_end: Bytes,
}

/// What a comparison looks at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of changes since the key was created.
    #[default]
    Version,
    /// The revision of the key's creation.
    Create,
    /// The revision of the key's last change.
    Mod,
    /// The value.
    Value,
}

/// How a comparison compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Comparison {
    /// Equal.
    #[default]
    Equal,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
}

/// One comparison of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: Bytes,
    /// What to look at.
    pub target: Target,
    /// How to compare.
    pub result: Comparison,
    /// The version to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Number>,
    /// The revision of the last change to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Number>,
    /// The revision of the creation to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Number>,
    /// The value to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Bytes>,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A removal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// `POST /v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// What is done when they hold.
    pub success: Vec<RequestOp>,
    /// What is done when they do not.
    pub failure: Vec<RequestOp>,
}

/// The answer to one operation of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// The answer to a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// The answer to a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The answer's header.
    pub header: Header,
    /// Whether the comparisons held.
    pub succeeded: bool,
    /// The answers to the operations that were done.
    pub responses: Vec<ResponseOp>,
}

/// `POST /v3/lease/grant`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// How long the lease runs, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// The answer to a grant or a revocation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The answer's header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
    /// How long it runs, in seconds; zero when it has run out.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// The answer to `POST /v3/lease/keepalive`, one line of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The line's content.
    pub result: LeaseResponse,
}

/// `POST /v3/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive.
    pub range_end: Bytes,
    /// The first revision to report; zero for the next one.
    pub start_revision: Number,
    /// Whether empty answers are sent now and then as a sign of life.
    pub progress_notify: bool,
}

/// One line of a watch's stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchMessage {
    /// The line's content.
    pub result: WatchResponse,
}

/// Events of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The answer's header.
    pub header: Header,
    /// Whether the watch was just created.
    pub created: bool,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// When the wanted history is gone, the oldest revision that is still there.
    pub compact_revision: Number,
    /// The events.
    pub events: Vec<WatchEvent>,
}

/// What happened to a key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// It was written.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

/// One event of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key with its new value.
    pub kv: KeyValue,
}

/// Returns the end of the range of all keys that start with `prefix`.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
