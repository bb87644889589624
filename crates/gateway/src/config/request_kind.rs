//! What may be repeated.

/// What may be done with a request of a route more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// It is answered by events and may run at most once.
    Stream,
    /// It is answered by events and may be resumed after any of them on another server.
    Resumable,
}

impl RequestKind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Its name in logs and metrics.
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
