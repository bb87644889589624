//! Request bodies of the gateway.

use bytes::Bytes;
use serde_json::{Value, json};

use crate::kv::etcd::encoding;
use crate::kv::{Expect, LeaseId, Revision};

/// Reads a single key.
pub(crate) fn get(key: &str) -> Bytes {
    encode_body(&json!({ "key": encoding::encode(key.as_bytes()) }))
}

/// Reads at most `limit` keys from `first` to the last key that starts with `prefix`, at a
/// revision (0 for the latest).
pub(crate) fn range(first: &[u8], prefix: &str, revision: Revision, limit: u32) -> Bytes {
    encode_body(&json!({
        "key": encoding::encode(range_start(first)),
        "range_end": encoding::encode(&range_end(prefix)),
        "limit": limit.to_string(),
        "revision": revision.to_string(),
    }))
}

/// Writes or deletes a key if it matches `expected`, otherwise reads it.
pub(crate) fn swap(
    key: &str,
    expected: Expect,
    value: Option<&[u8]>,
    lease: Option<LeaseId>,
) -> Bytes {
    let key = encoding::encode(key.as_bytes());
    encode_body(&json!({
        "compare": compare(&key, expected),
        "success": [put_or_delete(&key, value, lease)],
        "failure": [{ "request_range": { "key": key } }],
    }))
}

/// Watches the keys that start with `prefix`.
pub(crate) fn watch(prefix: &str, from: Revision) -> Bytes {
    encode_body(&json!({
        "create_request": {
            "key": encoding::encode(range_start(prefix.as_bytes())),
            "range_end": encoding::encode(&range_end(prefix)),
            "start_revision": from.to_string(),
            "progress_notify": true,
        }
    }))
}

/// Grants a lease.
pub(crate) fn grant(ttl_s: u64) -> Bytes {
    encode_body(&json!({ "TTL": ttl_s.to_string() }))
}

/// Renews or revokes a lease.
pub(crate) fn lease(id: LeaseId) -> Bytes {
    encode_body(&json!({ "ID": id.to_string() }))
}

fn compare(key: &str, expected: Expect) -> Value {
    match expected {
        Expect::Any => json!([]),
        Expect::Absent => json!([{
            "key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0",
        }]),
        Expect::Revision(revision) => json!([{
            "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string(),
        }]),
    }
}

fn put_or_delete(key: &str, value: Option<&[u8]>, lease: Option<LeaseId>) -> Value {
    let Some(value) = value else {
        return json!({ "request_delete_range": { "key": key } });
    };
    let lease = lease.map_or(0, |lease| lease.0);
    json!({
        "request_put": { "key": key, "value": encoding::encode(value), "lease": lease.to_string() }
    })
}

/// First key of a range. The service rejects an empty key.
const fn range_start(first: &[u8]) -> &[u8] {
    if first.is_empty() {
        return &[0];
    }
    first
}

/// Exclusive end of the keys that start with `prefix`. A single zero byte means no end.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn encode_body(value: &Value) -> Bytes {
    Bytes::from(value.to_string())
}
