//! The state of a server as known to the router, readable without blocking.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use mulberryyoke_model::{Load, Millis};
use parking_lot::Mutex;

/// Availability and load of a server.
#[derive(Debug, Default)]
pub(crate) struct Status {
    /// Whether the control link has received a load and is responsive.
    pub(super) up: AtomicBool,
    /// Whether configuration or VM list exclude the server from new requests.
    pub(super) excluded: AtomicBool,
    free_slots: AtomicU32,
    slots: AtomicU32,
    running: AtomicU32,
    last_response_at: AtomicU64,
    load: Mutex<Option<Load>>,
}

impl Status {
    /// Starts the response timeout.
    pub(super) fn start_timeout(&self, now: Millis) {
        self.last_response_at.store(now, Ordering::Relaxed);
    }

    /// Updates the state from a load that the sidecar reported.
    pub(super) fn update(&self, load: Load, now: Millis) {
        self.free_slots.store(load.free, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        self.last_response_at.store(now, Ordering::Relaxed);
        *self.load.lock() = Some(load);
    }

    /// The last load received.
    pub(crate) fn load(&self) -> Option<Load> {
        *self.load.lock()
    }

    /// When the sidecar last responded.
    pub(crate) fn last_response_at(&self) -> Millis {
        self.last_response_at.load(Ordering::Relaxed)
    }

    /// Whether the server may get new requests.
    pub(crate) fn is_eligible(&self) -> bool {
        let excluded = self.excluded.load(Ordering::Relaxed);
        let draining = self.load().is_some_and(|load| load.draining);
        self.is_up() && !excluded && !draining
    }

    /// Whether the control link is up.
    pub(crate) fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    /// Whether configuration or VM list exclude the server from new requests.
    pub(crate) fn is_excluded(&self) -> bool {
        self.excluded.load(Ordering::Relaxed)
    }

    /// Estimated number of free slots.
    pub(crate) fn free_slots(&self) -> u32 {
        self.free_slots.load(Ordering::Relaxed)
    }

    /// Total number of slots.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Number of this router's requests running on the server.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Decrements the estimate of free slots; returns `false` if it is zero.
    pub(crate) fn take_free_slot(&self) -> bool {
        let take = |free: u32| free.checked_sub(1);
        self.free_slots
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Sets the estimate of free slots to zero.
    pub(crate) fn clear_free_slots(&self) {
        self.free_slots.store(0, Ordering::Relaxed);
    }

    /// Counts a request sent to the server.
    pub(crate) fn request_started(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that has ended on the server. Its slot counts as free if no
    /// request is queued.
    pub(crate) fn request_ended(&self, queue_is_empty: bool) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        if !queue_is_empty {
            return;
        }
        let slots = self.slots();
        let release = |free: u32| (free < slots).then_some(free + 1);
        // The estimate never exceeds the number of slots.
        let _ = self
            .free_slots
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, release);
    }
}
