//! Requests to the gateway. Field names may be in snake case or camel case. Unsupported options
//! are errors.

use serde::Deserialize;

use crate::kv::compare::Compare;
use crate::kv::encoding;

/// Reads or deletes a range of keys.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Range {
    #[serde(deserialize_with = "encoding::bytes")]
    pub key: Vec<u8>,
    #[serde(
        rename = "range_end",
        alias = "rangeEnd",
        deserialize_with = "encoding::bytes"
    )]
    pub end: Vec<u8>,
    #[serde(deserialize_with = "encoding::number")]
    pub limit: u64,
    #[serde(deserialize_with = "encoding::number")]
    pub revision: u64,
}

/// Writes a key.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Put {
    #[serde(deserialize_with = "encoding::bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "encoding::bytes")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "encoding::number")]
    pub lease: u64,
}

/// A transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Txn {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

/// An operation of a transaction.
#[derive(Debug, Deserialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// Opens a watch.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: CreateWatch,
}

/// Parameters of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct CreateWatch {
    #[serde(deserialize_with = "encoding::bytes")]
    pub key: Vec<u8>,
    #[serde(
        rename = "range_end",
        alias = "rangeEnd",
        deserialize_with = "encoding::bytes"
    )]
    pub end: Vec<u8>,
    #[serde(alias = "startRevision", deserialize_with = "encoding::number")]
    pub start_revision: u64,
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// Grants, renews or revokes a lease.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Lease {
    #[serde(rename = "ID", deserialize_with = "encoding::number")]
    pub id: u64,
    #[serde(rename = "TTL", deserialize_with = "encoding::number")]
    pub ttl_s: u64,
}
