//! Versions of pools as they are recorded in the key-value service.
//!
//! A stream that can be resumed begins only on a recorded version, as this gateway's copy of the
//! records shows it. So every stream that may be resumed began on one of the recorded versions,
//! whichever gateways are lost. That a version is not recorded proves nothing by itself.

use std::collections::{BTreeMap, BTreeSet};

use mulberryyoke_model::{PoolId, VersionId};

/// A version of a pool.
pub type PoolVersion = (PoolId, VersionId);

/// The record of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Revision of its latest write.
    pub revision: u64,
    /// Whether it is about to be removed: streams may have begun on the version, but none may begin
    /// until the record is written again.
    pub is_retiring: bool,
}

/// What a listing holds of the records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// The records.
    pub records: BTreeMap<PoolVersion, Record>,
    /// Era in which the records are marked as complete.
    pub marked: Option<u64>,
}

/// What the records tell of a stream whose origin nobody knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// It began on this version.
    Only(VersionId),
    /// It may have begun on one of several versions, or records may be missing.
    Several,
    /// No version is recorded.
    None,
}

/// Copy of the records in the key-value service.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Era of the copy, increased by each restore of the service; `None` before the first listing.
    era: Option<u64>,
    marked: Option<u64>,
    present: BTreeMap<PoolVersion, Record>,
    /// Versions whose records a restore lost, until they are written again.
    lost: BTreeSet<PoolVersion>,
    /// Whether this copy and what it lost are all records, whether or not they are marked so.
    knows_all: bool,
}

impl Records {
    /// Replaces the copy by a listing. `is_recent` tells whether the copy was up to date shortly
    /// before.
    pub fn load(&mut self, era: u64, listed: Listed, is_recent: bool) {
        let before = self.era.replace(era);
        let is_restored = before.is_some_and(|before| era > before);
        if before.is_none() {
            // Without any record no stream has begun.
            self.knows_all = listed.records.is_empty() && listed.marked.is_none();
        } else if is_restored {
            self.knows_all = is_recent && self.is_complete_in(before);
            self.lost.extend(self.present.keys());
        }
        self.marked = listed.marked;
        self.present = listed.records;
        self.lost
            .retain(|version| !self.present.contains_key(version));
    }

    /// Applies the write of a record.
    pub fn put(&mut self, version: PoolVersion, record: Record) {
        self.lost.remove(&version);
        self.present.insert(version, record);
    }

    /// Applies the removal of a record.
    pub fn remove(&mut self, version: PoolVersion) {
        self.present.remove(&version);
    }

    /// Applies the mark that the records were complete in an era.
    pub const fn mark(&mut self, era: Option<u64>) {
        self.marked = era;
    }

    /// Era of the copy; `None` before the first listing.
    #[must_use]
    pub const fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns whether a stream may begin on a version.
    #[must_use]
    pub fn is_usable(&self, version: PoolVersion) -> bool {
        let is_active = |record: &Record| !record.is_retiring;
        // The mark is not written before what was lost is recorded again.
        self.present.get(&version).is_some_and(is_active) || self.lost.contains(&version)
    }

    /// Versions on which streams may begin, in order.
    pub fn usable(&self) -> impl Iterator<Item = PoolVersion> {
        self.all().filter(|version| self.is_usable(*version))
    }

    /// Versions on which streams may have begun.
    pub fn all(&self) -> impl Iterator<Item = PoolVersion> {
        let all: BTreeSet<PoolVersion> = self.present.keys().chain(&self.lost).copied().collect();
        all.into_iter()
    }

    /// Returns the number of versions of a pool on which streams may have begun.
    #[must_use]
    pub fn count(&self, pool: PoolId) -> usize {
        self.all().filter(|(of, _)| *of == pool).count()
    }

    /// Returns what the records tell of a stream of a pool.
    #[must_use]
    pub fn conclude(&self, pool: PoolId) -> Conclusion {
        if self.era.is_none() {
            return Conclusion::None;
        }
        if !self.knows_all && !self.is_marked() {
            return Conclusion::Several;
        }
        let mut versions = self.all().filter(|(of, _)| *of == pool);
        match (versions.next(), versions.next()) {
            (None, _) => Conclusion::None,
            (Some((_, version)), None) => Conclusion::Only(version),
            (Some(_), Some(_)) => Conclusion::Several,
        }
    }

    /// The record of a version.
    pub(super) fn get(&self, version: PoolVersion) -> Option<Record> {
        self.present.get(&version).copied()
    }

    /// The records.
    pub(super) fn iter(&self) -> impl Iterator<Item = (PoolVersion, Record)> {
        self.present
            .iter()
            .map(|(version, record)| (*version, *record))
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.present.len()
    }

    /// Versions whose records a restore lost.
    pub(super) const fn lost(&self) -> &BTreeSet<PoolVersion> {
        &self.lost
    }

    /// Whether the records are complete as all gateways see it. A service that was never restored
    /// has lost none.
    pub(super) fn is_marked(&self) -> bool {
        self.era == Some(0) || (self.era.is_some() && self.marked == self.era)
    }

    /// Whether this copy holds all records that were not lost with another gateway.
    pub(super) const fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// Whether the copy, not yet replaced, was complete in its era.
    fn is_complete_in(&self, era: Option<u64>) -> bool {
        self.knows_all || era == Some(0) || (era.is_some() && self.marked == era)
    }
}
