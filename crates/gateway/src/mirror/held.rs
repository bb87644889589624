//! Memory of values of the key-value service and of answers that carry them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use mulberryyoke_wire::relay::Write;

/// Counts the bytes of values and answers as long as anything refers to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    bytes: Arc<AtomicUsize>,
}

/// Owner of a value that is counted.
struct Owner {
    value: Bytes,
    held: Held,
}

impl Held {
    /// Counts the values of these writes until their last clones are dropped.
    pub(super) fn count(&self, writes: &mut [Write]) {
        for write in writes {
            let value = write.value.take();
            write.value = value.map(|value| self.count_value(value));
        }
    }

    fn count_value(&self, value: Bytes) -> Bytes {
        self.add(value.len());
        Bytes::from_owner(Owner {
            value,
            held: self.clone(),
        })
    }

    pub(super) fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn subtract(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Bytes that are in memory.
    pub(super) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.value
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.held.subtract(self.value.len());
    }
}
