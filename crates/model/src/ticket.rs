//! What is known of a request besides its body.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Class, CustomerId, KeyId, Millis};

/// Everything a sidecar needs to know of a request besides its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Which attempt this is.
    pub attempt: Attempt,
    /// Whose request it is.
    pub customer: CustomerId,
    /// Its urgency.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The caller's rough hint of the cost, in tokens; 0 for none.
    pub hint: u32,
    /// Estimated cost in tokens, charged at the start.
    pub cost: u32,
    /// The reserved slot it uses, if any.
    pub grant: Option<u64>,
    /// Key of a request that must run at most once.
    pub key: Option<KeyId>,
}
