//! Reserved slots.

use crate::{CustomerId, Millis};
use serde::{Deserialize, Serialize};

/// A slot reserved for a queued request of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identity within the sidecar instance.
    pub id: u64,
    /// The customer.
    pub customer: CustomerId,
    /// Expiry of the reservation.
    pub until: Millis,
}
