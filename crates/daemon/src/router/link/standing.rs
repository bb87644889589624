//! What a router knows of a server, readable on a request's path.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use mulberryyoke_model::{Load, Millis};
use parking_lot::Mutex;

/// A server's standing at this router.
#[derive(Debug, Default)]
pub(crate) struct Standing {
    /// Whether the control link has told a load and is not silent.
    pub(super) up: AtomicBool,
    /// Whether the server gets no new work: by configuration or VM list.
    pub(super) closed: AtomicBool,
    free: AtomicU32,
    slots: AtomicU32,
    running: AtomicU32,
    heard_at: AtomicU64,
    load: Mutex<Option<Load>>,
}

impl Standing {
    /// Silence counts from here on.
    pub(super) fn begin_at(&self, now: Millis) {
        self.heard_at.store(now, Ordering::Relaxed);
    }

    /// Takes in what the sidecar told.
    pub(super) fn learn(&self, load: Load, now: Millis) {
        self.free.store(load.free, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        self.heard_at.store(now, Ordering::Relaxed);
        *self.load.lock() = Some(load);
    }

    /// The last load told.
    pub(crate) fn load(&self) -> Option<Load> {
        *self.load.lock()
    }

    /// When the sidecar was last heard of.
    pub(crate) fn heard_at(&self) -> Millis {
        self.heard_at.load(Ordering::Relaxed)
    }

    /// Whether the server may get new work.
    pub(crate) fn is_open(&self) -> bool {
        let refused = self.closed.load(Ordering::Relaxed);
        let draining = self.load().is_some_and(|load| load.draining);
        self.is_up() && !refused && !draining
    }

    /// Whether the control link answers.
    pub(crate) fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    /// Whether configuration or the VM list says that the server leaves.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Slots that should be free.
    pub(crate) fn free(&self) -> u32 {
        self.free.load(Ordering::Relaxed)
    }

    /// Slots in all.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Requests of this router that run there.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts on a free slot; `false` when there should be none.
    pub(crate) fn take_free(&self) -> bool {
        let take = |free: u32| free.checked_sub(1);
        self.free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Notes that no slot is free after all.
    pub(crate) fn exhaust(&self) {
        self.free.store(0, Ordering::Relaxed);
    }

    /// Counts a request that is sent there.
    pub(crate) fn begin(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that has ended there. Its slot should be free if
    /// nothing waits for one.
    pub(crate) fn end(&self, none_waits: bool) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        if !none_waits {
            return;
        }
        let slots = self.slots();
        let give = |free: u32| (free < slots).then_some(free + 1);
        // A full count stays as it is.
        let _ = self
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, give);
    }
}
