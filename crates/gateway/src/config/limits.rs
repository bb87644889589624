//! Limits of requests and connections.

/// Limits of requests, connections and total usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Capacity to divide among customers, in weighted tokens per second: a prompt token counts
    /// once, a generated token twice.
    pub tokens_per_s: Option<u32>,
}
