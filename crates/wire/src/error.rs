//! Errors of the control links.

use std::io;

use displaydoc::Display;

/// Why a control link failed.
#[derive(Debug, Display)]
pub enum Error {
    /// could not bind control port: {0}
    Bind(io::Error),
    /// could not connect to control port: {0}
    Connect(io::Error),
    /// could not read ticket header: {0}
    Ticket(String),
}

impl std::error::Error for Error {}
