//! Messages of the etcd v3 JSON gateway, limited to the fields that wigeongate uses.
//!
//! Keys and values are base64 strings and 64-bit numbers are decimal strings, as in protobuf's
//! JSON mapping. Source: the published etcd v3 API reference.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are serialized as a base64 string.
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

/// A 64-bit number that is serialized as a decimal string; a JSON number is accepted as well.
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

/// The header of each response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The revision of the store at the time of the response.
    pub revision: Number,
}

/// A key with its value, revisions and lease.
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
    /// The number of writes of the key since it was created, including the first.
    pub version: Number,
    /// The lease that the key is attached to; zero for none.
    pub lease: Number,
}

/// The body of `POST /v3/kv/range`: reads a key or a range.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive; empty for a single key.
    #[serde(skip_serializing_if = "is_empty")]
    pub range_end: Bytes,
    /// The maximum number of keys to return; zero for all.
    pub limit: Number,
}

fn is_empty(bytes: &Bytes) -> bool {
    bytes.0.is_empty()
}

/// The response to a range request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The header of the response.
    pub header: Header,
    /// The keys in ascending order.
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than were returned.
    pub more: bool,
    /// The number of keys in the range.
    pub count: Number,
}

/// A request to write one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease to attach the key to; zero for none.
    pub lease: Number,
}

/// A request to delete a key or a range.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive; empty for a single key.
    #[serde(skip_serializing_if = "is_empty")]
    pub range_end: Bytes,
}

/// The property of a key that a comparison checks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of writes since the key was created, including the first.
    #[default]
    Version,
    /// The revision at which the key was created.
    Create,
    /// The revision at which the key was last changed.
    Mod,
    /// The value.
    Value,
}

/// The operator of a comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Comparison {
    /// The stored property is equal to the given one.
    #[default]
    Equal,
    /// The stored property is greater than the given one.
    Greater,
    /// The stored property is less than the given one.
    Less,
}

/// A comparison of a transaction; the field of its target is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: Bytes,
    /// The property to compare.
    pub target: Target,
    /// The operator.
    pub result: Comparison,
    /// The version to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Number>,
    /// The revision of the last change, to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Number>,
    /// The revision of the creation, to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Number>,
    /// The value to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Bytes>,
}

/// An operation of a transaction; exactly one field is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// The body of `POST /v3/kv/txn`: a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// The operations to execute if all comparisons hold.
    pub success: Vec<RequestOp>,
    /// The operations to execute otherwise.
    pub failure: Vec<RequestOp>,
}

/// The response to one operation of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// The response to a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// The response to a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The header of the response.
    pub header: Header,
    /// Whether all comparisons held.
    pub succeeded: bool,
    /// The responses to the executed operations.
    pub responses: Vec<ResponseOp>,
}

/// The body of `POST /v3/lease/grant`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// The time to live of the lease, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// The body of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// The response to a grant or a revocation, and the content of one to a keep-alive.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The header of the response.
    pub header: Header,
    /// The identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Number,
    /// The time to live, in seconds; zero if the lease has expired.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// The response to `POST /v3/lease/keepalive`, one line of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The content of the line.
    pub result: LeaseResponse,
}

/// The body of `POST /v3/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// The keys and the start of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive.
    pub range_end: Bytes,
    /// The first revision to report; zero for the next revision.
    pub start_revision: Number,
    /// Whether the store periodically sends empty responses to show that the watch is alive.
    pub progress_notify: bool,
}

/// One line of the stream of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchMessage {
    /// The content of the line.
    pub result: WatchResponse,
}

/// Events and state of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The header of the response.
    pub header: Header,
    /// Whether the watch was just created.
    pub created: bool,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// The oldest available revision if the requested history was compacted; otherwise zero.
    pub compact_revision: Number,
    /// The events.
    pub events: Vec<WatchEvent>,
}

/// The kind of a change to a key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// A change of a key, reported by a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The kind of change.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key with its new value; the value is empty for a deletion.
    pub kv: KeyValue,
}

/// Returns the exclusive end of the range of all keys that start with `prefix`; a single zero byte,
/// which means no end, if the prefix is empty or all its bytes are 255.
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
