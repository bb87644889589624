//! What makes two requests the same.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Bytes of the hash that are kept: finding two requests with one digest takes 2^64 tries.
const BYTES: usize = 16;

/// What makes two requests the same, whatever their ids and at whatever node: method, path with
/// query, customer and body. The beginning of a SHA-256, so that no customer can make a request
/// with the digest of another's. Headers stay out, as they change from one repeat to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of a request; `customer` is empty where none is known.
    #[must_use]
    pub fn of(method: &str, path: &str, customer: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), customer.as_bytes()] {
            // The length keeps one part's end from counting as another's beginning.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(body);
        let mut kept = [0; BYTES];
        kept.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(u128::from_le_bytes(kept))
    }

    /// Reads what its text says; `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_whole = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let digits = is_whole.then(|| u128::from_str_radix(text, 16).ok())?;
        digits.map(Self)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
