//! What is known of a request that was asked about.

use serde::{Deserialize, Serialize};

/// The truth about one request, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Waiting for a server; it has not run yet.
    Waiting,
    /// Started and not ended.
    Running,
    /// Ran to its end.
    Ran,
    /// Proved never to have run, and never to run later.
    NotRun,
    /// Started, then cut off before its end.
    Cut,
    /// Nothing can be proved.
    Unknown,
}

impl Outcome {
    /// The word used in headers and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Cut => "cut",
            Self::Unknown => "unknown",
        }
    }
}
