//! Signal that servers may have room for waiting requests.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Signal that servers may have room for waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Room {
    /// Number of waiting requests. Without any, the hot path does nothing.
    waiting: AtomicUsize,
    /// Whether something has changed since the waiting requests were last looked at.
    is_changed: AtomicBool,
    notify: Notify,
}

impl Room {
    /// Signals that a server may have room.
    pub(crate) fn notify(&self) {
        if self.waiting.load(Ordering::Relaxed) > 0 {
            self.is_changed.store(true, Ordering::Relaxed);
            self.notify.notify_one();
        }
    }

    /// Sets the number of waiting requests.
    pub(crate) fn set_waiting(&self, waiting: usize) {
        self.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Returns whether a server may have got room since the waiting requests were last looked at;
    /// `false` if there are none.
    pub(crate) fn has_changed(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0 && self.is_changed.load(Ordering::Relaxed)
    }

    /// Records that the waiting requests are looked at.
    pub(crate) fn clear_change(&self) {
        self.is_changed.store(false, Ordering::Relaxed);
    }

    /// Waits for the next signal, or returns at once if there was one since the last call.
    pub(crate) async fn changed(&self) {
        self.notify.notified().await;
    }
}
