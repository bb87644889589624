//! Why something could not be read.

use displaydoc::Display;

/// could not read {what}: {why}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct Unreadable {
    /// The header, key or field.
    pub what: String,
    /// What is wrong with it.
    pub why: String,
}

impl std::error::Error for Unreadable {}
