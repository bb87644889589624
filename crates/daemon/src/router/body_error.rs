//! Errors of truncated response bodies.

use displaydoc::Display;

/// Why a response body was truncated.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// response truncated: {0}
    Truncated(hyper::Error),
    /// caller stopped reading the response
    CallerStalled,
}

impl std::error::Error for BodyError {}
