//! Limits of the client.

/// Limits of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time to connect to one endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time of a call, all endpoints that are tried together, in
    /// milliseconds.
    pub call_timeout_ms: u64,
    /// Longest silence of a watch, in milliseconds. The service is asked for a sign of life; one that
    /// gives none costs another watch call each time this passes.
    pub watch_idle_timeout_ms: u64,
    /// Largest answer that is read, in bytes.
    pub max_response_bytes: usize,
    /// Most keys in the answer to one call; a longer listing takes several calls.
    pub page_size: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            call_timeout_ms: 3_000,
            watch_idle_timeout_ms: 900_000,
            max_response_bytes: 64 << 20,
            page_size: 10_000,
        }
    }
}
