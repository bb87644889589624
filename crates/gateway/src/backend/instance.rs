//! State that one instance of a server reported.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use mulberryyoke_decide::leaving::Announcement;
use mulberryyoke_decide::pushback::Pushback;
use parking_lot::Mutex;

/// Slowdowns from which a server counts as slow, and up to which as no longer slow, in percent of
/// the normal time. Apart, so that figures between them are not logged again and again.
const SLOW_PERCENT: (u32, u32) = (150, 115);

/// State that one instance of a server reported in its responses, directly or through other
/// gateways. It overrides the registration of this instance and does not apply to the next one.
#[derive(Debug, Default)]
pub(crate) struct Instance {
    announcement: Mutex<Announcement>,
    /// Whether the instance announced to this gateway that it is leaving.
    is_leaving: AtomicBool,
    /// End of the time for which other servers are preferred because of a relayed announcement,
    /// in milliseconds of the boot clock.
    avoided_until_ms: AtomicU64,
    /// Time of the last report or registration, in milliseconds of the boot clock.
    last_seen_ms: AtomicU64,
    /// Whether a pushback has not ended yet. Avoids locking `pushback` for all other instances.
    has_pushback: AtomicBool,
    pushback: Mutex<Pushback>,
    /// Whether the last reported slowdown counts as slow.
    is_slow: AtomicBool,
}

impl Instance {
    /// Records an announcement to this gateway; `true` if it is the first.
    pub(crate) fn record_announcement(&self, now_ms: u64) -> bool {
        self.touch(now_ms);
        self.is_leaving.store(true, Ordering::Relaxed);
        self.announcement.lock().record_direct(now_ms)
    }

    /// Whether the instance announced to this gateway that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records an announcement relayed by another gateway; `true` if it is new.
    pub(crate) fn receive_announcement(&self, age_ms: u64, now_ms: u64) -> bool {
        let mut announcement = self.announcement.lock();
        let is_new = announcement.record_relayed(age_ms, now_ms);
        let until_ms = announcement.avoid_until().unwrap_or(0);
        self.avoided_until_ms.store(until_ms, Ordering::Relaxed);
        drop(announcement);
        self.touch(now_ms.saturating_sub(age_ms));
        is_new
    }

    /// Whether other servers are preferred because of a relayed announcement.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms()
    }

    /// End of the time for which other servers are preferred, in milliseconds of the boot clock.
    pub(crate) fn avoided_until_ms(&self) -> u64 {
        self.avoided_until_ms.load(Ordering::Relaxed)
    }

    /// Age of the announcement for relaying it, or `None` once it is too old.
    pub(crate) fn announcement_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.announcement.lock().age_ms(now_ms)
    }

    /// Records that the server wants no requests for the given time.
    pub(crate) fn record_pushback(&self, delay_ms: u64, now_ms: u64) {
        self.touch(now_ms);
        self.pushback.lock().extend(delay_ms, now_ms);
        self.has_pushback.store(true, Ordering::Relaxed);
    }

    /// Records a response to a request that ran; `true` if it ends the pushback.
    pub(crate) fn record_response(&self, now_ms: u64) -> bool {
        if !self.has_pushback.load(Ordering::Relaxed) {
            return false;
        }
        let mut pushback = self.pushback.lock();
        let has_ended = pushback.record_response(now_ms);
        if has_ended {
            self.has_pushback.store(false, Ordering::Relaxed);
        }
        has_ended
    }

    /// Records a request, directly before it is sent.
    pub(crate) fn record_send(&self, now_ms: u64) {
        if self.has_pushback.load(Ordering::Relaxed) {
            self.pushback.lock().record_send(now_ms);
        }
    }

    /// Whether the server currently wants no requests.
    pub(crate) fn is_pushing_back(&self, now_ms: u64) -> bool {
        self.has_pushback.load(Ordering::Relaxed) && self.pushback.lock().is_active(now_ms)
    }

    /// Time until the next request may be sent, in milliseconds.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> u64 {
        if !self.has_pushback.load(Ordering::Relaxed) {
            return 0;
        }
        self.pushback.lock().wait_ms(now_ms)
    }

    /// Records a reported slowdown; whether the server counts as slow, if that changed.
    pub(crate) fn record_slowdown(&self, percent: u32) -> Option<bool> {
        let was_slow = self.is_slow.load(Ordering::Relaxed);
        let is_slow = if was_slow {
            percent > SLOW_PERCENT.1
        } else {
            percent >= SLOW_PERCENT.0
        };
        let was_slow = self.is_slow.swap(is_slow, Ordering::Relaxed);
        (was_slow != is_slow).then_some(is_slow)
    }

    /// Records that the instance was seen.
    pub(crate) fn touch(&self, now_ms: u64) {
        self.last_seen_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    pub(crate) fn last_seen_ms(&self) -> u64 {
        self.last_seen_ms.load(Ordering::Relaxed)
    }
}
