//! Encoded messages.

use bytes::Bytes;

/// An encoded message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Encoded {
    /// Chunks that follow each other on the wire. Large values are chunks of their own, which
    /// share the memory of the value.
    pub chunks: Vec<Bytes>,
    /// Memory of the chunks that are not shared, in bytes.
    pub owned_bytes: usize,
}
