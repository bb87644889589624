//! Errors of starting to follow the fleet.

use displaydoc::Display;
use mulberryyoke_wire as wire;

/// An error of [`Fleet::spawn`](super::Fleet::spawn).
#[derive(Debug, Display)]
pub enum Error {
    /// could not open control port: {0}
    Bind(wire::Error),
}

impl std::error::Error for Error {}
