//! Errors of the sidecar role.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use mulberryyoke_wire as wire;

/// Startup errors of a sidecar.
#[derive(Debug, Display)]
pub enum Error {
    /// could not open control port: {address}: {source}
    Control {
        /// Configured address.
        address: SocketAddr,
        /// Underlying error.
        source: wire::Error,
    },
    /// could not bind port: {address}: {source}
    Bind {
        /// Configured address.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
}

impl std::error::Error for Error {}
