//! Verdicts: why a sidecar answered a request itself instead of relaying the backend's response.

/// Response header that carries the [`Verdict`]; absent from responses of the backend.
pub const HEADER: &str = "verdict";

/// Why a sidecar answered a request itself, and whether the attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// No slot is free; the attempt did not run and never will.
    Busy,
    /// The server is draining; not run.
    Draining,
    /// The attempt or its key was withdrawn before it arrived; not run.
    Withdrawn,
    /// The server is not the key's home in the sidecar's configuration; not run.
    NotHome,
    /// The key may have run in an earlier instance or at a former home; outcome unknown.
    Indeterminate,
    /// The attempt, or a request with the same key, is running.
    Running,
    /// The attempt, or a request with the same key, completed; the response is not stored.
    Completed,
    /// The backend refused the connection or was unreachable; nothing was sent; not run.
    Unreachable,
    /// The attempt, or a request with the same key, was sent to the backend and interrupted;
    /// outcome unknown.
    Interrupted,
    /// The ticket could not be decoded; not run.
    Malformed,
    /// The deadline had passed on arrival; not run.
    DeadlineExceeded,
    /// The idempotency key cannot be stored yet; not run. `retry-after` gives the time to retry.
    RetryAfter,
}

impl Verdict {
    /// All verdicts.
    pub const ALL: [Self; 12] = [
        Self::Busy,
        Self::Draining,
        Self::Withdrawn,
        Self::NotHome,
        Self::Indeterminate,
        Self::Running,
        Self::Completed,
        Self::Unreachable,
        Self::Interrupted,
        Self::Malformed,
        Self::DeadlineExceeded,
        Self::RetryAfter,
    ];

    /// Value in [`HEADER`]. Independent of the names of the variants, for compatibility with other
    /// releases.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Draining => "draining",
            Self::Withdrawn => "tombstone",
            Self::NotHome => "not-home",
            Self::Indeterminate => "doubtful",
            Self::Running => "running",
            Self::Completed => "ran",
            Self::Unreachable => "unreachable",
            Self::Interrupted => "broken",
            Self::Malformed => "malformed",
            Self::DeadlineExceeded => "late",
            Self::RetryAfter => "full",
        }
    }

    /// Parses a value of [`HEADER`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
    }

    /// Whether the attempt is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::Draining
            | Self::Withdrawn
            | Self::NotHome
            | Self::Unreachable
            | Self::Malformed
            | Self::DeadlineExceeded
            | Self::RetryAfter => true,
            Self::Indeterminate | Self::Running | Self::Completed | Self::Interrupted => false,
        }
    }
}
