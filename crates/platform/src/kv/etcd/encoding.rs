//! JSON encoding of the gateway: bytes in base64 and 64-bit integers as strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// 64-bit integer, which the gateway may encode as a string.
#[derive(Deserialize)]
#[serde(untagged)]
enum Number {
    Text(String),
    Plain(u64),
}

/// Encodes bytes in base64.
pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes bytes from base64.
pub(crate) fn bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

/// Decodes a 64-bit integer.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match Number::deserialize(deserializer)? {
        Number::Text(text) => text.parse().map_err(D::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}
