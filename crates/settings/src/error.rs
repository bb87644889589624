//! Errors of settings files.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;

/// Why settings could not be loaded.
#[derive(Debug, Display)]
pub enum Error {
    /// could not read settings: {path}: {source}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// could not parse settings: {path}: {field}: {source}
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field; `.` for the whole file.
        field: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// could not accept settings: {path}: {field}: {reason}
    Value {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field.
        field: String,
        /// Why the value is invalid.
        reason: String,
    },
}

impl std::error::Error for Error {}
