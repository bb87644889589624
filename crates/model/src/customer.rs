//! Customers.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Class;

/// A bearer key's SHA-256 in lower-case hex; the key itself is kept nowhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Hashes a bearer key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let mut hex = String::with_capacity(2 * digest.len());
        for byte in digest {
            write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
        }
        Self(hex)
    }
}

/// A customer as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Weight of the customer's portion; at least 1.
    pub share: u32,
    /// Class of requests that name none.
    #[serde(default)]
    pub class: Class,
    /// Hashes of the bearer keys that name this customer.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
    /// Most requests waiting at one router; the router's setting when absent.
    #[serde(default)]
    pub queue: Option<u32>,
}
