//! The latest message of a sender.

use mulberryyoke_model::Millis;

/// The latest message of a sender.
#[derive(Clone, Debug)]
pub(super) struct Latest<T> {
    /// Its sequence number within the sender's incarnation.
    pub(super) sequence: u32,
    pub(super) received_at: Millis,
    pub(super) value: T,
}

impl<T> Latest<T> {
    pub(super) const fn new(sequence: u32, value: T, received_at: Millis) -> Self {
        Self {
            sequence,
            received_at,
            value,
        }
    }

    /// Replaces the message; `false` if the new one is not later.
    pub(super) fn replace(&mut self, sequence: u32, value: T, received_at: Millis) -> bool {
        if sequence <= self.sequence {
            return false;
        }
        *self = Self::new(sequence, value, received_at);
        true
    }

    /// Time since the message was received, in milliseconds.
    pub(super) const fn age_ms(&self, now: Millis) -> u64 {
        now.saturating_sub(self.received_at)
    }
}
