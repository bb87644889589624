//! Limits of the client.

/// Limits of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time to connect to one endpoint, in milliseconds.
    pub connect_ms: u64,
    /// Longest time of a call, all endpoints that are tried together, in
    /// milliseconds.
    pub call_ms: u64,
    /// Longest silence of a watch, in milliseconds. The service is asked for a sign of life; one that
    /// gives none costs another watch call each time this passes.
    pub silence_ms: u64,
    /// Largest answer that is read, in bytes.
    pub answer_bytes: usize,
    /// Most keys in the answer to one call; a longer listing takes several calls.
    pub page_keys: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            call_ms: 3_000,
            silence_ms: 900_000,
            answer_bytes: 64 << 20,
            page_keys: 10_000,
        }
    }
}
