//! Estimated memory of a model server.

use super::Reservation;

/// Tokens of memory that the queued and running requests of a server take.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    capacity: u32,
    own: u32,
    others: u32,
}

impl Memory {
    /// The memory of an idle server with a capacity in tokens.
    #[must_use]
    pub const fn new(capacity: u32) -> Self {
        Self {
            capacity,
            own: 0,
            others: 0,
        }
    }

    /// Tokens taken, by requests of all gateways.
    #[must_use]
    pub const fn taken(&self) -> u32 {
        self.own.saturating_add(self.others)
    }

    /// Tokens that are not taken.
    #[must_use]
    pub const fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.taken())
    }

    /// Counts a request of this gateway.
    pub const fn acquire(&mut self, reservation: Reservation) {
        self.own = self.own.saturating_add(reservation.tokens);
    }

    /// Counts the end of a request of this gateway.
    pub const fn release(&mut self, reservation: Reservation) {
        self.own = self.own.saturating_sub(reservation.tokens);
    }

    /// Sets the tokens taken by requests of other gateways.
    pub const fn set_others(&mut self, tokens: u32) {
        self.others = tokens;
    }
}
