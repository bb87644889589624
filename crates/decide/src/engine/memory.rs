//! Estimated memory of a model server.

use super::{Prompt, Reservation};

/// Tokens of memory that the queued and running requests of a server take.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    capacity: u32,
    own: u32,
    others: u32,
}

impl Memory {
    /// The memory of an idle server with a capacity in tokens; 0 if it is unknown and any request
    /// fits.
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

    /// Expected time until the memory has room for a request, in milliseconds: 0 if it has, infinite
    /// if the prompt is larger than the whole memory. Requests release what they take after
    /// `hold_ms` on average.
    #[must_use]
    pub fn room_ms(&self, prompt: &Prompt, reservation: Reservation, hold_ms: f64) -> f64 {
        if self.capacity == 0 {
            return 0.0;
        }
        if prompt.tokens >= self.capacity {
            return f64::INFINITY;
        }
        // The output of a request that fills the memory is an estimate, so it is not refused for good.
        let needed = reservation.tokens.min(self.capacity);
        let missing = needed.saturating_sub(self.free());
        f64::from(missing) * hold_ms / f64::from(self.taken().max(1))
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
