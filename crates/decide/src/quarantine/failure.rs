//! Failure of a request on a server instance.

use mulberryyoke_model::{Digest, Millis};

/// Failure of a request on a server instance that may have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The request.
    pub digest: Digest,
    /// When its response broke off, or since when the server has been silent.
    pub at: Millis,
    /// Whether the server fell silent without breaking off the response.
    pub is_silence: bool,
}

impl Failure {
    /// Whether the request may have crashed a server that last responded at `heard_at`. A server
    /// that responded after its silence had not crashed then.
    pub(super) const fn may_be_cause(&self, heard_at: Millis) -> bool {
        !self.is_silence || heard_at <= self.at
    }
}
