//! Bodies of requests to the gateway.

use bytes::Bytes;
use serde_json::{Value, json};

use crate::kv::etcd::text;
use crate::kv::{Expect, LeaseId, Revision};

/// Reads one key.
pub(crate) fn get(key: &str) -> Bytes {
    body(&json!({ "key": text::encode(key.as_bytes()) }))
}

/// Reads at most `limit` keys, from `first` up to the last one that starts with
/// `prefix`, as of a revision (0 for the newest).
pub(crate) fn range(first: &str, prefix: &str, revision: Revision, limit: u32) -> Bytes {
    body(&json!({
        "key": text::encode(begin(first)),
        "range_end": text::encode(&end(prefix)),
        "limit": limit.to_string(),
        "revision": revision.to_string(),
    }))
}

/// Writes or deletes a key if it is as expected, else reads it.
pub(crate) fn swap(
    key: &str,
    expected: Expect,
    value: Option<&[u8]>,
    lease: Option<LeaseId>,
) -> Bytes {
    let key = text::encode(key.as_bytes());
    body(&json!({
        "compare": compare(&key, expected),
        "success": [write(&key, value, lease)],
        "failure": [{ "request_range": { "key": key } }],
    }))
}

/// Opens a watch of the keys that start with `prefix`.
pub(crate) fn watch(prefix: &str, from: Revision) -> Bytes {
    body(&json!({
        "create_request": {
            "key": text::encode(begin(prefix)),
            "range_end": text::encode(&end(prefix)),
            "start_revision": from.to_string(),
            "progress_notify": true,
        }
    }))
}

/// Opens a lease.
pub(crate) fn grant(ttl_s: u64) -> Bytes {
    body(&json!({ "TTL": ttl_s.to_string() }))
}

/// Renews or ends a lease.
pub(crate) fn lease(id: LeaseId) -> Bytes {
    body(&json!({ "ID": id.to_string() }))
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

fn write(key: &str, value: Option<&[u8]>, lease: Option<LeaseId>) -> Value {
    let Some(value) = value else {
        return json!({ "request_delete_range": { "key": key } });
    };
    let lease = lease.map_or(0, |lease| lease.0);
    json!({
        "request_put": { "key": key, "value": text::encode(value), "lease": lease.to_string() }
    })
}

/// First key of a range; the service takes no empty one.
const fn begin(first: &str) -> &[u8] {
    if first.is_empty() {
        return &[0];
    }
    first.as_bytes()
}

/// First key after all that start with `prefix`. A single zero byte means no end.
fn end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn body(value: &Value) -> Bytes {
    Bytes::from(value.to_string())
}
