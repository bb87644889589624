//! Prompts that are not attempted again in one pass over a queue.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, VersionId};
use smallvec::SmallVec;

use super::Entry;
use crate::queue::EntryKey;

/// Number of prompts of a customer above its share that are attempted in one pass. A smaller one or
/// one with a cached prefix may be admitted where the first is not.
const MAX_ATTEMPTS: usize = 4;

/// Prompts that are not attempted again in one pass over a queue.
#[derive(Debug, Default)]
pub(super) struct Skipped {
    /// Prompts of customers above their share.
    pub(super) by_customer: HashMap<CustomerId, SmallVec<[EntryKey; MAX_ATTEMPTS]>>,
    /// Versions whose servers are full.
    pub(super) versions: SmallVec<[VersionId; 2]>,
}

impl Skipped {
    /// Whether a prompt is not attempted any more.
    pub(super) fn contains<T>(&self, key: EntryKey, entry: &Entry<T>) -> bool {
        let keys = self.by_customer.get(&entry.customer);
        let is_passed_over =
            keys.is_some_and(|keys| keys.len() >= MAX_ATTEMPTS || keys.contains(&key));
        let version = entry.version;
        is_passed_over || version.is_some_and(|version| self.versions.contains(&version))
    }
}
