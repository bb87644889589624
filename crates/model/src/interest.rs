//! What waits at a router.

use crate::{CustomerId, Millis};
use serde::{Deserialize, Serialize};

/// Requests of one customer that wait at one router and that the server may
/// run. All counts 0 withdraws an earlier declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interest {
    /// The customer.
    pub customer: CustomerId,
    /// Waiting requests by [`crate::Class::index`], at most 65,535 each.
    pub waiting: [u16; 3],
    /// Mean estimated cost of one of them, in tokens.
    pub cost: u32,
    /// When the oldest of the best class began to wait.
    pub since: Millis,
}

impl Interest {
    /// Waiting requests of all classes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.waiting.iter().copied().map(u32::from).sum()
    }
}
