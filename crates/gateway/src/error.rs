//! Errors of starting a gateway.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// An error that prevents a gateway from starting.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen on {address}: {source}
    Bind {
        /// The address to listen on.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } => Some(source),
        }
    }
}
