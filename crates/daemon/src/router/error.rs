//! Router startup errors.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

use crate::{fleet, operator};

/// Why a router could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// could not bind port for callers: {address}: {source}
    Bind {
        /// The address.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// {0}
    Operators(operator::Error),
    /// could not join fleet: {0}
    Fleet(fleet::Error),
}

impl std::error::Error for Error {}
