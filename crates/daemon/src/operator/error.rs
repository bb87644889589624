//! Errors of the operators' port.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Why the operators' port could not be opened.
#[derive(Debug, Display)]
pub enum Error {
    /// could not bind operators' port: {address}: {source}
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}

impl std::error::Error for Error {}
