//! Encoding of messages whose large values are shared instead of copied.

use bytes::Bytes;
use serde::Serialize;

use super::Encoded;

/// Size from which a value is a chunk of its own, in bytes. Below it, a copy costs less than
/// another chunk.
const MIN_SHARED_BYTES: usize = 4 << 10;

/// Encodes a message as chunks that follow each other on the wire.
#[derive(Debug, Default)]
pub(super) struct Encoder {
    chunks: Vec<Bytes>,
    /// Bytes of the chunks that are not shared.
    owned_bytes: usize,
    /// The end of the message so far, which the next small field extends.
    last: Vec<u8>,
}

impl Encoder {
    /// Appends fields in the encoding of postcard.
    pub(super) fn push(&mut self, fields: &impl Serialize) {
        let last = std::mem::take(&mut self.last);
        // Encoding into memory fails for no field of a message.
        self.last = postcard::to_extend(fields, last).unwrap_or_default();
    }

    /// Appends the bytes of a value, whose length was appended before.
    pub(super) fn push_value(&mut self, value: &Bytes) {
        if value.len() < MIN_SHARED_BYTES {
            self.last.extend_from_slice(value);
            return;
        }
        self.flush();
        self.chunks.push(value.clone());
    }

    /// Returns the message.
    pub(super) fn finish(mut self) -> Encoded {
        self.flush();
        Encoded {
            chunks: self.chunks,
            owned_bytes: self.owned_bytes,
        }
    }

    fn flush(&mut self) {
        if !self.last.is_empty() {
            let last = std::mem::take(&mut self.last);
            self.owned_bytes += last.len();
            self.chunks.push(Bytes::from(last.into_boxed_slice()));
        }
    }
}
