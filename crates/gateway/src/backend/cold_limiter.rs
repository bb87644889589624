//! How long a server is cold, and what this gateway may send it meanwhile.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use mulberryyoke_decide::cold::Window;
use parking_lot::Mutex;

/// How long a server is cold, and what this gateway may send it meanwhile.
#[derive(Debug, Default)]
pub(crate) struct ColdLimiter {
    /// Until when it is cold, in milliseconds of the boot clock.
    until_ms: AtomicU64,
    /// Requests a second that this gateway may send meanwhile.
    share: AtomicU32,
    /// View of the fleet by which the share was found; 0 before the first.
    view: AtomicU64,
    sent: Mutex<Window>,
}

impl ColdLimiter {
    /// Notes that it is cold until an instant at least.
    pub(crate) fn extend(&self, until_ms: u64) {
        self.until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Whether it is cold.
    pub(crate) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms.load(Ordering::Relaxed)
    }

    /// Whether its share was found by an earlier view of the fleet than this one.
    pub(crate) fn is_share_stale(&self, view: u64) -> bool {
        self.view.load(Ordering::Relaxed) != view
    }

    /// Sets the requests a second that this gateway may send while it is cold.
    pub(crate) fn set_share(&self, share: u32, view: u64) {
        self.share.store(share, Ordering::Relaxed);
        self.view.store(view, Ordering::Relaxed);
    }

    /// Whether this gateway may send a request now. One that is out of touch may send nothing
    /// to a cold server: others may have been given its share.
    pub(crate) fn has_capacity(&self, now_ms: u64, is_in_touch: bool) -> bool {
        if !self.is_cold(now_ms) {
            return true;
        }
        let share = self.share.load(Ordering::Relaxed);
        is_in_touch && self.sent.lock().has_capacity(share, now_ms)
    }

    /// Counts a request that is sent now.
    pub(crate) fn record_send(&self, now_ms: u64) {
        if self.is_cold(now_ms) {
            let share = self.share.load(Ordering::Relaxed);
            self.sent.lock().try_acquire(share, now_ms);
        }
    }
}
