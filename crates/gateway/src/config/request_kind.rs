//! Retry semantics of requests.

/// Retry semantics and response type of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// Event stream of a request that may run at most once.
    Stream,
    /// Event stream that another server can resume after any event.
    Resumable,
}

impl RequestKind {
    /// Whether a request that may have run can be retried.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }
}
