//! Why a server's list could not be had.

use std::io;

use displaydoc::Display;
use hyper::StatusCode;

use crate::protocol::ParseError;

/// Why a server's list could not be had.
#[derive(Debug, Display)]
pub(super) enum Error {
    /// could not connect: {0}
    Connect(io::Error),
    /// could not ask: {0}
    Request(hyper::Error),
    /// server answered with status {0}
    Status(StatusCode),
    /// could not read the list: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// {0}
    Parse(ParseError),
    /// no list in time
    Timeout,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Connect(error)
    }
}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Self {
        Self::Request(error)
    }
}

impl From<ParseError> for Error {
    fn from(error: ParseError) -> Self {
        Self::Parse(error)
    }
}
