//! The contents of the key-value service.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Instant;

use crate::kv::fault::Fault;
use crate::kv::lease::Lease;
use crate::kv::value::{Value, Write};

/// Largest value, in bytes.
const VALUE_BYTES: usize = 1_000_000;

/// Keys from the first up to, without it, the second; `None` for no end.
pub(crate) type Span = (Vec<u8>, Option<Vec<u8>>);

/// The contents of the key-value service.
#[derive(Clone, Debug)]
pub(crate) struct Data {
    pub revision: u64,
    /// Highest revision whose history is gone.
    pub compacted: u64,
    pub leases: BTreeMap<u64, Lease>,
    values: BTreeMap<Vec<u8>, Value>,
    log: Vec<Write>,
    last_lease: u64,
}

impl Default for Data {
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            leases: BTreeMap::new(),
            values: BTreeMap::new(),
            log: Vec::new(),
            last_lease: 0,
        }
    }
}

/// The span that a request names: no end means one key, a zero byte means no end.
pub(crate) fn span(key: &[u8], range_end: &[u8]) -> Span {
    let end = match range_end {
        [] => Some([key, &[0]].concat()),
        [0] => None,
        end => Some(end.to_vec()),
    };
    (key.to_vec(), end)
}

fn contains(span: &Span, key: &[u8]) -> bool {
    key >= span.0.as_slice() && span.1.as_deref().is_none_or(|end| key < end)
}

impl Data {
    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    pub(crate) fn get(&self, key: &[u8]) -> Option<&Value> {
        self.values.get(key)
    }

    /// Keys of a span, as of a revision (0 for now).
    pub(crate) fn range(&self, span: &Span, revision: u64) -> Result<Vec<(Vec<u8>, Value)>, Fault> {
        if revision > self.revision {
            return Err(Fault::FUTURE);
        }
        if revision != 0 && revision < self.compacted {
            return Err(Fault::COMPACTED);
        }
        if revision == 0 || revision == self.revision {
            return Ok(self.now(span));
        }
        let mut found = BTreeMap::new();
        for write in self.log.iter().filter(|write| write.revision <= revision) {
            if contains(span, &write.key) {
                found.insert(write.key.clone(), write.value.clone());
            }
        }
        let held = found
            .into_iter()
            .filter_map(|(key, value)| Some((key, value?)));
        Ok(held.collect())
    }

    fn now(&self, span: &Span) -> Vec<(Vec<u8>, Value)> {
        let first = Bound::Included(span.0.as_slice());
        let later = self.values.range::<[u8], _>((first, Bound::Unbounded));
        let held = later.take_while(|(key, _)| contains(span, key));
        held.map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Writes of a span from a revision on.
    pub(crate) fn since(&self, span: &Span, revision: u64) -> Vec<Write> {
        let first = self.log.partition_point(|write| write.revision < revision);
        let later = self.log[first..].iter();
        later
            .filter(|write| contains(span, &write.key))
            .cloned()
            .collect()
    }

    /// Whether a write would be taken.
    pub(crate) fn check(&self, key: &[u8], bytes: &[u8], lease: u64) -> Result<(), Fault> {
        if key.is_empty() {
            return Err(Fault::NO_KEY);
        }
        if bytes.len() > VALUE_BYTES {
            return Err(Fault::TOO_LARGE);
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(Fault::NO_LEASE);
        }
        Ok(())
    }

    /// Writes a key at a revision.
    pub(crate) fn put(&mut self, revision: u64, key: &[u8], bytes: Vec<u8>, lease: u64) {
        let held = self.values.get(key);
        let value = Value {
            bytes,
            created: held.map_or(revision, |held| held.created),
            modified: revision,
            version: held.map_or(1, |held| held.version + 1),
            lease,
        };
        self.values.insert(key.to_vec(), value.clone());
        self.record(revision, key.to_vec(), Some(value));
    }

    /// Deletes the keys of a span at a revision. Returns how many there were.
    pub(crate) fn delete(&mut self, revision: u64, span: &Span) -> usize {
        let gone = self.now(span);
        for (key, _) in &gone {
            self.values.remove(key);
            self.record(revision, key.clone(), None);
        }
        gone.len()
    }

    fn record(&mut self, revision: u64, key: Vec<u8>, value: Option<Value>) {
        self.revision = revision;
        self.log.push(Write {
            revision,
            key,
            value,
        });
    }

    /// Opens a lease.
    pub(crate) fn grant(&mut self, ttl_s: u64, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease::open(ttl_s, now));
        self.last_lease
    }

    /// Ends a lease and deletes its keys. Returns whether there was one.
    pub(crate) fn revoke(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let held = self.values.iter().filter(|(_, value)| value.lease == id);
        let keys: Vec<Vec<u8>> = held.map(|(key, _)| key.clone()).collect();
        let revision = self.revision + 1;
        for key in keys {
            self.delete(revision, &span(&key, &[]));
        }
        true
    }

    /// Ends the leases whose deadline has passed. Returns whether there were any.
    pub(crate) fn lapse(&mut self, now: Instant) -> bool {
        let over = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.revoke(*id);
        }
        !over.is_empty()
    }

    /// Forgets all history.
    pub(crate) const fn compact(&mut self) {
        self.compacted = self.revision;
    }

    /// Begins every lease anew, as the service does after a restart.
    pub(crate) fn renew(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            *lease = Lease::open(lease.ttl_s, now);
        }
    }
}
