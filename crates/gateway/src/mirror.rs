//! The key-value service's contents as this node last saw them, for peers that
//! do not ask the service themselves.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mulberryyoke_platform::kv::{Position, Revision};
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
    position: watch::Sender<Position>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The latest write of each key that exists.
    keys: BTreeMap<String, Write>,
    /// The latest writes, oldest first.
    writes: VecDeque<Write>,
    /// Revision after which all writes are in `writes`.
    floor: Revision,
    /// How far writes are known; revision 0 before the first were seen.
    position: Position,
}

impl Mirror {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::default(),
            position: watch::Sender::new(Position::default()),
        }
    }

    /// Takes in every key, as of a position.
    pub(crate) fn reset(&self, writes: impl Iterator<Item = Write>, position: Position) {
        let mut inner = self.inner.lock();
        inner.keys = writes.map(|write| (write.key.clone(), write)).collect();
        inner.writes.clear();
        inner.floor = position.revision;
        inner.position = position;
        drop(inner);
        self.position.send_replace(position);
    }

    /// Takes in writes, and the position up to which there are no others.
    pub(crate) fn extend(&self, writes: &[Write], position: Position) {
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
        inner.position = inner.position.max(position);
        let position = inner.position;
        drop(inner);
        self.position.send_replace(position);
    }

    /// Every key; `None` before the first were seen.
    pub(crate) fn list(&self, known_ms: i64) -> Option<Relayed> {
        let inner = self.inner.lock();
        let Position { era, revision } = inner.position;
        (revision > 0).then(|| Relayed {
            known_ms,
            revision,
            writes: inner.keys.values().cloned().collect(),
            era,
        })
    }

    /// Waits until there are writes after a position, at most for `wait`.
    pub(crate) async fn wait(&self, after: Position, wait: Duration) {
        let mut seen = self.position.subscribe();
        // That the time is over is no failure: the answer then has no writes.
        let _ = timeout(wait, seen.wait_for(|position| *position > after)).await;
    }

    /// The writes after a position; `None` when they are no longer all kept, or are of another
    /// era.
    pub(crate) fn changes(&self, after: Position, known_ms: i64) -> Option<Relayed> {
        let inner = self.inner.lock();
        let Position { era, revision } = inner.position;
        let is_held = revision > 0 && after.era == era && after.revision >= inner.floor;
        let newer = inner.writes.iter();
        let newer = newer.filter(|write| write.revision > after.revision);
        is_held.then(|| Relayed {
            known_ms,
            revision: revision.max(after.revision),
            writes: newer.cloned().collect(),
            era,
        })
    }
}
