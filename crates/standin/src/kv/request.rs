//! Requests to the gateway. Field names are taken in both of its forms; an option
//! that the stand-in does not carry out is an error.

use serde::Deserialize;

use crate::kv::compare::Compare;
use crate::kv::number;

/// Reads keys.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Range {
    #[serde(deserialize_with = "number::bytes")]
    pub key: Vec<u8>,
    #[serde(
        rename = "range_end",
        alias = "rangeEnd",
        deserialize_with = "number::bytes"
    )]
    pub end: Vec<u8>,
    #[serde(deserialize_with = "number::number")]
    pub limit: u64,
    #[serde(deserialize_with = "number::number")]
    pub revision: u64,
}

/// Writes a key.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Put {
    #[serde(deserialize_with = "number::bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "number::bytes")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "number::number")]
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
    pub create_request: Create,
}

/// What is watched.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Create {
    #[serde(deserialize_with = "number::bytes")]
    pub key: Vec<u8>,
    #[serde(
        rename = "range_end",
        alias = "rangeEnd",
        deserialize_with = "number::bytes"
    )]
    pub end: Vec<u8>,
    #[serde(alias = "startRevision", deserialize_with = "number::number")]
    pub start_revision: u64,
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// Opens, renews or ends a lease.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Lease {
    #[serde(rename = "ID", deserialize_with = "number::number")]
    pub id: u64,
    #[serde(rename = "TTL", deserialize_with = "number::number")]
    pub ttl_s: u64,
}
