//! Errors of the VM list.

use displaydoc::Display;

use crate::HttpError;

/// Why the VM list could not be read.
#[derive(Debug, Display)]
pub enum Error {
    /// could not read VM list: {0}
    Read(HttpError),
}

impl std::error::Error for Error {}
