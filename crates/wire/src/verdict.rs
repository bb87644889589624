//! Results that a sidecar reports for requests that it did not pass on.

/// Response header that carries the [`Verdict`]; absent from responses of the backend.
pub const HEADER: &str = "verdict";

/// Why a sidecar answered a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// No slot is free; the attempt did not run and never will.
    Busy,
    /// The server is draining; not run.
    Draining,
    /// The attempt was withdrawn before it arrived; not run.
    Tombstone,
    /// The server is not the key's home in the sidecar's configuration; not run.
    NotHome,
    /// The key may have run in an earlier instance or at a former home; unknown.
    Doubtful,
    /// A request with this key is running.
    Running,
    /// A request with this key completed; its response is not stored.
    Ran,
    /// The backend refused the connection or was unreachable; nothing was sent; not run.
    Unreachable,
    /// The backend failed after the request was sent; unknown.
    Broken,
    /// The ticket could not be decoded; not run.
    Malformed,
    /// The deadline had passed on arrival; not run.
    Late,
    /// The idempotency key cannot be stored yet; not run. `retry-after` gives the time to retry.
    Full,
}

impl Verdict {
    /// All verdicts.
    pub const ALL: [Self; 12] = [
        Self::Busy,
        Self::Draining,
        Self::Tombstone,
        Self::NotHome,
        Self::Doubtful,
        Self::Running,
        Self::Ran,
        Self::Unreachable,
        Self::Broken,
        Self::Malformed,
        Self::Late,
        Self::Full,
    ];

    /// Value in [`HEADER`].
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Draining => "draining",
            Self::Tombstone => "tombstone",
            Self::NotHome => "not-home",
            Self::Doubtful => "doubtful",
            Self::Running => "running",
            Self::Ran => "ran",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Late => "late",
            Self::Full => "full",
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
            | Self::Tombstone
            | Self::NotHome
            | Self::Unreachable
            | Self::Malformed
            | Self::Late
            | Self::Full => true,
            Self::Doubtful | Self::Running | Self::Ran | Self::Broken => false,
        }
    }
}
