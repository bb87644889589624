//! The key-value service's contents as this node last saw them, for peers that
//! do not ask the service themselves.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mulberryyoke_platform::kv::Revision;
use mulberryyoke_wire::relay::{Relayed, Write};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

/// Writes that are kept for peers that are behind; one that is further behind
/// reads every key.
const KEPT_WRITES: usize = 512;

/// The service's contents as this node last saw them.
#[derive(Debug)]
pub(crate) struct Mirror {
    inner: Mutex<Inner>,
    revision: watch::Sender<Revision>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The latest write of each key that exists.
    keys: BTreeMap<String, Write>,
    /// The latest writes, oldest first.
    writes: VecDeque<Write>,
    /// Revision after which all writes are in `writes`.
    floor: Revision,
    revision: Revision,
}

impl Mirror {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }

    /// Takes in every key, as of a revision.
    pub(crate) fn reset(&self, writes: impl Iterator<Item = Write>, revision: Revision) {
        let mut inner = self.inner.lock();
        inner.keys = writes.map(|write| (write.key.clone(), write)).collect();
        inner.writes.clear();
        inner.floor = revision;
        inner.revision = revision;
        drop(inner);
        self.revision.send_replace(revision);
    }

    /// Takes in writes, and the revision up to which there are no others.
    pub(crate) fn extend(&self, writes: &[Write], revision: Revision) {
        let mut inner = self.inner.lock();
        for write in writes {
            if write.value.is_some() {
                inner.keys.insert(write.key.clone(), write.clone());
            } else {
                inner.keys.remove(&write.key);
            }
            inner.writes.push_back(write.clone());
            if inner.writes.len() > KEPT_WRITES {
                let dropped = inner.writes.pop_front();
                inner.floor = dropped.map_or(inner.floor, |write| write.revision);
            }
        }
        inner.revision = inner.revision.max(revision);
        let revision = inner.revision;
        drop(inner);
        self.revision.send_replace(revision);
    }

    /// Every key; `None` before the first were seen.
    pub(crate) fn list(&self, known_ms: i64) -> Option<Relayed> {
        let inner = self.inner.lock();
        (inner.revision > 0).then(|| Relayed {
            known_ms,
            revision: inner.revision,
            writes: inner.keys.values().cloned().collect(),
        })
    }

    /// Waits until there are writes after a revision, at most for `wait`.
    pub(crate) async fn wait(&self, after: Revision, wait: Duration) {
        let mut seen = self.revision.subscribe();
        // That the time is over is no failure: the answer then has no writes.
        let _ = timeout(wait, seen.wait_for(|revision| *revision > after)).await;
    }

    /// The writes after a revision; `None` when they are no longer all kept.
    pub(crate) fn changes(&self, after: Revision, known_ms: i64) -> Option<Relayed> {
        let inner = self.inner.lock();
        let is_held = inner.revision > 0 && after >= inner.floor;
        let newer = inner.writes.iter().filter(|write| write.revision > after);
        is_held.then(|| Relayed {
            known_ms,
            revision: inner.revision.max(after),
            writes: newer.cloned().collect(),
        })
    }
}
