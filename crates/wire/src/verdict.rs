//! Why a sidecar itself answered a request.

/// Response header in which a sidecar gives its [`Verdict`]; absent on answers
/// of the backend.
pub const HEADER: &str = "verdict";

/// A sidecar's own answer to a request that it did not pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// No slot is free; not run, and never will be under this attempt.
    Busy,
    /// The server is leaving; not run.
    Draining,
    /// The attempt was withdrawn before it arrived; not run.
    Tombstone,
    /// The key is not at home here by the sidecar's configuration; not run.
    NotHome,
    /// The key may have run in an earlier life or at a former home; unknown.
    Doubtful,
    /// A request with this key is running now.
    Running,
    /// A request with this key ran; its answer is not kept.
    Ran,
    /// The backend refused or could not be reached before anything was sent; not run.
    Unreachable,
    /// The backend failed after the request was sent; unknown.
    Broken,
    /// The ticket could not be read; not run.
    Malformed,
    /// The ticket's deadline had passed on arrival; not run.
    Late,
    /// The idempotency key cannot be remembered safely now; not run.
    /// `retry-after` says when it may be.
    Full,
}

impl Verdict {
    /// Every verdict.
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

    /// The word used in [`HEADER`].
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

    /// Reads the word of a verdict; `None` for any other word.
    #[must_use]
    pub fn parse(word: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|verdict| verdict.as_str() == word)
    }

    /// Whether the attempt is proved not to have run.
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
