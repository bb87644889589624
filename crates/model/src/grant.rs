//! Reserved slots.

use crate::{CustomerId, Millis};
use serde::{Deserialize, Serialize};

/// A slot reserved for one request of a customer that waits at the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identity within the sidecar's life.
    pub id: u64,
    /// The customer whose turn it is.
    pub customer: CustomerId,
    /// After this instant the slot is free for others again.
    pub until: Millis,
}
