//! The accepted configuration, published by read-copy-update.

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

/// Store of the accepted configuration.
pub(super) struct Store {
    accepted: ArcSwap<Accepted>,
    revision: watch::Sender<Revision>,
    write: Mutex<()>,
}

impl Store {
    pub(super) fn new() -> Self {
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

    /// Highest applied revision and the digest of the configuration.
    pub(super) fn version(&self) -> (Revision, u64) {
        let accepted = self.accepted.load();
        (accepted.config.revision, accepted.digest)
    }

    pub(super) fn watch(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Applies the changes that are newer than the current value of their key, oldest
    /// first. Returns the highest revision if there were any.
    pub(super) fn apply(&self, mut changes: Vec<Change>) -> Option<Revision> {
        changes.sort_by_key(|change| change.revision);
        let _guard = self.write.lock();
        let current = self.config();
        let is_newer = |change: &Change| {
            let previous = current.changes.get(&change.key);
            previous.is_none_or(|previous| previous.revision < change.revision)
        };
        changes.retain(is_newer);
        if changes.is_empty() {
            return None;
        }
        let mut config = Config::clone(&current);
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

/// Order-independent hash of the keys and the revisions of their latest writes.
fn digest(config: &Config) -> u64 {
    config.changes.values().fold(0, |sum, change| {
        let hash = xxh3_64_with_seed(change.key.as_bytes(), change.revision);
        sum.wrapping_add(hash)
    })
}
