//! Copy of the key-value service's contents, served to peers that do not call the service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mulberryyoke_platform::kv::{Position, Revision};
use mulberryyoke_wire::relay::{Batch, Write};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

/// Number of writes kept for peers to catch up; a peer that is further behind lists every key.
const MAX_WRITES: usize = 512;

/// Copy of the key-value service's contents.
#[derive(Debug)]
pub(crate) struct Mirror {
    inner: Mutex<Inner>,
    position: watch::Sender<Position>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The latest write of each existing key.
    keys: BTreeMap<String, Write>,
    /// The latest writes, oldest first.
    writes: VecDeque<Write>,
    /// Revision up to which writes are no longer kept.
    compacted: Revision,
    /// Position up to which writes are known; revision 0 before the first listing.
    position: Position,
}

impl Mirror {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::default(),
            position: watch::Sender::new(Position::default()),
        }
    }

    /// Replaces the contents by a listing as of a position.
    pub(crate) fn reset(&self, writes: impl Iterator<Item = Write>, position: Position) {
        let mut inner = self.inner.lock();
        inner.keys = writes.map(|write| (write.key.clone(), write)).collect();
        inner.writes.clear();
        inner.compacted = position.revision;
        inner.position = position;
        drop(inner);
        self.position.send_replace(position);
    }

    /// Applies all writes up to a position.
    pub(crate) fn apply(&self, writes: &[Write], position: Position) {
        let mut inner = self.inner.lock();
        for write in writes {
            if write.value.is_some() {
                inner.keys.insert(write.key.clone(), write.clone());
            } else {
                inner.keys.remove(&write.key);
            }
            inner.writes.push_back(write.clone());
            if inner.writes.len() > MAX_WRITES {
                let dropped = inner.writes.pop_front();
                inner.compacted = dropped.map_or(inner.compacted, |write| write.revision);
            }
        }
        inner.position = inner.position.max(position);
        let position = inner.position;
        drop(inner);
        self.position.send_replace(position);
    }

    /// Updates the gauges.
    pub(crate) fn record_metrics(&self) {
        let inner = self.inner.lock();
        let latest: usize = inner.keys.values().map(size).sum();
        let history: usize = inner.writes.iter().map(size).sum();
        drop(inner);
        #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
        {
            metrics::gauge!("contents_bytes", "of" => "latest").set(latest as f64);
            metrics::gauge!("contents_bytes", "of" => "history").set(history as f64);
        }
    }

    /// Lists every key; `None` before the first listing.
    pub(crate) fn list(&self, known_ms: i64) -> Option<Batch> {
        let inner = self.inner.lock();
        let Position { era, revision } = inner.position;
        (revision > 0).then(|| Batch {
            known_ms,
            revision,
            writes: inner.keys.values().cloned().collect(),
            era,
        })
    }

    /// Waits until there are writes after a position, at most for `wait`.
    pub(crate) async fn wait(&self, after: Position, wait: Duration) {
        let mut positions = self.position.subscribe();
        // After the timeout the response has no writes.
        let _ = timeout(wait, positions.wait_for(|position| *position > after)).await;
    }

    /// The writes after a position; `None` if some are no longer kept, or if the era differs.
    pub(crate) fn changes(&self, after: Position, known_ms: i64) -> Option<Batch> {
        let inner = self.inner.lock();
        let Position { era, revision } = inner.position;
        let is_available = revision > 0 && after.era == era && after.revision >= inner.compacted;
        let newer = inner.writes.iter();
        let newer = newer.filter(|write| write.revision > after.revision);
        is_available.then(|| Batch {
            known_ms,
            revision: revision.max(after.revision),
            writes: newer.cloned().collect(),
            era,
        })
    }
}

/// Bytes that the key and value of a write take.
fn size(write: &Write) -> usize {
    write.key.len() + write.value.as_ref().map_or(0, Vec::len)
}
