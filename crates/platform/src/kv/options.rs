//! Client options.

/// Timeouts and size limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Connect timeout per endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout of a call over all endpoints tried, in milliseconds.
    pub call_timeout_ms: u64,
    /// Time without a message after which a watch fails, in milliseconds. Progress
    /// notifications are requested; a service that sends none causes a new watch call each
    /// time this elapses.
    pub watch_idle_timeout_ms: u64,
    /// Maximum size of a response, in bytes.
    pub max_response_bytes: usize,
    /// Maximum number of keys per response; longer listings are paginated.
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
