//! What went wrong with a call over HTTP.

use displaydoc::Display;

/// What went wrong with a call over HTTP.
#[derive(Debug, Display)]
pub enum HttpError {
    /// could not connect: {0}
    Connect(String),
    /// connection was cut: {0}
    Disconnected(String),
    /// no answer before the deadline
    TimedOut,
    /// status {status}: {message}
    Status {
        /// HTTP status code.
        status: u16,
        /// What the service said.
        message: String,
    },
    /// unreadable answer: {0}
    Malformed(String),
}

impl std::error::Error for HttpError {}
