//! Bytes in base64 and 64-bit numbers as strings, as the gateway reads and writes them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

#[derive(Deserialize)]
#[serde(untagged)]
enum Number {
    Text(String),
    Plain(u64),
}

pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

pub(crate) fn bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match Number::deserialize(deserializer)? {
        Number::Text(text) => text.parse().map_err(D::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}
