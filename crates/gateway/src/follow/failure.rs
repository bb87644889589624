//! Failures of calls to sources, and what follows from each.

use displaydoc::Display;
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{Error, Position};

/// Why a call to a source gave nothing that can be applied.
#[derive(Debug, Display)]
pub(super) enum Failure {
    /// no answer: {0}
    Unanswered(Error),
    /// the source has no memory for an answer at the moment
    Busy,
    /// the source has lost its own source
    Uninformed,
    /// the source does not keep the history
    Compacted,
    /// the answer cannot be taken: {0}
    TooLarge(HttpError),
    /// the answer is unreadable: {0}
    Unreadable(String),
    /// the answer was last known to be up to date {age} ms ago
    Outdated {
        /// Age of the answer, in milliseconds.
        age: u64,
    },
    /// the answer at {received} is older than the known {known}
    Behind {
        /// Position of the answer.
        received: Position,
        /// Position that is applied.
        known: Position,
    },
}

/// What follows from a failed call for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// The same call cannot succeed later: list every key.
    List,
    /// Ask another source, and this one again after a while.
    AskAnother,
}

impl Failure {
    /// What follows if this was a call for changes.
    pub(super) const fn next(&self) -> Next {
        match self {
            Self::Compacted | Self::TooLarge(_) => Next::List,
            Self::Unanswered(_)
            | Self::Busy
            | Self::Uninformed
            | Self::Unreadable(_)
            | Self::Outdated { .. }
            | Self::Behind { .. } => Next::AskAnother,
        }
    }

    /// Whether the connection ended. That alone does not mean that the source is lost: a call that
    /// waits for changes may be cut.
    pub(super) const fn is_cut(&self) -> bool {
        matches!(
            self,
            Self::Unanswered(Error::Unknown(HttpError::Disconnected(_)))
        )
    }

    /// Whether an answer began and was not complete in time.
    pub(super) const fn is_incomplete(&self) -> bool {
        matches!(self, Self::TooLarge(HttpError::Incomplete))
    }

    /// Value of the metric label `kind`.
    pub(super) const fn kind(&self) -> &'static str {
        match self {
            Self::Unanswered(_) => "unanswered",
            Self::Busy => "busy",
            Self::Uninformed => "uninformed",
            Self::Compacted => "compacted",
            Self::TooLarge(_) => "too_large",
            Self::Unreadable(_) => "unreadable",
            Self::Outdated { .. } => "outdated",
            Self::Behind { .. } => "behind",
        }
    }
}

impl From<HttpError> for Failure {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::TooLarge { .. } | HttpError::Incomplete => Self::TooLarge(error),
            HttpError::Malformed(reason) => Self::Unreadable(reason),
            error => Self::Unanswered(Error::Unknown(error)),
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Compacted(_) => Self::Compacted,
            Error::Unknown(error) => Self::from(error),
            error => Self::Unanswered(error),
        }
    }
}
