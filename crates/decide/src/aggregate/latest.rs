//! The last message of another gateway.

use mulberryyoke_model::Millis;

/// The last message of another gateway.
#[derive(Clone, Debug)]
pub(super) struct Heard<T> {
    /// Its number in its sender's life.
    pub(super) number: u32,
    /// When it came.
    pub(super) at: Millis,
    pub(super) told: T,
}

impl<T> Heard<T> {
    pub(super) const fn new(number: u32, told: T, at: Millis) -> Self {
        Self { number, at, told }
    }

    /// Takes in a message; `false` if a later one came before it.
    pub(super) fn replace(&mut self, number: u32, told: T, at: Millis) -> bool {
        if number <= self.number {
            return false;
        }
        *self = Self::new(number, told, at);
        true
    }

    /// Time since it came, in milliseconds.
    pub(super) const fn age_ms(&self, now: Millis) -> u64 {
        now.saturating_sub(self.at)
    }
}
