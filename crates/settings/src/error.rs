//! Errors of reading settings.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;

/// Why settings could not be used.
#[derive(Debug, Display)]
pub enum Error {
    /// could not read settings: {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// could not parse settings: {path}: {field}: {source}
    Parse {
        /// The file.
        path: PathBuf,
        /// The field; a dot for the whole file.
        field: String,
        /// Place and allowed values.
        source: serde_json::Error,
    },
    /// could not accept settings: {path}: {field}: {reason}
    Value {
        /// The file.
        path: PathBuf,
        /// The field.
        field: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
}

impl std::error::Error for Error {}
