//! Bounds on what callers may send.

/// Bounds on what callers may send and on what all may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// What the servers give together, in tokens a second, if it is shared out:
    /// each token read counts once, each generated twice.
    pub tokens_per_s: Option<u32>,
}
