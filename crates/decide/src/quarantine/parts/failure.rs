//! Failure of a prompt on a server instance.

use mulberryyoke_model::Millis;
use smallvec::SmallVec;

use super::SETTLING_MS;
use crate::engine::PartId;

/// Failure of a prompt on a server instance that may have crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Parts of the prompt without the last one.
    pub parts: SmallVec<[PartId; 4]>,
    /// When its response broke off, or since when the server has been silent.
    pub at: Millis,
    /// When its first event was received.
    pub began_at: Option<Millis>,
    /// Whether the server fell silent without breaking off the response.
    pub is_silence: bool,
}

impl Failure {
    /// Whether the prompt may have crashed a server that last responded at `heard_at`: the answer
    /// had just begun, or could have.
    pub(super) fn may_be_cause(&self, heard_at: Millis) -> bool {
        let has_settled = self
            .began_at
            .is_some_and(|began_at| self.at.saturating_sub(began_at) >= SETTLING_MS);
        let was_heard = self.is_silence && heard_at > self.at;
        !has_settled && !was_heard
    }
}
