//! What one life of a server said of itself.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use mulberryyoke_decide::rest::Rest;
use parking_lot::Mutex;

/// Time for which a word at second hand counts, in milliseconds: a server that leaves has ended by
/// then, and one that has not is asked, and says so again.
pub(crate) const TOLD_MS: u64 = 60_000;

/// What one life of a server said of itself. It holds whatever the key-value service says of
/// this life, and nothing of it holds for the next.
#[derive(Debug, Default)]
pub(crate) struct Life {
    /// When it first said that it leaves, in milliseconds of the boot clock; 0 if it has not.
    left_ms: AtomicU64,
    /// When it said so to another gateway, by what that told last, likewise.
    heard_ms: AtomicU64,
    /// When it last said anything, or was last registered, likewise.
    seen_ms: AtomicU64,
    /// Whether it asked for rest and has answered no request since: others are not looked at.
    has_asked: AtomicBool,
    rest: Mutex<Rest>,
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

    /// Notes that it asks for so much rest from now on.
    pub(crate) fn ask(&self, rest_ms: u64, now_ms: u64) {
        self.see(now_ms);
        self.rest.lock().ask(rest_ms, now_ms);
        self.has_asked.store(true, Ordering::Relaxed);
    }

    /// Notes that it has answered a request; `true` if it takes them again by that.
    pub(crate) fn answer(&self, now_ms: u64) -> bool {
        if !self.has_asked.load(Ordering::Relaxed) {
            return false;
        }
        let mut rest = self.rest.lock();
        let is_back = rest.answer(now_ms);
        if is_back {
            self.has_asked.store(false, Ordering::Relaxed);
        }
        is_back
    }

    /// Notes that a request is about to be sent.
    pub(crate) fn send(&self, now_ms: u64) {
        if self.has_asked.load(Ordering::Relaxed) {
            self.rest.lock().send(now_ms);
        }
    }

    /// Whether it wants no requests now.
    pub(crate) fn is_resting(&self, now_ms: u64) -> bool {
        self.has_asked.load(Ordering::Relaxed) && self.rest.lock().is_resting(now_ms)
    }

    /// Time until a request may be sent, in milliseconds; 0 if one may be sent now.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> u64 {
        if !self.has_asked.load(Ordering::Relaxed) {
            return 0;
        }
        self.rest.lock().wait_ms(now_ms)
    }

    /// Notes that it said to another gateway that it leaves; `true` if that is new here.
    pub(crate) fn hear(&self, at_ms: u64) -> bool {
        self.see(at_ms);
        self.heard_ms.fetch_max(at_ms.max(1), Ordering::Relaxed) == 0
    }

    /// When it last was known to have said that it leaves, here or to another gateway; 0 if it
    /// has not.
    pub(crate) fn told_ms(&self) -> u64 {
        let left_ms = self.left_ms.load(Ordering::Relaxed);
        left_ms.max(self.heard_ms.load(Ordering::Relaxed))
    }

    /// Whether another gateway told lately that it leaves: others are better asked.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        let heard_ms = self.heard_ms.load(Ordering::Relaxed);
        heard_ms > 0 && now_ms.saturating_sub(heard_ms) < TOLD_MS
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
