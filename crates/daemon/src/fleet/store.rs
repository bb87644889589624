//! The accepted configuration, shared by read-copy-update.

use std::sync::Arc;

use arc_swap::ArcSwap;
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Change, Config, Revision};
use parking_lot::Mutex;
use tokio::sync::watch;

/// The accepted configuration and its index.
pub(super) struct Store {
    config: ArcSwap<Config>,
    view: ArcSwap<View>,
    revision: watch::Sender<Revision>,
    write: Mutex<()>,
}

impl Store {
    pub(super) fn open() -> Self {
        Self {
            config: ArcSwap::default(),
            view: ArcSwap::default(),
            revision: watch::Sender::new(0),
            write: Mutex::new(()),
        }
    }

    pub(super) fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    pub(super) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    pub(super) fn watch(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Applies what is newer than the value held for its key, oldest first.
    /// Returns whether anything was.
    pub(super) fn apply(&self, mut changes: Vec<Change>) -> bool {
        changes.sort_by_key(|change| change.revision);
        let _guard = self.write.lock();
        let mut config = Config::clone(&self.config.load());
        let mut newer = false;
        for change in changes {
            newer |= config.apply(change);
        }
        if !newer {
            return false;
        }
        let revision = config.revision;
        self.view.store(Arc::new(View::build(&config)));
        self.config.store(Arc::new(config));
        self.revision.send_replace(revision);
        true
    }
}
