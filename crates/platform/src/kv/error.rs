//! Errors of the key-value service.

use displaydoc::Display;

use crate::HttpError;
use crate::kv::Revision;

/// Why a call to the key-value service failed.
#[derive(Debug, Display)]
pub enum Error {
    /// could not reach key-value service: {0}
    Unsent(HttpError),
    /// could not determine whether key-value service executed the call: {0}
    Unknown(HttpError),
    /// could not make call: key-value service refused it: {0}
    Refused(HttpError),
    /// could not read from revision: compacted up to revision {0}
    Compacted(Revision),
    /// could not renew lease: it has lapsed
    LeaseExpired,
    /// could not write value: {bytes} bytes exceed the limit of {limit}
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Whether a write that failed with this error may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Value of the metric label `kind`.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::Unknown(_) => "unknown",
            Self::Refused(_) => "refused",
            Self::Compacted(_) => "compacted",
            Self::LeaseExpired => "lapsed",
            Self::TooLarge { .. } => "too_large",
        }
    }
}

impl std::error::Error for Error {}
