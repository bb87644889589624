//! The configuration in force on this node, and how old it may be.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;

use crate::clock;
use crate::config::Config;

/// Age up to which what is known here is taken to be what others know, in milliseconds: a call
/// that waits has ended by then, also one at a peer whose own call has just ended.
const IN_TOUCH_MS: u64 = 2_000;

/// The configuration in force on this node. Its version never falls within the
/// life of a process.
#[derive(Debug, Default)]
pub(crate) struct View {
    config: ArcSwapOption<Config>,
    /// Latest version by which another gateway answers callers of this one.
    seen: AtomicU64,
    confirmed_ms: AtomicU64,
    reached_ms: AtomicU64,
}

impl View {
    /// The configuration; `None` before the first.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Puts a configuration in force; `false` if it is not newer than the one in force.
    pub(crate) fn apply(&self, config: Config) -> bool {
        let held = self.config.load().as_ref().map(|held| held.version());
        if held.is_some_and(|held| held >= config.version()) {
            return false;
        }
        self.config.store(Some(Arc::new(config)));
        true
    }

    /// The latest version by which callers of this node were answered, here or by another
    /// gateway; 0 before the first.
    pub(crate) fn latest_version(&self) -> u64 {
        let held = self.config.load().as_ref().map_or(0, |held| held.version());
        held.max(self.seen.load(Ordering::Relaxed))
    }

    /// Notes that another gateway answers callers of this one by a version.
    pub(crate) fn record_peer_version(&self, version: u64) {
        self.seen.fetch_max(version, Ordering::Relaxed);
    }

    /// Whether callers of this node were answered by a later version than the one in force here:
    /// what that changed must not be as it was before.
    pub(crate) fn is_superseded(&self) -> bool {
        let held = self.config.load().as_ref().map_or(0, |held| held.version());
        held < self.seen.load(Ordering::Relaxed)
    }

    /// Notes that no newer configuration had been accepted at an instant, in
    /// milliseconds of this process's clock.
    pub(crate) fn confirm(&self, at_ms: u64) {
        self.confirmed_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// When it was last known that no newer configuration had been accepted, in
    /// milliseconds after an instant of this process's clock; negative if before.
    pub(crate) fn confirmed_since_ms(&self, than_ms: u64) -> i64 {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        i64::try_from(confirmed_ms).unwrap_or(i64::MAX) - i64::try_from(than_ms).unwrap_or(i64::MAX)
    }

    /// Whether it was last known to be in force before a suspension of the machine: whatever
    /// was learnt before may have changed meanwhile.
    pub(crate) fn predates_suspension(&self) -> bool {
        let woke_ms = clock::last_resume_ms();
        woke_ms > 0 && self.confirmed_ms.load(Ordering::Relaxed) < woke_ms
    }

    /// Notes that this node itself reached the key-value service with a call that
    /// began at an instant, in milliseconds of this process's clock.
    pub(crate) fn record_kv_contact(&self, at_ms: u64) {
        self.reached_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Time since this node itself reached the key-value service, in milliseconds.
    pub(crate) fn kv_contact_age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.reached_ms.load(Ordering::Relaxed))
    }

    /// Whether what is known here of servers and gateways is about what others know.
    pub(crate) fn is_fresh(&self) -> bool {
        self.age_ms() <= IN_TOUCH_MS && !self.predates_suspension()
    }

    /// Time since it was last known that no newer configuration had been
    /// accepted, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }
}
