//! Error of fetching a list of cached prompt parts.

use std::io;

use displaydoc::Display;
use hyper::StatusCode;

use crate::protocol::ParseError;

/// Error of fetching a list of cached prompt parts.
#[derive(Debug, Display)]
pub(super) enum Error {
    /// could not connect: {0}
    Connect(io::Error),
    /// could not send request: {0}
    Request(hyper::Error),
    /// too many informational responses
    Informational,
    /// server responded with status {0}
    Status(StatusCode),
    /// could not read response body: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// {0}
    Parse(ParseError),
    /// timed out
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
