//! What one life of a server said of itself.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use mulberryyoke_decide::leaving::Announcement;
use mulberryyoke_decide::pushback::Pushback;
use parking_lot::Mutex;

/// What one life of a server said of itself. It holds whatever the key-value service says of
/// this life, and nothing of it holds for the next.
#[derive(Debug, Default)]
pub(crate) struct Instance {
    announcement: Mutex<Announcement>,
    /// Whether it said here that it leaves.
    is_leaving: AtomicBool,
    /// Until when others are better asked by what peers say, in milliseconds of the boot clock.
    avoided_until_ms: AtomicU64,
    /// When it last said anything, or was last registered, likewise.
    last_seen_ms: AtomicU64,
    /// Whether it asked for rest and has answered no request since: others are not looked at.
    has_pushback: AtomicBool,
    pushback: Mutex<Pushback>,
}

impl Instance {
    /// Notes that it says that it leaves; `true` if it did not before.
    pub(crate) fn record_announcement(&self, now_ms: u64) -> bool {
        self.touch(now_ms);
        self.is_leaving.store(true, Ordering::Relaxed);
        self.announcement.lock().record_direct(now_ms)
    }

    /// Whether it said here that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Notes that it said so to another gateway some time ago; `true` if that is new here.
    pub(crate) fn receive_announcement(&self, age_ms: u64, now_ms: u64) -> bool {
        let mut word = self.announcement.lock();
        let is_new = word.record_relayed(age_ms, now_ms);
        let until_ms = word.avoid_until().unwrap_or(0);
        self.avoided_until_ms.store(until_ms, Ordering::Relaxed);
        drop(word);
        self.touch(now_ms.saturating_sub(age_ms));
        is_new
    }

    /// Whether others are better asked by what peers say.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms.load(Ordering::Relaxed)
    }

    /// Time since it said that it leaves, to tell other gateways.
    pub(crate) fn announcement_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.announcement.lock().age_ms(now_ms)
    }

    /// Notes that it asks for so much rest from now on.
    pub(crate) fn record_pushback(&self, rest_ms: u64, now_ms: u64) {
        self.touch(now_ms);
        self.pushback.lock().extend(rest_ms, now_ms);
        self.has_pushback.store(true, Ordering::Relaxed);
    }

    /// Notes that it has answered a request; `true` if it takes them again by that.
    pub(crate) fn record_response(&self, now_ms: u64) -> bool {
        if !self.has_pushback.load(Ordering::Relaxed) {
            return false;
        }
        let mut rest = self.pushback.lock();
        let is_back = rest.record_response(now_ms);
        if is_back {
            self.has_pushback.store(false, Ordering::Relaxed);
        }
        is_back
    }

    /// Notes that a request is about to be sent.
    pub(crate) fn record_send(&self, now_ms: u64) {
        if self.has_pushback.load(Ordering::Relaxed) {
            self.pushback.lock().record_send(now_ms);
        }
    }

    /// Whether it wants no requests now.
    pub(crate) fn is_pushing_back(&self, now_ms: u64) -> bool {
        self.has_pushback.load(Ordering::Relaxed) && self.pushback.lock().is_active(now_ms)
    }

    /// Time until a request may be sent, in milliseconds; 0 if one may be sent now.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> u64 {
        if !self.has_pushback.load(Ordering::Relaxed) {
            return 0;
        }
        self.pushback.lock().wait_ms(now_ms)
    }

    /// Notes that it is there.
    pub(crate) fn touch(&self, now_ms: u64) {
        self.last_seen_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// When it was last there.
    pub(crate) fn last_seen_ms(&self) -> u64 {
        self.last_seen_ms.load(Ordering::Relaxed)
    }
}
