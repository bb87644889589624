//! Identity of a stream over all attempts of its caller.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a stream: a truncated SHA-256 of the customer and the ID of the request that brought
/// its first event. The hash is cryptographic so that no customer can name another's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The ID of the stream that a request began; `customer` is empty if unknown.
    #[must_use]
    pub fn of(customer: &str, request: &str) -> Self {
        let mut hash = Sha256::new();
        // The length prefix makes the boundary unambiguous.
        hash.update((customer.len() as u64).to_le_bytes());
        hash.update(customer.as_bytes());
        hash.update(request.as_bytes());
        let mut prefix = [0; size_of::<u64>()];
        prefix.copy_from_slice(&hash.finalize()[..size_of::<u64>()]);
        Self(u64::from_le_bytes(prefix))
    }
}
