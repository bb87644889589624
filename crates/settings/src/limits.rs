//! Bounds of a router.

use serde::Deserialize;

/// Bounds of a router; each has a default.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Most requests of one customer waiting here, unless the customer has its own.
    pub queue_per_customer: u32,
    /// Most requests waiting here in all.
    pub queue_total: u32,
    /// Most connections from callers.
    pub connections: u32,
    /// Longest time a caller may take to send its head, in milliseconds.
    pub head_ms: u64,
    /// Longest time a caller may leave an answer unread, in milliseconds.
    pub stall_ms: u64,
    /// Deadline of requests that name none, in milliseconds after arrival.
    pub deadline_ms: u64,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// Servers of one pool that the router stays connected to.
    pub subset: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            queue_per_customer: 256,
            queue_total: 4096,
            connections: 4096,
            head_ms: 5_000,
            stall_ms: 30_000,
            deadline_ms: 120_000,
            retry_percent: 10,
            subset: 20,
        }
    }
}
