//! Errors of following the fleet.

use displaydoc::Display;
use mulberryyoke_wire as wire;

/// Why the fleet cannot be followed.
#[derive(Debug, Display)]
pub enum Error {
    /// could not open control port: {0}
    Bind(wire::Error),
}

impl std::error::Error for Error {}
