//! Errors of HTTP calls.

use displaydoc::Display;

/// Why an HTTP call failed.
#[derive(Debug, Display)]
pub enum HttpError {
    /// could not connect: {0}
    Connect(String),
    /// connection lost: {0}
    Disconnected(String),
    /// no response before the deadline
    TimedOut,
    /// status {status}: {message}
    Status {
        /// HTTP status code.
        status: u16,
        /// Start of the response body.
        message: String,
    },
    /// response began, but did not end before the deadline
    Incomplete,
    /// response exceeds the limit of {limit} bytes
    TooLarge {
        /// Maximum size of the body, in bytes.
        limit: usize,
    },
    /// unreadable response: {0}
    Malformed(String),
}

impl std::error::Error for HttpError {}
