//! Errors of the sidecar role.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use mulberryyoke_wire as wire;

/// Why a sidecar could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// could not open control port: {address}: {source}
    Control {
        /// The address.
        address: SocketAddr,
        /// What failed.
        source: wire::Error,
    },
    /// could not bind port: {address}: {source}
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}

impl std::error::Error for Error {}
