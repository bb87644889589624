//! Request digests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Length of the truncated hash; a collision takes about 2^64 attempts.
const BYTES: usize = 16;

/// Identifies identical requests on all nodes: a truncated SHA-256 of method, path with query,
/// customer and body. The hash is cryptographic so that no customer can forge the digest of
/// another's request. Headers are excluded because they differ between retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of a request; `customer` is empty if unknown.
    #[must_use]
    pub fn of(method: &str, path: &str, customer: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), customer.as_bytes()] {
            // The length prefix makes the boundaries between parts unambiguous.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(body);
        let mut prefix = [0; BYTES];
        prefix.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(u128::from_le_bytes(prefix))
    }

    /// Parses the hexadecimal form that [`Display`](fmt::Display) writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let digits = is_valid.then(|| u128::from_str_radix(text, 16).ok())?;
        digits.map(Self)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
