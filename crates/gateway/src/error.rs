//! Why a gateway cannot start.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Why a gateway cannot start.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen on {address}: {source}
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
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
