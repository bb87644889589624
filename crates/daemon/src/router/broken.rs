//! Errors of truncated answers.

use displaydoc::Display;

/// Why an answer was truncated.
#[derive(Debug, Display)]
pub(crate) enum Broken {
    /// answer broke off: {0}
    Server(hyper::Error),
    /// answer was not read for too long
    Unread,
}

impl std::error::Error for Broken {}
