//! The configuration in force on this gateway, and its age.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;

use crate::clock;
use crate::config::Config;

/// Age up to which the state here counts as fresh, in milliseconds: longer than a waiting call to
/// a peer whose own call has just ended.
const FRESH_MS: u64 = 2_000;

/// The configuration in force on this gateway. Its version never decreases within a process.
#[derive(Debug, Default)]
pub(crate) struct View {
    config: ArcSwapOption<Config>,
    /// Configurations that were in force, this one included, and may still be in use.
    applied: Mutex<Vec<Weak<Config>>>,
    /// Latest version with which another gateway served connections handed off from this one.
    peer_version: AtomicU64,
    confirmed_ms: AtomicU64,
    kv_contact_ms: AtomicU64,
    /// Until when the source of this gateway counts as having current data.
    current_until_ms: AtomicU64,
}

impl View {
    /// The configuration; `None` before the first one is applied.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Applies a configuration; `false` if it is not newer than the one in force.
    pub(crate) fn apply(&self, config: Config) -> bool {
        let current = self.config.load().as_ref().map(|current| current.version());
        if current.is_some_and(|current| current >= config.version()) {
            return false;
        }
        let config = Arc::new(config);
        let mut applied = self.applied.lock();
        applied.retain(|earlier| earlier.strong_count() > 0);
        applied.push(Arc::downgrade(&config));
        drop(applied);
        self.config.store(Some(config));
        true
    }

    /// Number of configurations in memory: the one in force, and earlier ones still in use.
    pub(crate) fn configs_held(&self) -> usize {
        let applied = self.applied.lock();
        let held = applied.iter().filter(|config| config.strong_count() > 0);
        held.count()
    }

    /// The latest version with which callers of this gateway were served, here or by another
    /// gateway; 0 before the first.
    pub(crate) fn latest_version(&self) -> u64 {
        let current = self
            .config
            .load()
            .as_ref()
            .map_or(0, |current| current.version());
        current.max(self.peer_version.load(Ordering::Relaxed))
    }

    /// Records the version with which another gateway serves callers of this one.
    pub(crate) fn record_peer_version(&self, version: u64) {
        self.peer_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Whether callers of this gateway were served with a later version than the one in force
    /// here, whose changes must not be reverted.
    pub(crate) fn is_superseded(&self) -> bool {
        let current = self
            .config
            .load()
            .as_ref()
            .map_or(0, |current| current.version());
        current < self.peer_version.load(Ordering::Relaxed)
    }

    /// Records that the configuration was up to date at an instant, in milliseconds of this
    /// process's clock.
    pub(crate) fn confirm(&self, at_ms: u64) {
        self.confirmed_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// When the configuration was last known to be up to date, in milliseconds after an instant of
    /// this process's clock; negative if before.
    pub(crate) fn confirmed_since_ms(&self, since_ms: u64) -> i64 {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        i64::try_from(confirmed_ms).unwrap_or(i64::MAX)
            - i64::try_from(since_ms).unwrap_or(i64::MAX)
    }

    /// Whether the configuration was last confirmed before a suspension of the machine, in which
    /// it may have changed.
    pub(crate) fn predates_suspension(&self) -> bool {
        let resumed_ms = clock::last_resume_ms();
        resumed_ms > 0 && self.confirmed_ms.load(Ordering::Relaxed) < resumed_ms
    }

    /// Records a successful call to the key-value service that started at an instant, in
    /// milliseconds of this process's clock.
    pub(crate) fn record_kv_contact(&self, at_ms: u64) {
        self.kv_contact_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Time since the last successful call to the key-value service, in milliseconds.
    pub(crate) fn kv_contact_age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.kv_contact_ms.load(Ordering::Relaxed))
    }

    /// Records until when the source of this gateway counts as having current data, in milliseconds of
    /// this process's clock.
    pub(crate) fn set_current_until(&self, until_ms: u64) {
        self.current_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// For how long the source of this gateway still counts as having current data, in milliseconds;
    /// 0 if it does not.
    pub(crate) fn current_for_ms(&self) -> u64 {
        let until_ms = self.current_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(clock::now_ms())
    }

    /// Whether the servers and gateways known here are up to date.
    pub(crate) fn is_fresh(&self) -> bool {
        self.age_ms() <= FRESH_MS && !self.predates_suspension()
    }

    /// Time since the configuration was last known to be up to date, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }
}
