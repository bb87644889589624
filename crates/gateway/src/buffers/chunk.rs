//! Part of a response body.

use bytes::{Buf, Bytes};

use super::Hold;

/// Part of a response body, accounted until the caller's connection has taken it.
#[derive(Debug)]
pub(crate) struct Chunk {
    bytes: Bytes,
    hold: Option<Hold>,
}

impl Chunk {
    /// Creates a chunk. Without `hold` it is not accounted.
    pub(crate) const fn new(bytes: Bytes, hold: Option<Hold>) -> Self {
        Self { bytes, hold }
    }
}

impl Buf for Chunk {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        // The rest, which includes the overhead, is released along with the memory.
        if self.bytes.has_remaining()
            && let Some(hold) = &mut self.hold
        {
            hold.take(count);
        }
    }
}
