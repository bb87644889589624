//! Contents of the key-value service.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Instant;

use crate::kv::error::Error;
use crate::kv::lease::Lease;
use crate::kv::value::{Value, Write};

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Range of keys: its start and its exclusive end, or `None` for no end.
pub(crate) type KeyRange = (Vec<u8>, Option<Vec<u8>>);

/// Contents of the key-value service: keys, their history and leases.
#[derive(Clone, Debug)]
pub(crate) struct Data {
    pub revision: u64,
    /// Revision up to which the history has been compacted.
    pub compacted: u64,
    pub leases: BTreeMap<u64, Lease>,
    values: BTreeMap<Vec<u8>, Value>,
    history: Vec<Write>,
    last_lease: u64,
}

impl Default for Data {
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            leases: BTreeMap::new(),
            values: BTreeMap::new(),
            history: Vec::new(),
            last_lease: 0,
        }
    }
}

/// Range of a request. An empty end means a single key, and a single zero byte means no end.
pub(crate) fn key_range(key: &[u8], range_end: &[u8]) -> KeyRange {
    let end = match range_end {
        [] => Some([key, &[0]].concat()),
        [0] => None,
        end => Some(end.to_vec()),
    };
    (key.to_vec(), end)
}

fn contains(range: &KeyRange, key: &[u8]) -> bool {
    key >= range.0.as_slice() && range.1.as_deref().is_none_or(|end| key < end)
}

impl Data {
    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    pub(crate) fn get(&self, key: &[u8]) -> Option<&Value> {
        self.values.get(key)
    }

    /// Reads a range at a revision (0 for the latest).
    pub(crate) fn read(
        &self,
        range: &KeyRange,
        revision: u64,
    ) -> Result<Vec<(Vec<u8>, Value)>, Error> {
        if revision > self.revision {
            return Err(Error::FUTURE_REVISION);
        }
        if revision != 0 && revision < self.compacted {
            return Err(Error::COMPACTED);
        }
        if revision == 0 || revision == self.revision {
            return Ok(self.read_latest(range));
        }
        let mut values = BTreeMap::new();
        for write in self
            .history
            .iter()
            .filter(|write| write.revision <= revision)
        {
            if contains(range, &write.key) {
                values.insert(write.key.clone(), write.value.clone());
            }
        }
        let existing = values
            .into_iter()
            .filter_map(|(key, value)| Some((key, value?)));
        Ok(existing.collect())
    }

    fn read_latest(&self, range: &KeyRange) -> Vec<(Vec<u8>, Value)> {
        let start = Bound::Included(range.0.as_slice());
        let following = self.values.range::<[u8], _>((start, Bound::Unbounded));
        let found = following.take_while(|(key, _)| contains(range, key));
        found
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Writes to a range from a revision on.
    pub(crate) fn writes_since(&self, range: &KeyRange, revision: u64) -> Vec<Write> {
        let first = self
            .history
            .partition_point(|write| write.revision < revision);
        let later = self.history[first..].iter();
        later
            .filter(|write| contains(range, &write.key))
            .cloned()
            .collect()
    }

    /// Checks whether a write is valid.
    pub(crate) fn validate_write(&self, key: &[u8], bytes: &[u8], lease: u64) -> Result<(), Error> {
        if key.is_empty() {
            return Err(Error::EMPTY_KEY);
        }
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(Error::TOO_LARGE);
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(Error::LEASE_NOT_FOUND);
        }
        Ok(())
    }

    /// Writes a key at a revision.
    pub(crate) fn put(&mut self, revision: u64, key: &[u8], bytes: Vec<u8>, lease: u64) {
        let current = self.values.get(key);
        let value = Value {
            bytes,
            created: current.map_or(revision, |current| current.created),
            modified: revision,
            version: current.map_or(1, |current| current.version + 1),
            lease,
        };
        self.values.insert(key.to_vec(), value.clone());
        self.record(revision, key.to_vec(), Some(value));
    }

    /// Deletes a range at a revision and returns the number of deleted keys.
    pub(crate) fn delete(&mut self, revision: u64, range: &KeyRange) -> usize {
        let deleted = self.read_latest(range);
        for (key, _) in &deleted {
            self.values.remove(key);
            self.record(revision, key.clone(), None);
        }
        deleted.len()
    }

    fn record(&mut self, revision: u64, key: Vec<u8>, value: Option<Value>) {
        self.revision = revision;
        self.history.push(Write {
            revision,
            key,
            value,
        });
    }

    /// Grants a lease and returns its ID.
    pub(crate) fn grant(&mut self, ttl_s: u64, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease::new(ttl_s, now));
        self.last_lease
    }

    /// Revokes a lease and deletes its keys. Returns whether the lease existed.
    pub(crate) fn revoke(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let attached = self.values.iter().filter(|(_, value)| value.lease == id);
        let keys: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        let revision = self.revision + 1;
        for key in keys {
            self.delete(revision, &key_range(&key, &[]));
        }
        true
    }

    /// Revokes the leases whose deadline has passed. Returns whether there were any.
    pub(crate) fn expire_leases(&mut self, now: Instant) -> bool {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }

    /// Compacts the history up to the current revision.
    pub(crate) const fn compact(&mut self) {
        self.compacted = self.revision;
    }

    /// Restarts the TTL of all leases, as etcd does after a restart.
    pub(crate) fn renew_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            *lease = Lease::new(lease.ttl_s, now);
        }
    }
}
