//! Errors of the key-value service.

use displaydoc::Display;

use crate::HttpError;
use crate::kv::Revision;

/// Why a call to the key-value service failed.
#[derive(Debug, Display)]
pub enum Error {
    /// could not reach key-value service: {0}
    Unsent(HttpError),
    /// could not tell whether key-value service carried the call out: {0}
    Unknown(HttpError),
    /// could not have call accepted by key-value service: {0}
    Refused(HttpError),
    /// could not read from revision: compacted up to {0}
    Compacted(Revision),
    /// could not keep lease: it has lapsed
    LeaseExpired,
    /// could not write value: {bytes} bytes are over the limit of {limit}
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Whether a write that failed like this may still have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Its name in metrics.
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
