//! Writes known to a gateway.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Encoded, Encoder, Write};

/// Writes known to a gateway: the latest of every key, or those after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Time at which the gateway last confirmed that the list is complete, in milliseconds
    /// after it received the call; negative if before.
    pub known_ms: i64,
    /// Revision of the key-value service up to which writes are included.
    pub revision: u64,
    /// The writes, in revision order.
    pub writes: Vec<Write>,
    /// Era of the key-value service to which the revisions belong. It is the last field, so
    /// that releases without eras can decode the others.
    pub era: u64,
}

impl Batch {
    /// Encodes [`Batch::known_ms`], which precedes what [`Batch::encode`] returns on the wire.
    #[must_use]
    pub fn encode_known_ms(known_ms: i64) -> Bytes {
        let mut encoder = Encoder::default();
        encoder.push(&known_ms);
        encoder.finish().chunks.concat().into()
    }

    /// Encodes all but [`Batch::known_ms`], so that answers to several calls can share it.
    #[must_use]
    pub fn encode(&self) -> Encoded {
        let mut encoder = Encoder::default();
        encoder.push(&(self.revision, self.writes.len()));
        for write in &self.writes {
            write.encode(&mut encoder);
        }
        encoder.push(&self.era);
        encoder.finish()
    }

    /// Decodes writes; `None` if the bytes are malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
