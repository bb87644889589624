//! Compacted log of the key-value service's contents.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberryyoke_platform::kv::Revision;
use mulberryyoke_wire::relay::Write;

/// Memory of an entry besides its value and the two copies of its key, in bytes.
const ENTRY_BYTES: usize = 128;

/// The latest write of each key, deletions included, and their order. A write ends the one before
/// it of the same key, so that the size depends on the keys and not on the number of writes.
#[derive(Debug, Default)]
pub(super) struct Log {
    writes: BTreeMap<String, Write>,
    /// Revisions and keys of the values.
    values: BTreeSet<(Revision, String)>,
    /// Revisions and keys of the deletions.
    deletions: BTreeSet<(Revision, String)>,
    value_bytes: usize,
    deletion_bytes: usize,
}

impl Log {
    /// Records a write, unless a later one of its key is known: pages of a listing may be later
    /// than its position.
    pub(super) fn record(&mut self, write: Write) {
        let known = self.writes.get(&write.key);
        if known.is_some_and(|known| known.revision > write.revision) {
            return;
        }
        self.remove(&write.key);
        let index = (write.revision, write.key.clone());
        if write.value.is_some() {
            self.value_bytes += size(&write);
            self.values.insert(index);
        } else {
            self.deletion_bytes += size(&write);
            self.deletions.insert(index);
        }
        self.writes.insert(write.key.clone(), write);
    }

    fn remove(&mut self, key: &str) {
        let Some((key, write)) = self.writes.remove_entry(key) else {
            return;
        };
        let bytes = size(&write);
        let index = (write.revision, key);
        if write.value.is_some() {
            self.value_bytes -= bytes;
            self.values.remove(&index);
        } else {
            self.deletion_bytes -= bytes;
            self.deletions.remove(&index);
        }
    }

    /// Forgets the oldest deletion and returns its revision.
    pub(super) fn forget_deletion(&mut self) -> Option<Revision> {
        let (revision, key) = self.deletions.first().cloned()?;
        self.remove(&key);
        Some(revision)
    }

    /// Memory of the keys that exist, in bytes.
    pub(super) const fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// Memory of the deletions, in bytes.
    pub(super) const fn deletion_bytes(&self) -> usize {
        self.deletion_bytes
    }

    /// The latest write of each key that exists, in the order of the keys.
    pub(super) fn existing(&self) -> Vec<Write> {
        let existing = self.writes.values().filter(|write| write.value.is_some());
        existing.cloned().collect()
    }

    /// The latest write of each key that was written or deleted after a revision, in the order of
    /// the revisions.
    pub(super) fn after(&self, revision: Revision) -> Vec<Write> {
        let start = (revision.saturating_add(1), String::new());
        let values = self.values.range(start.clone()..);
        let deletions = self.deletions.range(start..);
        let newer = values.chain(deletions);
        let newer = newer.filter_map(|(_, key)| self.writes.get(key).cloned());
        let mut newer: Vec<Write> = newer.collect();
        newer.sort_by_key(|write| write.revision);
        newer
    }
}

/// Memory of an entry, in bytes.
fn size(write: &Write) -> usize {
    let value = write.value.as_ref().map_or(0, Bytes::len);
    ENTRY_BYTES + 2 * write.key.len() + value
}
