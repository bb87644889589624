//! Error of parsing a header or stored value.

use displaydoc::Display;

/// could not read {subject}: {reason}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct ParseError {
    /// Name of the header, key or field.
    pub subject: String,
    /// Cause of the error.
    pub reason: String,
}

impl std::error::Error for ParseError {}
