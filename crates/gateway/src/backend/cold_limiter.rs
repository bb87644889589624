//! Rate limit of a cold server.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use mulberryyoke_decide::cold::Window;
use parking_lot::Mutex;

/// Limits requests to a server that is cold after its start. The limit of the whole fleet is
/// divided among the gateways.
#[derive(Debug, Default)]
pub(crate) struct ColdLimiter {
    /// End of the cold period, in milliseconds of the boot clock.
    until_ms: AtomicU64,
    /// Requests per second that this gateway may send during the cold period.
    share: AtomicU32,
    /// Version of the fleet membership from which the share was computed; 0 if there is none.
    membership: AtomicU64,
    window: Mutex<Window>,
}

impl ColdLimiter {
    /// Extends the cold period; an earlier end than the current one is ignored.
    pub(crate) fn extend(&self, until_ms: u64) {
        self.until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }

    /// End of the cold period, in milliseconds of the boot clock.
    pub(crate) fn until_ms(&self) -> u64 {
        self.until_ms.load(Ordering::Relaxed)
    }

    pub(crate) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms()
    }

    /// Whether the share was computed from a different fleet membership.
    pub(crate) fn is_share_stale(&self, membership: u64) -> bool {
        self.membership.load(Ordering::Relaxed) != membership
    }

    pub(crate) fn set_share(&self, share: u32, membership: u64) {
        self.share.store(share, Ordering::Relaxed);
        self.membership.store(membership, Ordering::Relaxed);
    }

    /// Whether a request may be sent now. Unless `is_view_fresh`, a cold server gets none, as the
    /// share may have been reassigned to other gateways.
    pub(crate) fn has_capacity(&self, now_ms: u64, is_view_fresh: bool) -> bool {
        if !self.is_cold(now_ms) {
            return true;
        }
        let share = self.share.load(Ordering::Relaxed);
        is_view_fresh && self.window.lock().has_capacity(share, now_ms)
    }

    /// Counts a request against the limit.
    pub(crate) fn record_send(&self, now_ms: u64) {
        if self.is_cold(now_ms) {
            let share = self.share.load(Ordering::Relaxed);
            self.window.lock().try_acquire(share, now_ms);
        }
    }
}
