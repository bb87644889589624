//! Errors of control connections and ticket headers.

use std::io;

use displaydoc::Display;

/// An error of a control connection or ticket header.
#[derive(Debug, Display)]
pub enum Error {
    /// could not bind control port: {0}
    Bind(io::Error),
    /// could not connect to control port: {0}
    Connect(io::Error),
    /// could not decode ticket header: {0}
    Ticket(String),
}

impl std::error::Error for Error {}
