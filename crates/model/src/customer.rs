//! Customers.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Class;

/// SHA-256 of a bearer key in lowercase hexadecimal; the key itself is not stored.
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

/// Configuration of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Weight of the customer's share; at least 1.
    pub share: u32,
    /// Default class of requests.
    #[serde(default)]
    pub class: Class,
    /// Hashes of the customer's bearer keys.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
    /// Maximum number of queued requests per router; defaults to the router's setting.
    #[serde(default)]
    pub queue: Option<u32>,
}
