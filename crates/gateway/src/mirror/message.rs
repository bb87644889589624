//! Encoded answers to peers.

use bytes::Bytes;
use mulberryyoke_wire::relay::Batch;

use super::held::Held;

/// An encoded batch, which answers to several peers may share. Its memory is counted until the
/// last of them has been sent.
#[derive(Debug)]
pub(crate) struct Message {
    chunks: Vec<Bytes>,
    owned_bytes: usize,
    held: Held,
}

impl Message {
    pub(super) fn new(batch: &Batch, held: &Held) -> Self {
        let encoded = batch.encode();
        held.add(encoded.owned_bytes);
        Self {
            chunks: encoded.chunks,
            owned_bytes: encoded.owned_bytes,
            held: held.clone(),
        }
    }

    /// The chunks of the message, without the time at which it was complete.
    pub(crate) fn chunks(&self) -> &[Bytes] {
        &self.chunks
    }
}

impl Drop for Message {
    fn drop(&mut self) {
        self.held.subtract(self.owned_bytes);
    }
}
