//! Errors of reading a command.

use displaydoc::Display;

/// Why words are not a command.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum ParseError {
    /// {0}
    Help(String),
    /// could not read command: {0}
    Usage(String),
}

impl std::error::Error for ParseError {}
