//! The gateway's answers. Fields at their zero value are left out.

use serde::Deserialize;

use crate::kv::etcd::text;
use crate::kv::{LeaseId, Pair};

/// What every answer begins with.
#[derive(Debug, Deserialize)]
pub(crate) struct Header {
    #[serde(deserialize_with = "text::number")]
    pub revision: u64,
}

/// What every message of a watch begins with. One that ends the watch has no revision.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct WatchHeader {
    #[serde(default, deserialize_with = "text::number")]
    pub revision: u64,
}

/// A key and its value.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    #[serde(deserialize_with = "text::key")]
    pub key: String,
    #[serde(default, deserialize_with = "text::bytes")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "text::number")]
    pub mod_revision: u64,
    #[serde(default, deserialize_with = "text::number")]
    pub lease: u64,
}

impl From<KeyValue> for Pair {
    fn from(held: KeyValue) -> Self {
        Self {
            key: held.key,
            value: held.value,
            revision: held.mod_revision,
            lease: (held.lease != 0).then_some(LeaseId(held.lease)),
        }
    }
}

/// Answer to a range.
#[derive(Debug, Deserialize)]
pub(crate) struct Range {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    #[serde(default)]
    pub more: bool,
}

/// Answer to a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct Txn {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<Response>,
}

/// Answer to one operation of a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct Response {
    #[serde(default)]
    pub response_range: Option<Found>,
}

/// Keys found in a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct Found {
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Answer to the opening or renewing of a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct Lease {
    #[serde(rename = "ID", deserialize_with = "text::number")]
    pub id: u64,
    #[serde(rename = "TTL", default, deserialize_with = "text::number")]
    pub ttl_s: u64,
}

/// One message of an answer that streams.
#[derive(Debug, Deserialize)]
pub(crate) struct Streamed<T> {
    pub result: Option<T>,
    pub error: Option<serde_json::Value>,
}

/// One message of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct Watched {
    pub header: WatchHeader,
    #[serde(default)]
    pub created: bool,
    #[serde(default)]
    pub canceled: bool,
    #[serde(default)]
    pub cancel_reason: String,
    #[serde(default, deserialize_with = "text::number")]
    pub compact_revision: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// One write in a message of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    #[serde(default, rename = "type")]
    pub kind: EventKind,
    pub kv: KeyValue,
}

/// Kind of a watched write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    #[default]
    Put,
    Delete,
}
