//! Declarations of queued requests.

use crate::{CustomerId, Millis};
use serde::{Deserialize, Serialize};

/// Requests of a customer that are queued at a router and that the server may run.
/// Counts of 0 withdraw an earlier declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interest {
    /// The customer.
    pub customer: CustomerId,
    /// Number of queued requests by [`crate::Class::index`], capped at `u16::MAX`.
    pub waiting: [u16; 3],
    /// Mean estimated cost of a request, in tokens.
    pub cost: u32,
    /// Time at which the oldest request of the highest class present was queued.
    pub since: Millis,
}

impl Interest {
    /// Number of queued requests of all classes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.waiting.iter().copied().map(u32::from).sum()
    }
}
