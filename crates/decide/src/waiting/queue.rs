//! Queue of waiting prompts.

use std::cmp::Ordering;
use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Millis};
use slotmap::SlotMap;

use super::skipped::Skipped;
use super::{Entry, Limits, Obstacle, Reserved};
use crate::queue::EntryKey;

/// Prompts of one pool that wait in one gateway.
///
/// Customers with the lowest usage of their share come first. Among the prompts of a customer,
/// resumptions come first, then the order is that of priority, deadline, size and arrival. Usage changes all the time, so the order
/// is not stored: it is determined when a prompt is to be chosen, by a closure that returns a
/// customer's usage. The queue is short enough to be searched from end to end.
#[derive(Debug)]
pub struct Queue<T> {
    /// Waiting prompts, with their arrival numbers.
    entries: SlotMap<EntryKey, (u64, Entry<T>)>,
    arrivals: u64,
    bytes: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            arrivals: 0,
            bytes: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Number of waiting prompts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no prompt waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of the waiting prompts, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a prompt and returns its key, and the prompts to refuse because of the limits. Those
    /// may include the new one.
    ///
    /// The places are divided equally: the last prompt in the order is removed of those whose
    /// customers take more than an equal part.
    pub fn push(
        &mut self,
        entry: Entry<T>,
        limits: Limits,
        usage: impl Fn(CustomerId) -> f64,
    ) -> (EntryKey, Vec<Entry<T>>) {
        let is_too_large = entry.bytes > limits.bytes;
        self.bytes += entry.bytes;
        let key = self.entries.insert((self.arrivals, entry));
        self.arrivals += 1;
        let mut removed = Vec::new();
        if is_too_large {
            removed.extend(self.remove(key));
        }
        while let Some(last) = self.excess(limits, &usage) {
            removed.extend(self.remove(last));
        }
        (key, removed)
    }

    /// Removes a prompt.
    pub fn remove(&mut self, key: EntryKey) -> Option<Entry<T>> {
        let (_, entry) = self.entries.remove(key)?;
        self.bytes -= entry.bytes;
        Some(entry)
    }

    /// Attempts to send the waiting prompts in their order, and returns those that are done, with
    /// the results. Stops at the first that has to wait for room at any server; one that has to wait
    /// for room at servers of its version holds up only those that need the same version. Those of
    /// customers above their share are passed over, and so are a customer's others after a few of
    /// them. `attempt` is also told the versions for which prompts wait that come before: servers of
    /// other versions are to be preferred.
    pub fn serve<A>(
        &mut self,
        usage: impl Fn(CustomerId) -> f64,
        mut attempt: impl FnMut(&Entry<T>, &Reserved) -> Result<A, Obstacle>,
    ) -> Vec<(Entry<T>, A)> {
        let mut done = Vec::new();
        let mut skipped = Skipped::default();
        let mut reserved = Reserved::new();
        while let Some(key) = self.first(&usage, &skipped) {
            let (_, entry) = &self.entries[key];
            let (customer, version) = (entry.customer, entry.version);
            match (attempt(entry, &reserved), version) {
                (Ok(result), _) => {
                    done.extend(self.remove(key).map(|entry| (entry, result)));
                    continue;
                }
                (Err(Obstacle::Share), _) => {
                    skipped.by_customer.entry(customer).or_default().push(key);
                }
                (Err(Obstacle::Room), Some(version)) => skipped.versions.push(version),
                (Err(Obstacle::Room), None) => break,
            }
            reserved.extend(version.filter(|version| !reserved.contains(version)));
        }
        done
    }

    /// Returns the versions for which prompts wait that come before a new prompt of a customer.
    pub fn reserved(&self, customer: CustomerId, usage: impl Fn(CustomerId) -> f64) -> Reserved {
        let own_usage = usage(customer);
        let mut reserved = Reserved::new();
        for (_, entry) in self.entries.values() {
            let version = entry.version.filter(|version| !reserved.contains(version));
            if version.is_some() && usage(entry.customer) <= own_usage {
                reserved.extend(version);
            }
        }
        reserved
    }

    /// Number of waiting prompts that need a version.
    #[must_use]
    pub fn bound_to_version(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|(_, entry)| entry.version.is_some()).count()
    }

    /// Removes and returns the prompts whose time is up, in the order of that time. Each is to be
    /// sent if it is admitted now, and refused otherwise.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry<T>> {
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, (_, entry))| entry.until <= now);
        let mut keys: Vec<_> = expired
            .map(|(key, (arrival, entry))| (entry.until, *arrival, key))
            .collect();
        keys.sort_unstable();
        let keys = keys.into_iter();
        keys.filter_map(|(_, _, key)| self.remove(key)).collect()
    }

    /// When the time of a prompt is up next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        self.entries.values().map(|(_, entry)| entry.until).min()
    }

    /// The first prompt in the order that is not skipped.
    fn first(&self, usage: &impl Fn(CustomerId) -> f64, skipped: &Skipped) -> Option<EntryKey> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(key, (_, entry))| !skipped.contains(*key, entry));
        let first = entries.min_by(|(_, a), (_, b)| compare(a, b, usage));
        first.map(|(key, _)| key)
    }

    /// The prompt to refuse while the queue exceeds its limits.
    fn excess(&self, limits: Limits, usage: &impl Fn(CustomerId) -> f64) -> Option<EntryKey> {
        let size = |entry: &Entry<T>| {
            if self.entries.len() > limits.requests {
                1
            } else {
                entry.bytes
            }
        };
        if self.entries.len() <= limits.requests && self.bytes <= limits.bytes {
            return None;
        }
        let mut sizes: HashMap<CustomerId, usize> = HashMap::new();
        for (_, entry) in self.entries.values() {
            *sizes.entry(entry.customer).or_default() += size(entry);
        }
        let total: usize = sizes.values().sum();
        let is_above = |customer| sizes[&customer] * sizes.len() >= total;
        let entries = self.entries.iter();
        let above = entries.filter(|(_, (_, entry))| is_above(entry.customer));
        let last = above.max_by(|(_, a), (_, b)| compare(a, b, usage));
        last.map(|(key, _)| key)
    }
}

fn compare<T>(
    (a_arrival, a): &(u64, Entry<T>),
    (b_arrival, b): &(u64, Entry<T>),
    usage: &impl Fn(CustomerId) -> f64,
) -> Ordering {
    let order = |arrival, entry: &Entry<T>| {
        let is_new = !entry.is_resumption;
        (
            is_new,
            entry.priority,
            entry.deadline,
            entry.tokens,
            arrival,
        )
    };
    let by_usage = usage(a.customer).total_cmp(&usage(b.customer));
    by_usage.then_with(|| order(*a_arrival, a).cmp(&order(*b_arrival, b)))
}
