//! Response bodies of the gateway, which omits fields with a zero value.

use serde::Deserialize;

use crate::kv::etcd::encoding;
use crate::kv::{LeaseId, Pair};

/// Header of all responses except watch messages.
#[derive(Debug, Deserialize)]
pub(crate) struct Header {
    #[serde(deserialize_with = "encoding::number")]
    pub revision: u64,
}

/// Header of watch messages. A message that cancels the watch has no revision.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct WatchHeader {
    #[serde(default, deserialize_with = "encoding::number")]
    pub revision: u64,
}

/// Key-value pair.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    /// Any client may write keys that are no text.
    #[serde(deserialize_with = "encoding::bytes")]
    pub key: Vec<u8>,
    #[serde(default, deserialize_with = "encoding::bytes")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "encoding::number")]
    pub mod_revision: u64,
    #[serde(default, deserialize_with = "encoding::number")]
    pub lease: u64,
}

impl KeyValue {
    /// Returns the pair; `None`, which is counted, if its key is no text.
    pub(crate) fn into_pair(self) -> Option<Pair> {
        let Ok(key) = String::from_utf8(self.key) else {
            metrics::counter!("kv_items_unreadable_total").increment(1);
            return None;
        };
        Some(Pair {
            key,
            value: self.value,
            revision: self.mod_revision,
            lease: (self.lease != 0).then_some(LeaseId(self.lease)),
        })
    }
}

/// Response to a range request.
#[derive(Debug, Deserialize)]
pub(crate) struct Range {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    #[serde(default)]
    pub more: bool,
}

/// Response to a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct Txn {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

/// Response to one operation of a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct OperationResponse {
    #[serde(default)]
    pub response_range: Option<RangeResult>,
}

/// Result of a range operation in a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeResult {
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Response to granting or renewing a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct Lease {
    #[serde(rename = "ID", deserialize_with = "encoding::number")]
    pub id: u64,
    #[serde(rename = "TTL", default, deserialize_with = "encoding::number")]
    pub ttl_s: u64,
}

/// Message of a streaming response.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamItem<T> {
    pub result: Option<T>,
    pub error: Option<serde_json::Value>,
}

/// Watch message.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchMessage {
    pub header: WatchHeader,
    #[serde(default)]
    pub created: bool,
    #[serde(default)]
    pub canceled: bool,
    #[serde(default)]
    pub cancel_reason: String,
    #[serde(default, deserialize_with = "encoding::number")]
    pub compact_revision: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Write in a watch message.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    #[serde(default, rename = "type")]
    pub kind: EventKind,
    pub kv: KeyValue,
}

/// Type of a watch event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    #[default]
    Put,
    Delete,
}
