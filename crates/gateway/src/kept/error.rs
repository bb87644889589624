//! Why a server's list could not be had.

use std::io;

use displaydoc::Display;
use hyper::StatusCode;

use crate::protocol::Unreadable;

/// Why a server's list could not be had.
#[derive(Debug, Display)]
pub(super) enum Error {
    /// could not connect: {0}
    Connect(io::Error),
    /// could not ask: {0}
    Ask(hyper::Error),
    /// server answered with status {0}
    Status(StatusCode),
    /// could not read the list: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// {0}
    Unreadable(Unreadable),
    /// no list in time
    Late,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Connect(error)
    }
}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Self {
        Self::Ask(error)
    }
}

impl From<Unreadable> for Error {
    fn from(error: Unreadable) -> Self {
        Self::Unreadable(error)
    }
}
