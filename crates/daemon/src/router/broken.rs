//! Answers that come to no end.

use displaydoc::Display;

/// Why an answer is not whole.
#[derive(Debug, Display)]
pub(crate) enum Broken {
    /// answer broke off: {0}
    Server(hyper::Error),
    /// answer was not read for too long
    Unread,
}

impl std::error::Error for Broken {}
