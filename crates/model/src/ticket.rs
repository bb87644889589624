//! Request metadata sent to sidecars.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Class, CustomerId, KeyId, Millis};

/// Metadata that a sidecar needs to admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Identity of the attempt.
    pub attempt: Attempt,
    /// The customer.
    pub customer: CustomerId,
    /// Priority class.
    pub class: Class,
    /// Time until which the client waits.
    pub deadline: Millis,
    /// Cost estimate of the client, in tokens; 0 for none.
    pub hint: u32,
    /// Estimated cost in tokens, charged when the request starts.
    pub cost: u32,
    /// Grant of the reserved slot it uses.
    pub grant: Option<u64>,
    /// Idempotency key.
    pub key: Option<KeyId>,
}
