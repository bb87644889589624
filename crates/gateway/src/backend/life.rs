//! What one life of a server said of itself.

use std::sync::atomic::{AtomicU64, Ordering};

/// What one life of a server said of itself. It holds whatever the key-value service says of
/// this life, and nothing of it holds for the next.
#[derive(Debug, Default)]
pub(crate) struct Life {
    /// When it first said that it leaves, in milliseconds of the boot clock; 0 if it has not.
    left_ms: AtomicU64,
    /// When it last said anything, or was last registered, likewise.
    seen_ms: AtomicU64,
}

impl Life {
    /// Notes that it says that it leaves; `true` if it did not before.
    pub(crate) fn leave(&self, now_ms: u64) -> bool {
        self.see(now_ms);
        let left =
            self.left_ms
                .compare_exchange(0, now_ms.max(1), Ordering::Relaxed, Ordering::Relaxed);
        left.is_ok()
    }

    /// Whether it said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.left_ms.load(Ordering::Relaxed) > 0
    }

    /// Notes that it is there.
    pub(crate) fn see(&self, now_ms: u64) {
        self.seen_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// When it was last there.
    pub(crate) fn seen_ms(&self) -> u64 {
        self.seen_ms.load(Ordering::Relaxed)
    }
}
