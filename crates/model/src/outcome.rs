//! Request outcomes.

use serde::{Deserialize, Serialize};

/// Outcome of a request, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Queued; has not run yet.
    Waiting,
    /// Started and not completed.
    Running,
    /// Completed.
    Ran,
    /// Has not run and never will.
    NotRun,
    /// Started and interrupted.
    Cut,
    /// May or may not have run.
    Unknown,
}

impl Outcome {
    /// Name in headers and responses.
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
