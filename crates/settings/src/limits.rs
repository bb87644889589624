//! Limits of a router.

use serde::Deserialize;

/// Limits of a router, each with a default.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of queued requests per customer, unless configured for the customer.
    pub queue_per_customer: u32,
    /// Maximum number of queued requests of all customers.
    pub queue_total: u32,
    /// Maximum number of connections from callers.
    pub connections: u32,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Time after which a caller that does not read its response is disconnected, in milliseconds.
    pub stall_ms: u64,
    /// Default deadline of a request, in milliseconds after it is received.
    pub deadline_ms: u64,
    /// Maximum number of retries per hundred first attempts.
    pub retry_percent: u32,
    /// Number of servers per pool that the router stays connected to.
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
