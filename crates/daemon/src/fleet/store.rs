//! The accepted configuration, shared by read-copy-update.

use std::sync::Arc;

use arc_swap::ArcSwap;
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Change, Config, Revision};
use parking_lot::Mutex;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The accepted configuration with its index.
#[derive(Default)]
struct Accepted {
    config: Arc<Config>,
    view: Arc<View>,
    digest: u64,
}

/// Holder of the accepted configuration.
pub(super) struct Store {
    accepted: ArcSwap<Accepted>,
    revision: watch::Sender<Revision>,
    write: Mutex<()>,
}

impl Store {
    pub(super) fn open() -> Self {
        Self {
            accepted: ArcSwap::default(),
            revision: watch::Sender::new(0),
            write: Mutex::new(()),
        }
    }

    pub(super) fn config(&self) -> Arc<Config> {
        Arc::clone(&self.accepted.load().config)
    }

    pub(super) fn view(&self) -> Arc<View> {
        Arc::clone(&self.accepted.load().view)
    }

    /// Highest revision applied, and a hash of all that is accepted.
    pub(super) fn standing(&self) -> (Revision, u64) {
        let accepted = self.accepted.load();
        (accepted.config.revision, accepted.digest)
    }

    pub(super) fn watch(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Applies what is newer than the value held for its key, oldest first. Returns
    /// the highest revision if anything was.
    pub(super) fn apply(&self, mut changes: Vec<Change>) -> Option<Revision> {
        changes.sort_by_key(|change| change.revision);
        let _guard = self.write.lock();
        let held = self.config();
        let is_newer = |change: &Change| {
            let earlier = held.changes.get(&change.key);
            earlier.is_none_or(|earlier| earlier.revision < change.revision)
        };
        changes.retain(is_newer);
        if changes.is_empty() {
            return None;
        }
        let mut config = Config::clone(&held);
        for change in changes {
            config.apply(change);
        }
        let revision = config.revision;
        self.accepted.store(Arc::new(Accepted {
            view: Arc::new(View::build(&config)),
            digest: digest(&config),
            config: Arc::new(config),
        }));
        self.revision.send_replace(revision);
        Some(revision)
    }
}

/// Hash of the keys and the revisions of their latest writes, in no order.
fn digest(config: &Config) -> u64 {
    config.changes.values().fold(0, |sum, change| {
        let hash = xxh3_64_with_seed(change.key.as_bytes(), change.revision);
        sum.wrapping_add(hash)
    })
}
