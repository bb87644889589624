//! The accepted configuration, published by read-copy-update.

use std::collections::HashMap;
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
    /// Keys whose latest write has a lower revision than others that were applied before it, as after
    /// a restore of the service; and the revision of the configuration once it was applied.
    late: HashMap<String, Revision>,
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

    /// Writes that a router with this revision may lack, in revision order.
    pub(super) fn since(&self, revision: Revision) -> Vec<Change> {
        let accepted = self.accepted.load();
        let mut changes = accepted.config.since(revision);
        let late = accepted.late.iter().filter(|(_, at)| **at >= revision);
        let late = late.filter_map(|(key, _)| accepted.config.changes.get(key));
        let late = late.filter(|change| change.revision <= revision);
        changes.extend(late.cloned());
        changes.sort_by_key(|change| change.revision);
        changes
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
        let mut late = self.accepted.load().late.clone();
        let latest = changes.iter().map(|change| change.revision).max();
        let revision = current.revision.max(latest.unwrap_or(0));
        for change in changes {
            if change.revision <= current.revision {
                late.insert(change.key.clone(), revision);
            } else {
                late.remove(&change.key);
            }
            config.apply(change);
        }
        self.accepted.store(Arc::new(Accepted {
            view: Arc::new(View::build(&config)),
            digest: digest(&config),
            config: Arc::new(config),
            late,
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
