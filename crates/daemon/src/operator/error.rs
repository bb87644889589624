//! Errors of the operator API.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Error that occurs while opening the operator API.
#[derive(Debug, Display)]
pub enum Error {
    /// could not bind operator API to {address}: {source}
    Bind {
        /// Requested address.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
}

impl std::error::Error for Error {}
