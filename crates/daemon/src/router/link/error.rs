//! Errors of a link.

use std::io;

use displaydoc::Display;
use mulberryyoke_wire as wire;

/// A link failure.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// could not connect to sidecar: timed out
    Timeout,
    /// could not connect to sidecar: {0}
    Connect(io::Error),
    /// could not begin HTTP/2 with sidecar: {0}
    Handshake(hyper::Error),
    /// could not open control link: {0}
    Control(wire::Error),
    /// could not call sidecar: {0}
    Call(String),
}

impl std::error::Error for Error {}
