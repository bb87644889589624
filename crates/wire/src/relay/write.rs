//! A write of a key.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Encoder;

/// Tags of an optional value in postcard.
const NONE: u8 = 0;
const SOME: u8 = 1;

/// A write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Revision of the write.
    pub revision: u64,
}

impl Write {
    /// Encodes the write as [`Serialize`] does, without a copy of a large value.
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        match &self.value {
            Some(value) => {
                encoder.push(&(&self.key, SOME, value.len()));
                encoder.push_value(value);
            }
            None => encoder.push(&(&self.key, NONE)),
        }
        encoder.push(&self.revision);
    }
}
