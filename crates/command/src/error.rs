//! Errors of parsing a command.

use displaydoc::Display;

/// Error of [`Command::parse`](crate::Command::parse).
#[derive(Debug, Display, PartialEq, Eq)]
pub enum ParseError {
    /// {0}
    Help(String),
    /// could not parse command: {0}
    Usage(String),
}

impl std::error::Error for ParseError {}
