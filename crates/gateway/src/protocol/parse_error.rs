//! Why something could not be read.

use displaydoc::Display;

/// could not read {subject}: {reason}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct ParseError {
    /// The header, key or field.
    pub subject: String,
    /// What is wrong with it.
    pub reason: String,
}

impl std::error::Error for ParseError {}
